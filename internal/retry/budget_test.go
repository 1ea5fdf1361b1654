package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Checks that, for any order of requests and failures, the retries stay within the
// ratio of the requests plus the minimum rate and the initial balance.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		start := now
		b := NewBudget(now)
		requests, retries := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request(now)
				requests++
			} else if b.Take(now, 0) {
				retries++
			}
		}
		allowed := Ratio*float64(requests) + MinPerSecond*(now.Sub(start).Seconds()+1)
		if float64(retries) > allowed+1e-6 {
			t.Fatalf("got %d retries, want at most %.2f", retries, allowed)
		}
	})
}

func TestRetriesPerRequestAreLimited(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := NewBudget(now)
	for range 100 {
		b.Request(now)
	}
	is.True(b.Take(now, 0))
	is.True(b.Take(now, MaxPerRequest-1))
	is.True(!b.Take(now, MaxPerRequest))
}

func TestBackoffDoublesUpToItsMaximum(t *testing.T) {
	is := is.New(t)
	is.Equal(Backoff(0), minBackoff)
	is.Equal(Backoff(1), 2*minBackoff)
	is.Equal(Backoff(1000), maxBackoff)
}
