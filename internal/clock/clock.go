// Package clock is a hybrid logical clock: stamps that follow the time of day
// and still order every message after its cause.
package clock

import (
	"sync"
	"time"
)

// counterBits is the width of the counter below the milliseconds.
const counterBits = 16

// Stamp is a point in hybrid logical time: 48 bits of milliseconds since 1970
// above 16 bits of counter.
type Stamp uint64

// Time returns the time of day of the stamp, to the millisecond.
func (s Stamp) Time() time.Time {
	return time.UnixMilli(int64(s >> counterBits))
}

// Clock hands out rising stamps. The zero value is ready for use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp above every stamp handed out or observed before.
func (c *Clock) Now() Stamp {
	return c.Observe(0)
}

// Observe notes a stamp from another process and returns a stamp above both it
// and every earlier one of this clock.
func (c *Clock) Observe(remote Stamp) Stamp {
	wall := Stamp(time.Now().UnixMilli()) << counterBits
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, remote+1, wall)
	return c.last
}
