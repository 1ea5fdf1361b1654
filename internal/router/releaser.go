package router

import (
	"context"

	"github.com/sourcegraph/conc/pool"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/ring"
)

const (
	// releaseRing is how many answers may wait to be released.
	releaseRing = 4096
	// releaseBatch is how many answers are released at once.
	releaseBatch = 256
	// releaseSenders bounds the calls under way that release answers.
	releaseSenders = 16
)

// releaser tells sidecars which answers have arrived whole, so that they need
// not keep them. An answer that does not fit into its ring is dropped by its
// sidecar in time all the same.
type releaser struct {
	opts Options
	ring *ring.Ring[holder]
}

// newReleaser returns a releaser that sends nothing until run.
func newReleaser(o Options) *releaser {
	return &releaser{opts: o, ring: ring.New[holder]("release", releaseRing, o.Metrics)}
}

// add releases the answer of a hand-out in the background.
func (r *releaser) add(h holder) { r.ring.Offer(h) }

// run sends releases until the context ends.
func (r *releaser) run(ctx context.Context) {
	senders := pool.New().WithMaxGoroutines(releaseSenders)
	defer senders.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-r.ring.Values():
			for to, ids := range r.batch(h) {
				senders.Go(func() { r.send(ctx, to, ids) })
			}
		}
	}
}

// sidecarID names one start of a sidecar.
type sidecarID struct {
	addr        string
	incarnation uint64
}

// batch groups what is due by sidecar, without waiting for more.
func (r *releaser) batch(first holder) map[sidecarID][]string {
	batches := map[sidecarID][]string{{first.addr, first.incarnation}: {first.handoutID}}
	for range releaseBatch - 1 {
		select {
		case h := <-r.ring.Values():
			to := sidecarID{h.addr, h.incarnation}
			batches[to] = append(batches[to], h.handoutID)
		default:
			return batches
		}
	}
	return batches
}

// send releases answers at one sidecar. A failure needs no answer.
func (r *releaser) send(ctx context.Context, to sidecarID, ids []string) {
	_, err := r.opts.Pool.Get(to.addr).Sidecar.Release(ctx, &zinniaquayv1.ReleaseRequest{RequestIds: ids, Incarnation: to.incarnation})
	if err != nil {
		r.opts.Log.V(1).Info("answers not released", "addr", to.addr, "err", err.Error())
	}
}
