package router

import (
	"math/rand/v2"
	"time"
)

const (
	// headWindow is how many requests at the head of a queue may be reserved.
	headWindow = 64
	// ticketsEach is how many requests of a queue a target holds reservations of,
	// if as many wait. Places of a target become free at the same time, and while
	// a claim is under way its reservation is not there to be chosen.
	ticketsEach = 4
	// placeWidth is how many sidecars hear of a queue at first.
	placeWidth = 2
	// widenEvery is when more sidecars hear of a queue that still waits.
	widenEvery = 10 * time.Millisecond
	// widenBy is how many times as many as know it hear of it then. With 18
	// eligible targets all have heard after 3 rounds.
	widenBy = 2
	// ticketLife is how long a target counts as knowing a queue without a claim.
	// Sidecars keep reservations for longer.
	ticketLife = 10 * time.Second
	// retryAfter is when a target that took no reservation is tried again.
	retryAfter = 200 * time.Millisecond
	// checkEvery is when a queue that every target knows is looked at again.
	checkEvery = time.Second
)

// tickets says which targets know that a queue waits. Each holds a reservation
// of one of the queue's first requests, and gets the next one with the answer
// to a claim. It belongs to the router's lock.
type tickets struct {
	// known holds when each target was last told or last claimed.
	known map[string]time.Time
	// dueAt is when more targets are due to hear.
	dueAt time.Time
}

// ticketBook holds the tickets of all queues. It belongs to the router's lock.
type ticketBook struct {
	byQueue map[queueKey]*tickets
	// configuration is the number that the tickets were last checked against.
	configuration uint64
}

// newTicketBook returns an empty book.
func newTicketBook() *ticketBook {
	return &ticketBook{byQueue: make(map[queueKey]*tickets)}
}

// of returns the tickets of a queue and makes them if there are none.
func (b *ticketBook) of(k queueKey) *tickets {
	t, ok := b.byQueue[k]
	if !ok {
		t = &tickets{known: make(map[string]time.Time)}
		b.byQueue[k] = t
	}
	return t
}

// told notes that a target knows a queue.
func (b *ticketBook) told(k queueKey, target string, now time.Time) {
	b.of(k).known[target] = now
}

// forget notes that a target holds no reservation of a queue, and may be told
// of it again from the given time on.
func (b *ticketBook) forget(k queueKey, target string, from time.Time) {
	if t, ok := b.byQueue[k]; ok {
		t.known[target] = from.Add(-ticketLife)
		t.dueAt = time.Time{}
	}
}

// sweep drops the tickets of queues that are gone, and makes all queues due
// when the configuration has changed.
func (b *ticketBook) sweep(q *queues, configuration uint64) {
	for k, t := range b.byQueue {
		if len(q.byKey[k]) == 0 {
			delete(b.byQueue, k)
		}
		if configuration != b.configuration {
			t.dueAt = time.Time{}
		}
	}
	b.configuration = configuration
}

// widen returns the targets that are to hear of a queue now, out of those that
// may: widenBy times as many as know it already, and at least placeWidth, at
// random among the others.
func (t *tickets) widen(eligible func() []string, now time.Time) []string {
	if now.Before(t.dueAt) {
		return nil
	}
	var fresh []string
	knowing := 0
	for _, name := range eligible() {
		if at, ok := t.known[name]; ok && now.Sub(at) < ticketLife {
			knowing++
			continue
		}
		fresh = append(fresh, name)
	}
	t.dueAt = now.Add(widenEvery)
	if len(fresh) == 0 {
		t.dueAt = now.Add(checkEvery)
	}
	rand.Shuffle(len(fresh), func(i, j int) { fresh[i], fresh[j] = fresh[j], fresh[i] })
	return fresh[:min(len(fresh), max(placeWidth, widenBy*knowing))]
}

// namingWeight is by how many places in the queue a reservation sets a request
// back, when the next one to name is chosen.
const namingWeight = 4

// toName returns the index of the request at the head of a queue that the next
// reservation names, or -1 if the queue is empty: an old one, but one that few
// reservations name, so that sidecars rarely claim the same request.
func toName(heads []*request) int {
	best := -1
	for i, req := range heads {
		if best < 0 || i+namingWeight*req.reserved < best+namingWeight*heads[best].reserved {
			best = i
		}
	}
	return best
}
