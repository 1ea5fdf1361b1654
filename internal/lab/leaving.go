package lab

import (
	"maps"
	"slices"
	"time"
)

// EngineLeaving is a planned stop of some engines. From then on they say in their responses
// that they are leaving, and after a time they end, with all that they run.
type EngineLeaving struct {
	At    float64 `yaml:"at"`
	Count int     `yaml:"count"`
	// StaysMS is the time for which the engines go on serving.
	StaysMS float64 `yaml:"stays_ms"`
	// TellsStore says that views show it too.
	TellsStore bool `yaml:"tells_store"`
}

// LeavingArrival is a request that reached an engine which was leaving.
type LeavingArrival struct {
	Engine string
	At     time.Duration
	// Told is the time from the first response by which the request's gateway heard that the
	// engine is leaving to the request's arrival at the gateway; negative if the request came
	// earlier, or the gateway had heard nothing.
	Told time.Duration
}

// pick draws engines that are running and not leaving.
func (w *world) pick(count int) []*engine {
	var picked []*engine
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		if e := w.engines[id]; !e.down && !e.leaving {
			picked = append(picked, e)
		}
	}
	w.rng.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked[:min(count, len(picked))]
}

// leave has an engine leave.
func (w *world) leave(e *engine, l EngineLeaving) {
	e.leaving = true
	if l.TellsStore {
		w.after(ms(w.day.Faults.ViewDelayMS), func() {
			if t := w.view.Targets[e.id]; t != nil && w.engines[e.id] == e {
				entry := *t
				entry.Leaving = true
				w.register(e.id, &entry)
			}
		})
	}
	w.after(ms(l.StaysMS), func() { w.crash(e) })
}

// tellLeaving passes on to the gateway that gets a response that its engine is leaving.
func (w *world) tellLeaving(x *call) {
	e, g := x.engine, x.gateway
	if !e.leaving {
		return
	}
	w.after(w.hop(), func() {
		if x.policy != g.policy {
			return // the gateway has restarted
		}
		if _, told := g.toldLeaving[e]; !told {
			g.toldLeaving[e] = w.now
		}
		x.policy.ObserveLeaving(e.id, e.id, x.started, w.time())
	})
}

// recordLeaving records a request that reaches an engine which is leaving.
func (w *world) recordLeaving(x *call) {
	if !x.engine.leaving {
		return
	}
	a := LeavingArrival{Engine: x.engine.id, At: w.now, Told: -1}
	if told, ok := x.gateway.toldLeaving[x.engine]; ok {
		a.Told = x.request.Arrived.Sub(start) - told
	}
	w.leavingArrivals = append(w.leavingArrivals, a)
}
