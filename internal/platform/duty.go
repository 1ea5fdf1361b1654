package platform

import (
	"context"
	"errors"
)

// ErrFenced means that the platform refused a call since another one with a higher fencing
// token came before. The call was not executed.
var ErrFenced = errors.New("a higher fencing token was used")

// DutyCaller identifies the process that performs a duty in its calls to the platform.
type DutyCaller struct {
	// Name of the process, and its fencing token.
	Name  string
	Token int64
}

// DutyCalls are the calls to the platform that one process of the fleet makes at a time.
// Errors that don't wrap ErrFenced leave open whether a call was executed, or will be.
type DutyCalls interface {
	// ReportUsage reports the number of requests that began to run in a window, by client
	// account. The platform ignores an exact repeat.
	ReportUsage(ctx context.Context, caller DutyCaller, window int64, counts map[string]int64) error
}
