package metering

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/duty"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

const (
	// stepInterval is the interval at which the holder looks for what is to be done.
	stepInterval = 100 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 400 * time.Millisecond
	// unreachableAfter is the time of failed calls to the platform after which the holder
	// gives the duties up, since another process may reach it. unreachablePause is how
	// long it then leaves them to others.
	unreachableAfter = 2500 * time.Millisecond
	unreachablePause = 10 * time.Second
	// maxNamedProcesses bounds the processes that a log line names.
	maxNamedProcesses = 3
)

// Codec encodes the record of the latest report.
type Codec interface {
	// UsageKey is the key of the record in the store, and DutyKey that of the holder's.
	UsageKey() string
	DutyKey() string
	EncodeUsageClaim(c catalog.UsageClaim) ([]byte, error)
}

// Duties is the right to report.
type Duties interface {
	Held() (duty.Hold, bool)
	GiveUp(ctx context.Context, hold duty.Hold, pause time.Duration, cause string)
}

// Reporter reports the usage of each window to the platform while the process holds the
// duties.
type Reporter struct {
	meter   *Meter
	duties  Duties
	store   duty.Committer
	calls   platform.DutyCalls
	codec   Codec
	log     logr.Logger
	metrics reporterMetrics

	// accepted is the latest window that the platform has accepted.
	accepted int64
	// settling is the claim whose write has an unknown outcome, if settlingRevision is that
	// of the record before.
	settlingRevision int64
	settlingUntil    time.Time
	// failingSince is when calls to the platform began to fail; zero if they don't.
	failingSince time.Time
	// logged is the window up to which skipped ones were logged.
	logged int64
}

type reporterMetrics struct{ accepted, skipped, incomplete, failedCalls metrics.Counter }

// NewReporter returns a reporter.
func NewReporter(m *Meter, duties Duties, store duty.Committer, calls platform.DutyCalls, codec Codec, registry metrics.Registry,
	log logr.Logger) *Reporter {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(telemetry.Name(name), registry) }
	return &Reporter{meter: m, duties: duties, store: store, calls: calls, codec: codec, log: log, metrics: reporterMetrics{
		accepted: counter("usage_windows_accepted_total"), skipped: counter("usage_windows_skipped_total"),
		incomplete: counter("usage_windows_incomplete_total"), failedCalls: counter("duty_calls_failed_total"),
	}}
}

// Run reports until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	for pause := stepInterval; wait.For(ctx, pause); {
		pause = stepInterval
		hold, held := r.duties.Held()
		if !held {
			r.failingSince = time.Time{}
			continue
		}
		if err := r.step(ctx, hold); err != nil {
			pause = retryPause
		}
	}
}

// step does what is due.
func (r *Reporter) step(ctx context.Context, hold duty.Hold) error {
	view := r.meter.fleet.View()
	next := r.meter.counter.windows.plan(planState{
		claim: view.UsageClaim, era: view.Era, now: r.meter.time.At(time.Now()), accepted: r.accepted, missing: r.meter.missing,
	}, r.meter.delay)
	if next.skipped > 0 && next.window > r.logged {
		r.logged = next.window
		r.metrics.skipped.Inc(next.skipped)
		r.log.Info("usage not reported in time", "windows", next.skipped, "until", next.window-1)
	}
	switch next.kind {
	case stepBegin:
		return r.settle(ctx, hold, view, catalog.UsageClaim{Era: view.Era, Window: next.window})
	case stepSettle:
		counts, unknown := r.meter.total(next.window)
		missing := r.meter.missing(next.window)
		if len(missing) > 0 || unknown > 0 {
			r.metrics.incomplete.Inc(1)
			r.log.Info("usage is incomplete", "window", next.window, "processes_missing", len(missing), "first_missing", missing[:min(len(missing), maxNamedProcesses)], "requests_of_unknown_accounts", unknown)
		}
		return r.settle(ctx, hold, view, catalog.UsageClaim{Era: view.Era, Window: next.window, Counts: counts})
	case stepSend:
		return r.send(ctx, hold, view.UsageClaim)
	case stepWait:
	}
	return nil
}

// errSettling means that the outcome of an earlier write of the record is not known yet.
var errSettling = errors.New("the record is being written")

// settlingTimeout is how long a write of the record is waited for in the view.
const settlingTimeout = 2 * time.Second

// settle records what is reported of a window, so that every holder sends the same. It fails
// if the record has changed, or another process has taken the duties.
func (r *Reporter) settle(ctx context.Context, hold duty.Hold, view *catalog.View, claim catalog.UsageClaim) error {
	var before int64
	if view.UsageClaim != nil {
		before = view.UsageClaim.Revision
	}
	if before == r.settlingRevision && time.Now().Before(r.settlingUntil) {
		return errSettling
	}
	value, err := r.codec.EncodeUsageClaim(claim)
	if err != nil {
		r.log.Error(err, "encode record of usage failed", "window", claim.Window)
		return err
	}
	r.settlingRevision, r.settlingUntil = before, time.Now().Add(settlingTimeout)
	_, err = r.store.Commit(ctx, []platform.Condition{
		{Key: r.codec.DutyKey(), Revision: hold.Revision}, {Key: r.codec.UsageKey(), Revision: before},
	}, []platform.Write{{Key: r.codec.UsageKey(), Value: value}}, nil)
	if err != nil {
		r.settlingUntil = time.Time{}
		r.log.Info("usage not recorded", "window", claim.Window, "token", hold.Token, "cause", err.Error())
		return err
	}
	r.log.Info("usage recorded", "window", claim.Window, "accounts", len(claim.Counts), "token", hold.Token)
	return nil
}

// send sends recorded counts to the platform.
func (r *Reporter) send(ctx context.Context, hold duty.Hold, claim *catalog.UsageClaim) error {
	caller := platform.DutyCaller{Name: r.meter.fleet.Self.Name, Token: hold.Token}
	err := r.calls.ReportUsage(ctx, caller, claim.Window, claim.Counts)
	if err == nil {
		r.accepted, r.failingSince = claim.Window, time.Time{}
		r.metrics.accepted.Inc(1)
		r.log.Info("usage reported", "window", claim.Window, "accounts", len(claim.Counts), "token", hold.Token)
		return nil
	}
	r.metrics.failedCalls.Inc(1)
	r.log.Info("usage not reported", "window", claim.Window, "token", hold.Token, "cause", err.Error())
	now := time.Now()
	switch {
	case errors.Is(err, platform.ErrFenced):
		r.duties.GiveUp(ctx, hold, 0, "the platform has seen a higher fencing token")
	case r.failingSince.IsZero():
		r.failingSince = now
	case now.Sub(r.failingSince) > unreachableAfter:
		r.duties.GiveUp(ctx, hold, unreachablePause, "the platform does not respond")
	}
	return err
}
