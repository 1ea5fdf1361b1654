// Package wait provides a sleep that a context can end.
package wait

import (
	"context"
	"time"
)

// For waits for a duration or until the context ends. It reports whether the
// context is still active.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
