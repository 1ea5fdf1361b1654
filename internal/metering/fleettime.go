package metering

import (
	"slices"
	"sync"
	"time"
)

const (
	// offsetMemory is how long the time of day of a peer is remembered. In the largest fleet
	// each peer tells it about three times in that time.
	offsetMemory = 30 * time.Second
	// offsetRefresh is the time after which a peer's offset is replaced also by a smaller one:
	// a report that was received late makes its sender's clock look slow.
	offsetRefresh = 5 * time.Second
	// minClocks is the number of clocks from which on one that is wrong is outvoted.
	minClocks = 3
)

// FleetTime is the time of day by the median of the fleet's clocks. Single clocks may be
// wrong by seconds. It is safe for concurrent use.
type FleetTime struct {
	mu      sync.Mutex
	offsets map[uint32]offset
	median  time.Duration
}

// offset is by how much a peer's clock is ahead of the process's own.
type offset struct {
	ahead time.Duration
	at    time.Time
}

// NewFleetTime returns the time by the process's own clock until peers are heard.
func NewFleetTime() *FleetTime { return &FleetTime{offsets: make(map[uint32]offset)} }

// Observe records the time of day at a peer as received at now.
func (f *FleetTime) Observe(peer uint32, wall, now time.Time) {
	// Round strips the monotonic reading, which does not follow steps of the clock.
	ahead := wall.Sub(now.Round(0))
	f.mu.Lock()
	defer f.mu.Unlock()
	if old, ok := f.offsets[peer]; ok && ahead < old.ahead && now.Sub(old.at) < offsetRefresh {
		return
	}
	f.offsets[peer] = offset{ahead, now}
	sorted := []time.Duration{0} // the own clock
	for peer, o := range f.offsets {
		if now.Sub(o.at) > offsetMemory {
			delete(f.offsets, peer)
			continue
		}
		sorted = append(sorted, o.ahead)
	}
	f.median = 0
	if len(sorted) >= minClocks {
		slices.Sort(sorted)
		f.median = sorted[len(sorted)/2]
	}
}

// At returns the fleet's time at a time of the process's own clock.
func (f *FleetTime) At(t time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return t.Round(0).Add(f.median)
}
