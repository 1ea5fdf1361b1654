package metering

import (
	"maps"
	"sync"
)

// Report is the counts of one process in one window.
type Report struct {
	// Sender and Incarnation identify the process.
	Sender, Incarnation uint32
	Window              int64
	// Closed is set if the window has ended at the sender.
	Closed bool
	// Accounts is the number of accounts of the window. Counts may hold a part of them, by the
	// hash of their names.
	Accounts int
	Counts   map[uint32]int64
}

// source is a process that sends reports.
type source struct{ sender, incarnation uint32 }

// sourceCounts is what a source reported of a window.
type sourceCounts struct {
	counts   map[uint32]int64
	closed   bool
	accounts int
}

// complete reports whether the counts are final and all there.
func (s *sourceCounts) complete() bool { return s.closed && len(s.counts) >= s.accounts }

// Collector gathers the reports of all processes. Counts of a source only grow, so that
// reports may be lost, repeated or arrive in any order. It is safe for concurrent use.
type Collector struct {
	mu      sync.Mutex
	windows map[int64]map[source]*sourceCounts
	newest  int64
}

// NewCollector returns a collector without reports.
func NewCollector() *Collector {
	return &Collector{windows: make(map[int64]map[source]*sourceCounts)}
}

// Merge adds a report.
func (c *Collector) Merge(r Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Window <= c.newest-maxWindows || c.newest > 0 && r.Window > c.newest+maxWindows {
		return // the sender's clock is wrong, or the report is of no use any more
	}
	c.newest = max(c.newest, r.Window)
	maps.DeleteFunc(c.windows, func(w int64, _ map[source]*sourceCounts) bool { return w <= c.newest-maxWindows })
	sources := c.windows[r.Window]
	if sources == nil {
		sources = make(map[source]*sourceCounts)
		c.windows[r.Window] = sources
	}
	key := source{r.Sender, r.Incarnation}
	s := sources[key]
	if s == nil {
		s = &sourceCounts{counts: make(map[uint32]int64)}
		sources[key] = s
	}
	for account, n := range r.Counts {
		s.counts[account] = max(s.counts[account], n)
	}
	s.accounts = max(s.accounts, r.Accounts)
	s.closed = s.closed || r.Closed
}

// Sum returns the counts of a window by the hash of the account's name.
func (c *Collector) Sum(window int64) map[uint32]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := make(map[uint32]int64)
	for _, s := range c.windows[window] {
		for account, n := range s.counts {
			sum[account] += n
		}
	}
	return sum
}

// Missing returns the senders that have not told all their counts of a window. A sender that
// was restarted has told them if its latest incarnation did.
func (c *Collector) Missing(window int64, senders []uint32) []uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	complete := make(map[uint32]bool)
	for key, s := range c.windows[window] {
		if s.complete() {
			complete[key.sender] = true
		}
	}
	var missing []uint32
	for _, sender := range senders {
		if !complete[sender] {
			missing = append(missing, sender)
		}
	}
	return missing
}
