package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// overloadedDispatcher returns a dispatcher with full targets and a long queue.
func overloadedDispatcher(targets, waiting int, now time.Time) *Dispatcher {
	d := testDispatcher("edge-0", testView(targets, 4))
	for i := range targets * 3 {
		d.Enqueue(promptRequest(d, "flood", uint64(i%targets), 6000, 500, now), now)
	}
	d.Decide(now)
	d.queue = nil
	for i := range waiting {
		d.Enqueue(promptRequest(d, fmt.Sprintf("a-%d", i%9), uint64(i%targets), 6000, 500, now), now)
	}
	return d
}

// BenchmarkDecide measures one Decide that leaves all requests in the queue.
func BenchmarkDecide(b *testing.B) {
	now := time.Unix(1000, 0)
	d := overloadedDispatcher(21, maxConsidered, now)
	b.ReportAllocs()
	for b.Loop() {
		d.Decide(now)
	}
	if d.Queued() < maxConsidered/2 {
		b.Fatalf("only %d requests stayed in the queue", d.Queued())
	}
}
