package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestForWaitsForDurationOrContextEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		is.True(For(t.Context(), time.Minute))
		is.Equal(time.Since(start), time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(!For(ctx, time.Minute))
		is.Equal(time.Since(start), time.Minute+time.Second)
	})
}
