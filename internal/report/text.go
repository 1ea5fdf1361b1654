package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteText writes the report for a terminal.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// Errors are kept by the writer and returned by Flush.
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }
	line("configuration\t%d (%s)", r.ConfigurationNumber, r.describeRollout())
	line("utilisation\t%.0f%% (%d of %d running), %d waiting", r.Use.Percent, r.Use.Running, r.Use.Window, r.Use.Waiting)
	line("fairness gap\t%s", r.Gap.describe())
	line("recent service over\t%s", formatAge(r.SpanMS))
	if len(r.Silent) > 0 {
		line("no answer from\t%s", strings.Join(r.Silent, ", "))
	}
	line("\nACCOUNT\tWEIGHT\tWAITING\tRECENT\tTOTAL")
	for _, a := range r.Accounts {
		line("%s\t%g\t%d\t%.0f\t%.0f", a.Name, a.Weight, a.Waiting, a.Recent, a.Total)
	}
	line("\nZONE\tSTATE\tTARGETS\tCOLD\tSILENT\tUSE")
	for _, z := range r.Zones {
		line("%s\t%s\t%d\t%d\t%d\t%.0f%%", z.Name, z.State, z.Targets, z.Cold, z.Silent, z.Use.Percent)
	}
	if len(r.Moves) > 0 {
		line("\nMOVE\tSTATE\tSHARE\tRECORD AGE\tREASON")
	}
	for _, m := range r.Moves {
		line("%s\t%s\t%.0f%%\t%s\t%s", m.Name, m.State, m.SharePercent, formatAge(m.AgeMS), m.Reason)
	}
	if len(r.Refused) > 0 {
		line("\nREFUSED\tCOUNT")
	}
	for _, f := range r.Refused {
		line("%s\t%d", f.Kind, f.Count)
	}
	return t.Flush()
}

// WriteStatus writes the processes for a terminal.
func (r *Report) WriteStatus(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// Errors are kept by the writer and returned by Flush.
	_, _ = fmt.Fprintln(t, "PROCESS\tROLE\tZONE\tSTATE\tCONFIGURATION\tRUNNING\tAGE\tPLATFORM")
	for _, p := range r.Processes {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n",
			p.Name, p.Role, p.Zone, p.State, p.Number, p.Running, formatAge(p.AgeMS), formatAge(p.PlatformAgeMS))
	}
	return t.Flush()
}

func (r *Report) describeRollout() string {
	if r.Everywhere {
		return "in force everywhere"
	}
	return "not yet in force everywhere"
}

func (g Gap) describe() string {
	if g.Most == "" {
		return "fewer than two accounts had work waiting all the time"
	}
	return fmt.Sprintf("%.0f (%s over %s)", g.Service, g.Most, g.Least)
}

// formatAge formats an age in milliseconds with a unit.
func formatAge(ms int64) string {
	switch {
	case ms < 0:
		return "never"
	case ms < 1000:
		return fmt.Sprintf("%d ms", ms)
	case ms < 120_000:
		return fmt.Sprintf("%.1f s", float64(ms)/1000)
	}
	return fmt.Sprintf("%d min", ms/60_000)
}
