package gateway

// leavingGraceDivisor divides the time after which a leaving target gets no requests. In
// the first part targets that say that they are leaving get requests for which there is no
// other; the rest is a margin.
const leavingGraceDivisor = 2

// observeLeaving records what a response says of the leaving of the target that was asked.
// A response may name another target at the address, on which nothing is learned.
func (g *Gateway) observeLeaving(asked targetProcess, head ResponseHead) {
	if !head.Leaving || head.TargetID != "" && head.TargetID != asked.id || !g.scheduler.observeLeaving(asked) {
		return
	}
	g.requestMetrics.leaving.Inc(1)
	g.log.Info("target says that it is leaving", "target", asked.id, "addr", asked.addr, "started", asked.startedUnixMilli)
}
