package idempotency

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

// newKeys returns Keys that use a key-value service, and runs them until the test
// ends.
func newKeys(t *testing.T, kv platform.KV) *Keys {
	t.Helper()
	k := New(Options{KV: kv, Metrics: metrics.NewRegistry(), Log: logr.Discard()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return k
}

// request returns a request with key "k" and a body.
func request(owner, body string) Request {
	return Request{Account: "village", Service: "kits", Key: "k", Owner: owner, Digest: Digest([]byte(body)), Timeout: time.Minute}
}

func TestDuplicateRequestGetsTheOutcomeOfTheFirst(t *testing.T) {
	response := &zinniaquayv1.RecordedAnswer{Status: 201, Body: []byte("kit 7")}
	for name, c := range map[string]struct {
		settle func(*Keys, *Claim)
		wait   time.Duration
		body   string
		kind   errkind.Kind // "" for the recorded answer
		free   bool
	}{
		"in progress":        {settle: func(*Keys, *Claim) {}, kind: errkind.KeyInUse},
		"never settled":      {settle: func(*Keys, *Claim) {}, wait: 2 * time.Minute, kind: errkind.OutcomeUnknown},
		"another request":    {settle: func(*Keys, *Claim) {}, body: "other", kind: errkind.KeyReused},
		"done":               {settle: func(k *Keys, c *Claim) { k.Done(c, response) }},
		"response too large": {settle: func(k *Keys, c *Claim) { k.Done(c, &zinniaquayv1.RecordedAnswer{LeftOut: true}) }, kind: errkind.AlreadyRan},
		"outcome unknown":    {settle: func(k *Keys, c *Claim) { k.Unknown(c) }, kind: errkind.OutcomeUnknown},
		"did not run":        {settle: func(k *Keys, c *Claim) { k.Release(context.Background(), c) }, free: true},
		"expired record":     {settle: func(k *Keys, c *Claim) { k.Done(c, response) }, wait: Retention + 10*time.Minute, free: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				kv := platform.NewMemory()
				first, second := newKeys(t, kv), newKeys(t, kv)
				claim, _, err := first.Claim(t.Context(), request("r1", "body"))
				is.NoErr(err)
				c.settle(first, claim)
				is.NoErr(first.Drain(t.Context()))
				time.Sleep(c.wait)
				body := c.body
				if body == "" {
					body = "body"
				}
				again, recorded, err := second.Claim(t.Context(), request("r2", body))
				is.Equal(again != nil, c.free)
				is.Equal(recorded != nil, !c.free && c.kind == "")
				is.Equal(err != nil, c.kind != "")
				if err != nil {
					is.Equal(errkind.Of(err), c.kind)
				}
				if recorded != nil {
					is.Equal(string(recorded.GetBody()), "kit 7")
				}
			})
		})
	}
}

func TestLostWriteResponseIsResolvedByReadingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		kv := platform.NewMemory()
		k := newKeys(t, kv)
		kv.SetFaults(platform.Faults{LoseWriteAnswers: true})
		claim, _, err := k.Claim(t.Context(), request("r1", "body"))
		is.NoErr(err)
		is.True(claim != nil)
		is.Equal(kv.Calls().Writes, uint64(1)) // the claim is written once only
	})
}

// delayedFirstWrite fails the first write and takes the service down. deliver
// applies that write later.
type delayedFirstWrite struct {
	*platform.Memory
	deliver func()
}

// CompareAndSwap implements platform.KV.
func (d *delayedFirstWrite) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (bool, uint64, error) {
	if d.deliver != nil {
		return d.Memory.CompareAndSwap(ctx, key, expected, value)
	}
	d.deliver = func() { _, _, _ = d.Memory.CompareAndSwap(context.Background(), key, expected, value) }
	d.SetFaults(platform.Faults{Down: true})
	return false, 0, platform.ErrUnavailable
}

func TestFailedClaimCannotTakeEffectLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		kv := &delayedFirstWrite{Memory: platform.NewMemory()}
		k := newKeys(t, kv)
		_, _, err := k.Claim(t.Context(), request("r1", "body"))
		is.Equal(errkind.Of(err), errkind.PlatformUnavailable)
		time.Sleep(time.Minute)
		kv.SetFaults(platform.Faults{})
		is.NoErr(k.Drain(t.Context()))
		kv.deliver() // the delayed write is applied
		claim, _, err := k.Claim(t.Context(), request("r2", "body"))
		is.NoErr(err)
		is.True(claim != nil)
	})
}

func TestEncodeDropsExpiredRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now := time.Now()
		p := &page{}
		for i := range 100 {
			p.put(&zinniaquayv1.KeyRecord{KeyDigest: fmt.Appendf(nil, "k%d", i), ExpiresUnixMs: now.Add(time.Duration(i) * time.Minute).UnixMilli()})
		}
		value, err := p.encode(now.Add(50*time.Minute + maxClockSkew))
		is.NoErr(err)
		kept, err := decodePage(value)
		is.NoErr(err)
		is.Equal(len(kept.records), 49)
	})
}

// TestKeyHasOneOwnerUnderFaults runs concurrent requests with one key against a
// key-value service with random faults. At most one of them may run. A request that
// releases the key without running lets another one claim it.
func TestKeyHasOneOwnerUnderFaults(t *testing.T) {
	for seed := range uint64(2000) {
		synctest.Test(t, func(t *testing.T) { checkOneOwner(t, seed) })
	}
}

func checkOneOwner(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	kv := platform.NewMemory()
	routers := []*Keys{newKeys(t, kv), newKeys(t, kv), newKeys(t, kv)}
	ran := make(chan string, 16)
	for i := range 6 {
		k, wait, end := routers[rng.IntN(3)], time.Duration(rng.IntN(3000))*time.Millisecond, rng.IntN(3)
		go func() {
			time.Sleep(wait)
			claim, _, err := k.Claim(t.Context(), request(fmt.Sprint(i), "body"))
			if err != nil || claim == nil {
				return
			}
			switch end {
			case 0:
				k.Release(t.Context(), claim)
			case 1:
				ran <- fmt.Sprint(i)
				k.Unknown(claim)
			default:
				ran <- fmt.Sprint(i)
				k.Done(claim, &zinniaquayv1.RecordedAnswer{Status: 200})
			}
		}()
	}
	for range 8 {
		time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
		kv.SetFaults(platform.Faults{
			Down:             rng.IntN(3) == 0,
			LoseWriteAnswers: rng.IntN(3) == 0,
			Slow:             time.Duration(rng.IntN(700)) * time.Millisecond,
		})
	}
	kv.SetFaults(platform.Faults{})
	time.Sleep(time.Minute)
	if len(ran) > 1 {
		t.Errorf("seed %d: %d requests with one key ran", seed, len(ran))
	}
}

func TestRequestWithKeyTakesTwoReadsAndTwoWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		kv := platform.NewMemory()
		k := newKeys(t, kv)
		claim, _, err := k.Claim(t.Context(), request("0190f0e0-7c7e-7000-8000-000000000000", "body"))
		is.NoErr(err)
		k.Done(claim, &zinniaquayv1.RecordedAnswer{Status: 200, Body: make([]byte, 64)})
		is.NoErr(k.Drain(t.Context()))
		is.Equal(kv.Calls(), platform.Calls{Reads: 2, Writes: 2})
		entry, err := kv.Get(t.Context(), claim.page)
		is.NoErr(err)
		t.Logf("a record with a response body of 64 bytes takes %d bytes", len(entry.Value))
	})
}
