package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the host started, time in which it was suspended
// included. Go's own monotonic clock stands still meanwhile.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it no age can be trusted.
		panic(fmt.Sprintf("clock: read CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(ts.Nano())
}
