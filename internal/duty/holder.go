package duty

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/clock"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

// pollInterval is the interval at which a process looks for vacant duties and for the end of
// its own hold.
const pollInterval = 100 * time.Millisecond

// Codec encodes the record of the holder.
type Codec interface {
	// DutyKey is the key of the record in the store.
	DutyKey() string
	EncodeDutyHold(h catalog.DutyHold) ([]byte, error)
}

// Committer writes to the store.
type Committer interface {
	Commit(ctx context.Context, conditions []platform.Condition, writes []platform.Write, removes []string) (platform.Position, error)
}

// Options configure a holder.
type Options struct {
	// Name of the process.
	Name string
	// LeaseTTL is the time that a hold outlives its holder.
	LeaseTTL time.Duration
	Leases   platform.LeaseStore
	Store    Committer
	Codec    Codec
	// Observe returns what the process knows of the fleet.
	Observe func() Observation
	// SinceBoot returns the time since the host's start; nil means clock.SinceBoot.
	SinceBoot func() time.Duration
}

// Holder takes part in the selection of the process that performs the duties. It is safe for
// concurrent use.
type Holder struct {
	options     Options
	incarnation uint32
	log         logr.Logger
	metrics     holderMetrics

	mu        sync.Mutex
	candidate *Candidate
	// heldSince is when the hold began.
	heldSince time.Duration
	stopped   bool
}

type holderMetrics struct {
	token       metrics.Gauge
	taken, lost metrics.Counter
}

// NewHolder returns a holder without the duties.
func NewHolder(o Options, registry metrics.Registry, log logr.Logger) *Holder {
	if o.SinceBoot == nil {
		o.SinceBoot = clock.SinceBoot
	}
	incarnation := rand.Uint32()
	return &Holder{
		options: o, incarnation: incarnation, log: log, candidate: NewCandidate(o.Name, incarnation, o.LeaseTTL, o.SinceBoot()),
		metrics: holderMetrics{
			token: metrics.GetOrRegisterGauge(telemetry.Name("duty_fencing_token"), registry),
			taken: metrics.GetOrRegisterCounter(telemetry.Name("duty_taken_total"), registry),
			lost:  metrics.GetOrRegisterCounter(telemetry.Name("duty_lost_total"), registry),
		},
	}
}

// Run takes the duties when they are vacant, and keeps them while it can, until the context
// ends.
func (h *Holder) Run(ctx context.Context) {
	for wait.For(ctx, pollInterval) {
		switch h.next() {
		case Acquire:
			h.acquire(ctx)
		case Renew:
			h.renew(ctx)
		case Wait:
		}
	}
}

// next returns the next action and logs the begin and the end of a hold.
func (h *Holder) next() Action {
	observation := h.options.Observe()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return Wait
	}
	now := h.options.SinceBoot()
	before, held := h.candidate.Held(now)
	action, lost := h.candidate.Next(observation, now)
	if lost != "" {
		h.recordLost(now, lost)
	}
	if after, ok := h.candidate.Held(now); ok && !held && after.Token != before.Token {
		h.recordTaken(now, after)
	}
	return action
}

// acquire writes the record under a new lease.
func (h *Holder) acquire(ctx context.Context) {
	observation := h.options.Observe()
	sentAt := h.options.SinceBoot()
	leaseID, ttl, err := h.options.Leases.GrantLease(ctx, h.options.LeaseTTL)
	if err != nil {
		h.notAcquired(ctx, 0, err)
		return
	}
	value, err := h.options.Codec.EncodeDutyHold(catalog.DutyHold{Holder: h.options.Name, Incarnation: h.incarnation, Era: observation.Era})
	if err != nil {
		h.log.Error(err, "encode record of the duties failed")
		h.notAcquired(ctx, leaseID, err)
		return
	}
	condition := platform.Condition{Key: h.options.Codec.DutyKey()}
	if observation.Hold != nil {
		condition.Revision = observation.Hold.Revision
	}
	h.mu.Lock()
	h.candidate.Attempted(sentAt, min(ttl, h.options.LeaseTTL), leaseID, observation.Era)
	h.mu.Unlock()
	position, err := h.options.Store.Commit(ctx, []platform.Condition{condition},
		[]platform.Write{{Key: condition.Key, Value: value, LeaseID: leaseID}}, nil)
	switch {
	case err == nil && position.Era == observation.Era:
		h.mu.Lock()
		defer h.mu.Unlock()
		h.recordTaken(h.options.SinceBoot(), h.candidate.Acquired(position.Revision))
	case errors.Is(err, platform.ErrUnavailable):
		// The write may have been executed, or may be later. The view will show it.
		h.mu.Lock()
		defer h.mu.Unlock()
		h.candidate.Failed(h.options.SinceBoot())
	default:
		h.notAcquired(ctx, leaseID, err)
	}
}

