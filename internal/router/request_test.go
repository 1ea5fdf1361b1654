package router

import (
	"testing"

	"github.com/matryer/is"
)

func TestTheTargetSeesTheCallersRequestIDUntilAHandOutMayHaveRun(t *testing.T) {
	is := is.New(t)
	r := &request{id: "request"}
	is.Equal(r.targetID(), "request")
	r.handouts++ // the first hand-out never started
	is.Equal(r.targetID(), "request")
	r.handouts++
	r.retries++ // the second one may have run
	is.Equal(r.targetID(), "request.2")
}
