// Package platformserver serves the platform's stand-in over its RPC, so that
// separate processes share it.
package platformserver

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1/zinniaquayv1connect"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

// Server answers the calls of PlatformService from a stand-in in memory.
type Server struct {
	memory *platform.Memory
}

var _ zinniaquayv1connect.PlatformServiceHandler = (*Server)(nil)

// New returns a server for a stand-in.
func New(memory *platform.Memory) *Server { return &Server{memory: memory} }

// Handler returns the path and the HTTP handler of the service.
func (s *Server) Handler(opts ...connect.HandlerOption) (string, http.Handler) {
	return zinniaquayv1connect.NewPlatformServiceHandler(s, opts...)
}

// Get reads a key.
func (s *Server) Get(ctx context.Context, req *zinniaquayv1.GetRequest) (*zinniaquayv1.GetResponse, error) {
	entry, err := s.memory.Get(ctx, req.GetKey())
	if err != nil {
		return nil, rpcError(err)
	}
	return &zinniaquayv1.GetResponse{Value: entry.Value, Revision: entry.Revision}, nil
}

// CompareAndSwap writes or deletes a key under a condition.
func (s *Server) CompareAndSwap(ctx context.Context, req *zinniaquayv1.CompareAndSwapRequest) (*zinniaquayv1.CompareAndSwapResponse, error) {
	if req.GetDelete() {
		swapped, err := s.memory.Delete(ctx, req.GetKey(), req.GetExpectedRevision())
		if err != nil {
			return nil, rpcError(err)
		}
		return &zinniaquayv1.CompareAndSwapResponse{Swapped: swapped}, nil
	}
	swapped, revision, err := s.memory.CompareAndSwap(ctx, req.GetKey(), req.GetExpectedRevision(), req.GetValue())
	if err != nil {
		return nil, rpcError(err)
	}
	return &zinniaquayv1.CompareAndSwapResponse{Swapped: swapped, Revision: revision}, nil
}

// Watch waits for a change of a key.
func (s *Server) Watch(ctx context.Context, req *zinniaquayv1.WatchRequest) (*zinniaquayv1.WatchResponse, error) {
	timeout := time.Duration(req.GetTimeoutMs()) * time.Millisecond
	entry, err := s.memory.Watch(ctx, req.GetKey(), req.GetAfterRevision(), timeout)
	if err != nil {
		return nil, rpcError(err)
	}
	return &zinniaquayv1.WatchResponse{Value: entry.Value, Revision: entry.Revision}, nil
}

// Acquire takes or renews a lease.
func (s *Server) Acquire(ctx context.Context, req *zinniaquayv1.AcquireRequest) (*zinniaquayv1.AcquireResponse, error) {
	ttl := time.Duration(req.GetTtlMs()) * time.Millisecond
	lease, err := s.memory.Acquire(ctx, req.GetLease(), req.GetHolder(), ttl)
	if err != nil {
		return nil, rpcError(err)
	}
	return &zinniaquayv1.AcquireResponse{
		Held: lease.Held, FencingNumber: lease.FencingNumber, RemainingMs: lease.Remaining.Milliseconds(),
	}, nil
}

// Hosts returns the lagging list of hosts.
func (s *Server) Hosts(ctx context.Context, _ *zinniaquayv1.HostsRequest) (*zinniaquayv1.HostsResponse, error) {
	hosts, err := s.memory.Hosts(ctx)
	if err != nil {
		return nil, rpcError(err)
	}
	resp := &zinniaquayv1.HostsResponse{}
	for _, h := range hosts {
		resp.Hosts = append(resp.Hosts, &zinniaquayv1.PlatformHost{
			Name: h.Name, Addr: h.Addr, Zone: h.Zone, Role: h.Role, Leaving: h.Leaving,
		})
	}
	return resp, nil
}

// TakeLoadPermit gives leave to load weights.
func (s *Server) TakeLoadPermit(ctx context.Context, req *zinniaquayv1.TakeLoadPermitRequest) (*zinniaquayv1.TakeLoadPermitResponse, error) {
	wait, err := s.memory.TakeLoadPermit(ctx, req.GetVersion())
	if err != nil {
		return nil, rpcError(err)
	}
	return &zinniaquayv1.TakeLoadPermitResponse{WaitMs: wait.Milliseconds()}, nil
}

// SetFaults replaces the faults and returns the calls counted so far.
func (s *Server) SetFaults(_ context.Context, req *zinniaquayv1.SetFaultsRequest) (*zinniaquayv1.SetFaultsResponse, error) {
	s.memory.SetFaults(platform.Faults{
		Down:             req.GetDown(),
		Slow:             time.Duration(req.GetSlowMs()) * time.Millisecond,
		LoseWriteAnswers: req.GetLoseWriteAnswers(),
		SilentWatches:    req.GetSilentWatches(),
		HostListLag:      time.Duration(req.GetHostListLagMs()) * time.Millisecond,
	})
	if req.GetLapseLeases() {
		s.memory.ExpireLeases()
	}
	calls := s.memory.Calls()
	return &zinniaquayv1.SetFaultsResponse{Reads: calls.Reads, Writes: calls.Writes}, nil
}

func rpcError(err error) error {
	if errors.Is(err, platform.ErrTooLarge) {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}
