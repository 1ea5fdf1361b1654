package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/julienschmidt/httprouter"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/directory"
	"github.com/zinniaquay/zinniaquay/internal/exchange"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

// Times of a process.
const (
	// forgetEvery is the pause between two looks for peers that fell silent, and
	// for targets that did not come back.
	forgetEvery = 250 * time.Millisecond
	// sweepEvery is the pause between two sweeps of idle connections.
	sweepEvery = time.Second
	// pruneEvery is the pause between two looks for members that are gone, and
	// goneAfter the silence after which one is: longer than any restart.
	pruneEvery = 10 * time.Second
	goneAfter  = time.Minute
	// statusEvery is the pause between two looks at what the operator is to be
	// told.
	statusEvery = 500 * time.Millisecond
	// readHeaderTimeout and idleTimeout bound a caller's connection; the limits
	// that operators configure are below.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// memoryShare is the part of the process's memory, in percent, from which
	// garbage is collected more often.
	memoryShare = 70
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 64 << 10
)

// Process is a gateway with all its duties.
type Process struct {
	settings  Settings
	log       logr.Logger
	registry  metrics.Registry
	directory *directory.Directory
	gateway   *Gateway
	exchange  *exchange.Exchange
	self      catalog.Member
}

// NewProcess puts a process together.
func NewProcess(s Settings, store platform.Store, decoder directory.Decoder, dialect HeaderCodec, registry metrics.Registry,
	log logr.Logger) *Process {
	p := &Process{settings: s, log: log, registry: registry}
	p.self = catalog.Member{Name: s.Name, Zone: s.Zone, Addr: s.PeerAddr}
	p.directory = directory.New(store, decoder, func(v *catalog.View) { p.gateway.SetView(v) }, registry, log)
	p.gateway = New(s, dialect, p.directory, registry, log)
	p.exchange = exchange.New(p.self, p.gateway,
		func() map[string]catalog.Member { return p.directory.View().Members }, registry, log)
	return p
}

// Run serves until the context ends, and then stops in an orderly way.
func (p *Process) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp4", p.settings.CallerAddr)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	ready, err := net.Listen("tcp4", p.settings.ReadyAddr)
	if err != nil {
		return fmt.Errorf("listen for readiness: %w", err)
	}
	shown, err := net.Listen("tcp4", p.settings.MetricsAddr)
	if err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	if err := p.exchange.Listen(); err != nil {
		return err
	}
	debug.SetMemoryLimit(p.settings.MemoryBytes * memoryShare / 100)
	p.log.Info("started", "zone", p.settings.Zone, "callers", p.settings.CallerAddr, "metrics", p.settings.MetricsAddr)

	duties, end := context.WithCancel(context.Background())
	var group conc.WaitGroup
	for _, duty := range []func(context.Context){
		p.directory.Follow, p.directory.Check, p.exchange.Receive, p.exchange.Send, p.gateway.scheduler.run, p.gateway.overload.run,
		p.forget, p.sweep, p.tellOperator, p.prune,
	} {
		group.Go(func() { duty(duties) })
	}
	group.Go(func() { p.directory.Register(duties, p.self) })
	servers := []*http.Server{p.serveReady(ready, &group), p.serveMetrics(shown, &group)}
	caller := p.serveCallers(callers, &group)

	<-ctx.Done()
	p.stop(caller)
	end()
	for _, s := range servers {
		p.closeServer(s)
	}
	group.Wait()
	p.log.Info("stopped")
	return nil
}

// serveCallers serves callers' requests.
func (p *Process) serveCallers(l net.Listener, group *conc.WaitGroup) *http.Server {
	server := &http.Server{
		Handler: p.gateway, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnContext: connContext, ConnState: connState,
		ErrorLog: telemetry.StandardLog(p.log),
	}
	framed := newFramingListener(l, p.settings.MemoryBytes, p.settings.MaxDescriptors, p.registry)
	group.Go(func() { p.serve(server, framed) })
	return server
}

// serveReady answers the platform's question whether the process takes
// connections.
func (p *Process) serveReady(l net.Listener, group *conc.WaitGroup) *http.Server {
	router := httprouter.New()
	router.HandlerFunc(http.MethodGet, p.settings.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !p.gateway.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: router, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: telemetry.StandardLog(p.log)}
	group.Go(func() { p.serve(server, l) })
	return server
}

// serveMetrics shows the process's metrics.
func (p *Process) serveMetrics(l net.Listener, group *conc.WaitGroup) *http.Server {
	router := httprouter.New()
	router.Handler(http.MethodGet, "/metrics", telemetry.Handler(p.registry))
	server := &http.Server{Handler: router, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: telemetry.StandardLog(p.log)}
	group.Go(func() { p.serve(server, l) })
	return server
}

func (p *Process) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		p.log.Error(err, "server ended", "addr", l.Addr().String())
	}
}

