package errkind

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// Body is the JSON body of every error response.
type Body struct {
	Error Detail `json:"error"`
}

// Detail describes the error of a Body.
type Detail struct {
	// Kind is the name of the error kind.
	Kind Kind `json:"kind"`
	// Message is a human-readable description.
	Message string `json:"message"`
	// NotRun is set if the request certainly did not run and will not run.
	NotRun bool `json:"not_run"`
	// RetryAfterMS is the number of milliseconds to wait before a retry, or 0 if
	// a retry is pointless.
	RetryAfterMS int64 `json:"retry_after_ms"`
}

// DefaultRetryAfter is the delay before a retry that responses ask for.
const DefaultRetryAfter = time.Second

// BodyOf returns the JSON body for an error.
func BodyOf(err error) Body {
	kind := Of(err)
	answer := kind.Answer()
	d := Detail{Kind: kind, Message: messageOf(err), NotRun: answer.NotRun}
	if answer.Retryable {
		d.RetryAfterMS = DefaultRetryAfter.Milliseconds()
	}
	return Body{Error: d}
}

// Write sends the error response for an error. It must be the first write to w.
func Write(w http.ResponseWriter, err error) { WriteBody(w, err, BodyOf(err)) }

// WriteBody sends the error response for an error with a body that extends Body
// with further fields. It must be the first write to w.
func WriteBody(w http.ResponseWriter, err error, body any) {
	if after := BodyOf(err).Error.RetryAfterMS; after > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((after+999)/1000, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(Of(err).Answer().Status)
	// The caller may have disconnected; a write error can't be reported to anyone.
	_ = json.NewEncoder(w).Encode(body)
}

// messageOf returns the message for callers. It never contains the cause.
func messageOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Message
	}
	return "internal error"
}
