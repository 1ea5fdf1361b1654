package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	crashGateways   = 3
	crashWorkers    = 12
	crashDesks      = 1
	crashClients    = 30
	crashPerSecond  = 45
	crashLength     = 60 * time.Second
	crashingPart    = "bad0bad0"
	firstBatch      = 6
	firstBatchPause = 80 * time.Millisecond
	firstBatchAt    = 3 * time.Second
	// badInterval is the pause between two later requests with the part. One falls together
	// with the kill.
	badInterval = 4 * time.Second
	killAfter   = 3 * badInterval
	// countedCrash is the crash from which on, and from siteContact after it, requests with the
	// part count, and badAllowed is the number of them that may reach workers.
	countedCrash = 5
	badAllowed   = 3
	// newClient is added to a client's number for one that has no channels yet.
	newClient = 1000
)

// crashPlay is the state of playCrashes.
type crashPlay struct {
	*fleet
	clients *clients
	workers []*worker

	mu      sync.Mutex
	crashes []time.Time
	bad     []result
	sound   []result
}

// playCrashes sends requests with a part that crashes workers, and kills all gateways at the
// same moment after they have found it out.
func playCrashes(f *fleet, trouble bool) error {
	f.configure()
	workers, err := f.startWorkers(crashWorkers, crashDesks)
	if err != nil {
		return err
	}
	p := &crashPlay{fleet: f, clients: newClients(f), workers: workers}
	for _, w := range workers {
		w.crashingPart, w.crashed = crashingPart, p.recordCrash
	}
	for i := range crashGateways {
		if err := f.addGateway(i); err != nil {
			return err
		}
	}
	if err := f.waitReady(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashLength)
	defer cancel()
	go f.watchReadiness(ctx)
	if trouble {
		time.AfterFunc(firstBatchAt+killAfter, func() {
			f.record.line("all gateways are killed")
			for _, g := range f.gateways {
				g.kill()
			}
		})
	}
	var group sync.WaitGroup
	group.Go(func() { p.sendSound(ctx) })
	group.Go(func() { p.sendBad(ctx) })
	group.Wait()
	return p.judge()
}

func (p *crashPlay) recordCrash(w *worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(p.crashes, time.Now())
	p.record.line("worker %d crashes, crash %d", w.number, len(p.crashes))
}

// sendSound sends sound requests until the context ends. They share the client's key and
// their first part with those that crash workers.
func (p *crashPlay) sendSound(ctx context.Context) {
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / crashPerSecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			group.Wait()
			return
		case <-ticker.C:
		}
		group.Go(func() {
			r := p.request(n, fmt.Sprintf("%x:628", 0xd0000000+n))
			res := p.clients.do(n%crashClients, r)
			p.record.line("sound %s at %s: %s %d", r.attempt, res.gateway.name, res.outcome, res.status)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.sound = append(p.sound, res)
		})
	}
}

// request returns a request with one of the shared first parts.
func (p *crashPlay) request(n int, parts string) request {
	return request{attempt: p.clients.attemptID(), path: "swap", deadline: 10 * time.Second, tokensIn: 826, tokensOut: 300,
		prefix: fmt.Sprintf("aa%02x:198,%s", n%8, parts)}
}

// sendBad sends requests with the part that crashes workers until the context ends: a few at
// once, as a client does that works through a batch, and then one now and then.
func (p *crashPlay) sendBad(ctx context.Context) {
	var group sync.WaitGroup
	var n atomic.Int64
	send := func() {
		i := int(n.Add(1))
		group.Go(func() { p.sendOneBad(ctx, i) })
	}
	pause := func(d time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(d):
			return true
		}
	}
	more := pause(firstBatchAt)
	for range firstBatch {
		send()
		more = more && pause(firstBatchPause)
	}
	for more = more && pause(badInterval-firstBatch*firstBatchPause); more; more = pause(badInterval) {
		send()
	}
	group.Wait()
}

// sendOneBad sends one such request. A client comes back once where it is told when.
func (p *crashPlay) sendOneBad(ctx context.Context, n int) {
	client := crashClients + n
	for range 2 {
		r := p.request(n, fmt.Sprintf("%s:300,%x:328", crashingPart, 0xe0000000+n))
		res := p.clients.do(client, r)
		p.record.line("bad %s at %s: %s %d, retry after %s", r.attempt, res.gateway.name, res.outcome, res.status, res.retryAfter)
		p.mu.Lock()
		p.bad = append(p.bad, res)
		p.mu.Unlock()
		if res.outcome != answered || res.retryAfter == 0 || ctx.Err() != nil {
			return
		}
		time.Sleep(res.retryAfter)
		client += newClient
	}
}

// judge counts the requests with the part that reached workers, sent by machines in touch
// later than siteContact after the fifth crash.
func (p *crashPlay) judge() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	reached, counted := 0, 0
	for _, res := range p.bad {
		at, ran := p.ranAt(res.attempt)
		if !ran {
			continue
		}
		reached++
		inTouch := res.gateway.inTouch(at)
		late := len(p.crashes) >= countedCrash && at.Sub(p.crashes[countedCrash-1]) > siteContact
		if inTouch && late {
			counted++
		}
		p.record.line("bad %s reached a worker at %.3f s from %s, in touch %t, over %s after crash %d %t", res.attempt,
			at.Sub(p.record.started).Seconds(), res.gateway.name, inTouch, siteContact, countedCrash, late)
	}
	broken := 0
	for _, res := range p.sound {
		if _, ran := p.ranAt(res.attempt); ran && (res.outcome != answered || res.status >= http.StatusInternalServerError) {
			broken++
		}
	}
	p.record.verdict("crashes of workers: %d; requests with the part: %d, reached workers: %d, counted: %d of %d allowed",
		len(p.crashes), len(p.bad), reached, counted, badAllowed)
	p.record.verdict("sound requests: %d, of which run and lost with their workers or gateways: %d", len(p.sound), broken)
	if counted > badAllowed {
		return errBroken
	}
	return nil
}

// ranAt returns when a worker began to run an attempt.
func (p *crashPlay) ranAt(attempt string) (time.Time, bool) {
	for _, w := range p.workers {
		if at, ran := w.ranAt(attempt); ran {
			return at, true
		}
	}
	return time.Time{}, false
}
