package peer

import "github.com/rcrowley/go-metrics"

// counters are the node's metrics.
type counters struct {
	hintsDropped   metrics.Counter
	fetchedDeltas  metrics.Counter
	fetchedWhole   metrics.Counter
	fetchFailed    metrics.Counter
	exchangeFailed metrics.Counter
	pushes         metrics.Counter
	fullSyncs      metrics.Counter
	platformFailed metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return counters{
		hintsDropped:   counter("peer.hints_dropped"),
		fetchedDeltas:  counter("peer.fetched_deltas"),
		fetchedWhole:   counter("peer.fetched_whole"),
		fetchFailed:    counter("peer.fetch_failed"),
		exchangeFailed: counter("peer.exchange_failed"),
		pushes:         counter("peer.pushes"),
		fullSyncs:      counter("peer.full_syncs"),
		platformFailed: counter("peer.platform_failed"),
	}
}
