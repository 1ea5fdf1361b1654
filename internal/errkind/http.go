package errkind

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// Body is the one JSON shape of every refusal.
type Body struct {
	// Error describes the refusal.
	Error Detail `json:"error"`
}

// Detail is the inner object of a refusal.
type Detail struct {
	// Kind is the name of the error kind.
	Kind Kind `json:"kind"`
	// Message tells a person what happened.
	Message string `json:"message"`
	// NotRun says that the request certainly did not run and will not.
	NotRun bool `json:"not_run"`
	// RetryAfterMS is the time in milliseconds after which a retry makes sense;
	// 0 when it does not.
	RetryAfterMS int64 `json:"retry_after_ms"`
}

// DefaultRetryAfter is what callers are told to wait before a retry.
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

// Write sends the refusal for an error. It must be the first write to w.
func Write(w http.ResponseWriter, err error) { WriteBody(w, err, BodyOf(err)) }

// WriteBody sends the refusal for an error with a body that says more than Body
// does in the same shape. It must be the first write to w.
func WriteBody(w http.ResponseWriter, err error, body any) {
	if after := BodyOf(err).Error.RetryAfterMS; after > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((after+999)/1000, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(Of(err).Answer().Status)
	// The caller may have gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(body)
}

// messageOf returns the message for callers, which never shows the cause.
func messageOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Message
	}
	return "internal error"
}
