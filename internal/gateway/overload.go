package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/telemetry"
)

// loadShedder refuses part of the requests when the process gets too little
// processor time, which happens because the platform distributes load without
// regard to the size of hosts. A timer that fires late means that requests wait
// for the processor too. Requests whose callers disconnected before they were
// read are a second signal: they waited in the listen queue, which does not
// affect timers. Late decisions on queued requests are a third one: timers fire in
// time while other work piles up. Requests are refused before any work is done for
// them. While many are refused, or connections are closed at their limit, the process
// takes no new connections, so that the platform sends callers to other hosts.
type loadShedder struct {
	log      logr.Logger
	lagGauge metrics.Gauge
	// decisionLag returns by how much decisions on queued requests are late.
	decisionLag func() time.Duration
	// shed counts the requests that were refused for lack of processor time, and
	// disconnected those whose callers left before they were read.
	shed, disconnected metrics.Counter
	// shedPermille is the fraction of requests that is refused, in thousandths.
	shedPermille atomic.Int64
	// notReadyUntil is when the process takes connections again, in ns since
	// started on the monotonic clock.
	notReadyUntil atomic.Int64
	started       time.Time
	// unreadDisconnects counts the requests since the last measurement whose
	// callers disconnected before the request was read.
	unreadDisconnects atomic.Int64
	// connsClosedUnread counts the connections since the last measurement that were
	// closed at the limit.
	connsClosedUnread atomic.Int64
	// notReadyFor is the length of the current period in which the process
	// takes no connections. Only the goroutine of run uses it.
	notReadyFor time.Duration
	// maxLag is the smoothed lag above which requests are refused.
	maxLag time.Duration
}

const (
	// lagProbeInterval is the interval between measurements of the lag.
	lagProbeInterval = 50 * time.Millisecond
	// lagSmoothing is the weight of a measurement in the smoothed lag.
	lagSmoothing = 0.3
	// DefaultMaxTimerLag is the smoothed lag above which requests are refused. A
	// request waits for the processor several times on its way, and the shortest
	// latency objectives are 300 ms. Below recoveryLagFraction of the maximum lag, the
	// refused fraction decreases step by step.
	DefaultMaxTimerLag  = 20 * time.Millisecond
	recoveryLagFraction = 0.4
	// unreadDisconnectLimit is the number of unread disconnects between two
	// measurements at or above which requests are refused.
	unreadDisconnectLimit = 3
	// shedStepUpPermille and shedStepDownPermille are the steps by which the
	// refused fraction changes.
	shedStepUpPermille, shedStepDownPermille = 80, 25
	// maxShedSteps bounds the steps up that are taken at once.
	maxShedSteps = 4
	// maxShedPermille lets some requests through, so that the lag shows when
	// the load falls.
	maxShedPermille = 950
	// notReadyShedPermille is the refused fraction at or above which the process
	// takes no new connections. minNotReady is the shortest period without them.
	notReadyShedPermille = 200
	minNotReady          = 4 * time.Second
	// loadReturnWindow is the time after a period without new connections. If
	// the load returns within it, the next period is twice as long, up to
	// maxNotReady.
	loadReturnWindow = 5 * time.Second
	maxNotReady      = 16 * time.Second
)

func newLoadShedder(maxLag time.Duration, decisionLag func() time.Duration, registry metrics.Registry, log logr.Logger) *loadShedder {
	if maxLag == 0 {
		maxLag = DefaultMaxTimerLag
	}
	return &loadShedder{
		maxLag: maxLag, decisionLag: decisionLag, log: log, lagGauge: metrics.GetOrRegisterGauge(telemetry.Name("timer_lag_milliseconds"), registry), started: time.Now(),
		shed:         metrics.GetOrRegisterCounter(telemetry.Name("requests_shed_total"), registry),
		disconnected: metrics.GetOrRegisterCounter(telemetry.Name("unread_disconnects_total"), registry),
	}
}

// run measures the lag until the context ends.
func (o *loadShedder) run(ctx context.Context) {
	ticker := time.NewTicker(lagProbeInterval)
	defer ticker.Stop()
	last, smoothedLag := time.Now(), 0.0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		lag := max(0, now.Sub(last)-lagProbeInterval, o.decisionLag())
		smoothedLag += lagSmoothing * (float64(lag) - smoothedLag)
		last = now
		o.lagGauge.Update(time.Duration(smoothedLag).Milliseconds())
		o.update(time.Duration(smoothedLag), now)
	}
}

// update adjusts the refused fraction to the smoothed lag and the unread
// disconnects, and stops new connections if that is large or some were closed at
// their limit.
func (o *loadShedder) update(lag time.Duration, now time.Time) {
	before := o.shedPermille.Load()
	permille := before
	switch {
	case lag > o.maxLag, o.unreadDisconnects.Swap(0) >= unreadDisconnectLimit:
		// A process that is far behind also measures late, so it takes larger steps.
		steps := min(max(1, int64(lag/o.maxLag)), maxShedSteps)
		permille = min(maxShedPermille, permille+steps*shedStepUpPermille)
	case lag < time.Duration(recoveryLagFraction*float64(o.maxLag)):
		permille = max(0, permille-shedStepDownPermille)
	}
	o.shedPermille.Store(permille)
	if o.connsClosedUnread.Swap(0) > 0 || permille >= notReadyShedPermille {
		o.markNotReady(now.Sub(o.started))
	}
	if (before == 0) != (permille == 0) {
		o.log.Info("processor time shortage changed", "short", permille > 0, "lag_ms", lag.Milliseconds())
	}
}

// connClosedUnread records that a connection was closed at the limit.
func (o *loadShedder) connClosedUnread() { o.connsClosedUnread.Add(1) }

// markNotReady stops the process from taking new connections for a while. The
// period doubles each time that the load returns soon after the process takes
// connections again, since the platform routes the same callers back to it.
func (o *loadShedder) markNotReady(now time.Duration) {
	until := time.Duration(o.notReadyUntil.Load())
	switch {
	case now < until:
	case until > 0 && now-until < loadReturnWindow:
		o.notReadyFor = min(2*o.notReadyFor, maxNotReady)
	default:
		o.notReadyFor = minNotReady
	}
	o.notReadyUntil.Store(int64(max(until, now+o.notReadyFor)))
}

// recordDisconnect records that a caller disconnected before its request was read.
func (o *loadShedder) recordDisconnect() {
	o.unreadDisconnects.Add(1)
	o.disconnected.Inc(1)
}

// countShed counts a request that is shed, and reports whether its account and size are to be
// counted as well.
func (o *loadShedder) countShed() bool {
	o.shed.Inc(1)
	return o.shed.Count()%shedSampling == 0
}

// shouldShed reports whether the next request is to be refused.
func (o *loadShedder) shouldShed() bool {
	permille := o.shedPermille.Load()
	return permille > 0 && rand.Int64N(1000) < permille
}

// ready reports whether the process takes new connections.
func (o *loadShedder) ready() bool { return int64(time.Since(o.started)) >= o.notReadyUntil.Load() }
