// Package report collects the status of the processes of the fleet and builds
// one report for operators: as JSON, as text and as an HTML page for phones. Each
// figure has an age.
package report

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

const (
	// maxParallelCalls limits the status calls in flight.
	maxParallelCalls = 16
	// callTimeout limits the status call to one process.
	callTimeout = 2 * time.Second
	// minPollInterval is the minimum time between two polling rounds, however many
	// operators request a report.
	minPollInterval = time.Second
	// maxRoundAge is the maximum age of a round that service is compared with.
	maxRoundAge = 5 * time.Minute
	// maxRounds limits the rounds that are kept for comparison.
	maxRounds = 32
)

// Process is a process whose status can be requested.
type Process struct {
	// Name of the process, or of the target that it serves as a sidecar.
	Name string
	// Status requests the status of the process.
	Status func(context.Context) (*zinniaquayv1.StatusResponse, error)
}

// Source supplies the processes to poll and the configuration.
type Source interface {
	// Processes returns all processes that should respond.
	Processes() []Process
	// Configuration returns the configuration in force here, or nil.
	Configuration() *zinniaquayv1.Configuration
}

// processStatus is the last status of a process and the time of its arrival.
type processStatus struct {
	status *zinniaquayv1.StatusResponse
	at     time.Time
	// silent reports whether the process failed to respond in the last round.
	silent bool
}

// round holds the service totals and the accounts with waiting requests of one
// polling round, for comparison with a later one.
type round struct {
	at      time.Time
	service map[string]float64
	waiting map[string]bool
}

// Collector polls the processes only when a report is requested. It is safe for
// concurrent use.
type Collector struct {
	source Source

	mu       sync.Mutex
	polledAt time.Time
	statuses map[string]processStatus
	rounds   []round
}

// NewCollector returns a collector that has not polled yet.
func NewCollector(source Source) *Collector {
	return &Collector{source: source, statuses: make(map[string]processStatus)}
}

// Report returns the fleet's report. Calls within minPollInterval share one
// polling round.
func (c *Collector) Report(ctx context.Context) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.polledAt.IsZero() || time.Since(c.polledAt) >= minPollInterval {
		c.poll(ctx)
	}
	now := time.Now()
	return build(now, c.source.Configuration(), c.statuses, c.rounds)
}

// poll requests the status of all processes once. The caller holds c.mu.
func (c *Collector) poll(ctx context.Context) {
	processes := c.source.Processes()
	results := make([]processStatus, len(processes))
	calls := pool.New().WithMaxGoroutines(maxParallelCalls)
	for i, p := range processes {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			status, err := p.Status(ctx)
			results[i] = processStatus{status: status, at: time.Now(), silent: err != nil}
		})
	}
	calls.Wait()
	fresh := make(map[string]processStatus, len(processes))
	for i, p := range processes {
		if results[i].silent {
			// Keep the last status and its time, so that its age is shown.
			old := c.statuses[p.Name]
			results[i].status, results[i].at = old.status, old.at
		}
		fresh[p.Name] = results[i]
	}
	c.statuses, c.polledAt = fresh, time.Now()
	c.recordRound()
}

// recordRound appends this round and drops those older than maxRoundAge or beyond
// maxRounds.
func (c *Collector) recordRound() {
	c.rounds = append(c.rounds, roundOf(c.polledAt, c.statuses))
	c.rounds = slices.DeleteFunc(c.rounds, func(r round) bool { return c.polledAt.Sub(r.at) > maxRoundAge })
	if len(c.rounds) > maxRounds {
		c.rounds = slices.Delete(c.rounds, 0, 1)
	}
}

func roundOf(at time.Time, statuses map[string]processStatus) round {
	r := round{at: at, service: make(map[string]float64), waiting: make(map[string]bool)}
	for _, s := range statuses {
		for _, total := range s.status.GetTotals() {
			r.service[total.GetAccount()] += total.GetService()
		}
		for account, n := range s.status.GetWaitingByAccount() {
			if n > 0 {
				r.waiting[account] = true
			}
		}
	}
	return r
}
