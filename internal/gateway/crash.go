package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"

	"github.com/zinniaquay/zinniaquay/internal/dispatch"
	"github.com/zinniaquay/zinniaquay/internal/quarantine"
)

// maxLoggedParts bounds the prompt parts in the log line on a crash.
const maxLoggedParts = 16

// logVerdict logs that a prompt part was held, quarantined or released.
func (g *Gateway) logVerdict(v quarantine.Verdict) {
	msg := "prompt part released"
	switch {
	case v.Quarantined:
		msg = "prompt part quarantined"
		g.requestMetrics.quarantined.Inc(1)
	case v.Held:
		msg = "prompt part held"
		g.requestMetrics.held.Inc(1)
	}
	g.log.Info(msg, "part", fmt.Sprintf("%x", v.Part), "crashes", v.Crashes, "since_first_ms", v.SinceFirst.Milliseconds(),
		"trials_failed", v.TrialsFailed, "proven", v.Proven)
}

// connectionLost reports whether a request failed because its target ended the
// connection, as a process does that crashes.
func connectionLost(err error) bool {
	var failure *sendError
	if !errors.As(err, &failure) || failure.notSent {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}

// checkForCrash finds out whether a target that ended a connection has crashed: then
// nothing listens at its address. A target that only broke off one response still
// accepts connections, and one in a network partition or without power doesn't refuse
// them.
func (g *Gateway) checkForCrash(ctx context.Context, d dispatch.Decision) {
	if !g.scheduler.mayHaveCrashed(d.Target) || !g.pool.Refuses(ctx, d.Addr) {
		return
	}
	crash, recorded := g.scheduler.targetCrashed(d.Target)
	if !recorded {
		return
	}
	g.requestMetrics.crashes.Inc(1)
	parts := make([]string, 0, min(len(crash.Parts), maxLoggedParts))
	for _, part := range crash.Parts[:cap(parts)] {
		parts = append(parts, fmt.Sprintf("%x", part))
	}
	g.log.Info("target crashed", "target", d.Target, "suspect_requests", crash.Suspects, "suspect_parts", len(crash.Parts),
		"parts", parts)
}
