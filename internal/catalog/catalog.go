// Package catalog holds what a gateway knows of the deployment it serves: the
// operator's configuration, the targets, and what the operator asks of zones
// and versions. All types are plain and are not changed once they are shared.
package catalog

import (
	"strings"
	"time"
)

// ExecutionPolicy says how often a request may run.
type ExecutionPolicy int

const (
	// AtMostOnce means that the request may run at most once.
	AtMostOnce ExecutionPolicy = iota
	// Repeatable means that the request may run more than once.
	Repeatable
)

// Configuration is one version of the operator's configuration.
type Configuration struct {
	// Version rises with every configuration.
	Version int64
	// Hosts holds the routes of each host, the longest prefix first.
	Hosts map[string][]*Route
	// Services holds the services by name.
	Services map[string]*Service
	// Accounts holds the client accounts by API key.
	Accounts map[string]*Account
	// APIKeysRequired says that routes which are not public need an API key.
	APIKeysRequired bool
	// Limits bounds what callers send.
	Limits Limits
}

// Route leads requests of a host and path to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Execution says how often one request may run.
	Execution ExecutionPolicy
	// Stream says that answers are series of events.
	Stream bool
	// Resumable says that a broken stream may go on at another target.
	Resumable bool
	// HasPrompt says that requests carry a prompt for a model.
	HasPrompt bool
	// Public says that no API key is needed.
	Public bool
	// MaxAttempts is the number of targets that one request may be sent to.
	MaxAttempts int
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the latency within which an answer is on time; for streams,
	// that of the first event.
	Objective time.Duration
	// MaxGap is the longest pause between events of a stream that is on time.
	MaxGap time.Duration
	// Priority ranks requests; 0 is the highest.
	Priority int
	// Shares are the services that the route leads to, with their weights.
	Shares []ServiceShare
}

// ServiceShare is a service's part of a route's requests.
type ServiceShare struct {
	Service string
	Weight  float64
}

// Pick returns the service for a point in [0, 1).
func (r *Route) Pick(point float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	point *= total
	for _, s := range r.Shares {
		point -= s.Weight
		if point < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service is a group of targets that do the same work.
type Service struct {
	Name string
	// HealthPath is where targets answer health checks.
	HealthPath string
	// MaxConnections is the number of connections that a target takes from all
	// callers together.
	MaxConnections int
	// ColdDuration is how long a target stays cold after its start.
	ColdDuration time.Duration
	// ColdRequestsPerSecond is the number of requests a second that a cold target bears;
	// 0 means no bound.
	ColdRequestsPerSecond float64
	// MemoryTokens is the memory of a model's engine in tokens; 0 for others.
	MemoryTokens int
}

// Account is a client account.
type Account struct {
	Name string
	// Priority goes before the route's where HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bounds what callers send and how long they take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// TokensPerSecond is what all engines together produce: tokens read, and
	// tokens generated counted twice. 0 means unknown.
	TokensPerSecond float64
}

// Target is one target as it registered itself.
type Target struct {
	// ID is new at most starts of the target.
	ID string
	// StartedUnixMilli is the Unix time in ms of the target's start; 0 if not told.
	StartedUnixMilli int64
	Service          string
	// Addr is IP:port.
	Addr    string
	Zone    string
	Version string
	// Slots is the number of requests that run at the same time.
	Slots int
	// Leaving says that the target takes no new work.
	Leaving bool
	// ColdUntil is when the target stops being cold, by this process's clock;
	// zero if it is warm.
	ColdUntil time.Time
	// Revision is that of the target's entry.
	Revision int64
}

// Cold reports whether the target is cold.
func (t *Target) Cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// MoveOrder is the operator's order to move a service's traffic to a version.
type MoveOrder struct {
	Service string
	To      string
	// Duration is the time that the move may take, from the order on.
	Duration time.Duration
	// FirstSeen is when this process first saw the order.
	FirstSeen time.Time
	// Revision identifies the order.
	Revision int64
}

// MoveState is where a move stands.
type MoveState int

// Transitions: InProgress -> Completed, InProgress -> Reverted. Both ends are
// final for an order.
const (
	InProgress MoveState = iota
	Completed
	Reverted
)

// MoveStatus is what the fleet told the operator of a move.
type MoveStatus struct {
	To    string
	State MoveState
	// Revision is that of the item, for conditional writes.
	Revision int64
}

// View is all that a process knows of the deployment at one revision of the
// platform's store.
type View struct {
	// Config is nil until the first configuration arrives.
	Config *Configuration
	// Targets holds the targets by ID.
	Targets map[string]*Target
	// ZonesOut holds the availability zones that get no new work.
	ZonesOut map[string]bool
	// Moves holds the orders by service.
	Moves map[string]*MoveOrder
	// MoveStatuses holds the states of moves by service.
	MoveStatuses map[string]MoveStatus
	// Members holds the fleet's processes by name.
	Members map[string]Member
}

// Member is one process of the fleet.
type Member struct {
	Name string
	Zone string
	// Addr is where peers reach it, IP:port.
	Addr string
	// Revision is that of the member's item.
	Revision int64
}

// Route returns the route of a request, the one with the longest prefix.
func (c *Configuration) Route(host, path string) *Route {
	for _, r := range c.Hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
