package platform

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1/zinniaquayv1connect"
)

// CallTimeout is the deadline of a call to the platform. A watch may take this
// much longer than its own timeout.
const CallTimeout = 2 * time.Second

// Remote is an RPC client of the platform's stand-in.
type Remote struct {
	client zinniaquayv1connect.PlatformServiceClient
}

var _ Platform = (*Remote)(nil)

// NewRemote returns an adapter that calls the service at a base URL.
func NewRemote(httpClient connect.HTTPClient, baseURL string, opts ...connect.ClientOption) *Remote {
	return &Remote{client: zinniaquayv1connect.NewPlatformServiceClient(httpClient, baseURL, opts...)}
}

// Get implements KV.
func (r *Remote) Get(ctx context.Context, key string) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	resp, err := r.client.Get(ctx, &zinniaquayv1.GetRequest{Key: key})
	if err != nil {
		return Entry{}, remoteError(err)
	}
	return Entry{Value: resp.GetValue(), Revision: resp.GetRevision()}, nil
}

// CompareAndSwap implements KV.
func (r *Remote) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (bool, uint64, error) {
	if len(value) > MaxValueBytes {
		return false, 0, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(value))
	}
	return r.swap(ctx, &zinniaquayv1.CompareAndSwapRequest{Key: key, ExpectedRevision: expected, Value: value})
}

// Delete implements KV.
func (r *Remote) Delete(ctx context.Context, key string, expected uint64) (bool, error) {
	swapped, _, err := r.swap(ctx, &zinniaquayv1.CompareAndSwapRequest{Key: key, ExpectedRevision: expected, Delete: true})
	return swapped, err
}

func (r *Remote) swap(ctx context.Context, req *zinniaquayv1.CompareAndSwapRequest) (bool, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	resp, err := r.client.CompareAndSwap(ctx, req)
	if err != nil {
		return false, 0, remoteError(err)
	}
	return resp.GetSwapped(), resp.GetRevision(), nil
}

// Watch implements KV.
func (r *Remote) Watch(ctx context.Context, key string, after uint64, timeout time.Duration) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout+CallTimeout)
	defer cancel()
	resp, err := r.client.Watch(ctx, &zinniaquayv1.WatchRequest{
		Key: key, AfterRevision: after, TimeoutMs: timeout.Milliseconds(),
	})
	if err != nil {
		return Entry{}, remoteError(err)
	}
	return Entry{Value: resp.GetValue(), Revision: resp.GetRevision()}, nil
}

// Acquire implements Leases.
func (r *Remote) Acquire(ctx context.Context, lease, holder string, ttl time.Duration) (Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	resp, err := r.client.Acquire(ctx, &zinniaquayv1.AcquireRequest{
		Lease: lease, Holder: holder, TtlMs: ttl.Milliseconds(),
	})
	if err != nil {
		return Lease{}, remoteError(err)
	}
	return Lease{
		Held:          resp.GetHeld(),
		FencingNumber: resp.GetFencingNumber(),
		Remaining:     time.Duration(resp.GetRemainingMs()) * time.Millisecond,
	}, nil
}

// Hosts implements Hosts.
func (r *Remote) Hosts(ctx context.Context) ([]Host, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	resp, err := r.client.Hosts(ctx, &zinniaquayv1.HostsRequest{})
	if err != nil {
		return nil, remoteError(err)
	}
	hosts := make([]Host, 0, len(resp.GetHosts()))
	for _, h := range resp.GetHosts() {
		hosts = append(hosts, Host{
			Name: h.GetName(), Addr: h.GetAddr(), Zone: h.GetZone(), Role: h.GetRole(), Leaving: h.GetLeaving(),
		})
	}
	return hosts, nil
}

// TakeLoadPermit implements WeightStore.
func (r *Remote) TakeLoadPermit(ctx context.Context, version string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	resp, err := r.client.TakeLoadPermit(ctx, &zinniaquayv1.TakeLoadPermitRequest{Version: version})
	if err != nil {
		return 0, remoteError(err)
	}
	return time.Duration(resp.GetWaitMs()) * time.Millisecond, nil
}

// remoteError wraps every error as ErrUnavailable, since it is unknown whether
// the call took effect.
func remoteError(err error) error {
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}
