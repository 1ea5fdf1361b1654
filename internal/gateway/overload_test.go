package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/dispatch"
)

func noLag() time.Duration { return 0 }

func TestLoadIsShedUnderTimerLagAndAcceptedAfterRecovery(t *testing.T) {
	is := is.New(t)
	o := newLoadShedder(0, noLag, metrics.NewRegistry(), logr.Discard())
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
	o.update(15*time.Millisecond, now) // no change between the thresholds
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
	o := newLoadShedder(0, noLag, metrics.NewRegistry(), logr.Discard())
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
	o := newLoadShedder(0, noLag, metrics.NewRegistry(), logr.Discard())
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

// Guards against a host that serves nobody in time and stays in rotation, since its
// timers fire in time while decisions on queued requests come late.
func TestLateDecisionsCountAsOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(dispatch.Config{MaxQueued: 20})
		o := newLoadShedder(0, s.decisionLag, metrics.NewRegistry(), logr.Discard())
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go o.run(ctx)
		for range 20 {
			// Without a target, a request waits for one.
			now, sequence := time.Now(), s.dispatcher.NextSequence()
			s.waiting[sequence] = make(chan dispatch.Decision, 1)
			s.dispatcher.Enqueue(&dispatch.Request{Sequence: sequence, Arrived: now, Deadline: now.Add(time.Minute)}, now)
			_, more := s.decideQueued()
			is.True(more)
			time.Sleep(200 * time.Millisecond) // the process has no processor time for decisions
		}
		is.True(o.shedPermille.Load() >= notReadyShedPermille)
		is.True(!o.ready())
	})
}
