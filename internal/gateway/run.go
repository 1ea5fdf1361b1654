package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/dispatch"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
)

// run waits, sends and relays until the request has its answer or must not be
// sent again.
func (g *Gateway) run(x *call) error {
	g.retries.request(x.service)
	for {
		decision, err := g.choose(x)
		if err != nil {
			return err
		}
		err = g.sendOnce(x, decision)
		if err == nil || !g.mayRetry(x, err) {
			return err
		}
		g.counts.retried.Inc(1)
		g.log.Info("request sent again", telemetry.KeyRequest, x.attempt.ID, "cause", err.Error())
	}
}

// choose waits until a target is chosen for the request.
func (g *Gateway) choose(x *call) (dispatch.Decision, error) {
	entered := time.Now()
	version := g.moves.version(x.service, x.route.Name)
	decision, ok := g.scheduler.wait(x.ctx, &dispatch.Request{
		Account: x.account.Name, Service: x.service, Priority: x.priority(),
		Arrived: x.started, Objective: x.objective(), Deadline: x.deadline,
		TokensIn: x.attempt.TokensIn, TokensOut: x.attempt.TokensOut, Parts: x.attempt.Parts,
		Exclude: x.tried, Versions: version, Resume: x.relay.begun,
	})
	waited := time.Since(entered)
	g.counts.queued.Update(waited.Milliseconds())
	if !ok {
		return decision, g.gaveUp(x, "waiting for a target")
	}
	if decision.Action != dispatch.Send {
		if !g.lines.Allow() {
			return decision, refusalOf(x, decision)
		}
		g.log.Info("request refused", telemetry.KeyRequest, x.attempt.ID, "verdict", int(decision.Action),
			"waited_ms", waited.Milliseconds(), "predicted_ms", decision.PredictedWait.Milliseconds(), "queued", decision.Queued)
		return decision, refusalOf(x, decision)
	}
	g.log.Info("request placed", telemetry.KeyRequest, x.attempt.ID, "target", decision.Target, "version", version.Only,
		"waited_ms", waited.Milliseconds(), "predicted_ms", decision.PredictedWait.Milliseconds(), "kept", decision.CachedTokens,
		"config", x.config, "queued", decision.Queued, telemetry.KeyAccount, x.account.Name, "over_share", decision.ShareRatio)
	return decision, nil
}

// objective returns the latency within which the answer is on time: the route's,
// or a part of the time that there is.
func (x *call) objective() time.Duration {
	if x.route.Objective > 0 {
		return x.route.Objective
	}
	return x.deadline.Sub(x.started) / defaultObjectivePart
}

// defaultObjectivePart is the part of a request's time, as a divisor, that counts
// as its objective where the operator states none.
const defaultObjectivePart = 4

// priority returns the rank of a request: the account's, or else the route's.
func (x *call) priority() int {
	if x.account.HasPriority {
		return x.account.Priority
	}
	return x.route.Priority
}

// sendOnce sends the request to the target of a decision, and tells the
// scheduler how that ended.
func (g *Gateway) sendOnce(x *call, decision dispatch.Decision) error {
	sequence := decision.Request.Sequence
	if err := g.recheck(x); err != nil {
		g.scheduler.end(sequence, dispatch.Abandoned)
		return err
	}
	x.tried[decision.Target] = true
	sent := time.Now()
	outcome, err := g.send(x, decision)
	g.scheduler.end(sequence, outcome)
	g.moves.note(x.service, decision.Request.Versions, outcome, time.Since(sent))
	if outcome == dispatch.Unreachable && errors.Is(err, errNotSent) {
		delete(x.tried, decision.Target)
	}
	return err
}

// recheck admits a request again that waited while the configuration changed or
// the process stood still.
func (g *Gateway) recheck(x *call) error {
	if callerLeft(x.r.Context()) {
		return errkind.New(errkind.Canceled, "the caller left while the request waited")
	}
	if x.relay.begun {
		return nil
	}
	if err := x.ctx.Err(); err != nil {
		return g.gaveUp(x, "waiting for a target")
	}
	if err := g.current(); err != nil {
		return err
	}
	if config := g.knowledge.View().Config; config != nil && config.Version != x.config {
		before := x.service
		if err := g.admit(x); err != nil {
			return err
		}
		if x.service != before {
			return errkind.New(errkind.NoTarget, "the route led elsewhere while the request waited")
		}
	}
	if x.attempt.APIKey != "" && !x.route.Public {
		return g.fresh()
	}
	return nil
}

// errNotSent means that nothing of a request reached its target.
var errNotSent = errors.New("nothing was sent")

// mayRetry reports whether a request that failed with err is sent again.
func (g *Gateway) mayRetry(x *call, err error) bool {
	if x.ctx.Err() != nil || time.Until(x.deadline) < leastLeft {
		return false
	}
	var failure *sendError
	if !errors.As(err, &failure) || x.relay.closed {
		return false
	}
	if len(x.tried) >= x.route.MaxAttempts {
		return false
	}
	if !failure.notRun && !x.repeatable() {
		return false
	}
	if x.relay.begun && !x.route.Resumable {
		return false
	}
	return failure.notSent || g.retries.take(x.service)
}

// repeatable reports whether the request may run more than once.
func (x *call) repeatable() bool { return x.route.Execution == catalog.Repeatable || x.route.Resumable }

// leastLeft is the time below which another target can't be expected to answer.
const leastLeft = 50 * time.Millisecond

// gaveUp returns the error of a request whose context has ended.
func (g *Gateway) gaveUp(x *call, during string) error {
	if x.r.Context().Err() != nil {
		return errkind.New(errkind.Canceled, "the caller left while %s", during)
	}
	if x.mayHaveRun {
		return errkind.Wrap(errkind.RunTimeout, context.DeadlineExceeded, "the deadline passed while %s", during)
	}
	return errkind.New(errkind.WaitTimeout, "the deadline passed while %s", during)
}
