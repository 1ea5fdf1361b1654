package metering

import (
	"maps"
	"sync"
	"time"
)

// maxWindows bounds the windows for which counts are kept.
const maxWindows = 16

// Counter counts the requests that begin to run through one process. It is safe for
// concurrent use.
type Counter struct {
	windows windows

	mu     sync.Mutex
	counts map[int64]map[string]int64
	// first is the window in which the process started.
	first int64
}

// NewCounter returns a counter of a process that starts now.
func NewCounter(length time.Duration, now time.Time) *Counter {
	w := windows{length}
	return &Counter{windows: w, counts: make(map[int64]map[string]int64), first: w.at(now)}
}

// Record counts a request of an account that began to run.
func (c *Counter) Record(account string, at time.Time) {
	window := c.windows.at(at)
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts[window]
	if counts == nil {
		counts = make(map[string]int64)
		c.counts[window] = counts
		maps.DeleteFunc(c.counts, func(old int64, _ map[string]int64) bool {
			return old <= window-maxWindows || old > window+maxWindows
		})
	}
	counts[account]++
}

// Snapshot returns the counts of a window so far.
func (c *Counter) Snapshot(window int64) map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts[window])
}

// open returns the windows from the start of the process whose counts may still be asked for
// within delay of their end.
func (c *Counter) open(now time.Time, delay time.Duration) []int64 {
	current := c.windows.at(now)
	first := max(c.first, c.windows.at(now.Add(-delay))-1, current-maxWindows+1)
	var open []int64
	for w := first; w <= current; w++ {
		open = append(open, w)
	}
	return open
}
