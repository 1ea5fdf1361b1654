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
	"github.com/zinniaquay/zinniaquay/internal/changefeed"
	"github.com/zinniaquay/zinniaquay/internal/directory"
	"github.com/zinniaquay/zinniaquay/internal/exchange"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

// Intervals and limits of a process.
const (
	// expireInterval is the interval between checks for silent peers, and for
	// targets that did not register again after an outage of the store.
	expireInterval = 250 * time.Millisecond
	// idleSweepInterval is the interval between sweeps of idle connections.
	idleSweepInterval = time.Second
	// memberPruneInterval is the interval between checks for members that no
	// longer run. memberGoneAfter is the time without a report after which a
	// member counts as gone. It is longer than any restart.
	memberPruneInterval = 10 * time.Second
	memberGoneAfter     = time.Minute
	// moveStatusInterval is the interval between checks for move statuses to
	// write for the operator.
	moveStatusInterval = 500 * time.Millisecond
	// readHeaderTimeout and idleTimeout bound a caller's connection; the limits
	// that operators configure are lower.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// memoryLimitPercent is the percentage of the process's memory above which
	// garbage is collected more often.
	memoryLimitPercent = 70
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
)

// Process is a gateway with its background tasks.
type Process struct {
	settings  Settings
	log       logr.Logger
	registry  metrics.Registry
	directory *directory.Directory
	gateway   *Gateway
	exchange  *exchange.Exchange
	self      catalog.Member
	// duties is nil if the platform asks for none.
	duties *dutyTasks
}

// selfOf returns the entry of a process in the fleet.
func selfOf(s Settings) catalog.Member {
	return catalog.Member{Name: s.Name, Zone: s.Zone, Addr: s.PeerAddr}
}

// UseDuties has the process take part in the fleet's singleton duties, if its settings ask for
// them. It is called before Run.
func (p *Process) UseDuties(d Duties) {
	if !p.settings.Duties.enabled() {
		return
	}
	p.duties = newDutyTasks(p.settings, d, p.directory, p.exchange, p.registry, p.log)
	p.gateway.duties = p.duties
}

// NewProcess assembles a process; Run starts it.
func NewProcess(s Settings, store platform.Store, decoder directory.Decoder, codec HeaderCodec, registry metrics.Registry,
	log logr.Logger) *Process {
	p := &Process{settings: s, log: log, registry: registry}
	p.self = selfOf(s)
	p.directory = directory.New(store, decoder, directory.Options{
		Self: p.self, MaxApplyDelay: s.Bounds.MaxApplyDelay,
		Peers:    changefeed.NewClient(func(name string) bool { return p.exchange.Silent(name) }),
		OnChange: func(v *catalog.View) { p.gateway.SetView(v) },
	}, registry, log)
	p.gateway = New(s, codec, p.directory, registry, log)
	p.exchange = exchange.New(p.self, p.gateway,
		func() map[string]catalog.Member { return p.directory.View().Members }, registry, log)
	return p
}

// Run serves until the context ends, then shuts down gracefully.
func (p *Process) Run(ctx context.Context) error {
	callers, err := listenForCallers(ctx, p.gateway, p.settings.CallerAddr)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	readyListener, err := net.Listen("tcp4", p.settings.ReadyAddr)
	if err != nil {
		return fmt.Errorf("listen for readiness: %w", err)
	}
	metricsListener, err := net.Listen("tcp4", p.settings.MetricsAddr)
	if err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	if err := p.exchange.Listen(); err != nil {
		return err
	}
	feedListener, err := net.Listen("tcp4", p.settings.PeerAddr)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	debug.SetMemoryLimit(p.settings.MemoryBytes * memoryLimitPercent / 100)
	p.log.Info("started", "zone", p.settings.Zone, "callers", p.settings.CallerAddr, "metrics", p.settings.MetricsAddr)

	taskCtx, cancelTasks := context.WithCancel(context.Background())
	var group conc.WaitGroup
	for _, task := range []func(context.Context){
		p.directory.Follow, p.directory.Check, p.exchange.Receive, p.exchange.Send, p.gateway.scheduler.run, p.gateway.shedder.run,
		func(ctx context.Context) { p.gateway.bodies.Sweep(ctx, p.gateway.maxBodySilence) },
		p.expireStale, p.sweepIdleConns, p.writeMoveStatuses, p.pruneMembers, p.logOverload,
	} {
		group.Go(func() { task(taskCtx) })
	}
	group.Go(func() { p.directory.Register(taskCtx, p.self) })
	if p.duties != nil {
		group.Go(func() { p.duties.run(taskCtx) })
	}
	auxServers := []*http.Server{p.serveReady(readyListener, &group), p.serveMetrics(metricsListener, &group), p.serveFeed(feedListener, &group)}
	callerServer := p.serveCallers(callers, &group)

	<-ctx.Done()
	p.stop(callerServer)
	cancelTasks()
	for _, s := range auxServers {
		p.closeServer(s)
	}
	group.Wait()
	p.log.Info("stopped")
	return nil
}

