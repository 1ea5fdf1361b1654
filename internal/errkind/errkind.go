// Package errkind holds the closed list of error kinds of the fleet and the
// table that leads from a kind to the answer a caller or peer gets.
package errkind

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"connectrpc.com/connect"
)

// Kind names one way in which a request can fail.
type Kind string

// The closed list of kinds. Every kind has a row in the table.
const (
	// Malformed means that the request itself is wrong.
	Malformed Kind = "malformed"
	// TooLarge means that the request's body is over the limit.
	TooLarge Kind = "too_large"
	// Unauthenticated means that no client account owns the presented key.
	Unauthenticated Kind = "unauthenticated"
	// UnknownService means that the configuration has no such service.
	UnknownService Kind = "unknown_service"
	// NotFound means that there is no such path.
	NotFound Kind = "not_found"
	// MethodNotAllowed means that the path does not take this method.
	MethodNotAllowed Kind = "method_not_allowed"
	// QueueFull means that the client account has too many requests waiting.
	QueueFull Kind = "queue_full"
	// Draining means that the process is shutting down.
	Draining Kind = "draining"
	// NoConfiguration means that the process has no configuration yet.
	NoConfiguration Kind = "no_configuration"
	// PlatformUnavailable means that the platform did not answer in time.
	PlatformUnavailable Kind = "platform_unavailable"
	// NoTarget means that no target may serve the request.
	NoTarget Kind = "no_target"
	// WaitTimeout means that the deadline passed before the request started.
	WaitTimeout Kind = "wait_timeout"
	// RunTimeout means that the deadline passed after the request started.
	RunTimeout Kind = "run_timeout"
	// KeyInUse means that another request holds the same idempotency key.
	KeyInUse Kind = "key_in_use"
	// KeyReused means that an idempotency key came back with another request.
	KeyReused Kind = "key_reused"
	// AlreadyRan means that the request of an idempotency key ran and that its
	// answer is not held any more.
	AlreadyRan Kind = "already_ran"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Kind = "outcome_unknown"
	// TargetFailed means that the target broke off or answered garbage.
	TargetFailed Kind = "target_failed"
	// Canceled means that the caller has gone.
	Canceled Kind = "canceled"
	// PreconditionRequired means that a patch names no configuration number.
	PreconditionRequired Kind = "precondition_required"
	// StalePatch means that a patch was made against an older configuration.
	StalePatch Kind = "stale_patch"
	// Invalid means that a patch leads to a configuration with faults.
	Invalid Kind = "invalid"
	// Internal means a fault of the fleet itself.
	Internal Kind = "internal"
)

// Answer is what a kind leads to.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Code is the code between processes.
	Code connect.Code
	// NotRun says that the request certainly did not run and will not.
	NotRun bool
	// Retryable says that the same request may succeed later.
	Retryable bool
}

var table = map[Kind]Answer{
	Malformed:            {http.StatusBadRequest, connect.CodeInvalidArgument, true, false},
	TooLarge:             {http.StatusRequestEntityTooLarge, connect.CodeInvalidArgument, true, false},
	Unauthenticated:      {http.StatusUnauthorized, connect.CodeUnauthenticated, true, false},
	UnknownService:       {http.StatusNotFound, connect.CodeNotFound, true, false},
	NotFound:             {http.StatusNotFound, connect.CodeNotFound, true, false},
	MethodNotAllowed:     {http.StatusMethodNotAllowed, connect.CodeUnimplemented, true, false},
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

// StatusClientClosed is the status that logs show for a caller that has gone.
const StatusClientClosed = 499

// Answer returns the row of the table for the kind. A kind that is not in the
// list has the row of Internal.
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

// All returns the closed list of kinds in order of their names.
func All() []Kind { return slices.Sorted(maps.Keys(table)) }

// Error is an error of a known kind.
type Error struct {
	// Kind is the error's kind.
	Kind Kind
	// Message tells a person what happened.
	Message string
	// Cause is the error below, or nil. It is logged and never sent.
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
