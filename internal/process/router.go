package process

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1/zinniaquayv1connect"
	"github.com/zinniaquay/zinniaquay/internal/evidence"
	"github.com/zinniaquay/zinniaquay/internal/move/keeper"
	"github.com/zinniaquay/zinniaquay/internal/router"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
	"github.com/zinniaquay/zinniaquay/internal/settings"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
	"github.com/zinniaquay/zinniaquay/internal/versions"
)

// Router is a whole router process.
type Router struct {
	*base
	settings *zinniaquayv1.RouterSettings
	router   *router.Router
	callers  net.Listener
	// evidence holds what targets report on moves.
	evidence *evidence.Holder
	// records reads the committed records of moves.
	records *keeper.Reader
	// operators listens for operators, who show operatorToken.
	operators     net.Listener
	operatorToken settings.Secret
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
	token, err := settings.LoadSecret(s.GetOperatorTokenFile())
	if err != nil {
		return nil, fmt.Errorf("operators' token: %w", err)
	}
	operators, err := net.Listen("tcp", s.GetOperatorAddr())
	if err != nil {
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	p := &Router{base: b, settings: s, callers: callers, operators: operators, operatorToken: token}
	p.evidence = p.newEvidenceHolder()
	p.records = keeper.NewReader(b.platform)
	p.router = router.New(router.Options{
		Addr:         b.node.Addr,
		MaxBodyBytes: s.GetMaxBodyBytes(),
		Store:        b.store,
		Pool:         b.pool,
		Log:          log,
		KV:           b.platform,
		BalancerLag:  s.GetBalancerLag().AsDuration(),
		Metrics:      b.registry,
		Events:       b.events,
		Versions:     versions.NewChooser(s.GetProcess().GetName(), b.knowledge, p.routerNames),

		VerdictsChanged: b.knowledge.VerdictsChanged,
	})
	return p, nil
}

// CallerAddr returns the address (IP:port) for callers.
func (p *Router) CallerAddr() string { return p.callers.Addr().String() }

// OperatorAddr returns the address (IP:port) for operators.
func (p *Router) OperatorAddr() string { return p.operators.Addr().String() }

// Run serves until the context ends, then shuts down gracefully.
func (p *Router) Run(ctx context.Context) error {
	running, failed := context.WithCancelCause(context.WithoutCancel(ctx))
	var duties conc.WaitGroup
	callers := p.callerServer()
	peers := rpc.NewServer(p.peerHandler())
	operators := p.operatorServer()
	serve(&duties, callers, p.callers, failed)
	serve(&duties, operators, p.operators, failed)
	serve(&duties, peers, p.listener, failed)
	duties.Go(func() { p.router.Run(running) })
	duties.Go(func() { p.recordConfigurations(running) })
	duties.Go(func() { p.recordMembers(running) })
	duties.Go(func() { p.peers.Run(running) })
	p.events.Record(timeline.ProcessStarted, "", p.node.Addr)
	duties.Go(func() { p.evidence.Run(running) })
	select {
	case <-ctx.Done():
	case <-running.Done():
	}
	p.events.Record(timeline.ProcessDraining, "", "")
	p.drain()
	shutdown(p.log, callers, operators, peers)
	err := context.Cause(running)
	failed(nil)
	duties.Wait()
	p.pool.Close()
	return err
}

// drain lets what the router holds come to its end.
func (p *Router) drain() {
	p.announce(zinniaquayv1.Member_leaving)
	defer p.announce(zinniaquayv1.Member_gone)
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.GetDrainTimeout().AsDuration())
	defer cancel()
	if err := p.router.Drain(ctx); err != nil {
		p.log.Error(err, "requests were left when the time to drain was up")
	}
}

// callerServer returns the server for callers and the platform's balancer.
func (p *Router) callerServer() *http.Server {
	return &http.Server{
		Handler:           p.router.CallerHandler(),
		ReadHeaderTimeout: p.settings.GetReadTimeout().AsDuration(),
		ReadTimeout:       p.settings.GetReadTimeout().AsDuration(),
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

// peerHandler returns the handler for other processes.
func (p *Router) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(zinniaquayv1connect.NewRouterServiceHandler(p.router, p.interceptors()))
	mux.Handle(zinniaquayv1connect.NewEvidenceServiceHandler(p.evidence, p.interceptors()))
	mux.Handle(zinniaquayv1connect.NewPeerServiceHandler(p.peerService(p.status), p.interceptors()))
	return mux
}

// status returns what the process knows of itself.
func (p *Router) status() *zinniaquayv1.StatusResponse {
	s := p.router.Status()
	s.Member = p.members.Self()
	s.PlatformAgeMs = p.platformAge()
	return s
}
