package gateway

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

func TestAProcessWithoutProcessorTimeRefusesAndRecovers(t *testing.T) {
	is := is.New(t)
	o := newOverload(0, metrics.NewRegistry(), logr.Discard())
	now := o.started
	is.True(!o.refuses())
	is.True(o.ready())
	for range 20 {
		now = now.Add(probeEvery)
		o.step(200*time.Millisecond, now)
	}
	is.Equal(o.part.Load(), int64(mostPart)) // never all
	is.True(!o.ready())
	refused := 0
	for range 1000 {
		if o.refuses() {
			refused++
		}
	}
	is.True(refused > 850 && refused < 1000)
	o.step(30*time.Millisecond, now) // between the bounds nothing changes
	is.Equal(o.part.Load(), int64(mostPart))
	for range 50 {
		now = now.Add(probeEvery)
		o.step(time.Millisecond, now)
	}
	is.True(!o.refuses())
}

// Requests that waited in the queue of new connections until their callers left
// show on no timer.
func TestCallersThatLeftBeforeTheyWereReadCountAsOverload(t *testing.T) {
	is := is.New(t)
	o := newOverload(0, metrics.NewRegistry(), logr.Discard())
	now := o.started
	for range 10 {
		o.dead.Add(mostDead)
		now = now.Add(probeEvery)
		o.step(time.Millisecond, now)
	}
	is.True(o.part.Load() >= notReadyPart)
	is.True(!o.ready())
}

func TestALoadThatReturnsKeepsTheProcessAwayForLonger(t *testing.T) {
	is := is.New(t)
	o := newOverload(0, metrics.NewRegistry(), logr.Discard())
	now, last := time.Duration(0), time.Duration(0)
	for range 4 {
		now += time.Second
		o.withdraw(now)
		away := time.Duration(o.until.Load()) - now
		is.True(away >= last && away <= mostNotReady)
		last, now = away, time.Duration(o.until.Load())
	}
	is.Equal(last, mostNotReady)
	now += time.Minute
	o.withdraw(now)
	is.Equal(time.Duration(o.until.Load())-now, notReadyFor)
}
