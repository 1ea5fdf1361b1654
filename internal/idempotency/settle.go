package idempotency

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

const (
	// settleWorkers is the number of records that are settled concurrently.
	settleWorkers = 4
	// settleRetryDelay is the pause before a failed settlement is retried.
	settleRetryDelay = time.Second
	// drainPollInterval is the interval at which Drain checks for pending settlements.
	drainPollInterval = 10 * time.Millisecond
)

// stateFree is the state of a key without a record.
const stateFree = zinniaquayv1.KeyRecord_unspecified

// errPageChanged means that another request changed the page between read and
// write.
var errPageChanged = errors.New("page changed between read and write")

// settlement is the final state to record for a claimed key.
type settlement struct {
	claim  *Claim
	state  zinniaquayv1.KeyRecord_State
	answer *zinniaquayv1.RecordedAnswer
}

// Release frees a key whose request did not run and will not run. If that fails,
// the key is freed in the background.
func (k *Keys) Release(ctx context.Context, c *Claim) {
	s := settlement{claim: c, state: stateFree}
	if err := k.settle(ctx, s); err != nil {
		k.enqueue(s)
	}
}

// Done records the complete answer of a claimed request, in the background.
func (k *Keys) Done(c *Claim, answer *zinniaquayv1.RecordedAnswer) {
	k.enqueue(settlement{claim: c, state: zinniaquayv1.KeyRecord_done, answer: answer})
}

// Unknown records, in the background, that a claimed request may have run.
func (k *Keys) Unknown(c *Claim) {
	k.enqueue(settlement{claim: c, state: zinniaquayv1.KeyRecord_outcome_unknown})
}

// enqueue settles a key in the background. If the queue is full, the record stays
// claimed until it expires: callers receive KeyInUse until the request's deadline
// and OutcomeUnknown after it. Both are correct for such a request.
func (k *Keys) enqueue(s settlement) {
	k.pending.Add(1)
	if !k.queue.Offer(s) {
		k.pending.Add(-1)
		k.opts.Log.Info("idempotency key left claimed", "request", s.claim.owner)
	}
}

// Run settles keys in the background until the context ends.
func (k *Keys) Run(ctx context.Context) {
	var group conc.WaitGroup
	for range settleWorkers {
		group.Go(func() { k.settleLoop(ctx) })
	}
	group.Wait()
}

// settleLoop settles records from the queue, one at a time.
func (k *Keys) settleLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-k.queue.Values():
			k.settleWithRetry(ctx, s)
			k.pending.Add(-1)
		}
	}
}

// settleWithRetry retries until a record is settled or the context ends.
func (k *Keys) settleWithRetry(ctx context.Context, s settlement) {
	for {
		err := k.settle(ctx, s)
		if err == nil {
			return
		}
		k.opts.Log.V(1).Info("idempotency key not settled yet", "request", s.claim.owner, "err", err.Error())
		timer := time.NewTimer(settleRetryDelay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// Drain waits until no settlement is pending or the context ends.
func (k *Keys) Drain(ctx context.Context) error {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for k.pending.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// settle writes the final state of a key, with retries when it loses a race.
func (k *Keys) settle(ctx context.Context, s settlement) error {
	for range maxAttempts {
		err := k.trySettle(ctx, s)
		if !errors.Is(err, errPageChanged) {
			return err
		}
	}
	return errPageChanged
}

// trySettle reads the page and writes the changed one by compare-and-swap.
func (k *Keys) trySettle(ctx context.Context, s settlement) error {
	c := s.claim
	p, revision, err := k.readPage(ctx, c.page)
	if err != nil {
		return err
	}
	record := p.find(c.keyDigest)
	if record.GetOwner() != c.owner {
		// The page does not contain the claim. If the write of the claim may still
		// take effect, the page is written again unchanged: the late write expects
		// the old revision, so it fails once the revision has increased.
		if !c.uncertain || revision != c.uncertainRevision {
			return nil
		}
	} else if !s.apply(p, record) {
		return nil
	}
	swapped, err := k.writePage(ctx, c, p, revision, time.Now())
	switch {
	case err != nil:
		return err
	case !swapped:
		return errPageChanged
	}
	return nil
}

// apply sets the final state of the owner's record in a page. It returns false if
// the record already has that state.
func (s settlement) apply(p *page, record *zinniaquayv1.KeyRecord) bool {
	if s.state == stateFree {
		p.remove(record.GetKeyDigest())
		return true
	}
	if record.GetState() == s.state {
		return false
	}
	record.State = s.state
	record.Answer = s.answer
	return true
}
