// Package report gathers what the processes of the fleet know of themselves and
// turns it into the one report that operators read: as JSON, as text and as a
// page for a phone. Each figure carries its age.
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
	// parallelCalls is the number of processes that are asked at a time.
	parallelCalls = 16
	// callTimeout is the longest wait for one process.
	callTimeout = 2 * time.Second
	// sampleInterval is the least time between two rounds of questions, however
	// many operators look.
	sampleInterval = time.Second
	// compareSpan is the greatest age of the round that service is compared with.
	compareSpan = 5 * time.Minute
	// maxRounds bounds the rounds that are remembered for comparison.
	maxRounds = 32
)

// Process is a process that can be asked for its status.
type Process struct {
	// Name of the process, or of the target that it stands beside.
	Name string
	// Status asks the process.
	Status func(context.Context) (*zinniaquayv1.StatusResponse, error)
}

// Source says what there is to ask.
type Source interface {
	// Processes returns all processes that should answer.
	Processes() []Process
	// Configuration returns the configuration in force here, or nil.
	Configuration() *zinniaquayv1.Configuration
}

// answer is what a process said last, and when.
type answer struct {
	status *zinniaquayv1.StatusResponse
	at     time.Time
	// silent says that the process did not answer in the last round.
	silent bool
}

// round is the service of one round, for comparison with a later one.
type round struct {
	at      time.Time
	service map[string]float64
	waiting map[string]bool
}

// Collector asks the processes when somebody wants a report, and at no other
// time. It is safe for several goroutines.
type Collector struct {
	source Source

	mu      sync.Mutex
	asked   time.Time
	answers map[string]answer
	rounds  []round
}

// NewCollector returns a collector that has asked nobody yet.
func NewCollector(source Source) *Collector {
	return &Collector{source: source, answers: make(map[string]answer)}
}

// Report returns the fleet's report. Operators who look at one moment share the
// same round of questions.
func (c *Collector) Report(ctx context.Context) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.asked.IsZero() || time.Since(c.asked) >= sampleInterval {
		c.ask(ctx)
	}
	now := time.Now()
	return build(now, c.source.Configuration(), c.answers, c.rounds)
}

// ask asks all processes once. The caller holds the lock.
func (c *Collector) ask(ctx context.Context) {
	processes := c.source.Processes()
	got := make([]answer, len(processes))
	calls := pool.New().WithMaxGoroutines(parallelCalls)
	for i, p := range processes {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			status, err := p.Status(ctx)
			got[i] = answer{status: status, at: time.Now(), silent: err != nil}
		})
	}
	calls.Wait()
	fresh := make(map[string]answer, len(processes))
	for i, p := range processes {
		if got[i].silent {
			// The last figures stay, with their age.
			old := c.answers[p.Name]
			got[i].status, got[i].at = old.status, old.at
		}
		fresh[p.Name] = got[i]
	}
	c.answers, c.asked = fresh, time.Now()
	c.remember()
}

// remember keeps this round and drops those that are too old to compare with.
func (c *Collector) remember() {
	c.rounds = append(c.rounds, roundOf(c.asked, c.answers))
	c.rounds = slices.DeleteFunc(c.rounds, func(r round) bool { return c.asked.Sub(r.at) > compareSpan })
	if len(c.rounds) > maxRounds {
		c.rounds = slices.Delete(c.rounds, 0, 1)
	}
}

func roundOf(at time.Time, answers map[string]answer) round {
	r := round{at: at, service: make(map[string]float64), waiting: make(map[string]bool)}
	for _, a := range answers {
		for _, total := range a.status.GetTotals() {
			r.service[total.GetAccount()] += total.GetService()
		}
		for account, n := range a.status.GetWaitingByAccount() {
			if n > 0 {
				r.waiting[account] = true
			}
		}
	}
	return r
}
