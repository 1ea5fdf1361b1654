package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/dispatch"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
	"github.com/zinniaquay/zinniaquay/internal/upstream"
)

// ViewSource is what a gateway knows of the deployment.
type ViewSource interface {
	// View returns the present view.
	View() *catalog.View
	// Age returns how old the knowledge is that the view is the newest.
	Age() (time.Duration, bool)
	// StoreDown reports whether the store does not answer.
	StoreDown() bool
}

// Gateway serves callers' requests. It is safe for concurrent use.
type Gateway struct {
	settings  Settings
	dialect   HeaderCodec
	knowledge ViewSource
	scheduler *scheduler
	pool      *upstream.Pool
	retries   *retryBudgets
	moves     *moves
	bodies    *bodyBudget
	stopping  stopping
	overload  *overload
	lines     *rate.Limiter
	log       logr.Logger
	counts    counts
}

// counts are the gateway's metrics.
type counts struct {
	registry  metrics.Registry
	requests  metrics.Counter
	firstByte metrics.Histogram
	queued    metrics.Histogram
	resumed   metrics.Counter
	retried   metrics.Counter
}

// sampleSize and sampleBias are those of go-metrics' exponentially decaying
// samples, which weigh the last minutes most.
const (
	sampleSize = 1028
	sampleBias = 0.015
)

func newCounts(r metrics.Registry) counts {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(telemetry.Name(name), r, metrics.NewExpDecaySample(sampleSize, sampleBias))
	}
	return counts{
		registry:  r,
		requests:  metrics.GetOrRegisterCounter(telemetry.Name("requests_total"), r),
		firstByte: histogram("first_byte_milliseconds"),
		queued:    histogram("queued_milliseconds"),
		resumed:   metrics.GetOrRegisterCounter(telemetry.Name("streams_resumed_total"), r),
		retried:   metrics.GetOrRegisterCounter(telemetry.Name("requests_retried_total"), r),
	}
}

// ended counts a request by how it ended.
func (c *counts) ended(outcome string) {
	metrics.GetOrRegisterCounter(telemetry.Name("requests_ended_total", "outcome", outcome), c.registry).Inc(1)
}

// New returns a gateway.
func New(s Settings, dialect HeaderCodec, knowledge ViewSource, registry metrics.Registry, log logr.Logger) *Gateway {
	return &Gateway{
		settings: s, dialect: dialect, knowledge: knowledge, log: log,
		scheduler: newScheduler(dispatch.Config{
			Self: s.Name, Zone: s.Zone, ShareWindow: s.Bounds.ShareWindow,
			ColdOverage: s.Bounds.ColdOverage, ColdTolerance: s.Bounds.ColdTolerance, MaxQueued: mostQueued,
		}),
		pool:     upstream.NewPool(registry),
		retries:  newRetryBudgets(s.Bounds),
		moves:    newMoves(s.Name, s.Bounds.ExposureFraction),
		bodies:   &bodyBudget{left: s.MemoryBytes / bodyShare},
		overload: newOverload(s.MaxTimerLag, registry, log),
		lines:    rate.NewLimiter(mostRefusalLines, mostRefusalLines),
		counts:   newCounts(registry),
	}
}

// mostRefusalLines is the number of lines a second that tell of refusals; the
// others are counted only.
const mostRefusalLines = 50

// mostQueued is the number of requests that wait in one gateway at most; each
// holds its body and a few kilobytes.
const mostQueued = 2000

// SetView takes over a new view of the deployment.
func (g *Gateway) SetView(view *catalog.View) {
	g.moves.setView(view, time.Now())
	g.scheduler.setView(view)
	g.retries.setMembers(len(view.Members))
}

// call is one caller's request on its way through the stages.
type call struct {
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	attempt Attempt
	body    []byte
	started time.Time
	// deadline is when the caller or the route gives up.
	deadline time.Time

	route   *catalog.Route
	account *catalog.Account
	service string
	config  int64

	// tried holds the targets that the request was sent to.
	tried map[string]bool
	// mayHaveRun says that a target may have run the request.
	mayHaveRun bool
	relay      relay
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.counts.requests.Inc(1)
	x := &call{w: w, r: r, ctx: r.Context(), started: time.Now(), tried: make(map[string]bool)}
	g.stopping.begin()
	defer g.stopping.end()
	if g.stopping.closing() || !g.overload.ready() {
		// The caller comes back by a connection to another process.
		w.Header().Set("Connection", "close")
	}
	err := g.shed(x)
	if err == nil {
		err = g.read(x)
	}
	if err == nil {
		defer g.bodies.give(int64(len(x.body)))
		err = g.admit(x)
	}
	if err == nil {
		var cancel context.CancelFunc
		x.ctx, cancel = context.WithDeadline(r.Context(), x.deadline)
		defer cancel()
		err = g.run(x)
	}
	g.finish(x, err)
}

// shed refuses a request that there is no processor time for.
func (g *Gateway) shed(x *call) error {
	if callerLeft(x.r.Context()) {
		g.overload.dead.Add(1)
		return errkind.New(errkind.Canceled, "the caller left before its request was read")
	}
	if !g.overload.refuses() {
		return nil
	}
	x.attempt.ID = g.dialect.RequestID(x.r.Header)
	return &refusal{errkind.New(errkind.QueueFull, "the process has too much to do"), retryShed}
}

// finish answers a request that failed before its answer had begun, and breaks
// the connection of one whose answer can't be completed.
func (g *Gateway) finish(x *call, err error) {
	if err == nil {
		g.counts.ended("answered")
		g.logEnd(x, nil)
		return
	}
	kind := errkind.Of(err)
	g.counts.ended(string(kind))
	if x.mayHaveRun || g.lines.Allow() {
		g.logEnd(x, err)
	}
	if x.relay.begun {
		panic(http.ErrAbortHandler)
	}
	if kind == errkind.Canceled || x.r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	g.refuse(x, err)
}

// logEnd writes the line that tells how a request ended.
func (g *Gateway) logEnd(x *call, err error) {
	fields := []any{
		telemetry.KeyRequest, x.attempt.ID, "took_ms", time.Since(x.started).Milliseconds(),
		"config", x.config, "tried", len(x.tried), "events", x.relay.events,
		"first_ms", x.relay.first.Milliseconds(), "longest_gap_ms", x.relay.longestGap.Milliseconds(),
	}
	if x.route != nil {
		fields = append(fields, "route", x.route.Name, "objective_ms", x.route.Objective.Milliseconds())
	}
	if x.account != nil {
		fields = append(fields, telemetry.KeyAccount, x.account.Name)
	}
	if err != nil {
		fields = append(fields, "kind", errkind.Of(err), "cause", err.Error())
	}
	g.log.Info("request ended", fields...)
}
