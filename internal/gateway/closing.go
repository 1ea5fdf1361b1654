package gateway

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/dispatch"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

// errTargetClosed means that a target wants no requests from this gateway for a time.
var errTargetClosed = errors.New("the target wants no requests for a time")

// observeClosing records that a target wants no requests for a time, as it stated in a
// response to a request that was sent to a process.
func (g *Gateway) observeClosing(p targetProcess, head ResponseHead, sentAt time.Time) {
	if head.ClosedFor <= 0 {
		return
	}
	// Another target may have the address by now.
	id := cmp.Or(head.TargetID, p.id)
	closed := g.scheduler.closeTarget(dispatch.Closing{
		Target: id, Addr: p.addr, StartedUnixMilli: p.startedUnixMilli, SentAt: sentAt, For: head.ClosedFor,
	})
	if !closed {
		return
	}
	g.requestMetrics.closings.Inc(1)
	g.log.Info("target closed", "target", id, "closed_ms", head.ClosedFor.Milliseconds())
}

// logReopened logs which targets are open again.
func (g *Gateway) logReopened() {
	for _, id := range g.scheduler.takeReopened() {
		g.requestMetrics.reopenings.Inc(1)
		g.log.Info("target open again", "target", id)
	}
}

// waitWhileClosed waits until a target wants requests again, so that it can be asked
// whether it is alive. It fails at once if that comes too late for the request.
func (g *Gateway) waitWhileClosed(x *call, target string) error {
	for {
		closed := g.scheduler.closedFor(target)
		switch {
		case closed == 0:
			return nil
		case closed > time.Until(x.deadline)-minRetryTime:
			return fmt.Errorf("%w: %w", errCutByCrash, errTargetClosed)
		case !wait.For(x.ctx, closed):
			return x.ctx.Err()
		}
	}
}
