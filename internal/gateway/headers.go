package gateway

import (
	"net/http"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/dispatch"
)

// Attempt is what a caller says of one request in its headers.
type Attempt struct {
	// ID identifies the request.
	ID string
	// APIKey is the caller's API key.
	APIKey string
	// Deadline is how long the caller waits; 0 if it does not say.
	Deadline time.Duration
	// TokensIn is the length of the prompt and TokensOut the most tokens that
	// the answer has.
	TokensIn, TokensOut int
	// Parts are the parts of the prompt in order.
	Parts []dispatch.PromptPart
	// LastEvent is the ID of the last event that the caller has.
	LastEvent string
}

// ForwardedRequest is what the fleet tells a target of a request.
type ForwardedRequest struct {
	// Account is the client account's name; empty on public routes.
	Account string
	// TargetID is the target that may run the request.
	TargetID string
	// RemainingTime is the time that the target has.
	RemainingTime time.Duration
	// LastEvent is the ID of the last event that the caller has, where an answer
	// goes on at another target.
	LastEvent string
}

// ResponseHead is what a target says in the headers of an answer.
type ResponseHead struct {
	// RequestID is the ID of the request that is answered.
	RequestID string
	// Signed says that the answer bears the target's signature.
	Signed bool
	// NotRun says that the target did not run the request and will not.
	NotRun bool
	// TargetID is the target that answered, where it says so.
	TargetID string
	// Cold is how long the target says that it stays cold.
	Cold time.Duration
}

// HeaderCodec translates between headers on the wire and the gateway's types.
type HeaderCodec interface {
	// DecodeRequest reads the headers of a caller's request.
	DecodeRequest(h http.Header) (Attempt, error)
	// RequestID reads the ID of a caller's request alone.
	RequestID(h http.Header) string
	// TargetHeaders returns the headers for a target.
	TargetHeaders(from http.Header, o ForwardedRequest) http.Header
	// DecodeResponse reads the headers of a target's answer.
	DecodeResponse(status int, h http.Header) ResponseHead
	// CallerHeaders returns the headers of a target's answer for the caller.
	CallerHeaders(from http.Header) http.Header
	// SetOwnHeaders sets the headers of the gateway's own answer.
	SetOwnHeaders(h http.Header, attemptID string)
}
