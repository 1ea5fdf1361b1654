// Package errkind defines the closed list of error kinds of the fleet and maps
// each kind to the response that a caller or peer receives.
package errkind

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"connectrpc.com/connect"
)

// Kind identifies a way in which a request can fail.
type Kind string

// The closed list of kinds. Every kind has a row in the table.
const (
	// Malformed means that the request is invalid.
	Malformed Kind = "malformed"
	// TooLarge means that the request body exceeds the size limit.
	TooLarge Kind = "too_large"
	// Unauthenticated means that the API key belongs to no client account.
	Unauthenticated Kind = "unauthenticated"
	// UnknownService means that the configuration has no such service.
	UnknownService Kind = "unknown_service"
	// NotFound means that there is no such path.
	NotFound Kind = "not_found"
	// MethodNotAllowed means that the path does not support the HTTP method.
	MethodNotAllowed Kind = "method_not_allowed"
	// Quarantined means that the prompt has a part that crashes targets.
	Quarantined Kind = "quarantined"
	// PartHeld means that the prompt has a part that may crash targets, of which one
	// request is tried at a time.
	PartHeld Kind = "part_held"
	// QueueFull means that the client account has too many queued requests.
	QueueFull Kind = "queue_full"
	// Draining means that the process is shutting down.
	Draining Kind = "draining"
	// NoConfiguration means that the process has not received a configuration yet.
	NoConfiguration Kind = "no_configuration"
	// PlatformUnavailable means that the platform did not respond in time.
	PlatformUnavailable Kind = "platform_unavailable"
	// NoTarget means that no target is available for the request.
	NoTarget Kind = "no_target"
	// WaitTimeout means that the deadline passed before the request started.
	WaitTimeout Kind = "wait_timeout"
	// RunTimeout means that the deadline passed after the request started.
	RunTimeout Kind = "run_timeout"
	// KeyInUse means that another request with the same idempotency key is in
	// progress.
	KeyInUse Kind = "key_in_use"
	// KeyReused means that an idempotency key was sent again with a different
	// request.
	KeyReused Kind = "key_reused"
	// AlreadyRan means that the request with this idempotency key ran and that its
	// response is no longer stored.
	AlreadyRan Kind = "already_ran"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Kind = "outcome_unknown"
	// TargetFailed means that the target broke off its response or sent an invalid
	// one.
	TargetFailed Kind = "target_failed"
	// Canceled means that the caller disconnected.
	Canceled Kind = "canceled"
	// PreconditionRequired means that a patch does not name a configuration number.
	PreconditionRequired Kind = "precondition_required"
	// StalePatch means that a patch was made against an older configuration.
	StalePatch Kind = "stale_patch"
	// Invalid means that a patch results in an invalid configuration.
	Invalid Kind = "invalid"
	// Internal means an internal error of the fleet.
	Internal Kind = "internal"
)

// Answer describes the response for a kind.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Code is the status code of RPCs between processes.
	Code connect.Code
	// NotRun is set if the request certainly did not run and will not run.
	NotRun bool
	// Retryable is set if the same request may succeed later.
	Retryable bool
}

var table = map[Kind]Answer{
	Malformed:            {http.StatusBadRequest, connect.CodeInvalidArgument, true, false},
	TooLarge:             {http.StatusRequestEntityTooLarge, connect.CodeInvalidArgument, true, false},
	Unauthenticated:      {http.StatusUnauthorized, connect.CodeUnauthenticated, true, false},
	UnknownService:       {http.StatusNotFound, connect.CodeNotFound, true, false},
	NotFound:             {http.StatusNotFound, connect.CodeNotFound, true, false},
	MethodNotAllowed:     {http.StatusMethodNotAllowed, connect.CodeUnimplemented, true, false},
	Quarantined:          {http.StatusBadRequest, connect.CodeInvalidArgument, true, false},
	PartHeld:             {http.StatusServiceUnavailable, connect.CodeUnavailable, true, true},
	QueueFull:            {http.StatusTooManyRequests, connect.CodeResourceExhausted, true, true},
	Draining:             {http.StatusServiceUnavailable, connect.CodeUnavailable, true, true},
	NoConfiguration:      {http.StatusServiceUnavailable, connect.CodeUnavailable, true, true},
	PlatformUnavailable:  {http.StatusServiceUnavailable, connect.CodeUnavailable, true, true},
	NoTarget:             {http.StatusServiceUnavailable, connect.CodeUnavailable, true, true},
	WaitTimeout:          {http.StatusServiceUnavailable, connect.CodeDeadlineExceeded, true, true},
	RunTimeout:           {http.StatusGatewayTimeout, connect.CodeDeadlineExceeded, false, false},
	KeyInUse:             {http.StatusConflict, connect.CodeAborted, false, true},
	KeyReused:            {http.StatusUnprocessableEntity, connect.CodeFailedPrecondition, true, false},
	AlreadyRan:           {http.StatusConflict, connect.CodeAlreadyExists, false, false},
	OutcomeUnknown:       {http.StatusBadGateway, connect.CodeUnknown, false, false},
	TargetFailed:         {http.StatusBadGateway, connect.CodeUnknown, false, false},
	Canceled:             {StatusClientClosed, connect.CodeCanceled, false, false},
	PreconditionRequired: {http.StatusPreconditionRequired, connect.CodeFailedPrecondition, true, false},
	StalePatch:           {http.StatusPreconditionFailed, connect.CodeFailedPrecondition, true, false},
	Invalid:              {http.StatusUnprocessableEntity, connect.CodeInvalidArgument, true, false},
	Internal:             {http.StatusInternalServerError, connect.CodeInternal, false, false},
}

// StatusClientClosed is the HTTP status that is logged for a caller that
// disconnected.
const StatusClientClosed = 499

// Answer returns the response for the kind. A kind that is not in the list is
// handled as Internal.
func (k Kind) Answer() Answer {
	if a, ok := table[k]; ok {
		return a
	}
	return table[Internal]
}

// Known reports whether the kind is in the closed list.
func (k Kind) Known() bool {
	_, ok := table[k]
	return ok
}

// All returns all kinds, sorted by name.
func All() []Kind { return slices.Sorted(maps.Keys(table)) }

// Error is an error that has a kind.
type Error struct {
	Kind Kind
	// Message is a human-readable description.
	Message string
	// Cause is the wrapped error, or nil. It is logged and never sent.
	Cause error
}

// New returns an error of a kind with a formatted message.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of a kind with a cause.
func Wrap(k Kind, cause error, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...), Cause: cause}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Kind, e.Message, e.Cause)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Of returns the kind of an error: that of the first *Error in its chain, or
// Internal.
func Of(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
