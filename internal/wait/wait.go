// Package wait pauses duties.
package wait

import (
	"context"
	"time"
)

// For waits for a duration or until the context ends. It reports whether the
// context still goes on.
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
