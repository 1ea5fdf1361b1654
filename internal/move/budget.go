package move

import "time"

// The holder of a move hears from all targets of both versions, and must stay
// within its process's budget for control. Reporters therefore report the more
// rarely, the more of them there are:
//
//	bytes a second at the holder <= (CallBytes + CellBytes) / intervalPerReporter
//
// which is 3.1 KB/s of the 4 KB/s of a process, whatever the number of
// reporters. Only reports of new failures come at UrgentInterval at once.
const (
	// CellBytes bounds the cells of one report.
	CellBytes = 96
	// CallBytes is what one report costs besides its cells, headers included.
	CallBytes = 200
	// UrgentInterval is the least time between two reports of one reporter.
	UrgentInterval = 500 * time.Millisecond
	// intervalPerReporter is the time that each reporter adds to the interval.
	intervalPerReporter = 96 * time.Millisecond
)

// ReportInterval returns the time between two reports of one reporter that has
// no new failures, given the number of targets of both versions.
func ReportInterval(reporters int) time.Duration {
	return max(UrgentInterval, time.Duration(reporters)*intervalPerReporter)
}

// Urgent reports whether there are failures that the present holder has not
// acknowledged.
func (t *Tally) Urgent() bool {
	for _, c := range t.cells {
		if c.counts.Failed > c.acked.Failed {
			return true
		}
	}
	return false
}