// notAcquired records a failed attempt and ends its lease, if there is one.
func (h *Holder) notAcquired(ctx context.Context, leaseID int64, cause error) {
	h.mu.Lock()
	h.candidate.NotAcquired(h.options.SinceBoot())
	h.mu.Unlock()
	if cause != nil {
		h.log.V(1).Info("duties not taken", "cause", cause.Error())
	}
	h.endLease(ctx, leaseID)
}

// renew renews the lease of the hold.
func (h *Holder) renew(ctx context.Context) {
	sentAt := h.options.SinceBoot()
	h.mu.Lock()
	hold, held := h.candidate.Held(sentAt)
	h.mu.Unlock()
	if !held {
		return
	}
	err := h.options.Leases.RenewLease(ctx, hold.leaseID)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch now := h.options.SinceBoot(); {
	case err == nil:
		h.candidate.Renewed(sentAt)
	case errors.Is(err, platform.ErrNoLease):
		h.candidate.GiveUp(now, 0)
		h.recordLost(now, "the lease has ended")
	default:
		h.candidate.Failed(now)
		h.log.Info("lease of the duties not renewed", "token", hold.Token, "left_ms", (hold.validUntil - now).Milliseconds(), "cause", err.Error())
	}
}

// Held returns the hold if it is valid now.
func (h *Holder) Held() (Hold, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.candidate.Held(h.options.SinceBoot())
}

// GiveUp ends a hold at once, so that another process takes the duties, and keeps this one
// from taking them for a time.
func (h *Holder) GiveUp(ctx context.Context, hold Hold, pause time.Duration, cause string) {
	h.mu.Lock()
	now := h.options.SinceBoot()
	current, held := h.candidate.Held(now)
	if !held || current.Token != hold.Token {
		h.mu.Unlock()
		return
	}
	leaseID := h.candidate.GiveUp(now, pause)
	h.recordLost(now, cause)
	h.mu.Unlock()
	h.endLease(ctx, leaseID)
}

// Stop gives the duties up for the rest of the process's life.
func (h *Holder) Stop(ctx context.Context) {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	if hold, held := h.Held(); held {
		h.GiveUp(ctx, hold, 0, "the process stops")
	}
}

// endLease ends a lease, so that it needn't expire; 0 is none.
func (h *Holder) endLease(ctx context.Context, leaseID int64) {
	if leaseID == 0 {
		return
	}
	if err := h.options.Leases.EndLease(ctx, leaseID); err != nil && !errors.Is(err, platform.ErrNoLease) {
		h.log.Info("lease of the duties not ended; it expires", "cause", err.Error())
	}
}

// recordTaken logs and counts the begin of a hold. The caller holds mu.
func (h *Holder) recordTaken(now time.Duration, hold Hold) {
	h.heldSince = now
	h.metrics.taken.Inc(1)
	h.metrics.token.Update(hold.Token)
	h.log.Info("duties taken", "token", hold.Token, "revision", hold.Revision)
}

// recordLost logs and counts the end of a hold. The caller holds mu.
func (h *Holder) recordLost(now time.Duration, cause string) {
	h.metrics.lost.Inc(1)
	token := h.metrics.token.Value()
	h.metrics.token.Update(0)
	h.log.Info("duties lost", "token", token, "held_ms", (now - h.heldSince).Milliseconds(), "cause", cause)
}
