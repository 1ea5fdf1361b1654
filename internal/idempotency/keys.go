// Package idempotency makes a request with an Idempotency-Key run at most once
// across all routers. A key is claimed in the platform's key-value service by
// compare-and-swap before the request is dispatched.
//
// States of a key:
//
//	free:            no record
//	claimed:         one request owns the key; it waits or may be running
//	done:            that request ran; later ones receive its answer
//	outcome unknown: that request may have run and its answer is not known
//
// Transitions: free to claimed when a request writes its record; claimed to free
// when the owner certainly did not run; claimed to done when its answer is
// complete; claimed to outcome unknown otherwise. Records in the states done and
// outcome unknown change only by expiry: they are dropped after their retention.
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
	// Retention is how long a key is kept after the deadline of the request that
	// claimed it.
	Retention = time.Hour
	// pageCount is the number of pages, each one value of the key-value service,
	// over which keys are distributed.
	pageCount = 1 << 16
	// callTimeout is the deadline of one call to the key-value service.
	callTimeout = 500 * time.Millisecond
	// maxAttempts is the maximum number of attempts to claim or settle a key that
	// lost a race, or to claim one after a failed call.
	maxAttempts = 6
	// settleQueueSize is the maximum number of settlements that wait in the queue.
	settleQueueSize = 4096
)

// Options configures Keys.
type Options struct {
	// KV is the platform's key-value service.
	KV platform.KV
	// Metrics is the registry for metrics.
	Metrics metrics.Registry
	// Log is the structured logger.
	Log logr.Logger
}

// Keys claims and settles idempotency keys. It is safe for concurrent use.
type Keys struct {
	opts    Options
	queue   *ring.Ring[settlement]
	pending atomic.Int64
}

// New returns Keys. Background settlement starts with Run.
func New(o Options) *Keys {
	return &Keys{opts: o, queue: ring.New[settlement]("idempotency_settle", settleQueueSize, o.Metrics)}
}

// Request is a request that carries an idempotency key.
type Request struct {
	// Account, Service and Key together identify the key.
	Account, Service, Key string
	// Digest identifies the content of the request.
	Digest [sha256.Size]byte
	// Owner is the ID of the request, unique in the fleet.
	Owner string
	// Timeout is the time after which the request has certainly ended.
	Timeout time.Duration
}

// Digest returns the digest of a list of parts.
func Digest(parts ...[]byte) [sha256.Size]byte {
	h := sha256.New()
	for _, p := range parts {
		// Length prefixes separate the parts. Writes to a hash never fail.
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
	// uncertain is set while a write that expects uncertainRevision may still take
	// effect.
	uncertain         bool
	uncertainRevision uint64
}

// newClaim returns the claim of a request, not yet written.
func newClaim(r Request) *Claim {
	digest := Digest([]byte(r.Account), []byte(r.Service), []byte(r.Key))
	number := binary.BigEndian.Uint32(digest[:]) % pageCount
	return &Claim{page: fmt.Sprintf("idempotency/%04x", number), keyDigest: digest[:], owner: r.Owner}
}

// Claim claims a key for a request. It returns the claim, or the recorded answer
// of an earlier request with the key, or an error. KeyInUse, KeyReused,
// AlreadyRan and OutcomeUnknown describe the earlier request. After
// PlatformUnavailable the request must not run.
func (k *Keys) Claim(ctx context.Context, r Request) (*Claim, *zinniaquayv1.RecordedAnswer, error) {
	c := newClaim(r)
	var failure error
	for range maxAttempts {
		owned, answer, err := k.tryClaim(ctx, c, r)
		switch {
		case owned:
			return c, nil, nil
		case answer != nil:
			return nil, answer, nil
		case err == nil:
			continue // another request changed the page between read and write
		case errkind.Of(err) != errkind.PlatformUnavailable:
			return nil, nil, err
		}
		failure = err
		if ctx.Err() != nil {
			break
		}
	}
	if c.uncertain {
		k.enqueue(settlement{claim: c, state: stateFree})
	}
	if failure == nil {
		failure = errkind.New(errkind.PlatformUnavailable, "too many requests claim idempotency keys at once")
	}
	return nil, nil, failure
}

// tryClaim reads the page and adds the record by compare-and-swap. It reports
// whether the request owns the key. If all results are zero, another request
// changed the page between read and write.
func (k *Keys) tryClaim(ctx context.Context, c *Claim, r Request) (bool, *zinniaquayv1.RecordedAnswer, error) {
	p, revision, err := k.readPage(ctx, c.page)
	if err != nil {
		return false, nil, err
	}
	now := time.Now()
	if old := p.find(c.keyDigest); old != nil && !expired(old, now) {
		if old.GetOwner() == c.owner {
			// An earlier write took effect, but its response was lost.
			return true, nil, nil
		}
		answer, err := outcomeForDuplicate(old, r.Digest[:], now)
		return false, answer, err
	}
	p.put(&zinniaquayv1.KeyRecord{
		KeyDigest:      c.keyDigest,
		RequestDigest:  r.Digest[:],
		State:          zinniaquayv1.KeyRecord_claimed,
		Owner:          c.owner,
		RunUntilUnixMs: now.Add(r.Timeout).UnixMilli(),
		ExpiresUnixMs:  now.Add(r.Timeout + Retention).UnixMilli(),
	})
	swapped, err := k.writePage(ctx, c, p, revision, now)
	return swapped, nil, err
}

// readPage reads and decodes a page.
func (k *Keys) readPage(ctx context.Context, key string) (*page, uint64, error) {
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

// writePage writes a page by compare-and-swap. After an error the write may still
// take effect.
func (k *Keys) writePage(ctx context.Context, c *Claim, p *page, revision uint64, now time.Time) (bool, error) {
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
		c.uncertain, c.uncertainRevision = true, revision
		return false, errkind.Wrap(errkind.PlatformUnavailable, err, "the idempotency key can't be claimed now")
	}
	return swapped, nil
}
