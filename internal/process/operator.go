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

// fleet is the fleet as one process knows it, for the operators' report. This
// process answers for itself without a call.
type fleet struct {
	base   *base
	status func() *zinniaquayv1.StatusResponse
}

// contact is a process that may be asked.
type contact struct{ name, addr string }

// peers returns the other processes: the members, and the sidecars of targets
// that are no members yet, under the target's name.
func (f *fleet) peers() []contact {
	var list []contact
	known := map[string]bool{f.base.node.Addr: true}
	for _, m := range f.base.members.All() {
		if known[m.GetAddr()] || m.GetState() == zinniaquayv1.Member_gone {
			continue
		}
		known[m.GetAddr()] = true
		list = append(list, contact{m.GetName(), m.GetAddr()})
	}
	for name, t := range f.Configuration().GetTargets() {
		if !known[t.GetSidecarAddr()] {
			list = append(list, contact{"sidecar of " + name, t.GetSidecarAddr()})
		}
	}
	return list
}

// Configuration implements report.Source.
func (f *fleet) Configuration() *zinniaquayv1.Configuration {
	if snap := f.base.store.Current(); snap != nil {
		return snap.Doc
	}
	return nil
}

// Processes implements report.Source.
func (f *fleet) Processes() []report.Process {
	list := []report.Process{{
		Name:   f.base.common.GetName(),
		Status: func(context.Context) (*zinniaquayv1.StatusResponse, error) { return f.status(), nil },
	}}
	for _, p := range f.peers() {
		list = append(list, report.Process{Name: p.name, Status: func(ctx context.Context) (*zinniaquayv1.StatusResponse, error) {
			return f.base.pool.Get(p.addr).Peer.Status(ctx, &zinniaquayv1.StatusRequest{})
		}})
	}
	return list
}

// sources returns the processes that can be asked for their events.
func (f *fleet) sources() []timeline.Source {
	list := []timeline.Source{{Process: f.base.common.GetName(), Events: f.base.events.Events}}
	for _, p := range f.peers() {
		list = append(list, timeline.Source{Process: p.name, Events: func(ctx context.Context, req *zinniaquayv1.EventsRequest) (*zinniaquayv1.EventsResponse, error) {
			return f.base.pool.Get(p.addr).Peer.Events(ctx, req)
		}})
	}
	return list
}

// operatorHandler returns the handler for operators.
func (p *Router) operatorHandler(token settings.Secret) http.Handler {
	f := &fleet{base: p.base, status: p.operatorStatus}
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
