package router

import (
	"slices"
	"strings"
	"time"
)

// lifoThreshold is how long the oldest request of a queue waits before the
// order changes from oldest first to newest first.
const lifoThreshold = 500 * time.Millisecond

// queueKey identifies a queue: the requests of one client account that the
// same targets may serve.
type queueKey struct{ account, service, version string }

// queues holds the waiting requests in order of arrival. It is not safe for
// concurrent use.
type queues struct {
	byKey          map[queueKey][]*request
	byID           map[string]*request
	countByAccount map[string]int
}

func newQueues() *queues {
	return &queues{
		byKey:          make(map[queueKey][]*request),
		byID:           make(map[string]*request),
		countByAccount: make(map[string]int),
	}
}

func queueKeyOf(r *request) queueKey { return queueKey{r.account, r.service, r.version} }

// push appends a request to its queue.
func (q *queues) push(r *request) {
	q.insert(len(q.byKey[queueKeyOf(r)]), r)
}

// pushByQueuedAt inserts a request into its queue in order of queuedAt.
func (q *queues) pushByQueuedAt(r *request) {
	at, _ := slices.BinarySearchFunc(q.byKey[queueKeyOf(r)], r.queuedAt, func(other *request, t time.Time) int {
		return other.queuedAt.Compare(t)
	})
	q.insert(at, r)
}

// pushFront inserts a request at the head of its queue.
func (q *queues) pushFront(r *request) {
	q.insert(0, r)
}

// insert inserts a request into its queue at an index.
func (q *queues) insert(at int, r *request) {
	k := queueKeyOf(r)
	q.byKey[k] = slices.Insert(q.byKey[k], at, r)
	q.byID[r.id] = r
	q.countByAccount[r.account]++
}

// remove removes a request from its queue, if it is there.
func (q *queues) remove(r *request) {
	k := queueKeyOf(r)
	i := slices.Index(q.byKey[k], r)
	if i < 0 {
		return
	}
	q.byKey[k] = slices.Delete(q.byKey[k], i, i+1)
	if len(q.byKey[k]) == 0 {
		delete(q.byKey, k)
	}
	delete(q.byID, r.id)
	q.countByAccount[r.account]--
	if q.countByAccount[r.account] == 0 {
		delete(q.countByAccount, r.account)
	}
}

// find returns the waiting request with an attempt ID, or nil.
func (q *queues) find(attemptID string) *request {
	i := strings.LastIndexByte(attemptID, '.')
	if i < 0 {
		return nil
	}
	r := q.byID[attemptID[:i]]
	if r == nil || r.attemptID() != attemptID {
		return nil
	}
	return r
}

// heads returns up to n requests of a queue in the order in which they are to
// run: oldest first, or newest first once the oldest has waited for
// lifoThreshold. Under overload the callers of the oldest requests are about
// to give up, and work for them would be wasted.
func (q *queues) heads(k queueKey, n int, now time.Time) []*request {
	queue := q.byKey[k]
	n = min(n, len(queue))
	if n == 0 || now.Sub(queue[0].queuedAt) < lifoThreshold {
		return queue[:n]
	}
	newest := slices.Clone(queue[len(queue)-n:])
	slices.Reverse(newest)
	return newest
}

// evictionCandidate returns the newest request of the account with the most
// waiting requests, or nil if none waits.
func (q *queues) evictionCandidate() *request {
	var newest *request
	for _, queue := range q.byKey {
		last := queue[len(queue)-1]
		if newest == nil || q.countByAccount[last.account] > q.countByAccount[newest.account] ||
			last.account == newest.account && last.queuedAt.After(newest.queuedAt) {
			newest = last
		}
	}
	return newest
}

// waitingOf returns the number of waiting requests of an account.
func (q *queues) waitingOf(account string) int { return q.countByAccount[account] }

// waitingByAccount returns the number of waiting requests of each account.
func (q *queues) waitingByAccount() map[string]uint64 {
	out := make(map[string]uint64, len(q.countByAccount))
	for account, n := range q.countByAccount {
		out[account] = uint64(n)
	}
	return out
}

// len returns the number of waiting requests.
func (q *queues) len() int { return len(q.byID) }
