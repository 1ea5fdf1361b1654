// Package metering counts the requests that begin to run, by client account and window of the
// time of day, gathers the counts of all processes at the one that holds the fleet's duties, and
// reports each window to the platform once.
package metering

import "time"

// windows divides the time of day since 1970 into windows of equal length.
type windows struct{ length time.Duration }

// at returns the number of the window that contains a time.
func (w windows) at(t time.Time) int64 { return t.UnixMilli() / w.length.Milliseconds() }

// end returns when a window ends.
func (w windows) end(window int64) time.Time {
	return time.UnixMilli((window + 1) * w.length.Milliseconds())
}
