package main

import (
	"context"
	"fmt"
	"slices"
	"time"
)

const (
	// settle is how long a fleet runs before it is measured.
	settle = 15 * time.Second
	// observe is how long it is measured.
	observe = 20 * time.Second
)

// controlSizes are the numbers of processes whose control is measured.
var controlSizes = []int{10, 40, 120}

// control is what one idle process spends: the medians over a fleet's sidecars
// and over its routers.
type control struct {
	size           float64
	core           float64 // share of a core
	bytesPerSecond float64 // read and written
	resident       float64 // bytes
	routerCore     float64
	routerBytes    float64
	routerResident float64
}

// routersOf returns how many of n processes are routers, in the proportion of
// the size to design for.
func routersOf(n int) int { return max(1, n*designRouters/designProcesses) }

// measuredControl is measured once and gives several slopes.
var measuredControl []control

// controls measures fleets that serve nothing.
func controls(ctx context.Context) ([]control, error) {
	if measuredControl != nil {
		return measuredControl, nil
	}
	for _, n := range controlSizes {
		c, err := measureControl(ctx, n)
		if err != nil {
			return nil, fmt.Errorf("%d processes: %w", n, err)
		}
		measuredControl = append(measuredControl, c)
	}
	return measuredControl, nil
}

// measureControl runs one fleet of n processes and reads what they use.
func measureControl(ctx context.Context, n int) (control, error) {
	f, err := startFleet(ctx, size{routers: routersOf(n), sidecars: n - routersOf(n), accounts: designAccounts, perToken: time.Millisecond})
	if err != nil {
		return control{}, err
	}
	defer f.stop()
	if err := sleep(ctx, settle); err != nil {
		return control{}, err
	}
	all := append(slices.Clone(f.routers), f.sidecars...)
	before, err := usages(all)
	if err != nil {
		return control{}, err
	}
	begun := time.Now()
	if err := sleep(ctx, observe); err != nil {
		return control{}, err
	}
	after, err := usages(all)
	if err != nil {
		return control{}, err
	}
	return summarize(n, len(f.routers), before, after, time.Since(begun)), nil
}

// summarize turns two readings of all processes into rates.
func summarize(n, routers int, before, after []usage, over time.Duration) control {
	var core, bytes, resident []float64
	for i := range before {
		core = append(core, (after[i].processor-before[i].processor).Seconds()/over.Seconds())
		bytes = append(bytes, (after[i].bytes-before[i].bytes)/over.Seconds())
		resident = append(resident, after[i].resident)
	}
	return control{
		size: float64(n), core: median(core[routers:]), bytesPerSecond: median(bytes[routers:]), resident: median(resident[routers:]),
		routerCore: median(core[:routers]), routerBytes: median(bytes[:routers]), routerResident: median(resident[:routers]),
	}
}

// usages reads what processes have used.
func usages(procs []*proc) ([]usage, error) {
	read := make([]usage, len(procs))
	for i, p := range procs {
		u, err := p.usage()
		if err != nil {
			return nil, err
		}
		read[i] = u
	}
	return read, nil
}

// median returns the middle value.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// sleep waits or ends with the context.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// controlSlope returns the measurement of one quantity against processes.
func controlSlope(unit string, of func(control) float64) func(context.Context) (slope, error) {
	return func(ctx context.Context) (slope, error) {
		all, err := controls(ctx)
		if err != nil {
			return slope{}, err
		}
		s := slope{unit: unit, per: "processes", claim: designProcesses}
		for _, c := range all {
			s.points = append(s.points, point{c.size, of(c)})
		}
		return s, nil
	}
}
