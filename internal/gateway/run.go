package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/dispatch"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
)

// run queues the request, sends it and relays the response. It repeats this
// until the response is complete or the request must not be sent again.
func (g *Gateway) run(x *call) error {
	g.retries.recordRequest(x.service)
	for {
		decision, err := g.chooseTarget(x)
		if err != nil {
			return err
		}
		err = g.sendOnce(x, decision)
		if err == nil || !g.mayRetry(x, err) {
			return err
		}
		g.requestMetrics.retried.Inc(1)
		g.log.Info("request sent again", telemetry.KeyRequest, x.attempt.ID, "cause", err.Error())
	}
}

// chooseTarget waits until a target is chosen for the request.
func (g *Gateway) chooseTarget(x *call) (dispatch.Decision, error) {
	queuedAt := time.Now()
	versions := g.moveTracker.versionFilter(x.service, x.route.Name)
	decision, ok := g.scheduler.await(x.ctx, &dispatch.Request{
		Account: x.account.Name, Service: x.service, Priority: x.priority(),
		Arrived: x.started, Objective: x.objective(), Deadline: x.deadline,
		TokensIn: x.attempt.TokensIn, TokensOut: x.attempt.TokensOut, Parts: x.attempt.Parts,
		Exclude: x.tried, Versions: versions, Resume: x.relay.headSent,
	})
	waited := time.Since(queuedAt)
	g.requestMetrics.queued.Update(waited.Milliseconds())
	if !ok {
		return decision, g.contextError(x, "waiting for a target")
	}
	if decision.Action != dispatch.Send {
		if !g.refusalLogLimiter.Allow() {
			return decision, refusalOf(x, decision)
		}
		g.log.Info("request refused", telemetry.KeyRequest, x.attempt.ID, "verdict", int(decision.Action),
			"waited_ms", waited.Milliseconds(), "predicted_ms", decision.PredictedWait.Milliseconds(), "queued", decision.Queued,
			telemetry.KeyAccount, x.account.Name, "size", decision.Request.Size(), "over_share", decision.ShareRatio,
			"obstacle", decision.Obstacle, "overdue_ms", decision.Overdue.Milliseconds(), "blocked_part", fmt.Sprintf("%x", decision.Part))
		return decision, refusalOf(x, decision)
	}
	g.log.Info("request placed", telemetry.KeyRequest, x.attempt.ID, "target", decision.Target, "version", versions.Only,
		"waited_ms", waited.Milliseconds(), "predicted_ms", decision.PredictedWait.Milliseconds(), "kept", decision.CachedTokens,
		"config", x.configVersion, "queued", decision.Queued, telemetry.KeyAccount, x.account.Name,
		"size", decision.Request.Size(), "over_share", decision.ShareRatio)
	return decision, nil
}

// objective returns the latency within which the response is on time: the
// route's objective, or a fraction of the time until the deadline.
func (x *call) objective() time.Duration {
	if x.route.Objective > 0 {
		return x.route.Objective
	}
	return x.deadline.Sub(x.started) / defaultObjectiveDivisor
}

// defaultObjectiveDivisor divides the time until a request's deadline; the
// result is the objective if the operator sets none.
const defaultObjectiveDivisor = 4

// priority returns the priority of a request: the account's, or else the
// route's.
func (x *call) priority() int {
	if x.account.HasPriority {
		return x.account.Priority
	}
	return x.route.Priority
}

// sendOnce sends the request to the target of a decision, and reports the
// outcome to the scheduler.
func (g *Gateway) sendOnce(x *call, decision dispatch.Decision) error {
	sequence := decision.Request.Sequence
	err := g.recheck(x)
	if refusal, blocked := g.scheduler.blockedSince(decision.Request); err == nil && blocked {
		err = refusalOf(x, refusal)
	}
	if err != nil {
		g.scheduler.requestEnded(sequence, dispatch.NotSent)
		return err
	}
	x.tried[decision.Target], x.lastTarget = true, decision.Target
	sentAt := time.Now()
	outcome, err := g.send(x, decision)
	g.scheduler.requestEnded(sequence, outcome)
	if connectionLost(err) {
		g.checkForCrash(x.ctx, decision)
	}
	g.moveTracker.recordOutcome(x.service, decision.Request.Versions, outcome, time.Since(sentAt))
	if outcome == dispatch.NotSent || outcome == dispatch.Unreachable && errors.Is(err, errNotSent) {
		delete(x.tried, decision.Target)
	}
	return err
}

// recheck checks a queued request before it is sent, since the configuration
// may have changed or the process may have been suspended while it waited.
func (g *Gateway) recheck(x *call) error {
	if callerDisconnected(x.r.Context()) {
		return errkind.New(errkind.Canceled, "the caller disconnected while the request waited")
	}
	if x.relay.headSent {
		return nil
	}
	if err := x.ctx.Err(); err != nil {
		return g.contextError(x, "waiting for a target")
	}
	if err := g.checkViewCurrent(); err != nil {
		return err
	}
	if config := g.views.View().Config; config != nil && config.Version != x.configVersion {
		serviceBefore := x.service
		if err := g.admit(x); err != nil {
			return err
		}
		if x.service != serviceBefore {
			return errkind.New(errkind.NoTarget, "the route led elsewhere while the request waited")
		}
	}
	if x.attempt.APIKey != "" && !x.route.Public {
		return g.checkKeysConfirmed()
	}
	return nil
}

// errNotSent means that no part of a request reached its target.
var errNotSent = errors.New("nothing was sent")

// mayRetry reports whether a request that failed with err is sent again. It
// takes a retry from the budget unless nothing was sent.
func (g *Gateway) mayRetry(x *call, err error) bool {
	if x.ctx.Err() != nil || time.Until(x.deadline) < minRetryTime {
		return false
	}
	var failure *sendError
	if !errors.As(err, &failure) || x.relay.finished {
		return false
	}
	if len(x.tried) >= x.route.MaxAttempts {
		return false
	}
	if !failure.notRun && !x.repeatable() {
		return false
	}
	if x.relay.headSent && (!x.route.Resumable || x.relay.lastEventID == "") {
		return false
	}
	if !failure.notRun && g.scheduler.suspectedOfCrashes(x.attempt.Parts) {
		return false
	}
	return failure.notSent || g.retries.takeRetry(x.service)
}

// repeatable reports whether the request may run more than once.
func (x *call) repeatable() bool { return x.route.Execution == catalog.Repeatable || x.route.Resumable }

// minRetryTime is the remaining time below which another target can't be
// expected to respond.
const minRetryTime = 50 * time.Millisecond

// contextError returns the error of a request whose context has ended.
func (g *Gateway) contextError(x *call, during string) error {
	if x.r.Context().Err() != nil {
		return errkind.New(errkind.Canceled, "the caller disconnected while %s", during)
	}
	if g.shutdown.ending.Err() != nil {
		if x.mayHaveRun {
			return errkind.New(errkind.OutcomeUnknown, "the process stopped while %s", during)
		}
		return errkind.New(errkind.Draining, "the process stopped while %s", during)
	}
	if x.mayHaveRun {
		return errkind.Wrap(errkind.RunTimeout, context.DeadlineExceeded, "the deadline passed while %s", during)
	}
	return errkind.New(errkind.WaitTimeout, "the deadline passed while %s", during)
}
