// Package idempotency makes a request with an Idempotency-Key run at most once
// across all routers. A key is claimed in the platform's key-value service by
// compare-and-swap before the request is handed out.
//
// States of a key:
//
//	free:            no record
//	claimed:         one request owns the key; it waits or may be running
//	done:            that request ran; later ones hear its answer
//	outcome unknown: that request may have run and nobody knows its answer
//
// Transitions: free to claimed by the request that swaps its record in; claimed
// to free when the owner certainly did not run; claimed to done when its answer
// is whole; claimed to outcome unknown otherwise. Nothing but time leads out of
// done and outcome unknown: a record is dropped after its retention.
package idempotency

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/ring"
)

const (
	// Retention is how long a key is remembered after it was claimed.
	Retention = time.Hour
	// pages is the number of values that all keys are spread over.
	pages = 1 << 16
	// callTimeout bounds one call to the key-value service.
	callTimeout = 500 * time.Millisecond
	// claimTries is how often a claim that lost a race, or whose answer was
	// lost, is tried.
	claimTries = 6
	// settleRing is how many records may wait to be settled.
	settleRing = 4096
)

// Options are what keys need.
type Options struct {
	// KV is the platform's key-value service.
	KV platform.KV
	// Metrics takes the metrics.
	Metrics metrics.Registry
	// Log takes structured logs.
	Log logr.Logger
}

// Keys claims and settles idempotency keys. It is safe for concurrent use.
type Keys struct {
	opts    Options
	ring    *ring.Ring[settlement]
	pending atomic.Int64
}

// New returns keys that settle nothing in the background until Run.
func New(o Options) *Keys {
	return &Keys{opts: o, ring: ring.New[settlement]("idempotency_settle", settleRing, o.Metrics)}
}

// Request is a request that presents a key.
type Request struct {
	// Account, Service and Key name the key.
	Account, Service, Key string
	// Digest tells the request from others.
	Digest [sha256.Size]byte
	// Owner is the request's ID, unique in the fleet.
	Owner string
	// Timeout is the time by which the request has ended.
	Timeout time.Duration
}

// Digest returns the digest of a list of parts.
func Digest(parts ...[]byte) [sha256.Size]byte {
	h := sha256.New()
	for _, p := range parts {
		// Lengths keep parts apart. A hash takes everything.
		_ = binary.Write(h, binary.BigEndian, uint64(len(p)))
		_, _ = h.Write(p)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// Claim is a key that a request owns until it is settled.
type Claim struct {
	page      string
	keyDigest []byte
	owner     string
	// uncertain says that a write at the revision fence may take effect yet.
	uncertain bool
	fence     uint64
}

// newClaim returns the claim of a request that has not been written.
func newClaim(r Request) *Claim {
	digest := Digest([]byte(r.Account), []byte(r.Service), []byte(r.Key))
	number := binary.BigEndian.Uint32(digest[:]) % pages
	return &Claim{page: fmt.Sprintf("idempotency/%04x", number), keyDigest: digest[:], owner: r.Owner}
}

// Claim claims a key for a request. It returns the claim, or the recorded answer
// of the request that owned the key before, or an error: KeyInUse, KeyReused,
// AlreadyRan and OutcomeUnknown tell of that other request, and after
// PlatformUnavailable this one must not run.
func (k *Keys) Claim(ctx context.Context, r Request) (*Claim, *zinniaquayv1.RecordedAnswer, error) {
	c := newClaim(r)
	var failure error
	for range claimTries {
		owned, answer, err := k.tryClaim(ctx, c, r)
		switch {
		case owned:
			return c, nil, nil
		case answer != nil:
			return nil, answer, nil
		case err == nil:
			continue // another request changed the page in between
		case errkind.Of(err) != errkind.PlatformUnavailable:
			return nil, nil, err
		}
		failure = err
		if ctx.Err() != nil {
			break
		}
	}
	if c.uncertain {
		k.later(settlement{claim: c, state: free})
	}
	if failure == nil {
		failure = errkind.New(errkind.PlatformUnavailable, "too many requests claim idempotency keys at once")
	}
	return nil, nil, failure
}

// tryClaim reads the page and swaps the record in. It reports whether the claim
// is owned; without any result, the page has changed in between.
func (k *Keys) tryClaim(ctx context.Context, c *Claim, r Request) (bool, *zinniaquayv1.RecordedAnswer, error) {
	p, revision, err := k.read(ctx, c.page)
	if err != nil {
		return false, nil, err
	}
	now := time.Now()
	if old := p.find(c.keyDigest); old != nil && !expired(old, now) {
		if old.GetOwner() == c.owner {
			// The write took effect and its answer was lost.
			return true, nil, nil
		}
		answer, err := judge(old, r.Digest[:], now)
		return false, answer, err
	}
	p.add(&zinniaquayv1.KeyRecord{
		KeyDigest:      c.keyDigest,
		RequestDigest:  r.Digest[:],
		State:          zinniaquayv1.KeyRecord_claimed,
		Owner:          c.owner,
		RunUntilUnixMs: now.Add(r.Timeout).UnixMilli(),
		ExpiresUnixMs:  now.Add(r.Timeout + Retention).UnixMilli(),
	})
	swapped, err := k.write(ctx, c, p, revision, now)
	return swapped, nil, err
}

// read reads a page.
func (k *Keys) read(ctx context.Context, key string) (*page, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := k.opts.KV.Get(ctx, key)
	if err != nil {
		return nil, 0, errkind.Wrap(errkind.PlatformUnavailable, err, "the idempotency key can't be read now")
	}
	p, err := decodePage(entry.Value)
	if err != nil {
		return nil, 0, errkind.Wrap(errkind.PlatformUnavailable, err, "the idempotency key can't be read")
	}
	return p, entry.Revision, nil
}

// write swaps a page in. After an error, the write may take effect yet.
func (k *Keys) write(ctx context.Context, c *Claim, p *page, revision uint64, now time.Time) (bool, error) {
	value, err := p.encode(now)
	if err != nil {
		return false, err
	}
	if len(value) > maxPageBytes {
		return false, errkind.New(errkind.PlatformUnavailable, "too many idempotency keys are in use")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	swapped, _, err := k.opts.KV.CompareAndSwap(ctx, c.page, revision, value)
	if err != nil {
		c.uncertain, c.fence = true, revision
		return false, errkind.Wrap(errkind.PlatformUnavailable, err, "the idempotency key can't be claimed now")
	}
	return swapped, nil
}
