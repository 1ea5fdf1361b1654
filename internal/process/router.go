package process

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1/zinniaquayv1connect"
	"github.com/zinniaquay/zinniaquay/internal/evidence"
	"github.com/zinniaquay/zinniaquay/internal/intake"
	"github.com/zinniaquay/zinniaquay/internal/move/keeper"
	"github.com/zinniaquay/zinniaquay/internal/router"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
	"github.com/zinniaquay/zinniaquay/internal/settings"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
	"github.com/zinniaquay/zinniaquay/internal/versions"
)

// Router is a complete router process.
type Router struct {
	*base
	settings       *zinniaquayv1.RouterSettings
	router         *router.Router
	callerListener net.Listener
	// evidence stores the evidence on moves.
	evidence *evidence.Holder
	// moveRecords reads the committed move records.
	moveRecords *keeper.Reader
	// operatorListener accepts operators, who authenticate with operatorToken.
	operatorListener net.Listener
	operatorToken    settings.Secret
}

// NewRouter opens the listeners of a router.
func NewRouter(s *zinniaquayv1.RouterSettings, log logr.Logger) (*Router, error) {
	b, err := newBase(s.GetProcess(), zinniaquayv1.Member_router, "", log)
	if err != nil {
		return nil, err
	}
	callers, err := net.Listen("tcp", s.GetCallerAddr())
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	callers = limitCallers(callers, s, b.registry)
	token, err := settings.LoadSecret(s.GetOperatorTokenFile())
	if err != nil {
		return nil, fmt.Errorf("operators' token: %w", err)
	}
	operators, err := net.Listen("tcp", s.GetOperatorAddr())
	if err != nil {
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	p := &Router{base: b, settings: s, callerListener: callers, operatorListener: operators, operatorToken: token}
	p.evidence = p.newEvidenceHolder()
	p.moveRecords = keeper.NewReader(b.platform)
	p.router = router.New(router.Options{
		Addr:         b.node.Addr,
		MaxBodyBytes: s.GetMaxBodyBytes(),

		MaxHeldBodyBytes: s.GetMaxHeldBodyBytes(),
		Store:            b.store,
		Pool:             b.pool,
		Log:              log,
		KV:               b.platform,
		BalancerLag:      s.GetBalancerLag().AsDuration(),
		Metrics:          b.registry,
		Events:           b.events,
		Versions:         versions.NewChooser(s.GetProcess().GetName(), b.verdicts, p.routerNames),

		VerdictsChanged: b.verdicts.VerdictsChanged,
	})
	return p, nil
}

// limitCallers bounds the connections of callers.
func limitCallers(l net.Listener, s *zinniaquayv1.RouterSettings, registry metrics.Registry) net.Listener {
	limit := s.GetMaxCallerConnections()
	if limit <= 0 {
		limit = settings.DefaultMaxCallerConnections
	}
	return intake.NewListener(l, intake.NewConns(int(limit), s.GetMaxHeldBodyBytes(), registry))
}

// CallerAddr returns the address (IP:port) on which callers reach the router.
func (p *Router) CallerAddr() string { return p.callerListener.Addr().String() }

// OperatorAddr returns the address (IP:port) on which operators reach the router.
func (p *Router) OperatorAddr() string { return p.operatorListener.Addr().String() }

// Run serves until the context ends, then shuts down gracefully.
func (p *Router) Run(ctx context.Context) error {
	running, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	var wg conc.WaitGroup
	callers := p.callerServer()
	peers := rpc.NewServer(p.peerHandler())
	operators := p.operatorServer()
	serve(&wg, callers, p.callerListener, cancel)
	serve(&wg, operators, p.operatorListener, cancel)
	serve(&wg, peers, p.peerListener, cancel)
	wg.Go(func() { p.router.Run(running) })
	wg.Go(func() { p.recordConfigurations(running) })
	wg.Go(func() { p.recordMembers(running) })
	wg.Go(func() { p.peers.Run(running) })
	p.events.Record(timeline.ProcessStarted, "", p.node.Addr)
	wg.Go(func() { p.evidence.Run(running) })
	select {
	case <-ctx.Done():
	case <-running.Done():
	}
	p.events.Record(timeline.ProcessDraining, "", "")
	p.drain()
	shutdown(p.log, callers, operators, peers)
	err := context.Cause(running)
	cancel(nil)
	wg.Wait()
	p.pool.Close()
	return err
}

// drain waits until the router's requests have ended and its idempotency keys are
// settled, up to the drain timeout. It announces the process as leaving before,
// and as gone after.
func (p *Router) drain() {
	p.announce(zinniaquayv1.Member_leaving)
	defer p.announce(zinniaquayv1.Member_gone)
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.GetDrainTimeout().AsDuration())
	defer cancel()
	if err := p.router.Drain(ctx); err != nil {
		p.log.Error(err, "drain timeout expired before all requests were finished")
	}
}

// maxCallerHeaderBytes bounds the header of a caller's request.
const maxCallerHeaderBytes = 64 << 10

// callerServer returns the server for callers and the platform's load balancer.
func (p *Router) callerServer() *http.Server {
	return &http.Server{
		Handler:           p.router.CallerHandler(),
		ReadHeaderTimeout: p.settings.GetReadTimeout().AsDuration(),
		ReadTimeout:       p.settings.GetReadTimeout().AsDuration(),
		MaxHeaderBytes:    maxCallerHeaderBytes,
		ConnState:         intake.ConnState,
	}
}

// operatorServer returns the server for operators.
func (p *Router) operatorServer() *http.Server {
	return &http.Server{
		Handler:           p.operatorHandler(p.operatorToken),
		ReadHeaderTimeout: p.settings.GetReadTimeout().AsDuration(),
		ReadTimeout:       p.settings.GetReadTimeout().AsDuration(),
	}
}

// peerHandler returns the RPC handler for peers.
func (p *Router) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(zinniaquayv1connect.NewRouterServiceHandler(p.router, p.handlerOptions()))
	mux.Handle(zinniaquayv1connect.NewEvidenceServiceHandler(p.evidence, p.handlerOptions()))
	mux.Handle(zinniaquayv1connect.NewPeerServiceHandler(p.peerService(p.status), p.handlerOptions()))
	return mux
}

// status returns the status of this process.
func (p *Router) status() *zinniaquayv1.StatusResponse {
	s := p.router.Status()
	s.Member = p.members.Self()
	s.PlatformAgeMs = p.platformAgeMs()
	return s
}
