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

// View is a time line as operators read it.
type View struct {
	// Events in causal order.
	Events []EventView `json:"events"`
	// Silent names the processes that did not answer.
	Silent []string `json:"silent"`
	// Dropped is the number of events that processes had to drop, by process.
	Dropped map[string]uint64 `json:"dropped"`
}

// EventView is one event.
type EventView struct {
	// Clock is the hybrid logical clock, for asking on from here.
	Clock uint64 `json:"clock,string"`
	// Time is the clock's time of day.
	Time time.Time `json:"time"`
	// Process that recorded the event.
	Process string `json:"process"`
	// Kind of the event.
	Kind string `json:"kind"`
	// RequestID of the request that the event concerns, if any.
	RequestID string `json:"request_id,omitempty"`
	// Detail for a person.
	Detail string `json:"detail,omitempty"`
}

// View returns the time line as operators read it.
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

// WriteText writes the time line for a terminal.
func (v View) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// Errors are kept by the writer and returned by Flush.
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