// serveCallers starts the server for callers' requests.
func (p *Process) serveCallers(l *callerListener, group *conc.WaitGroup) *http.Server {
	server := &http.Server{
		Handler: p.gateway, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnContext: connContext, ConnState: connState,
		ErrorLog: telemetry.StandardLog(p.log),
	}
	group.Go(func() { p.serve(server, l) })
	return server
}

// serveReady starts the readiness endpoint for the platform.
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

// serveMetrics starts the metrics endpoint.
func (p *Process) serveMetrics(l net.Listener, group *conc.WaitGroup) *http.Server {
	router := httprouter.New()
	router.Handler(http.MethodGet, "/metrics", telemetry.Handler(p.registry))
	server := &http.Server{Handler: router, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: telemetry.StandardLog(p.log)}
	group.Go(func() { p.serve(server, l) })
	return server
}

// serveFeed starts the server for peers that take changes of the store from this process.
func (p *Process) serveFeed(l net.Listener, group *conc.WaitGroup) *http.Server {
	server := changefeed.NewServer(p.self.Name, p.directory)
	server.ErrorLog = telemetry.StandardLog(p.log)
	group.Go(func() { p.serve(server, l) })
	return server
}

func (p *Process) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		p.log.Error(err, "server failed", "addr", l.Addr().String())
	}
}

func (p *Process) closeServer(s *http.Server) {
	if err := s.Close(); err != nil {
		p.log.Error(err, "failed to close server")
	}
}

// expireStale drops the state of silent peers, and targets that did not register
// again after an outage of the store.
func (p *Process) expireStale(ctx context.Context) {
	for wait.For(ctx, expireInterval) {
		p.gateway.scheduler.expire()
		p.gateway.logReopened()
		p.directory.Expire()
	}
}

// sweepIdleConns closes connections that were idle for too long or that lead to
// addresses without a target.
func (p *Process) sweepIdleConns(ctx context.Context) {
	for wait.For(ctx, idleSweepInterval) {
		used := make(map[string]bool)
		for _, t := range p.directory.View().Targets {
			used[t.Addr] = true
		}
		p.gateway.pool.Sweep(time.Now(), func(addr string) bool { return used[addr] })
	}
}

// pruneMembers removes members that have been silent for longer than
// memberGoneAfter. If no peer has reported recently, this process itself is
// assumed to be partitioned, and it removes none.
func (p *Process) pruneMembers(ctx context.Context) {
	for wait.For(ctx, memberPruneInterval) {
		var silent []catalog.Member
		peersReporting := false
		for name, m := range p.directory.View().Members {
			switch silence := p.exchange.SinceLastReport(name); {
			case name == p.self.Name:
			case silence > memberGoneAfter:
				silent = append(silent, m)
			case silence < memberPruneInterval:
				peersReporting = true
			}
		}
		for _, m := range silent {
			if peersReporting {
				p.directory.RemoveMember(ctx, m)
			}
		}
	}
}

// writeMoveStatuses writes the statuses of moves for the operator. One process
// writes first; the others find its status in their views.
func (p *Process) writeMoveStatuses(ctx context.Context) {
	for wait.For(ctx, moveStatusInterval) {
		for _, d := range p.gateway.moveTracker.pendingStatuses(time.Now()) {
			err := p.directory.WriteStatus(ctx, d.service, d.to, d.state, d.expectedRevision)
			if err != nil && !errors.Is(err, platform.ErrConflict) {
				p.log.Error(err, "failed to write move status", "service", d.service, "to", d.to)
				continue
			}
			p.log.Info("move status", "service", d.service, "to", d.to, "state", int(d.state), "written", err == nil)
		}
	}
}

// shutdownState tracks the requests in progress and the phases of a shutdown.
type shutdownState struct {
	requestsInProgress atomic.Int64
	// requestsBegun counts all requests.
	requestsBegun   atomic.Int64
	startedUnixNano atomic.Int64
	refusing        atomic.Bool
	// answerByUnixNano is when requests in progress are given up; 0 until the shutdown
	// begins. ending ends then.
	answerByUnixNano atomic.Int64
	ending           context.Context
	end              context.CancelFunc
}

