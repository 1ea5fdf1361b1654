package errkind

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestOfReturnsTheKindOfAWrappedError(t *testing.T) {
	is := is.New(t)
	err := fmt.Errorf("outer: %w", New(QueueFull, "account %q has %d waiting", "a", 3))
	is.Equal(Of(err), QueueFull)
	is.Equal(Of(errors.New("plain")), Internal)
}

func TestWriteOmitsTheCause(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	Write(w, Wrap(PlatformUnavailable, errors.New("secret address"), "try later"))
	is.Equal(w.Code, 503)
	is.Equal(w.Header().Get("Retry-After"), "1")
	is.Equal(w.Body.String(), `{"error":{"kind":"platform_unavailable","message":"try later","not_run":true,"retry_after_ms":1000}}`+"\n")
}

func TestKindsThatMayHaveRunAreNotMarkedNotRun(t *testing.T) {
	is := is.New(t)
	for _, k := range []Kind{OutcomeUnknown, TargetFailed, RunTimeout, Canceled, Internal} {
		is.True(!k.Answer().NotRun) // an attempt may have started
	}
	is.Equal(Kind("no such kind").Answer(), Internal.Answer())
}

func TestCallersPageListsEveryKind(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/callers.md")
	is.NoErr(err)
	yes := map[bool]string{true: "yes", false: "no"}
	for kind, a := range table {
		row := fmt.Sprintf("| `%s` | %d | %s | %s | ", kind, a.Status, yes[a.NotRun], yes[a.Retryable])
		is.True(strings.Contains(string(page), row)) // row in docs/callers.md
	}
}
