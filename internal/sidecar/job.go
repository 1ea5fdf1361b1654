package sidecar

import (
	"context"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
)

// jobState is the state of a request at the sidecar.
//
//	claiming: a claim is on its way to the router
//	started:  the request was, or is about to be, offered to the target
//	ended:    the answer is complete, or the request can never start
//
// Transitions: claiming to started when the claim is granted in time, claiming
// to ended when it is not or when a tombstone comes first, started to ended
// when the answer ends. A tombstone never ends a started job. An ended job is
// dropped when its router has the whole answer, or after linger.
type jobState int

const (
	claiming jobState = iota
	started
	ended
)

// job is one request at the sidecar. Its fields but answer belong to the
// sidecar's lock.
type job struct {
	id        string
	account   string
	state     jobState
	claimedAt time.Time
	endedAt   time.Time
	answer    *buffer
	receipt   receipt
	// granted says that the router handed the request out to this sidecar and
	// waits for its answer.
	granted bool
	// stop cancels the run; it is set when the job has started.
	stop context.CancelFunc
}

// bar ends a job that has not started. It reports whether the job is now
// certain never to start.
func (j *job) bar(now time.Time, why string) bool {
	if j.state != claiming {
		return false
	}
	j.state = ended
	j.endedAt = now
	j.answer.end(&zinniaquayv1.End{
		ErrorKind: string(errkind.NoTarget),
		Message:   why,
		NotRun:    true,
	})
	return true
}

// ran reports whether the job has started at any time.
func (j *job) ran() bool { return j.stop != nil }
