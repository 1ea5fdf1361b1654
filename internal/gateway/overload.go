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

// overload tells whether the process gets too little processor time for what
// callers ask: a timer that fires late means that requests wait for a turn too.
// It answers loads that the platform spreads without regard to the size of
// hosts. So do requests whose callers have left before they are read: these
// waited in the queue of new connections, which no timer sees. Part of the
// requests is then refused before anything is done for them.
type overload struct {
	log logr.Logger
	lag metrics.Gauge
	// part is the part of the requests that is refused, in thousandths.
	part atomic.Int64
	// until is when the process takes connections again, Unix ns by the
	// monotonic clock of started.
	until   atomic.Int64
	started time.Time
	// dead counts requests whose callers had left before they were read, since the
	// last measurement.
	dead atomic.Int64
	// away is how long the process takes no connections this time; only run uses
	// it.
	away time.Duration
	// most is the smoothed lag from which requests are refused.
	most time.Duration
}

const (
	// probeEvery is the pause between two measurements of the lag.
	probeEvery = 50 * time.Millisecond
	// lagMemory is the part of the smoothed lag that a measurement replaces.
	lagMemory = 0.3
	// DefaultMaxTimerLag is the smoothed lag from which requests are refused, a tenth
	// of the shortest objectives; below a part of it they are taken again.
	DefaultMaxTimerLag = 40 * time.Millisecond
	calmPart           = 0.4
	// mostDead is the number of requests between two measurements whose callers
	// had left before they were read, from which requests are refused.
	mostDead = 3
	// partUp and partDown are the steps of the part refused, in thousandths.
	partUp, partDown = 80, 25
	// mostPart leaves some requests, so that the lag shows when load falls.
	mostPart = 950
	// notReadyPart is the part refused from which the process takes no new
	// connections, and notReadyFor how long after that.
	notReadyPart = 200
	notReadyFor  = 4 * time.Second
	// returnsWithin is the time within which a load that returns makes that time
	// twice as long, up to mostNotReady.
	returnsWithin = 5 * time.Second
	mostNotReady  = 16 * time.Second
)

func newOverload(most time.Duration, registry metrics.Registry, log logr.Logger) *overload {
	if most == 0 {
		most = DefaultMaxTimerLag
	}
	return &overload{
		most: most, log: log, lag: metrics.GetOrRegisterGauge(telemetry.Name("timer_lag_milliseconds"), registry), started: time.Now(),
	}
}

// run measures the lag until the context ends.
func (o *overload) run(ctx context.Context) {
	ticker := time.NewTicker(probeEvery)
	defer ticker.Stop()
	last, smooth := time.Now(), 0.0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		smooth += lagMemory * (float64(max(0, now.Sub(last)-probeEvery)) - smooth)
		last = now
		o.lag.Update(time.Duration(smooth).Milliseconds())
		o.step(time.Duration(smooth), now)
	}
}

// step changes the part that is refused by the smoothed lag.
func (o *overload) step(lag time.Duration, now time.Time) {
	before := o.part.Load()
	part := before
	switch {
	case lag > o.most, o.dead.Swap(0) >= mostDead:
		part = min(mostPart, part+partUp)
	case lag < time.Duration(calmPart*float64(o.most)):
		part = max(0, part-partDown)
	}
	o.part.Store(part)
	if part >= notReadyPart {
		o.withdraw(now.Sub(o.started))
	}
	if (before == 0) != (part == 0) {
		o.log.Info("processor short", "short", part > 0, "lag_ms", lag.Milliseconds())
	}
}

// withdraw makes the process take no new connections for a while: longer each
// time that the load returns as soon as it takes some again, since the platform
// leads the same callers back.
func (o *overload) withdraw(now time.Duration) {
	until := time.Duration(o.until.Load())
	switch {
	case now < until:
	case until > 0 && now-until < returnsWithin:
		o.away = min(2*o.away, mostNotReady)
	default:
		o.away = notReadyFor
	}
	o.until.Store(int64(max(until, now+o.away)))
}

// refuses reports whether the next request is refused.
func (o *overload) refuses() bool {
	part := o.part.Load()
	return part > 0 && rand.Int64N(1000) < part
}

// ready reports whether the process takes new connections.
func (o *overload) ready() bool { return int64(time.Since(o.started)) >= o.until.Load() }
