package sidecar

import (
	"context"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
)

// jobState is the state of a request at the sidecar.
//
//	claiming: a claim is pending at the router
//	started:  the request has been, or is about to be, sent to the target
//	ended:    the response is complete, or the request can never start
//
// Transitions: claiming to started when the claim is granted in time; claiming
// to ended when it is not, or when a tombstone arrives first; started to ended
// when the response ends. A tombstone never ends a started job. An ended job is
// dropped when its router has the complete response, or after
// responseRetention.
type jobState int

const (
	claiming jobState = iota
	started
	ended
)

// job is one request at the sidecar. All fields except response are guarded by
// the sidecar's lock.
type job struct {
	id         string
	account    string
	state      jobState
	claimedAt  time.Time
	endedAt    time.Time
	response   *buffer
	accounting jobAccounting
	// granted means that the router assigned the request to this sidecar and
	// waits for its response.
	granted bool
	// cancel cancels the run. It is set when the job starts.
	cancel context.CancelFunc
}

// endUnstarted ends a job that has not started. It reports whether it ended the
// job, which then can never start.
func (j *job) endUnstarted(now time.Time, reason string) bool {
	if j.state != claiming {
		return false
	}
	j.state = ended
	j.endedAt = now
	j.response.addEnd(&zinniaquayv1.End{
		ErrorKind: string(errkind.NoTarget),
		Message:   reason,
		NotRun:    true,
	})
	return true
}

// hasStarted reports whether the job has ever started.
func (j *job) hasStarted() bool { return j.cancel != nil }