func newShutdownState() *shutdownState {
	s := &shutdownState{}
	s.ending, s.end = context.WithCancel(context.Background())
	return s
}

func (s *shutdownState) requestStarted() {
	s.requestsInProgress.Add(1)
	s.requestsBegun.Add(1)
}

func (s *shutdownState) requestEnded() { s.requestsInProgress.Add(-1) }

// activity returns a function that returns the number of requests in progress and of those that
// have begun since its last call. A refusal is too short to be found in progress.
func (s *shutdownState) activity() func() int64 {
	var counted int64
	return func() int64 {
		begun := s.requestsBegun.Load()
		sinceLast := begun - counted
		counted = begun
		return s.requestsInProgress.Load() + sinceLast
	}
}

// begin marks the start of the shutdown. Requests that are still in progress at answerBy are
// given up then, so that their callers get an answer.
func (s *shutdownState) begin(now, answerBy time.Time) {
	s.answerByUnixNano.Store(answerBy.UnixNano())
	s.startedUnixNano.Store(now.UnixNano())
	time.AfterFunc(answerBy.Sub(now), s.end)
}

// limit returns the earlier of a deadline and the time at which a shutdown gives requests up.
func (s *shutdownState) limit(deadline time.Time) time.Time {
	if by := s.answerByUnixNano.Load(); by != 0 && time.Unix(0, by).Before(deadline) {
		return time.Unix(0, by)
	}
	return deadline
}

// refuseRequests makes the gateway refuse new requests.
func (s *shutdownState) refuseRequests() { s.refusing.Store(true) }

// begun reports whether the shutdown has begun.
func (s *shutdownState) begun() bool { return s.startedUnixNano.Load() != 0 }

// Ready reports whether the process takes connections: it has a configuration that is not
// older than its peers', can confirm API keys, is not overloaded and is not shutting down.
func (g *Gateway) Ready() bool {
	return !g.shutdown.begun() && g.shedder.ready() && g.checkStarted() == nil && g.checkKeysConfirmed() == nil
}

// Phases of a planned shutdown.
const (
	// acceptFraction is the fraction of the grace period in which requests are
	// still accepted: the platform sends connections until two readiness checks
	// have failed, and a stream that starts later may not end in time.
	acceptFraction = 0.3
	// drainFraction is the fraction of the grace period by which requests in
	// progress must end.
	drainFraction = 0.95
	// finalAnswerTime is the time before that in which requests that have not ended are
	// given up and answered. A host short of processor time needs most of it.
	finalAnswerTime = 300 * time.Millisecond
	// drainPollInterval is the interval between checks for requests in
	// progress. idlePolls is the number of consecutive checks that find none, nor any
	// that came since the last one, before the process ends, so that requests still in
	// transit receive a refusal. The limit is a number of checks and not a time, since a process
	// short of processor time checks late.
	drainPollInterval = 20 * time.Millisecond
	idlePolls         = 10
)

// waitUntilIdle waits until idlePolls consecutive checks find no activity, or until pause
// reports false.
func waitUntilIdle(pause func() bool, activity func() int64) {
	for idle := 0; idle < idlePolls && pause(); idle++ {
		if activity() > 0 {
			idle = -1
		}
	}
}

// stop shuts down the server for callers: the process reports not ready, then
// refuses new requests, then waits for those in progress. Connections stay open
// until the end, since a request may be in flight on any of them.
func (p *Process) stop(server *http.Server) {
	started := time.Now()
	shutdown := p.gateway.shutdown
	p.log.Info("stopping", "grace_ms", p.settings.Bounds.GracePeriod.Milliseconds(), "in_progress", shutdown.requestsInProgress.Load())
	grace := float64(p.settings.Bounds.GracePeriod)
	drained := started.Add(time.Duration(drainFraction * grace))
	shutdown.begin(started, drained.Add(-finalAnswerTime))
	if p.duties != nil {
		var release conc.WaitGroup
		release.Go(p.duties.stop)
		defer release.Wait()
	}
	ctx, cancel := context.WithDeadline(context.Background(), drained)
	defer cancel()
	wait.For(ctx, time.Duration(acceptFraction*grace))
	shutdown.refuseRequests()
	waitUntilIdle(func() bool { return wait.For(ctx, drainPollInterval) }, shutdown.activity())
	if n := shutdown.requestsInProgress.Load(); n > 0 {
		p.log.Info("requests aborted at the end of the grace period", "in_progress", n)
	}
	p.closeServer(server)
}
