package router

import (
	"slices"
	"strings"
	"time"
)

// overloadAfter is how long the oldest request of a queue waits before the
// newest ones come first.
const overloadAfter = 500 * time.Millisecond

// queueKey names a queue: requests of one client account that the same targets
// may serve.
type queueKey struct{ account, service, version string }

// queues holds the waiting requests in order of arrival. It is not safe for
// concurrent use.
type queues struct {
	byKey   map[queueKey][]*request
	byID    map[string]*request
	perAcct map[string]int
}

// newQueues returns empty queues.
func newQueues() *queues {
	return &queues{
		byKey:   make(map[queueKey][]*request),
		byID:    make(map[string]*request),
		perAcct: make(map[string]int),
	}
}

// key returns the key of a request's queue.
func key(r *request) queueKey { return queueKey{r.account, r.service, r.version} }

// push appends a request to its queue.
func (q *queues) push(r *request) {
	q.insert(len(q.byKey[key(r)]), r)
}

// pushByAge puts a request in its queue among those that were queued about when
// it was.
func (q *queues) pushByAge(r *request) {
	at, _ := slices.BinarySearchFunc(q.byKey[key(r)], r.queuedAt, func(other *request, t time.Time) int {
		return other.queuedAt.Compare(t)
	})
	q.insert(at, r)
}

// pushFront puts a request back at the head of its queue.
func (q *queues) pushFront(r *request) {
	q.insert(0, r)
}

// insert puts a request at a place of its queue.
func (q *queues) insert(at int, r *request) {
	k := key(r)
	q.byKey[k] = slices.Insert(q.byKey[k], at, r)
	q.byID[r.id] = r
	q.perAcct[r.account]++
}

// remove takes a request out of its queue, if it is there.
func (q *queues) remove(r *request) {
	k := key(r)
	i := slices.Index(q.byKey[k], r)
	if i < 0 {
		return
	}
	q.byKey[k] = slices.Delete(q.byKey[k], i, i+1)
	if len(q.byKey[k]) == 0 {
		delete(q.byKey, k)
	}
	delete(q.byID, r.id)
	q.perAcct[r.account]--
	if q.perAcct[r.account] == 0 {
		delete(q.perAcct, r.account)
	}
}

// find returns the waiting request with a hand-out ID, or nil.
func (q *queues) find(handoutID string) *request {
	i := strings.LastIndexByte(handoutID, '.')
	if i < 0 {
		return nil
	}
	r := q.byID[handoutID[:i]]
	if r == nil || r.handoutID() != handoutID {
		return nil
	}
	return r
}

// heads returns the n requests of a queue that are to run first: the oldest
// ones, or the newest ones first once the oldest has waited for overloadAfter.
// Under overload the oldest are those whose callers are about to go, and work
// for them would be lost.
func (q *queues) heads(k queueKey, n int, now time.Time) []*request {
	queue := q.byKey[k]
	n = min(n, len(queue))
	if n == 0 || now.Sub(queue[0].queuedAt) < overloadAfter {
		return queue[:n]
	}
	newest := slices.Clone(queue[len(queue)-n:])
	slices.Reverse(newest)
	return newest
}

// crowding returns the newest request of the account with the most waiting, or
// nil if none waits.
func (q *queues) crowding() *request {
	var newest *request
	for _, queue := range q.byKey {
		last := queue[len(queue)-1]
		if newest == nil || q.perAcct[last.account] > q.perAcct[newest.account] ||
			last.account == newest.account && last.queuedAt.After(newest.queuedAt) {
			newest = last
		}
	}
	return newest
}

// waitingOf returns how many requests of an account wait.
func (q *queues) waitingOf(account string) int { return q.perAcct[account] }

// waitingByAccount returns how many requests of each account wait.
func (q *queues) waitingByAccount() map[string]uint64 {
	out := make(map[string]uint64, len(q.perAcct))
	for account, n := range q.perAcct {
		out[account] = uint64(n)
	}
	return out
}

// len returns how many requests wait.
func (q *queues) len() int { return len(q.byID) }