func (p *Process) closeServer(s *http.Server) {
	if err := s.Close(); err != nil {
		p.log.Error(err, "server left open")
	}
}

// forget drops what is known of peers that fell silent, and targets that did not
// come back after an outage of the store.
func (p *Process) forget(ctx context.Context) {
	for wait.For(ctx, forgetEvery) {
		p.gateway.scheduler.forget()
		p.directory.Expire()
	}
}

// sweep closes idle connections.
func (p *Process) sweep(ctx context.Context) {
	for wait.For(ctx, sweepEvery) {
		used := make(map[string]bool)
		for _, t := range p.directory.View().Targets {
			used[t.Addr] = true
		}
		p.gateway.pool.Sweep(time.Now(), func(addr string) bool { return used[addr] })
	}
}

// prune removes members that have been silent for long, unless all are: then it
// is this process that is cut off.
func (p *Process) prune(ctx context.Context) {
	for wait.For(ctx, pruneEvery) {
		var silent []catalog.Member
		hears := false
		for name, m := range p.directory.View().Members {
			switch silence := p.exchange.SinceLastReport(name); {
			case name == p.self.Name:
			case silence > goneAfter:
				silent = append(silent, m)
			case silence < pruneEvery:
				hears = true
			}
		}
		for _, m := range silent {
			if hears {
				p.directory.RemoveMember(ctx, m)
			}
		}
	}
}

// tellOperator writes the states of moves. One process writes first; the others
// find its status in their views.
func (p *Process) tellOperator(ctx context.Context) {
	for wait.For(ctx, statusEvery) {
		for _, d := range p.gateway.moves.due(time.Now()) {
			err := p.directory.WriteStatus(ctx, d.service, d.to, d.state, d.over)
			if err != nil && !errors.Is(err, platform.ErrConflict) {
				p.log.Error(err, "operator not told", "service", d.service, "to", d.to)
				continue
			}
			p.log.Info("move status", "service", d.service, "to", d.to, "state", int(d.state), "written", err == nil)
		}
	}
}

// stopping tracks requests in progress and whether the process is to end.
type stopping struct {
	inProgress atomic.Int64
	since      atomic.Int64
	refuses    atomic.Bool
}

func (s *stopping) begin() { s.inProgress.Add(1) }
func (s *stopping) end()   { s.inProgress.Add(-1) }

// start notes that the process is to end.
func (s *stopping) start(now time.Time) { s.since.Store(now.UnixNano()) }

// refuse notes that no new request is taken any more.
func (s *stopping) refuse() { s.refuses.Store(true) }

// closing reports whether the process is to end.
func (s *stopping) closing() bool { return s.since.Load() != 0 }

// Ready reports whether the process takes connections: it knows a
// configuration, can confirm API keys and does not stop.
func (g *Gateway) Ready() bool {
	return !g.stopping.closing() && g.overload.ready() && g.knowledge.View().Config != nil && g.fresh() == nil
}

// Parts of the grace time of a planned stop.
const (
	// takeUntil is the part of the grace time in which requests are still taken:
	// the platform sends connections until it has heard twice that the process
	// is not ready, and a stream that starts later may not end in time.
	takeUntil = 0.3
	// finishUntil is the part in which requests in progress may end.
	finishUntil = 0.95
	// stopPoll is the pause between two looks at the requests in progress, and
	// quietLooks the number of looks in a row that find none before the process
	// ends: requests that were on their way get their refusal. Looks are counted and
	// not time, since a process without processor time looks late.
	stopPoll   = 20 * time.Millisecond
	quietLooks = 10
)

// untilQuiet waits until no request is in progress for some time, or until pause
// reports false.
func untilQuiet(pause func() bool, inProgress func() int64) {
	for quiet := 0; quiet < quietLooks && pause(); quiet++ {
		if inProgress() > 0 {
			quiet = -1
		}
	}
}

// stop ends the service of callers: not ready first, then no new requests, then
// the end of those in progress. Connections stay open to the last, since a
// request may be on its way on any of them.
func (p *Process) stop(server *http.Server) {
	started := time.Now()
	stopping := &p.gateway.stopping
	p.log.Info("stopping", "grace_ms", p.settings.Bounds.GracePeriod.Milliseconds(), "in_progress", stopping.inProgress.Load())
	stopping.start(started)
	grace := float64(p.settings.Bounds.GracePeriod)
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(time.Duration(finishUntil*grace)))
	defer cancel()
	wait.For(ctx, time.Duration(takeUntil*grace))
	stopping.refuse()
	untilQuiet(func() bool { return wait.For(ctx, stopPoll) }, stopping.inProgress.Load)
	if n := stopping.inProgress.Load(); n > 0 {
		p.log.Info("requests cut by the end of the grace time", "in_progress", n)
	}
	p.closeServer(server)
}
