package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestAPatchWhoseAnswerBreaksOffIsCalledUnknown lets the router take the patch
// and break the connection.
func TestAPatchWhoseAnswerBreaksOffIsCalledUnknown(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer s.Close()
	t.Setenv(envToken, "0123456789abcdef")
	var stderr strings.Builder
	code := run([]string{"config", "patch", "--url", s.URL, "--if-match", "1", "{}"}, &strings.Builder{}, &stderr)
	is.Equal(code, exitError)
	is.True(strings.Contains(stderr.String(), "outcome_unknown: the patch may have been accepted"))
}
