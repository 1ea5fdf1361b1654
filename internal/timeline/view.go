package timeline

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/clock"
)

// View is the representation of a timeline for operators.
type View struct {
	// Events in causal order.
	Events []EventView `json:"events"`
	// Silent lists the processes whose call failed or timed out.
	Silent []string `json:"silent"`
	// Dropped is the number of dropped events by process.
	Dropped map[string]uint64 `json:"dropped"`
}

// EventView is one event.
type EventView struct {
	// Clock is the hybrid logical timestamp. A query can continue after it.
	Clock uint64 `json:"clock,string"`
	// Time is the wall-clock time of Clock.
	Time time.Time `json:"time"`
	// Process that recorded the event.
	Process string `json:"process"`
	// Kind of the event.
	Kind string `json:"kind"`
	// RequestID of the request that the event concerns, if any.
	RequestID string `json:"request_id,omitempty"`
	// Detail is a human-readable description.
	Detail string `json:"detail,omitempty"`
}

// View returns the representation of the timeline for operators.
func (t Timeline) View() View {
	v := View{Events: make([]EventView, 0, len(t.Events)), Silent: append([]string{}, t.Silent...), Dropped: t.Dropped}
	for _, e := range t.Events {
		v.Events = append(v.Events, EventView{
			Clock: e.GetClock(), Time: clock.Stamp(e.GetClock()).Time().UTC(), Process: e.GetProcess(),
			Kind: e.GetKind(), RequestID: e.GetRequestId(), Detail: e.GetDetail(),
		})
	}
	return v
}

// WriteText writes the timeline as a text table.
func (v View) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// Write errors are kept by the tabwriter and returned by Flush.
	for _, e := range v.Events {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", e.Time.Format("15:04:05.000"), e.Process, e.Kind, e.RequestID, e.Detail)
	}
	for _, process := range slices.Sorted(maps.Keys(v.Dropped)) {
		_, _ = fmt.Fprintf(t, "%s has dropped %d older events\n", process, v.Dropped[process])
	}
	if len(v.Silent) > 0 {
		_, _ = fmt.Fprintf(t, "no answer from %s\n", strings.Join(v.Silent, ", "))
	}
	return t.Flush()
}
