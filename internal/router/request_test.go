package router

import (
	"testing"

	"github.com/matryer/is"
)

func TestTargetRequestIDChangesOnceAnAttemptMayHaveRun(t *testing.T) {
	is := is.New(t)
	r := &request{id: "request"}
	is.Equal(r.targetRequestID(), "request")
	r.attempt++ // the first attempt never started
	is.Equal(r.targetRequestID(), "request")
	r.attempt++
	r.retries++ // the second one may have run
	is.Equal(r.targetRequestID(), "request.2")
}
