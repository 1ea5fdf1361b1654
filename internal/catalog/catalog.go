// Package catalog defines a gateway's view of its deployment: the operator's
// configuration, the targets, and the operator's orders for availability zones
// and versions. All types are plain data and are immutable once shared.
package catalog

import (
	"strings"
	"time"
)

// ExecutionPolicy defines how often a request may run.
type ExecutionPolicy int

const (
	// AtMostOnce means that the request may run at most once.
	AtMostOnce ExecutionPolicy = iota
	// Repeatable means that the request may run more than once.
	Repeatable
)

// Configuration is one version of the operator's configuration.
type Configuration struct {
	// Version increases with every configuration.
	Version int64
	// Hosts holds the routes of each host, the longest prefix first.
	Hosts map[string][]*Route
	// Services holds the services by name.
	Services map[string]*Service
	// Accounts holds the client accounts by API key.
	Accounts map[string]*Account
	// APIKeysRequired is set if routes that are not public need an API key.
	APIKeysRequired bool
	// Limits are the limits on callers' requests.
	Limits Limits
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Execution is how often one request may run.
	Execution ExecutionPolicy
	// Stream is set if responses are event streams.
	Stream bool
	// Resumable is set if a broken stream may continue at another target.
	Resumable bool
	// HasPrompt is set if requests contain a prompt for a model.
	HasPrompt bool
	// Public is set if no API key is needed.
	Public bool
	// MaxAttempts is the maximum number of targets that one request may be sent
	// to.
	MaxAttempts int
	// Timeout is the maximum duration of a request, including its response.
	Timeout time.Duration
	// Objective is the latency objective of a response; for streams, that of the
	// first event.
	Objective time.Duration
	// MaxGap is the objective for the longest pause between events of a stream.
	MaxGap time.Duration
	// Priority ranks requests; 0 is the highest.
	Priority int
	// Shares are the services that receive the route's requests, with their
	// weights.
	Shares []ServiceShare
}

// ServiceShare is a service's part of a route's requests.
type ServiceShare struct {
	Service string
	Weight  float64
}

// Pick returns the service that a point in [0, 1) selects in proportion to the
// weights.
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
	// HealthPath is the path of the targets' health check.
	HealthPath string
	// MaxConnections is the maximum number of connections that a target accepts
	// from all callers together.
	MaxConnections int
	// ColdDuration is how long a target stays cold after its start.
	ColdDuration time.Duration
	// ColdRequestsPerSecond is the maximum request rate of a cold target; 0 means
	// no limit.
	ColdRequestsPerSecond float64
	// MemoryTokens is the KV cache capacity of a model's engine, in tokens; 0 for
	// services without an engine.
	MemoryTokens int
}

// Account is a client account.
type Account struct {
	Name string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits are the limits on callers' requests: their size, and the timeouts of
// callers' connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// TokensPerSecond is the throughput of all engines together: prompt tokens
	// plus twice the generated tokens. 0 means unknown.
	TokensPerSecond float64
}

// Target is one registered target.
type Target struct {
	// ID usually changes when the target restarts.
	ID string
	// StartedUnixMilli is the Unix time in ms of the target's start; 0 if unknown.
	StartedUnixMilli int64
	Service          string
	// Addr is IP:port.
	Addr    string
	Zone    string
	Version string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Leaving is set if the target accepts no new requests.
	Leaving bool
	// ColdUntil is when the target stops being cold, by this process's clock;
	// zero if it is warm.
	ColdUntil time.Time
	// Revision is the store revision of the target's entry.
	Revision int64
}

// Cold reports whether the target is cold.
func (t *Target) Cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// MoveOrder is the operator's order to move a service's traffic to a version.
type MoveOrder struct {
	Service string
	To      string
	// Duration is the time that the move may take, counted from FirstSeen.
	Duration time.Duration
	// FirstSeen is when this process first saw the order.
	FirstSeen time.Time
	// Revision identifies the order.
	Revision int64
}

// MoveState is the state of a move.
type MoveState int

// Transitions: InProgress -> Completed, InProgress -> Reverted. Both end states
// are final for an order.
const (
	InProgress MoveState = iota
	Completed
	Reverted
)

// MoveStatus is the status of a move that the fleet reports to the operator.
type MoveStatus struct {
	To    string
	State MoveState
	// Revision is the store revision of the status, for conditional writes.
	Revision int64
	// Lost is set if the store lost the status, or has an earlier one at Revision.
	Lost bool
}

// Current reports whether the status is that of an order.
func (s MoveStatus) Current(o *MoveOrder) bool {
	return s.To == o.To && (s.Revision > o.Revision || s.Lost)
}

// Final reports whether the status is that of an order and can't change any more.
func (s MoveStatus) Final(o *MoveOrder) bool { return s.Current(o) && s.State != InProgress }

// View is a snapshot of the deployment at one revision of the platform's store.
type View struct {
	// Config is nil until the first configuration arrives.
	Config *Configuration
	// Targets holds the targets by ID.
	Targets map[string]*Target
	// ZonesOut holds the availability zones that receive no new requests.
	ZonesOut map[string]bool
	// Moves holds the orders by service.
	Moves map[string]*MoveOrder
	// MoveStatuses holds the statuses of moves by service.
	MoveStatuses map[string]MoveStatus
	// Members holds the fleet's processes by name.
	Members map[string]Member
	// Era numbers the history of the store that the view was read from.
	Era int64
	// DutyHold is the record of the process that performs the fleet's singleton duties, nil if
	// there is none.
	DutyHold *DutyHold
	// UsageClaim is the latest report on usage that the fleet has settled, nil if there is none.
	UsageClaim *UsageClaim
}

// DutyHold is the record of the process that performs the fleet's singleton duties. It is
// removed when the holder's lease ends.
type DutyHold struct {
	Holder string
	// Incarnation of the holder's process.
	Incarnation uint32
	// Era of the store's history in which the record was written. In another one it is void.
	Era int64
	// Revision of the record.
	Revision int64
}

// UsageClaim is a report on usage to the platform. It is recorded before it is sent, so that
// no second one with other counts is sent for its window.
type UsageClaim struct {
	// Era of the store's history in which the claim was written. In another one it is void.
	Era int64
	// Window is the number of the latest window that is settled.
	Window int64
	// Counts are the requests by client account; nil if nothing is to be sent for the window.
	Counts map[string]int64
	// Revision of the record.
	Revision int64
}

// ReportsStart reports whether a target's start is known and the target states it when
// asked, as only targets with an engine do.
func (v *View) ReportsStart(targetID string) bool {
	t := v.Targets[targetID]
	if t == nil || t.StartedUnixMilli == 0 || v.Config == nil {
		return false
	}
	service := v.Config.Services[t.Service]
	return service != nil && service.MemoryTokens > 0
}

// Member is one process of the fleet.
type Member struct {
	Name string
	Zone string
	// Addr is the process's address for peers, IP:port.
	Addr string
	// Revision is the store revision of the member's entry; 0 if the store lost it.
	Revision int64
}

// Route returns the route with the longest matching prefix, or nil.
func (c *Configuration) Route(host, path string) *Route {
	for _, r := range c.Hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
