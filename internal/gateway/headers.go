package gateway

import (
	"net/http"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/dispatch"
)

// Attempt is what a caller states about one request in its headers.
type Attempt struct {
	// ID identifies the request.
	ID string
	// APIKey is the caller's API key.
	APIKey string
	// Deadline is how long the caller waits; 0 if not stated.
	Deadline time.Duration
	// TokensIn is the length of the prompt and TokensOut the maximum length of
	// the response, both in tokens.
	TokensIn, TokensOut int
	// Parts are the parts of the prompt in order.
	Parts []dispatch.PromptPart
	// LastEvent is the ID of the last event that the caller received.
	LastEvent string
}

// ForwardedRequest is what the gateway states about a request in the headers
// for a target.
type ForwardedRequest struct {
	// Account is the client account's name; empty on public routes.
	Account string
	// TargetID is the target that may run the request.
	TargetID string
	// RemainingTime is the time left for the target to respond.
	RemainingTime time.Duration
	// LastEvent is the ID of the last event that the caller received, if a
	// response is resumed at another target.
	LastEvent string
}

// ResponseHead is what a target states in the headers of a response.
type ResponseHead struct {
	// RequestID is the ID of the request that the response belongs to.
	RequestID string
	// Signed is true if the response has the target's signature.
	Signed bool
	// NotRun is true if the target did not run the request and will not.
	NotRun bool
	// TargetID is the target that responded; empty if not stated.
	TargetID string
	// Cold is how long the target will remain cold, as stated by the target.
	Cold time.Duration
	// Limited is true if the target names the request rate that it takes from the whole
	// fleet, MaxPerSecond.
	Limited      bool
	MaxPerSecond float64
	// Leaving is true if the target states that it is leaving.
	Leaving bool
	// ClosedFor is how long the target wants no requests from this gateway; 0 if not
	// stated.
	ClosedFor time.Duration
}

// TargetReport is what a target reports on itself.
type TargetReport struct {
	// OtherTarget is true if another target has the address.
	OtherTarget bool
	// StartedUnixMilli is the target's start as a Unix time in ms; 0 if not stated.
	StartedUnixMilli int64
}

// HeaderCodec translates between headers and reports on the wire and the gateway's types.
type HeaderCodec interface {
	// DecodeRequest decodes the headers of a caller's request.
	DecodeRequest(h http.Header) (Attempt, error)
	// RequestIDHeader returns the name of the header with the ID of a caller's request, and of
	// the response to it.
	RequestIDHeader() string
	// TargetHeaders returns the headers of the request to a target.
	TargetHeaders(from http.Header, o ForwardedRequest) http.Header
	// DecodeResponse decodes the headers of a target's response.
	DecodeResponse(status int, h http.Header) ResponseHead
	// CallerHeaders returns the headers of the response to the caller, given
	// those of the target's response.
	CallerHeaders(from http.Header) http.Header
	// SetOwnHeaders sets the headers of a response that the gateway generates
	// itself.
	SetOwnHeaders(h http.Header, attemptID string)
	// ReportRequest returns the path and the headers of a request for a target's report on
	// itself, for which it runs nothing.
	ReportRequest(targetID string) (path string, h http.Header)
	// DecodeReport decodes the response to such a request. Some targets have no report.
	DecodeReport(status int, body []byte) (TargetReport, error)
}
