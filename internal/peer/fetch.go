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
	// FetchTimeout is the longest time that one fetch from a peer may take.
	FetchTimeout = time.Second
	// maxFetches is the number of fetches that the fetch duty has under way;
	// further ones wait.
	maxFetches = 4
	// maxFlights is the number of peers that are asked at the same time.
	maxFlights = 16
)

// flight is one fetch that others may wait for.
type flight struct {
	done chan struct{}
	err  error
}

// EnsureAtLeast returns once the configuration in force has at least a number
// that was heard from a peer; it fetches it from that peer if need be. Whoever
// hears a number on a message calls it before acting on the message. Errors are
// of the kind NoConfiguration.
func (n *Node) EnsureAtLeast(ctx context.Context, number uint64, addr string) error {
	if n.Store.Number() >= number {
		return nil
	}
	n.hear(number)
	if !n.isStarted() {
		return errkind.New(errkind.NoConfiguration, "the process has no configuration yet")
	}
	// A fetch that was under way may have begun before the peer had the number,
	// so a second one is worth while.
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

// fetchShared fetches from a peer, or waits for the fetch that is under way.
func (n *Node) fetchShared(ctx context.Context, addr string) error {
	f, own := n.join(addr)
	if !own {
		select {
		case <-f.done:
			return f.err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	// Others wait for this fetch, so the caller's own end must not stop it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), FetchTimeout)
	defer cancel()
	f.err = n.fetch(ctx, addr, 0)
	n.mu.Lock()
	delete(n.flights, addr)
	n.mu.Unlock()
	close(f.done)
	return f.err
}

// join returns the flight to a peer, and whether the caller has to fly it. Over
// maxFlights it returns any flight.
func (n *Node) join(addr string) (f *flight, own bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if f, ok := n.flights[addr]; ok {
		return f, false
	}
	if len(n.flights) >= maxFlights {
		for _, f := range n.flights {
			return f, false
		}
	}
	f = &flight{done: make(chan struct{})}
	n.flights[addr] = f
	return f, true
}

// fetch takes a newer configuration from a peer, by patches and, where these do
// not lead to the peer's digest, as a whole. A number below least is left.
func (n *Node) fetch(ctx context.Context, addr string, least uint64) error {
	err := n.fetchOnce(ctx, addr, least, false)
	if errors.Is(err, configstore.ErrDelta) {
		n.Log.Info("patches did not lead to the peer's configuration", "peer", addr, "reason", err.Error())
		err = n.fetchOnce(ctx, addr, least, true)
	}
	if err != nil && !errors.Is(err, configstore.ErrNothingNewer) {
		n.count.fetchFailed.Inc(1)
	}
	return err
}

func (n *Node) fetchOnce(ctx context.Context, addr string, least uint64, whole bool) error {
	base := n.Store.Current()
	req := &zinniaquayv1.FetchConfigurationRequest{}
	if base != nil {
		req.HaveNumber = base.Number
	}
	if base != nil && !whole {
		req.HaveDigest = base.Digest
	}
	resp, err := n.Caller.FetchConfiguration(ctx, addr, req)
	if err != nil {
		return err
	}
	if resp.GetNumber() < least {
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

// note takes a number that a peer has; the fetch duty fetches it. When the ring
// is full the hint is dropped: the number comes again with the next message.
func (n *Node) note(number uint64, addr string) {
	if number <= n.Store.Number() {
		return
	}
	n.hear(number)
	select {
	case n.heard <- hint{number, addr}:
	default:
		n.count.hintsDropped.Inc(1)
	}
}

// fetchLoop is the duty that fetches numbers that peers were heard to have, from
// a few peers at a time, so that a silent one does not hold up the others.
func (n *Node) fetchLoop(ctx context.Context) {
	fetches := pool.New().WithMaxGoroutines(maxFetches)
	defer fetches.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-n.heard:
			if h.number <= n.Store.Number() || !n.isStarted() {
				continue
			}
			fetches.Go(func() {
				if err := n.fetchShared(ctx, h.addr); err != nil {
					n.Log.V(1).Info("no configuration from a peer", "peer", h.addr, "number", h.number, "reason", err.Error())
				}
			})
		}
	}
}
