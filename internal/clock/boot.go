package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the host started, including the time during
// which it was suspended. Go's monotonic clock does not advance while the host is
// suspended.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it ages can't be measured reliably.
		panic(fmt.Sprintf("clock: read CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(ts.Nano())
}
