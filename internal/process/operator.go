package process

import (
	"context"
	"fmt"
	"net/http"

	"github.com/julienschmidt/httprouter"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/operator"
	"github.com/zinniaquay/zinniaquay/internal/report"
	"github.com/zinniaquay/zinniaquay/internal/settings"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
)

// fleetSource provides this process's view of the fleet for the operators'
// report. The status and events of this process itself are read without an RPC.
type fleetSource struct {
	base   *base
	status func() *zinniaquayv1.StatusResponse
}

// peerProcess is another process whose status and events can be queried.
type peerProcess struct{ name, addr string }

// peers returns the other processes: the members, and the sidecars of configured
// targets that are not members yet. The latter are named after the target.
func (f *fleetSource) peers() []peerProcess {
	var list []peerProcess
	known := map[string]bool{f.base.node.Addr: true}
	for _, m := range f.base.members.All() {
		if known[m.GetAddr()] || m.GetState() == zinniaquayv1.Member_gone {
			continue
		}
		known[m.GetAddr()] = true
		list = append(list, peerProcess{m.GetName(), m.GetAddr()})
	}
	for name, t := range f.Configuration().GetTargets() {
		if !known[t.GetSidecarAddr()] {
			list = append(list, peerProcess{"sidecar of " + name, t.GetSidecarAddr()})
		}
	}
	return list
}

// Configuration implements report.Source.
func (f *fleetSource) Configuration() *zinniaquayv1.Configuration {
	if snap := f.base.store.Current(); snap != nil {
		return snap.Doc
	}
	return nil
}

// Processes implements report.Source.
func (f *fleetSource) Processes() []report.Process {
	list := []report.Process{{
		Name:   f.base.processSettings.GetName(),
		Status: func(context.Context) (*zinniaquayv1.StatusResponse, error) { return f.status(), nil },
	}}
	for _, p := range f.peers() {
		list = append(list, report.Process{Name: p.name, Status: func(ctx context.Context) (*zinniaquayv1.StatusResponse, error) {
			return f.base.pool.Get(p.addr).Peer.Status(ctx, &zinniaquayv1.StatusRequest{})
		}})
	}
	return list
}

// sources returns the processes whose events can be queried.
func (f *fleetSource) sources() []timeline.Source {
	list := []timeline.Source{{Process: f.base.processSettings.GetName(), Events: f.base.events.Events}}
	for _, p := range f.peers() {
		list = append(list, timeline.Source{Process: p.name, Events: func(ctx context.Context, req *zinniaquayv1.EventsRequest) (*zinniaquayv1.EventsResponse, error) {
			return f.base.pool.Get(p.addr).Peer.Events(ctx, req)
		}})
	}
	return list
}

// operatorHandler returns the HTTP handler for operators.
func (p *Router) operatorHandler(token settings.Secret) http.Handler {
	f := &fleetSource{base: p.base, status: p.operatorStatus}
	reader := &operator.ReportHandler{Collector: report.NewCollector(f), Sources: f.sources}
	mux := httprouter.New()
	mux.HandleMethodNotAllowed = false
	reader.Register(mux)
	config := &operator.ConfigHandler{
		Editor: configstore.NewEditor(p.platform, p.store),
		Store:  p.store,
		OnAccepted: func(r configstore.Result) {
			p.events.Record(timeline.ConfigPatched, "", fmt.Sprintf("number %d by patch %s", r.Number, r.PatchID))
		},
	}
	config.Register(mux)
	mux.Handler(http.MethodGet, "/metrics", telemetry.Handler(p.registry))
	mux.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		errkind.Write(w, errkind.New(errkind.NotFound, "there is nothing at %s %s", r.Method, r.URL.Path))
	})
	return operator.RequireToken(token, mux)
}
