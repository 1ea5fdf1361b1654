package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Checks that the memoized cache lookups of queued requests equal direct
// lookups after any sequence of sends, ends and target changes.
func TestMemoizedPrefixLookupsMatchTheCache(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		targets := 5
		d := testDispatcher("edge-0", testView(targets, 2))
		var sent []uint64
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				shared := rapid.Uint64Range(1, 8).Draw(t, "shared")
				d.Enqueue(promptRequest(d, fmt.Sprint("a-", shared%3), shared, rapid.IntRange(100, 90_000).Draw(t, "tokens"), 500, now), now)
			},
			"decide": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
				for _, decision := range d.Decide(now) {
					if decision.Action == Send {
						sent = append(sent, decision.Request.Sequence)
					}
				}
			},
			"end": func(t *rapid.T) {
				if len(sent) > 0 {
					d.ResponseStarted(sent[0], now)
					d.End(sent[0], Answered, now)
					sent = sent[1:]
				}
			},
			"targets": func(t *rapid.T) {
				targets = rapid.IntRange(1, 7).Draw(t, "targets")
				d.SetView(testView(targets, 2))
			},
			"": func(t *rapid.T) {
				for _, r := range d.queue {
					for _, target := range d.services[r.Service] {
						if got, want := r.cachedTokensAt(target), min(target.cache.cachedTokens(r.Parts), r.TokensIn); got != want {
							t.Fatalf("request %d: memoized %d cached tokens at %s, the cache has %d", r.Sequence, got, target.ID, want)
						}
					}
				}
			},
		})
	})
}
