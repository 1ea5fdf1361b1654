package platform

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

func TestObservedTellsOutagesOnce(t *testing.T) {
	is := is.New(t)
	memory := NewMemory()
	var told []bool
	o := NewObserved(memory, func(up bool, _ error) { told = append(told, up) })
	get := func(ctx context.Context) { _, _ = o.Get(ctx, "key") }
	get(t.Context())
	memory.SetFaults(Faults{Down: true})
	get(t.Context())
	get(t.Context())
	memory.SetFaults(Faults{})
	get(t.Context())
	get(t.Context())
	is.Equal(told, []bool{false, true})
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	memory.SetFaults(Faults{Down: true})
	get(gone) // given up by the caller: no outage
	is.Equal(len(told), 2)
}
