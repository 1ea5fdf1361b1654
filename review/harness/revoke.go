package main

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/zinniaquay/zinniaquay/platform/standin"
)

const (
	revokeGateways  = 3
	revokeWorkers   = 3
	revokeDesks     = 3
	revokeClients   = 30
	revokePerSecond = 90
	revokeLength    = 25 * time.Second
	// revokeBound is the site's revoke_ms.
	revokeBound = 5 * time.Second
	// The cut of one gateway from the store. The other times count from its start: when the key
	// is taken away, when the store goes away and comes back, and when the operator and the
	// workers have written again what was lost.
	cutAt       = 8 * time.Second
	cutLength   = 5500 * time.Millisecond
	revokeAfter = 200 * time.Millisecond
	awayAfter   = 4 * time.Second
	awayLength  = time.Second
	againAfter  = awayAfter + awayLength + 2*time.Second
	// copyAge is the age of the copy from which the store comes back.
	copyAge = 5500 * time.Millisecond
	// revokedKey is the key that is taken away.
	revokedKey = "key-of-crew"
)

// playRevoke takes a key away while one gateway is partitioned from the store. Then a drill
// restores the store from a copy that is older than this change.
func playRevoke(f *fleet, trouble bool) error {
	f.keys = []string{apiKey, revokedKey}
	f.configure()
	workers, err := f.startWorkers(revokeWorkers, revokeDesks)
	if err != nil {
		return err
	}
	toStore, err := newLink(f.storeAddr)
	if err != nil {
		return err
	}
	for i := range revokeGateways {
		addr := f.storeAddr
		if i == 0 {
			addr = toStore.addr()
		}
		if err := f.addGatewayTo(i, addr); err != nil {
			return err
		}
	}
	if err := f.waitReady(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeLength)
	defer cancel()
	go f.watchReadiness(ctx)
	var acked time.Time
	go func() {
		time.Sleep(cutAt)
		if trouble {
			f.record.line("%s is cut from the store for %s", f.gateways[0].name, cutLength)
			toStore.cut(cutLength)
		}
		time.Sleep(revokeAfter)
		f.keys = []string{apiKey}
		f.configure()
		acked = time.Now()
		f.record.line("the store has accepted the configuration without the key %s", revokedKey)
		if !trouble {
			return
		}
		time.Sleep(awayAfter - revokeAfter)
		f.drill(toStore)
	}()
	results := f.sendKeys(ctx)
	return f.judgeRevoked(workers, results, acked)
}

// drill has the store away for a moment and come back from a copy.
func (f *fleet) drill(toStore *link) {
	f.record.line("the store is away")
	f.store.SetFaults(standin.StoreFaults{Reset: true})
	toStore.endChannels()
	time.Sleep(awayLength)
	writeAgain := f.store.Restore(copyAge)
	f.store.SetFaults(standin.StoreFaults{})
	f.record.line("the store is back from a copy that is %s old", copyAge)
	time.Sleep(againAfter - awayAfter - awayLength)
	writeAgain()
	f.record.line("the operator and the workers have written again what was lost")
}

// sendKeys sends bookings with both keys in turn until the context ends.
func (f *fleet) sendKeys(ctx context.Context) []result {
	c := newClients(f)
	var mu sync.Mutex
	var results []result
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / revokePerSecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			group.Wait()
			return results
		case <-ticker.C:
		}
		group.Go(func() {
			r := request{attempt: c.attemptID(), path: "book", deadline: 3 * time.Second, key: apiKey}
			if n/revokeClients%2 == 1 {
				r.key = revokedKey
			}
			res := c.do(n%revokeClients, r)
			f.record.line("%s %s %s: %s %d", res.gateway.name, r.key, res.attempt, res.outcome, res.status)
			mu.Lock()
			defer mu.Unlock()
			res.key = r.key
			results = append(results, res)
		})
	}
}

// judgeRevoked counts the requests with the key that were sent later than revokeBound after
// it was taken away, and ran.
func (f *fleet) judgeRevoked(workers []*worker, results []result, acked time.Time) error {
	served, ran := 0, 0
	for _, res := range results {
		if res.outcome == answered && res.status == http.StatusOK {
			served++
		}
		after := res.sent.Sub(acked)
		if res.key != revokedKey || after <= revokeBound {
			continue
		}
		for _, w := range workers {
			if at, ok := w.ranAt(res.attempt); ok {
				ran++
				f.record.line("REVOKED: %s, sent to %s %.3f s after the key was taken away, ran at %.3f s", res.attempt, res.gateway.name,
					after.Seconds(), at.Sub(f.record.started).Seconds())
			}
		}
	}
	f.record.verdict("requests: %d, served %d; with the key, sent over %s after it was taken away: ran %d", len(results), served, revokeBound, ran)
	if ran > 0 {
		return errBroken
	}
	return nil
}
