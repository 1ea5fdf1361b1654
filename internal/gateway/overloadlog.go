package gateway

import (
	"context"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/zinniaquay/zinniaquay/internal/dispatch"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

const (
	// overloadLogInterval is the interval between log lines on overload.
	overloadLogInterval = time.Second
	// maxLoggedAccounts bounds the accounts that are logged per interval.
	maxLoggedAccounts = 3
)

// turnedAway counts what a process turned away without reading it.
type turnedAway struct{ shed, disconnected, closed, evictedConns, evictedBodies int64 }

// logOverload logs what the process turned away without reading it, what it does while it
// takes no new connections, and which accounts receive much less than they request.
func (p *Process) logOverload(ctx context.Context) {
	shedder, conns, counts := p.gateway.shedder, p.gateway.connLimit, p.gateway.requestMetrics
	var before turnedAway
	var requestsBefore, keptBefore int64
	processorBefore := processorTime(p.log)
	for wait.For(ctx, overloadLogInterval) {
		now := turnedAway{shedder.shed.Count(), shedder.disconnected.Count(), conns.closedUnread.Count(), conns.Evicted(), p.gateway.bodies.Evicted()}
		requests, kept, processor := counts.requests.Count(), counts.kept.Count(), processorTime(p.log)
		open, ready := conns.Open(), shedder.ready()
		if now != before || !ready {
			p.log.Info("requests turned away unread", "shed", now.shed-before.shed, "disconnected", now.disconnected-before.disconnected,
				"connections_closed", now.closed-before.closed, "connections_open", open, "connections_max", conns.Max(),
				"connections_evicted", now.evictedConns-before.evictedConns, "bodies_evicted", now.evictedBodies-before.evictedBodies,
				"lag_ms", shedder.lagGauge.Value(), "ready", ready, "requests", requests-requestsBefore,
				"on_kept_connections", kept-keptBefore, "processor_ms", (processor - processorBefore).Milliseconds())
		}
		before, requestsBefore, keptBefore, processorBefore = now, requests, kept, processor
		p.logUnderserved()
	}
}

// processorTime returns the processor time that the process has used; 0 if the system doesn't
// tell.
func processorTime(log logr.Logger) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		log.V(1).Info("processor time is unknown", "cause", err.Error())
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (p *Process) logUnderserved() {
	underserved := p.gateway.scheduler.underserved(maxLoggedAccounts)
	if len(underserved) == 0 {
		return
	}
	names := p.accountNames()
	for _, a := range underserved {
		p.log.Info("account underserved", telemetry.KeyAccount, names[a.Account], "requested", int64(a.Requested),
			"received", int64(a.Received), "share", int64(a.Share), "over_share", a.Ratio, "competing_ratio", a.CompetingRatio,
			"requested_here", int64(a.OwnRequested), "received_here", int64(a.OwnReceived), "received_at_peers", int64(a.PeersReceived), "peers", a.Peers, "max_age_ms", a.MaxAge.Milliseconds())
	}
}

// accountNames returns the names of the configured accounts by their hashes in
// reports.
func (p *Process) accountNames() map[uint32]string {
	names := make(map[uint32]string)
	if config := p.directory.View().Config; config != nil {
		for _, account := range config.Accounts {
			names[dispatch.AccountHash(account.Name)] = account.Name
		}
	}
	return names
}
