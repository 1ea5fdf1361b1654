package move

import (
	"slices"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// The holder of a move receives reports from all targets of both versions, and
// must stay within its process's budget for control traffic, 4 KB a second. The
// report interval therefore grows with the number of targets. There are three
// classes of reporters: the targets that receive the new version's share, a
// sample of old targets to compare with, and all targets. Each class sends at
// most one report per intervalPerReporter on average. So the holder receives at
// most
//
//	3 * (CallBytes + CellBytes) / intervalPerReporter = 4000 bytes a second
//
// for any number of targets. Each class sends up to 4.5 reports a second, so also
// the targets that matter most: those that receive the new version's share.
const (
	// CellBytes limits the size of the cells of one report.
	CellBytes = 96
	// CallBytes is the size of one report without its cells, headers included.
	CallBytes = 200
	// minReportInterval is the minimum time between two reports of one target.
	minReportInterval = 500 * time.Millisecond
	// intervalPerReporter is the time that each reporter of a class adds to the
	// report interval of that class.
	intervalPerReporter = 222 * time.Millisecond
	// oldSampleSize is the number of old targets in the sample to compare with.
	oldSampleSize = 8
)

// ReportInterval returns the time between two reports of a target, given the
// verdict on the new version, which may be nil, and whether the target has
// unacknowledged counts.
func (d Declaration) ReportInterval(v *zinniaquayv1.Verdict, f Fleet, target string, unacknowledged bool) time.Duration {
	reporters := len(f.Old) + len(f.New)
	newSubset := Subset(d, f.New, d.LevelShare(v))
	oldSample := firstRanked(d, f.Old, oldSampleSize)
	switch {
	case unacknowledged && slices.Contains(newSubset, target):
		reporters = len(newSubset)
	case unacknowledged && slices.Contains(oldSample, target):
		reporters = len(oldSample)
	}
	return max(minReportInterval, time.Duration(reporters)*intervalPerReporter)
}

// maxReportInterval returns the time between two reports of a target without
// unacknowledged counts.
func (f Fleet) maxReportInterval() time.Duration {
	return max(minReportInterval, time.Duration(len(f.Old)+len(f.New))*intervalPerReporter)
}
