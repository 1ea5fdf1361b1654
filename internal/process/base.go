// Package process assembles a router or sidecar process from its components:
// settings, listeners, background tasks and graceful shutdown.
package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/clock"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/evidence"
	"github.com/zinniaquay/zinniaquay/internal/ledger"
	"github.com/zinniaquay/zinniaquay/internal/membership"
	"github.com/zinniaquay/zinniaquay/internal/move"
	"github.com/zinniaquay/zinniaquay/internal/peer"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
	"github.com/zinniaquay/zinniaquay/internal/settings"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
)

const (
	// maxTimelineEvents is the number of timeline events that a process keeps.
	maxTimelineEvents = 16384
	// minCompressBytes is the minimum size of a compressed response to a peer.
	// Member lists and whole configurations are compressed, the frequent small
	// responses are not.
	minCompressBytes = 4096
	// shutdownTimeout bounds the shutdown of the servers after a drain.
	shutdownTimeout = 5 * time.Second
	// unknownAgeMs is the age in a status when nothing was ever received.
	unknownAgeMs = -1
)

// base holds the components that routers and sidecars share.
type base struct {
	processSettings *zinniaquayv1.ProcessSettings
	log             logr.Logger
	registry        metrics.Registry
	clock           *clock.Clock
	store           *configstore.Store
	node            *rpc.Node
	pool            *rpc.Pool
	platform        platform.Platform
	events          *timeline.Recorder
	incarnation     uint64
	peerListener    net.Listener
	// members lists the known processes of the fleet.
	members *membership.List
	// peers propagates the configuration, members and verdicts.
	peers *peer.Node
	// holder stores this process's part of the service ledger.
	holder *ledger.Holder
	// verdicts holds the known verdicts on versions that traffic moves to.
	verdicts *move.VerdictSet
}

// newBase opens the peer listener and creates the shared components.
func newBase(s *zinniaquayv1.ProcessSettings, role zinniaquayv1.Member_Role, target string, log logr.Logger) (*base, error) {
	token, err := settings.LoadSecret(s.GetFleetTokenFile())
	if err != nil {
		return nil, fmt.Errorf("fleet token: %w", err)
	}
	listener, err := net.Listen("tcp", s.GetPeerAddr())
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	b := &base{
		processSettings: s,
		log:             log,
		registry:        metrics.NewRegistry(),
		clock:           &clock.Clock{},
		store:           configstore.NewStore(),
		verdicts:        move.NewVerdictSet(),
		incarnation:     uint64(time.Now().UnixNano()),
		peerListener:    listener,
	}
	b.events = timeline.NewRecorder(s.GetName(), maxTimelineEvents, func() uint64 { return uint64(b.clock.Now()) }, b.registry)
	remote := platform.NewRemote(http.DefaultClient, "http://"+s.GetPlatformAddr())
	b.platform = platform.NewObserved(remote, b.recordPlatformOutage)
	b.node = &rpc.Node{
		Token:               token.Reveal(),
		Addr:                listener.Addr().String(),
		Clock:               b.clock,
		ConfigurationNumber: b.store.Number,
	}
	b.pool = rpc.NewPool(b.node)
	b.members = membership.NewList(b.member(role, target))
	b.peers = b.newPeers()
	b.holder = ledger.NewHolder(s.GetName(), b.incarnation)
	return b, nil
}

// PeerAddr returns the address (IP:port) on which peers reach this process.
func (b *base) PeerAddr() string { return b.node.Addr }

// member returns this process's own entry in the member list.
func (b *base) member(role zinniaquayv1.Member_Role, target string) *zinniaquayv1.Member {
	return &zinniaquayv1.Member{
		Name:        b.processSettings.GetName(),
		Addr:        b.node.Addr,
		Role:        role,
		Zone:        b.processSettings.GetZone(),
		Incarnation: b.incarnation,
		Target:      target,
	}
}

// ledgerMembers returns the live processes, which store the parts of the ledger.
func (b *base) ledgerMembers() []ledger.Member {
	var members []ledger.Member
	for _, m := range b.members.All() {
		if m.GetState() == zinniaquayv1.Member_live {
			members = append(members, ledger.Member{Name: m.GetName(), Addr: m.GetAddr()})
		}
	}
	return members
}

// routerAddrs returns the addresses (IP:port) of live routers.
func (b *base) routerAddrs() []string {
	var addrs []string
	for _, m := range b.members.Live(zinniaquayv1.Member_router) {
		addrs = append(addrs, m.GetAddr())
	}
	return addrs
}

// evidenceRouters returns the live routers. Any of them may store the evidence
// on a move.
func (b *base) evidenceRouters() []evidence.Member {
	var routers []evidence.Member
	for _, m := range b.members.Live(zinniaquayv1.Member_router) {
		routers = append(routers, evidence.Member{Name: m.GetName(), Addr: m.GetAddr()})
	}
	return routers
}

// handlerOptions returns the options that all RPC handlers for peers use.
func (b *base) handlerOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithInterceptors(b.node.Interceptor()),
		connect.WithCompressMinBytes(minCompressBytes),
	)
}

// peerService implements the RPCs that every process serves to its peers.
type peerService struct {
	peers  *peer.Node
	events *timeline.Recorder
	holder *ledger.Holder
	status func() *zinniaquayv1.StatusResponse
}

// peerService returns the peer RPCs, with status as the source of Status.
func (b *base) peerService(status func() *zinniaquayv1.StatusResponse) *peerService {
	return &peerService{peers: b.peers, events: b.events, holder: b.holder, status: status}
}

// Exchange implements PeerServiceHandler.
func (p *peerService) Exchange(ctx context.Context, req *zinniaquayv1.ExchangeRequest) (*zinniaquayv1.ExchangeResponse, error) {
	return p.peers.Exchange(ctx, req)
}

// FetchConfiguration implements PeerServiceHandler.
func (p *peerService) FetchConfiguration(ctx context.Context, req *zinniaquayv1.FetchConfigurationRequest) (*zinniaquayv1.FetchConfigurationResponse, error) {
	return p.peers.FetchConfiguration(ctx, req)
}

// ReportService implements PeerServiceHandler.
func (p *peerService) ReportService(ctx context.Context, req *zinniaquayv1.ReportServiceRequest) (*zinniaquayv1.ReportServiceResponse, error) {
	return p.holder.ReportService(ctx, req)
}

// Events implements PeerServiceHandler.
func (p *peerService) Events(ctx context.Context, req *zinniaquayv1.EventsRequest) (*zinniaquayv1.EventsResponse, error) {
	return p.events.Events(ctx, req)
}

// Status implements PeerServiceHandler.
func (p *peerService) Status(context.Context, *zinniaquayv1.StatusRequest) (*zinniaquayv1.StatusResponse, error) {
	return p.status(), nil
}

// serve runs an HTTP server on a listener in a goroutine of the group. If the
// server fails before it is shut down, serve cancels the process with the error.
func serve(wg *conc.WaitGroup, s *http.Server, l net.Listener, cancel context.CancelCauseFunc) {
	wg.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			cancel(fmt.Errorf("serve %s: %w", l.Addr(), err))
		}
	})
}

// shutdown shuts servers down gracefully, and closes them after shutdownTimeout.
func shutdown(log logr.Logger, servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			log.Info("server closed with requests in flight", "err", err.Error())
			// Shutdown has already waited for the remaining requests.
			_ = s.Close()
		}
	}
}
