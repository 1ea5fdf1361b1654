// Package clock implements a hybrid logical clock. Its timestamps follow the wall
// clock and still order every message after its cause.
package clock

import (
	"sync"
	"time"
)

// counterBits is the number of low bits of a Stamp that hold the counter.
const counterBits = 16

// Stamp is a hybrid logical timestamp. The high 48 bits are milliseconds since
// the Unix epoch, the low 16 bits are a counter.
type Stamp uint64

// Time returns the wall-clock time of the stamp with millisecond precision.
func (s Stamp) Time() time.Time {
	return time.UnixMilli(int64(s >> counterBits))
}

// Clock issues strictly increasing stamps. The zero value is ready for use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp greater than every stamp issued or observed before.
func (c *Clock) Now() Stamp {
	return c.Observe(0)
}

// Observe merges a stamp from another process into the clock. It returns a stamp
// greater than both the remote stamp and every earlier one of this clock.
func (c *Clock) Observe(remote Stamp) Stamp {
	wall := Stamp(time.Now().UnixMilli()) << counterBits
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, remote+1, wall)
	return c.last
}
