package process

import (
	"context"
	"net/http"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1/zinniaquayv1connect"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
	"github.com/zinniaquay/zinniaquay/internal/sidecar"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
)

// Sidecar is a complete sidecar process.
type Sidecar struct {
	*base
	settings *zinniaquayv1.SidecarSettings
	sidecar  *sidecar.Sidecar
}

// NewSidecar opens the listener of a sidecar.
func NewSidecar(s *zinniaquayv1.SidecarSettings, log logr.Logger) (*Sidecar, error) {
	b, err := newBase(s.GetProcess(), zinniaquayv1.Member_sidecar, s.GetTarget(), log)
	if err != nil {
		return nil, err
	}
	p := &Sidecar{base: b, settings: s}
	p.sidecar = sidecar.New(sidecar.Options{
		Target:      s.GetTarget(),
		TargetURL:   s.GetTargetUrl(),
		Incarnation: b.incarnation,
		Store:       b.store,
		Pool:        b.pool,
		Log:         log,
		BufferBytes: s.GetBufferBytes(),
		Name:        s.GetProcess().GetName(),
		Metrics:     b.registry,
		Events:      b.events,
		Holder:      b.holder,
		Members:     b.ledgerMembers,
		Routers:     b.routerAddrs,
		Verdicts:    b.verdicts,
		Platform:    b.platform,

		EvidenceRouters: b.evidenceRouters,
	})
	return p, nil
}

// Run serves until the context ends, then shuts down gracefully.
func (p *Sidecar) Run(ctx context.Context) error {
	running, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	var wg conc.WaitGroup
	peers := rpc.NewServer(p.peerHandler())
	serve(&wg, peers, p.peerListener, cancel)
	wg.Go(func() { p.sidecar.Run(running) })
	wg.Go(func() { p.recordConfigurations(running) })
	wg.Go(func() { p.recordMembers(running) })
	wg.Go(func() { p.peers.Run(running) })
	p.events.Record(timeline.ProcessStarted, "", p.node.Addr)
	select {
	case <-ctx.Done():
	case <-running.Done():
	}
	p.events.Record(timeline.ProcessDraining, "", "")
	p.drain()
	shutdown(p.log, peers)
	err := context.Cause(running)
	cancel(nil)
	wg.Wait()
	p.pool.Close()
	return err
}

// drain waits until the sidecar's requests have ended and their routers have the
// responses, up to the drain timeout. It announces the process as leaving before,
// and as gone after.
func (p *Sidecar) drain() {
	p.announce(zinniaquayv1.Member_leaving)
	defer p.announce(zinniaquayv1.Member_gone)
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.GetDrainTimeout().AsDuration())
	defer cancel()
	if err := p.sidecar.Drain(ctx); err != nil {
		p.log.Error(err, "drain timeout expired before all requests were finished")
	}
}

// peerHandler returns the HTTP handler for peers and for metrics.
func (p *Sidecar) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(zinniaquayv1connect.NewSidecarServiceHandler(p.sidecar, p.handlerOptions()))
	mux.Handle(zinniaquayv1connect.NewPeerServiceHandler(p.peerService(p.status), p.handlerOptions()))
	mux.Handle("GET /metrics", telemetry.Handler(p.registry))
	return mux
}

// status returns the status of this process.
func (p *Sidecar) status() *zinniaquayv1.StatusResponse {
	s := p.sidecar.Status()
	s.Member = p.members.Self()
	s.PlatformAgeMs = p.platformAgeMs()
	return s
}
