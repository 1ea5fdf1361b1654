package process

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1/zinniaquayv1connect"
	"github.com/zinniaquay/zinniaquay/internal/evidence"
	"github.com/zinniaquay/zinniaquay/internal/move"
	"github.com/zinniaquay/zinniaquay/internal/move/keeper"
	"github.com/zinniaquay/zinniaquay/internal/placement"
	"github.com/zinniaquay/zinniaquay/internal/router"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
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
	p := &Router{base: b, settings: s, callers: callers}
	p.evidence = p.newEvidenceHolder()
	p.records = keeper.NewReader(b.platform)
	p.router = router.New(router.Options{
		Addr:         b.node.Addr,
		MaxBodyBytes: s.GetMaxBodyBytes(),
		Store:        b.store,
		Pool:         b.pool,
		Log:          log,
		KV:           b.platform,
		Registry:     b.registry,
		Versions:     placement.NewChooser(s.GetProcess().GetName(), b.knowledge, p.routerNames),

		VerdictsChanged: b.knowledge.VerdictsChanged,
	})
	return p, nil
}

// newEvidenceHolder returns the holder of evidence on moves.
func (p *Router) newEvidenceHolder() *evidence.Holder {
	return evidence.NewHolder(evidence.HolderOptions{
		Name:        p.base.settings.GetName(),
		Incarnation: p.incarnation,
		Store:       p.store,
		Knowledge:   p.knowledge,
		Records:     p.platform,
		Routers:     p.evidenceRouters,
		Log:         p.log,
		Metrics:     p.registry,
		Event: func(committed bool, moveName, detail string) {
			kind := timeline.MoveVerdict
			if committed {
				kind = timeline.MoveState
			}
			p.events.Record(kind, "", moveName+": "+detail)
		},
	})
}

// routerNames returns the names of all live routers.
func (p *Router) routerNames() []string {
	var names []string
	for _, m := range p.members.Live(zinniaquayv1.Member_router) {
		names = append(names, m.GetName())
	}
	return names
}

// moves returns the committed state of each declared move.
func (p *Router) moves(ctx context.Context) []*zinniaquayv1.MoveStatus {
	snap := p.store.Current()
	if snap == nil {
		return nil
	}
	var moves []*zinniaquayv1.MoveStatus
	for name, m := range snap.Doc.GetMoves() {
		d := move.NewDeclaration(name, m)
		status := p.records.Status(ctx, d, time.Now())
		status.Share = d.LevelShare(p.knowledge.Verdict(d))
		if p.knowledge.Bad(d) {
			status.Share = 0
		}
		moves = append(moves, status)
	}
	slices.SortFunc(moves, func(a, b *zinniaquayv1.MoveStatus) int { return strings.Compare(a.GetMove(), b.GetMove()) })
	return moves
}

// CallerAddr returns the address (IP:port) for callers.
func (p *Router) CallerAddr() string { return p.callers.Addr().String() }

// Run serves until the context ends, then shuts down gracefully.
func (p *Router) Run(ctx context.Context) error {
	running, failed := context.WithCancelCause(context.WithoutCancel(ctx))
	var duties conc.WaitGroup
	callers := p.callerServer()
	peers := rpc.NewServer(p.peerHandler())
	serve(&duties, callers, p.callers, failed)
	serve(&duties, peers, p.listener, failed)
	duties.Go(func() { p.router.Run(running) })
	duties.Go(func() { p.evidence.Run(running) })
	select {
	case <-ctx.Done():
	case <-running.Done():
	}
	p.drain()
	shutdown(p.log, callers, peers)
	err := context.Cause(running)
	failed(nil)
	duties.Wait()
	p.pool.Close()
	return err
}

// drain lets what the router holds come to its end.
func (p *Router) drain() {
	p.members.SetSelf(zinniaquayv1.Member_leaving)
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
	return s
}
