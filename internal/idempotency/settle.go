package idempotency

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

const (
	// settlers is how many records are settled at once.
	settlers = 4
	// settlePause is the pause before a record that could not be settled is
	// tried again.
	settlePause = time.Second
	// drainEvery is how often Drain looks whether all records are settled.
	drainEvery = 10 * time.Millisecond
)

// free is the state of a key without a record.
const free = zinniaquayv1.KeyRecord_unspecified

// errRaced means that another request changed the page in between.
var errRaced = errors.New("page changed in between")

// settlement is what is to become of a claimed key.
type settlement struct {
	claim  *Claim
	state  zinniaquayv1.KeyRecord_State
	answer *zinniaquayv1.RecordedAnswer
}

// Release frees a key whose request certainly did not run and will not. If the
// key-value service does not answer, the key is freed later.
func (k *Keys) Release(ctx context.Context, c *Claim) {
	s := settlement{claim: c, state: free}
	if err := k.settle(ctx, s); err != nil {
		k.later(s)
	}
}

// Done records the whole answer of a claimed request, in the background.
func (k *Keys) Done(c *Claim, answer *zinniaquayv1.RecordedAnswer) {
	k.later(settlement{claim: c, state: zinniaquayv1.KeyRecord_done, answer: answer})
}

// Unknown records, in the background, that a claimed request may have run.
func (k *Keys) Unknown(c *Claim) {
	k.later(settlement{claim: c, state: zinniaquayv1.KeyRecord_outcome_unknown})
}

// later settles a key in the background. If the ring is full the record stays
// claimed: callers hear KeyInUse, after its deadline OutcomeUnknown, until it
// expires. All of that is true.
func (k *Keys) later(s settlement) {
	k.pending.Add(1)
	if !k.ring.Offer(s) {
		k.pending.Add(-1)
		k.opts.Log.Info("idempotency key left claimed", "request", s.claim.owner)
	}
}

// Run settles keys in the background until the context ends.
func (k *Keys) Run(ctx context.Context) {
	var duties conc.WaitGroup
	for range settlers {
		duties.Go(func() { k.settleAll(ctx) })
	}
	duties.Wait()
}

// settleAll takes records from the ring, one after the other.
func (k *Keys) settleAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-k.ring.Values():
			k.untilSettled(ctx, s)
			k.pending.Add(-1)
		}
	}
}

// untilSettled tries until a record is settled or the context ends.
func (k *Keys) untilSettled(ctx context.Context, s settlement) {
	for {
		err := k.settle(ctx, s)
		if err == nil {
			return
		}
		k.opts.Log.V(1).Info("idempotency key not settled yet", "request", s.claim.owner, "err", err.Error())
		timer := time.NewTimer(settlePause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// Drain waits until all keys are settled or the context ends.
func (k *Keys) Drain(ctx context.Context) error {
	tick := time.NewTicker(drainEvery)
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

// settle brings the record of a key to its state.
func (k *Keys) settle(ctx context.Context, s settlement) error {
	for range claimTries {
		err := k.trySettle(ctx, s)
		if !errors.Is(err, errRaced) {
			return err
		}
	}
	return errRaced
}

// trySettle reads the page and swaps the changed one in.
func (k *Keys) trySettle(ctx context.Context, s settlement) error {
	c := s.claim
	p, revision, err := k.read(ctx, c.page)
	if err != nil {
		return err
	}
	record := p.find(c.keyDigest)
	if record.GetOwner() != c.owner {
		// The claim is not there. If it may come yet, the page is written once
		// more: at a higher revision the late write can't take effect.
		if !c.uncertain || revision != c.fence {
			return nil
		}
	} else if !s.apply(p, record) {
		return nil
	}
	swapped, err := k.write(ctx, c, p, revision, time.Now())
	switch {
	case err != nil:
		return err
	case !swapped:
		return errRaced
	}
	return nil
}

// apply changes the owner's record in a page. It reports false if the record
// is as it should be already.
func (s settlement) apply(p *page, record *zinniaquayv1.KeyRecord) bool {
	if s.state == free {
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
