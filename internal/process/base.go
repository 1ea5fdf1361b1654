// Package process puts the parts of a router or a sidecar together into a whole
// process: settings, listeners, duties and graceful shutdown.
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
	// timelineEvents is how many events a process remembers.
	timelineEvents = 16384
	// minCompressBytes is the smallest answer to a peer that is compressed: lists
	// of members and whole configurations are, what goes on all the time is not.
	minCompressBytes = 4096
	// closeTimeout bounds how long servers may take to close after a drain.
	closeTimeout = 5 * time.Second
	// unknownAge is the age, in a status, of what has never been heard.
	unknownAge = -1
)

// base is what routers and sidecars have in common.
type base struct {
	common      *zinniaquayv1.ProcessSettings
	log         logr.Logger
	registry    metrics.Registry
	clock       *clock.Clock
	store       *configstore.Store
	node        *rpc.Node
	pool        *rpc.Pool
	platform    platform.Platform
	events      *timeline.Recorder
	incarnation uint64
	listener    net.Listener
	// members is what the process knows of the fleet.
	members *membership.List
	// peers spreads the configuration, members and verdicts.
	peers *peer.Node
	// holder keeps this process's part of the ledger of service.
	holder *ledger.Holder
	// knowledge is what the process knows of versions that traffic moves to.
	knowledge *move.VerdictSet
}

// newBase opens the listener for peers and puts the common parts together.
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
		common:      s,
		log:         log,
		registry:    metrics.NewRegistry(),
		clock:       &clock.Clock{},
		store:       configstore.NewStore(),
		knowledge:   move.NewVerdictSet(),
		incarnation: uint64(time.Now().UnixNano()),
		listener:    listener,
	}
	b.events = timeline.NewRecorder(s.GetName(), timelineEvents, func() uint64 { return uint64(b.clock.Now()) }, b.registry)
	remote := platform.NewRemote(http.DefaultClient, "http://"+s.GetPlatformAddr())
	b.platform = platform.NewObserved(remote, b.recordPlatform)
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

// PeerAddr returns the address (IP:port) for other processes.
func (b *base) PeerAddr() string { return b.node.Addr }

// member returns the process as its peers see it.
func (b *base) member(role zinniaquayv1.Member_Role, target string) *zinniaquayv1.Member {
	return &zinniaquayv1.Member{
		Name:        b.common.GetName(),
		Addr:        b.node.Addr,
		Role:        role,
		Zone:        b.common.GetZone(),
		Incarnation: b.incarnation,
		Target:      target,
	}
}

// ledgerMembers returns the processes that hold parts of the ledger.
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

// evidenceRouters returns the live routers, any of which may hold the evidence
// on a move.
func (b *base) evidenceRouters() []evidence.Member {
	var routers []evidence.Member
	for _, m := range b.members.Live(zinniaquayv1.Member_router) {
		routers = append(routers, evidence.Member{Name: m.GetName(), Addr: m.GetAddr()})
	}
	return routers
}

// interceptors returns the options that every handler for peers takes.
func (b *base) interceptors() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithInterceptors(b.node.Interceptor()),
		connect.WithCompressMinBytes(minCompressBytes),
	)
}

// peerService answers what every process answers to every other one.
type peerService struct {
	peers  *peer.Node
	events *timeline.Recorder
	holder *ledger.Holder
	status func() *zinniaquayv1.StatusResponse
}

// peerService returns the service with the status of a router or sidecar.
func (b *base) peerService(status func() *zinniaquayv1.StatusResponse) *peerService {
	return &peerService{peers: b.peers, events: b.events, holder: b.holder, status: status}
}

// Exchange implements the RPC.
func (p *peerService) Exchange(ctx context.Context, req *zinniaquayv1.ExchangeRequest) (*zinniaquayv1.ExchangeResponse, error) {
	return p.peers.Exchange(ctx, req)
}

// FetchConfiguration implements the RPC.
func (p *peerService) FetchConfiguration(ctx context.Context, req *zinniaquayv1.FetchConfigurationRequest) (*zinniaquayv1.FetchConfigurationResponse, error) {
	return p.peers.FetchConfiguration(ctx, req)
}

// ReportService implements the RPC.
func (p *peerService) ReportService(ctx context.Context, req *zinniaquayv1.ReportServiceRequest) (*zinniaquayv1.ReportServiceResponse, error) {
	return p.holder.ReportService(ctx, req)
}

// Events implements the RPC.
func (p *peerService) Events(ctx context.Context, req *zinniaquayv1.EventsRequest) (*zinniaquayv1.EventsResponse, error) {
	return p.events.Events(ctx, req)
}

// Status implements the RPC.
func (p *peerService) Status(context.Context, *zinniaquayv1.StatusRequest) (*zinniaquayv1.StatusResponse, error) {
	return p.status(), nil
}

// serve serves HTTP on a listener as a duty of the group. A server that fails
// while it should run ends the process.
func serve(duties *conc.WaitGroup, s *http.Server, l net.Listener, failed context.CancelCauseFunc) {
	duties.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed(fmt.Errorf("serve %s: %w", l.Addr(), err))
		}
	})
}

// shutdown closes servers once their calls have ended or the time is up.
func shutdown(log logr.Logger, servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			log.Info("server closed with calls under way", "err", err.Error())
			// What is left was waited for already.
			_ = s.Close()
		}
	}
}
