package router

import (
	"context"

	"github.com/sourcegraph/conc/pool"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/ring"
)

const (
	// releaseRingSize is the capacity of the queue of responses to release.
	releaseRingSize = 4096
	// maxReleaseBatch limits the responses that are taken from the queue at
	// once.
	maxReleaseBatch = 256
	// maxReleaseCalls limits the concurrent Release calls.
	maxReleaseCalls = 16
)

// releaser acknowledges completely received responses to sidecars, which then
// discard them. If the ring is full, the acknowledgement is dropped, and the
// sidecar discards the response after a timeout.
type releaser struct {
	opts Options
	ring *ring.Ring[assignment]
}

// newReleaser returns a releaser that sends nothing until run is called.
func newReleaser(o Options) *releaser {
	return &releaser{opts: o, ring: ring.New[assignment]("release", releaseRingSize, o.Metrics)}
}

// add releases the response of an attempt in the background.
func (r *releaser) add(a assignment) { r.ring.Offer(a) }

// run sends releases until the context ends.
func (r *releaser) run(ctx context.Context) {
	calls := pool.New().WithMaxGoroutines(maxReleaseCalls)
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-r.ring.Values():
			for to, ids := range r.batch(a) {
				calls.Go(func() { r.send(ctx, to, ids) })
			}
		}
	}
}

// sidecarIncarnation identifies one incarnation of a sidecar.
type sidecarIncarnation struct {
	addr        string
	incarnation uint64
}

// batch groups the pending releases by sidecar, without waiting for more.
func (r *releaser) batch(first assignment) map[sidecarIncarnation][]string {
	batches := map[sidecarIncarnation][]string{{first.addr, first.incarnation}: {first.attemptID}}
	for range maxReleaseBatch - 1 {
		select {
		case a := <-r.ring.Values():
			to := sidecarIncarnation{a.addr, a.incarnation}
			batches[to] = append(batches[to], a.attemptID)
		default:
			return batches
		}
	}
	return batches
}

// send releases responses at one sidecar. A failure is only logged, since the
// sidecar discards the responses after a timeout anyway.
func (r *releaser) send(ctx context.Context, to sidecarIncarnation, ids []string) {
	_, err := r.opts.Pool.Get(to.addr).Sidecar.Release(ctx, &zinniaquayv1.ReleaseRequest{RequestIds: ids, Incarnation: to.incarnation})
	if err != nil {
		r.opts.Log.V(1).Info("responses not released", "addr", to.addr, "err", err.Error())
	}
}
