package peer

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc/pool"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
)

const (
	// FetchTimeout is the timeout of one fetch from a peer.
	FetchTimeout = time.Second
	// maxFetches limits the concurrent fetches of fetchLoop; further ones wait.
	maxFetches = 4
	// maxFetchedPeers limits the peers that are fetched from at the same time.
	maxFetchedPeers = 16
)

// sharedFetch is a fetch in progress that several callers may wait for.
type sharedFetch struct {
	done chan struct{}
	err  error
}

// EnsureAtLeast returns once the configuration in force has at least the given
// number, which was received from the peer at addr; if necessary it fetches the
// configuration from that peer. A process that receives a message with a number
// calls it before acting on the message. Errors are of the kind NoConfiguration.
func (n *Node) EnsureAtLeast(ctx context.Context, number uint64, addr string) error {
	if n.Store.Number() >= number {
		return nil
	}
	n.observeNumber(number)
	if !n.isStarted() {
		return errkind.New(errkind.NoConfiguration, "the process has no configuration yet")
	}
	// A fetch already in progress may have begun before the peer had the number,
	// so try a second time.
	var err error
	for range 2 {
		if err = n.fetchShared(ctx, addr); n.Store.Number() >= number {
			return nil
		}
	}
	if err == nil {
		err = configstore.ErrNothingNewer
	}
	return errkind.Wrap(errkind.NoConfiguration, err, "configuration %d could not be fetched", number)
}

// fetchShared fetches from a peer, or waits for the fetch already in progress.
func (n *Node) fetchShared(ctx context.Context, addr string) error {
	f, leader := n.joinFetch(addr)
	if !leader {
		select {
		case <-f.done:
			return f.err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	// Other callers wait for this fetch, so cancelling this caller's context must
	// not stop it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), FetchTimeout)
	defer cancel()
	f.err = n.fetch(ctx, addr, 0)
	n.mu.Lock()
	delete(n.fetching, addr)
	n.mu.Unlock()
	close(f.done)
	return f.err
}

// joinFetch returns the shared fetch from a peer, and whether the caller has to
// run it. If maxFetchedPeers are already fetched from, it returns any fetch in
// progress instead of starting another.
func (n *Node) joinFetch(addr string) (f *sharedFetch, leader bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if f, ok := n.fetching[addr]; ok {
		return f, false
	}
	if len(n.fetching) >= maxFetchedPeers {
		for _, f := range n.fetching {
			return f, false
		}
	}
	f = &sharedFetch{done: make(chan struct{})}
	n.fetching[addr] = f
	return f, true
}

// fetch fetches a newer configuration from a peer and applies it. It requests
// patches first and, if these do not result in the peer's digest, the full
// document. A configuration with a number below minNumber is ignored.
func (n *Node) fetch(ctx context.Context, addr string, minNumber uint64) error {
	err := n.fetchOnce(ctx, addr, minNumber, false)
	if errors.Is(err, configstore.ErrDelta) {
		n.Log.Info("patches did not result in the peer's configuration; fetching the full document", "peer", addr, "reason", err.Error())
		err = n.fetchOnce(ctx, addr, minNumber, true)
	}
	if err != nil && !errors.Is(err, configstore.ErrNothingNewer) {
		n.count.fetchFailed.Inc(1)
	}
	return err
}

func (n *Node) fetchOnce(ctx context.Context, addr string, minNumber uint64, full bool) error {
	base := n.Store.Current()
	req := &zinniaquayv1.FetchConfigurationRequest{}
	if base != nil {
		req.HaveNumber = base.Number
	}
	if base != nil && !full {
		req.HaveDigest = base.Digest
	}
	resp, err := n.Caller.FetchConfiguration(ctx, addr, req)
	if err != nil {
		return err
	}
	if resp.GetNumber() < minNumber {
		return configstore.ErrNothingNewer
	}
	if err := n.Store.ApplyFetched(base, resp); err != nil {
		return err
	}
	if len(resp.GetDocument()) > 0 {
		n.count.fetchedWhole.Inc(1)
	} else {
		n.count.fetchedDeltas.Inc(1)
	}
	return nil
}

// queueHint queues a higher number that a peer has, for fetchLoop to fetch. When
// the queue is full the hint is dropped: the next message repeats the number.
func (n *Node) queueHint(number uint64, addr string) {
	if number <= n.Store.Number() {
		return
	}
	n.observeNumber(number)
	select {
	case n.hints <- hint{number, addr}:
	default:
		n.count.hintsDropped.Inc(1)
	}
}

// fetchLoop fetches configurations that peers have reported, from a few peers at
// a time so that a silent peer does not block the others.
func (n *Node) fetchLoop(ctx context.Context) {
	fetches := pool.New().WithMaxGoroutines(maxFetches)
	defer fetches.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-n.hints:
			if h.number <= n.Store.Number() || !n.isStarted() {
				continue
			}
			fetches.Go(func() {
				if err := n.fetchShared(ctx, h.addr); err != nil {
					n.Log.V(1).Info("could not fetch the configuration from a peer", "peer", h.addr, "number", h.number, "reason", err.Error())
				}
			})
		}
	}
}
