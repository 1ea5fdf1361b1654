package router

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestQueueSwitchesToNewestFirstUnderOverload(t *testing.T) {
	is := is.New(t)
	q := newQueues()
	start := time.Unix(0, 0)
	for i, id := range []string{"a", "b", "c"} {
		q.push(&request{id: id, account: "village", queuedAt: start.Add(time.Duration(i) * time.Millisecond)})
	}
	ids := func(n int, now time.Time) string {
		s := ""
		for _, r := range q.heads(queueKey{account: "village"}, n, now) {
			s += r.id
		}
		return s
	}
	is.Equal(ids(2, start.Add(lifoThreshold-1)), "ab")
	is.Equal(ids(2, start.Add(lifoThreshold)), "cb")
	is.Equal(ids(9, start.Add(lifoThreshold)), "cba")
	is.Equal(len(q.heads(queueKey{account: "other"}, 2, start)), 0)
}
