package move

import (
	"slices"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// The holder of a move hears from all targets of both versions, and must stay
// within its process's budget for control. Targets therefore report the more
// rarely, the more of them there are, each class at most once every
// intervalPerReporter on average: the targets that take the new version's share,
// a panel of old ones to compare with, and all of them. So the holder hears at
// most
//
//	3 * (CallBytes + CellBytes) / intervalPerReporter = 4000 bytes a second
//
// of the 4 KB of a process, whatever the number of targets, and 4.5 reports a
// second from those that matter most.
const (
	// CellBytes bounds the cells of one report.
	CellBytes = 96
	// CallBytes is what one report costs besides its cells, headers included.
	CallBytes = 200
	// leastInterval is the least time between two reports of one reporter.
	leastInterval = 500 * time.Millisecond
	// intervalPerReporter is the time that each reporter adds to the interval.
	intervalPerReporter = 222 * time.Millisecond
	// panelSize is the number of old targets that report as often as new ones.
	panelSize = 8
)

// ReportInterval returns the time between two reports of a target, given what
// is known of the new version (or nil), and whether the target has news.
func (d Declaration) ReportInterval(v *zinniaquayv1.Verdict, f Fleet, target string, news bool) time.Duration {
	reporters := len(f.Old) + len(f.New)
	takers := Subset(d, f.New, d.LevelShare(v))
	panel := firstRanked(d, f.Old, panelSize)
	switch {
	case news && slices.Contains(takers, target):
		reporters = len(takers)
	case news && slices.Contains(panel, target):
		reporters = len(panel)
	}
	return max(leastInterval, time.Duration(reporters)*intervalPerReporter)
}

// longestInterval returns the time between two reports of a target without news.
func (f Fleet) longestInterval() time.Duration {
	return max(leastInterval, time.Duration(len(f.Old)+len(f.New))*intervalPerReporter)
}
