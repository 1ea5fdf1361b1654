package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestForWaitsOrEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		begun := time.Now()
		is.True(For(t.Context(), time.Minute))
		is.Equal(time.Since(begun), time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(!For(ctx, time.Minute))
		is.Equal(time.Since(begun), time.Minute+time.Second)
	})
}
