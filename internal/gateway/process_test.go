package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A shutdown waits for requests in progress even if the process is short of
// processor time and polls late.
func TestShutdownWaitsForRequestsEvenIfPollsAreLate(t *testing.T) {
	for _, lag := range []time.Duration{0, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			remaining := 5
			waitUntilIdle(func() bool {
				time.Sleep(drainPollInterval + lag)
				remaining--
				return true
			}, func() int64 { return int64(max(0, remaining)) })
			is.True(remaining <= -idlePolls+1) // ten consecutive polls found none in progress
		})
	}
}

func TestShutdownWaitEndsAtDeadline(t *testing.T) {
	is := is.New(t)
	polls := 0
	waitUntilIdle(func() bool { polls++; return polls < 7 }, func() int64 { return 1 })
	is.Equal(polls, 7)
}
