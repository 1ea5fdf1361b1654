package gateway

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

func TestLoadIsShedUnderTimerLagAndAcceptedAfterRecovery(t *testing.T) {
	is := is.New(t)
	o := newLoadShedder(0, metrics.NewRegistry(), logr.Discard())
	now := o.started
	is.True(!o.shouldShed())
	is.True(o.ready())
	for range 20 {
		now = now.Add(lagProbeInterval)
		o.update(200*time.Millisecond, now)
	}
	is.Equal(o.shedPermille.Load(), int64(maxShedPermille)) // some requests are still accepted
	is.True(!o.ready())
	refused := 0
	for range 1000 {
		if o.shouldShed() {
			refused++
		}
	}
	is.True(refused > 850 && refused < 1000)
	o.update(30*time.Millisecond, now) // no change between the thresholds
	is.Equal(o.shedPermille.Load(), int64(maxShedPermille))
	for range 50 {
		now = now.Add(lagProbeInterval)
		o.update(time.Millisecond, now)
	}
	is.True(!o.shouldShed())
}

// Requests that waited in the listen queue until their callers disconnected do
// not show in the timer lag.
func TestUnreadDisconnectsCountAsOverload(t *testing.T) {
	is := is.New(t)
	o := newLoadShedder(0, metrics.NewRegistry(), logr.Discard())
	now := o.started
	for range 10 {
		o.unreadDisconnects.Add(unreadDisconnectLimit)
		now = now.Add(lagProbeInterval)
		o.update(time.Millisecond, now)
	}
	is.True(o.shedPermille.Load() >= notReadyShedPermille)
	is.True(!o.ready())
}

func TestReturningLoadExtendsNotReadyPeriod(t *testing.T) {
	is := is.New(t)
	o := newLoadShedder(0, metrics.NewRegistry(), logr.Discard())
	now, lastPeriod := time.Duration(0), time.Duration(0)
	for range 4 {
		now += time.Second
		o.markNotReady(now)
		period := time.Duration(o.notReadyUntil.Load()) - now
		is.True(period >= lastPeriod && period <= maxNotReady)
		lastPeriod, now = period, time.Duration(o.notReadyUntil.Load())
	}
	is.Equal(lastPeriod, maxNotReady)
	now += time.Minute
	o.markNotReady(now)
	is.Equal(time.Duration(o.notReadyUntil.Load())-now, minNotReady)
}
