package directory

import "time"

const (
	// maxWatchLag is how long a watch may lag behind a check before it counts as
	// stalled.
	maxWatchLag = 300 * time.Millisecond
	// checkRetryInterval is the time after which a failed check is repeated.
	checkRetryInterval = 300 * time.Millisecond
)

// Parts of the time within which a configuration must be in force.
const (
	// checkPercent is the age of the view at which a process checks it against the
	// store. A check, the wait for maxWatchLag and the full read after it fit into the
	// whole time.
	checkPercent = 70
	// watcherPercent is the same for a process that others take changes from. Together with
	// pollPercent it stays below checkPercent, so that those need no checks of their own.
	watcherPercent = 35
	// pollPercent is how long one call to such a process waits for changes.
	pollPercent = 30
	// batchDivisor divides the whole time; the result is the pause between a change and
	// the next watch, in which further changes gather.
	batchDivisor = 16
)

// timing holds the intervals that follow from the time within which a configuration must
// be in force.
type timing struct {
	checkInterval, watcherInterval, pollWait, batchInterval time.Duration
}

func newTiming(maxApplyDelay time.Duration) timing {
	if maxApplyDelay <= 0 {
		maxApplyDelay = defaultMaxApplyDelay
	}
	return timing{
		checkInterval:   maxApplyDelay * checkPercent / 100,
		watcherInterval: maxApplyDelay * watcherPercent / 100,
		pollWait:        maxApplyDelay * pollPercent / 100,
		batchInterval:   maxApplyDelay / batchDivisor,
	}
}
