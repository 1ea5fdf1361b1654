package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestStampsIncreaseAndExceedObservedStamps(t *testing.T) {
	is := is.New(t)
	var a, b Clock
	ahead := Stamp(time.Now().Add(time.Hour).UnixMilli()) << counterBits
	first := a.Now()
	second := a.Observe(ahead)
	is.True(second > first)
	is.True(second > ahead)             // an effect is ordered after its cause
	is.True(b.Observe(second) > second) // also with a local clock that is an hour behind
	is.True(a.Now() > second)
}
