package platform

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

func TestObservedReportsEachOutageOnce(t *testing.T) {
	is := is.New(t)
	memory := NewMemory()
	var reports []bool
	o := NewObserved(memory, func(up bool, _ error) { reports = append(reports, up) })
	get := func(ctx context.Context) { _, _ = o.Get(ctx, "key") }
	get(t.Context())
	memory.SetFaults(Faults{Down: true})
	get(t.Context())
	get(t.Context())
	memory.SetFaults(Faults{})
	get(t.Context())
	get(t.Context())
	is.Equal(reports, []bool{false, true})
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	memory.SetFaults(Faults{Down: true})
	get(canceled) // canceled by the caller: no outage
	is.Equal(len(reports), 2)
}
