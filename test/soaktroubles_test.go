package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/zinniaquay/zinniaquay/platform/standin"
)

const sigTerm = syscall.SIGTERM

// trouble is what was done to a part of the fleet, and when.
type trouble struct {
	what string
	// on names a gateway or a target; empty for the store, which concerns all.
	on       string
	from, to time.Time
	// planned is a stop that must cut nothing.
	planned bool
}

// troubles is the record of all that was done. It is safe for concurrent use.
type troubles struct {
	mu  sync.Mutex
	all []*trouble
}

func (l *troubles) begin(what, on string, planned bool) *trouble {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := &trouble{what: what, on: on, from: time.Now(), planned: planned}
	l.all = append(l.all, t)
	return t
}

func (l *troubles) end(t *trouble) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.to = time.Now()
}

// calm reports whether nothing was done to the named parts, or to the store,
// between two moments. Planned stops count if planned is set.
func (l *troubles) calm(from, to time.Time, planned bool, on ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.all {
		if t.planned && !planned || t.from.After(to) || !t.to.IsZero() && t.to.Before(from) {
			continue
		}
		if t.on == "" {
			return false
		}
		for _, name := range on {
			if name == t.on {
				return false
			}
		}
	}
	return true
}

// stopped reports whether a gateway was frozen, or its process ended, between two moments.
func (l *troubles) stopped(from, to time.Time, gateway string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.all, func(t *trouble) bool {
		return t.on == gateway && slices.Contains([]string{"frozen", "killed", "stopped"}, t.what) &&
			!t.from.After(to) && (t.to.IsZero() || !t.to.Before(from))
	})
}

// near describes what was done around a moment.
func (l *troubles) near(at time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := ""
	for _, t := range l.all {
		to := t.to
		if to.IsZero() {
			to = at
		}
		if t.from.Before(at.Add(time.Second)) && to.After(at.Add(-5*time.Second)) {
			text += fmt.Sprintf("; %s %s from %+.2f to %+.2f s", t.what, t.on, t.from.Sub(at).Seconds(), to.Sub(at).Seconds())
		}
	}
	return text
}

// troublemaker does things to a fleet, by the numbers of a seed. Each kind has a
// weight; several go on at a time.
type troublemaker struct {
	fleet *soakFleet
	rng   *rand.Rand
	group sync.WaitGroup
	// busy holds the gateways and targets that something is done to.
	mu   sync.Mutex
	busy map[string]bool
	born int
}

// run makes troubles until the context ends and waits until all are over.
func (m *troublemaker) run(ctx context.Context) {
	kinds := []struct {
		weight int
		do     func()
	}{
		{4, m.freezeGateway}, {4, m.killGateway}, {6, m.stopGateway}, {2, m.hangUp}, {3, m.cutCallers}, {5, m.storeLink},
		{6, m.store}, {2, m.compact}, {4, m.restore}, {3, m.lapse}, {6, m.targetLink}, {14, m.targetFaults}, {3, m.crashTarget}, {6, m.drainTarget},
		{5, m.fleet.configure}, {2, m.storm}, {8, m.fleet.replaceKey}, {2, m.evacuate}, {6, m.crashingPart}, {4, m.limitTarget}, {6, m.closeTargets},
		{4, m.oddEntries}, {4, m.slowTarget},
	}
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	for ctx.Err() == nil {
		m.replaceCrashed()
		n := m.rng.IntN(total)
		for _, k := range kinds {
			if n -= k.weight; n < 0 {
				k.do()
				break
			}
		}
		time.Sleep(m.between(50, 400))
	}
	m.group.Wait()
}

func (m *troublemaker) between(least, most int) time.Duration {
	return time.Duration(least+m.rng.IntN(most-least)) * time.Millisecond
}

// take marks a part of the fleet as busy. It reports false if it is already.
func (m *troublemaker) take(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.busy[name] {
		return false
	}
	m.busy[name] = true
	return true
}

func (m *troublemaker) give(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.busy, name)
}

// gateway does something to a gateway that nothing is done to.
func (m *troublemaker) gateway(what string, planned bool, do func(g *soakGateway)) {
	g := m.fleet.gateways[m.rng.IntN(len(m.fleet.gateways))]
	if !m.take(g.name) {
		return
	}
	record := m.fleet.log.begin(what, g.name, planned)
	m.group.Go(func() {
		do(g)
		m.fleet.log.end(record)
		m.give(g.name)
	})
}

func (m *troublemaker) freezeGateway() {
	d := m.between(100, 4000)
	m.gateway("frozen", false, func(g *soakGateway) {
		g.signal(syscall.SIGSTOP)
		time.Sleep(d)
		g.signal(syscall.SIGCONT)
	})
}

func (m *troublemaker) restart(g *soakGateway) {
	if err := m.fleet.startGateway(g); err != nil {
		m.fleet.fault(err)
	}
}

func (m *troublemaker) killGateway() {
	d := m.between(0, 2000)
	m.gateway("killed", false, func(g *soakGateway) {
		g.kill()
		time.Sleep(d)
		m.restart(g)
	})
}

func (m *troublemaker) stopGateway() {
	d := m.between(0, 500)
	m.gateway("stopped", true, func(g *soakGateway) {
		if err := g.terminate(); err != nil {
			m.fleet.fault(err)
		}
		time.Sleep(d)
		m.restart(g)
	})
}

func (m *troublemaker) hangUp() {
	m.gateway("told of new settings", true, func(g *soakGateway) { g.signal(syscall.SIGHUP) })
}

func (m *troublemaker) cutCallers() {
	m.gateway("callers' connections cut", false, func(g *soakGateway) { g.fromCallers.cut() })
}

// link does something to a relay for a while.
func (m *troublemaker) link(r *relay, how int, d time.Duration) {
	switch how {
	case 0:
		r.hold(true, true)
	case 1:
		r.hold(true, false)
	case 2:
		r.hold(false, true)
	case 3:
		r.slow(200 * time.Millisecond)
	case 4:
		r.silence()
	case 5:
		r.cut()
	}
	time.Sleep(d)
	r.hold(false, false)
	r.slow(0)
}

func (m *troublemaker) storeLink() {
	how, d := m.rng.IntN(6), m.between(300, 9000)
	m.gateway(fmt.Sprint("link to the store, way ", how), false, func(g *soakGateway) { m.link(g.toStore, how, d) })
}

// whole does something to the store. It reports false if something is done to it
// already.
func (m *troublemaker) whole(what string, do func()) bool {
	if !m.take("") {
		return false
	}
	record := m.fleet.log.begin(what, "", false)
	m.group.Go(func() {
		do()
		m.fleet.log.end(record)
		m.give("")
	})
	return true
}

func (m *troublemaker) store() {
	faults := []standin.StoreFaults{
		{Busy: true}, {Silent: true}, {SilentWatches: true}, {TooMany: true}, {Reset: true}, {LoseAnswers: true},
		{LateWrites: time.Second}, {Delay: 300 * time.Millisecond},
	}
	f, d := faults[m.rng.IntN(len(faults))], m.between(200, 9000)
	m.whole(fmt.Sprintf("store %+v", f), func() {
		m.fleet.Store.SetFaults(f)
		time.Sleep(d)
		m.fleet.Store.SetFaults(standin.StoreFaults{})
	})
}

func (m *troublemaker) compact() {
	m.whole("history dropped", func() {
		m.fleet.Store.SetFaults(standin.StoreFaults{SilentWatches: true})
		time.Sleep(time.Second)
		m.fleet.Store.Compact()
		m.fleet.Store.SetFaults(standin.StoreFaults{})
	})
}

// restore has the store return from an older copy, at times twice in a row.
func (m *troublemaker) restore() {
	type turn struct{ away, age, again time.Duration }
	turns := make([]turn, 1+m.rng.IntN(2))
	for i := range turns {
		turns[i] = turn{m.between(100, 2500), m.between(500, 9000), m.between(1, 300)}
	}
	m.whole(fmt.Sprintf("store restored %v", turns), func() {
		for _, t := range turns {
			m.fleet.Store.SetFaults(standin.StoreFaults{Reset: true})
			time.Sleep(t.away)
			writeAgain := m.fleet.Store.Restore(t.age)
			m.fleet.Store.SetFaults(standin.StoreFaults{})
			time.Sleep(t.again)
			writeAgain()
		}
	})
}

// target picks a target that nothing is done to and that is not gone.
func (m *troublemaker) target() *soakTarget {
	var free []*soakTarget
	for _, t := range m.fleet.all {
		if !t.gone && t.leaving.IsZero() && !t.Crashed() {
			free = append(free, t)
		}
	}
	if len(free) == 0 {
		return nil
	}
	t := free[m.rng.IntN(len(free))]
	if !m.take(t.ID) {
		return nil
	}
	return t
}

// lapse lets the entries of targets run out while the store is away; those that
// live are back a second after its return.
func (m *troublemaker) lapse() {
	t := m.target()
	if t == nil {
		return
	}
	d := m.between(500, 3000)
	if !m.whole("store away, entry lapsed "+t.ID, func() {
		m.fleet.Store.SetFaults(standin.StoreFaults{Busy: true})
		time.Sleep(d)
		m.fleet.Store.Remove("servers/" + t.ID)
		m.fleet.Store.SetFaults(standin.StoreFaults{})
		time.Sleep(time.Second)
		m.fleet.register(t, "ready")
		m.give(t.ID)
	}) {
		m.give(t.ID)
	}
}

func (m *troublemaker) targetLink() {
	t := m.target()
	if t == nil {
		return
	}
	how, d := m.rng.IntN(6), m.between(200, 3000)
	record := m.fleet.log.begin(fmt.Sprint("link to target, way ", how), t.ID, false)
	m.group.Go(func() {
		m.link(t.relay, how, d)
		m.fleet.log.end(record)
		m.give(t.ID)
	})
}

// soakHead begins the header of a stream.
const soakHead = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: 3e1b.07.5a2\r\nContent-Type: text/event-stream\r\n"

func (m *troublemaker) targetFaults() {
	t := m.target()
	if t == nil {
		return
	}
	faults := []standin.TargetFaults{
		{Shed: true}, {LoseAnswer: true}, {BreakAfter: 3}, {SilentAfter: 3}, {ExtraResponse: true}, {Unframed: true}, {Unsigned: true},
		{Fail: true}, {Hang: true}, {NoResponse: true}, {Reset: true}, {Malformed: true}, {Slow: 300 * time.Millisecond},
		{Unframed: true, CrashAfter: 3}, {Unframed: true, BreakAfter: 3}, {Unframed: true, ResetAfter: 3}, {CrashInBody: true},
		{RefuseAgain: 503}, {RefuseAgain: 429, Anonymous: true}, {RefuseAgain: 421, Anonymous: true, RefuseAgainIdle: true},
		{BreakAfter: 3, IgnoreLastEvent: true},
		{BreakAfter: 3, RawResumed: true, Raw: "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: {id}\r\nContent-Length: 7\r\n\r\nfailed\n"},
		{BreakAfter: 3, RawResumed: true, Raw: soakHead + "Content-Length: 14\r\n\r\ndata: failed\n\n"},
		{BreakAfter: 3, RawResumed: true, Raw: soakHead + "Content-Length: 0\r\n\r\n"},
		{Raw: "HTTP/1.1 20"}, {Raw: soakHead + "Content-Len"}, {Raw: soakHead + "\r\n"}, {Raw: soakHead + "Content-Length: 20\r\n\r\n"},
		{Raw: soakHead + "Transfer-Encoding: chunked\r\n\r\n"},
	}
	f, d := faults[m.rng.IntN(len(faults))], m.between(500, 4000)
	f.Fraction = []float64{0, 0.1, 0.4}[m.rng.IntN(3)]
	f.CrashingPart = soakCrashingPart
	record := m.fleet.log.begin(fmt.Sprintf("target %+v", f), t.ID, false)
	m.group.Go(func() {
		t.SetFaults(f)
		time.Sleep(d)
		t.SetFaults(standin.TargetFaults{CrashingPart: soakCrashingPart})
		m.fleet.log.end(record)
		m.give(t.ID)
	})
}

// crashingPart has callers send prompts that crash targets.
func (m *troublemaker) crashingPart() {
	d := m.between(5000, 12_000)
	if !m.take(soakCrashingPart) {
		return
	}
	m.group.Go(func() {
		m.fleet.crashing.Store(true)
		time.Sleep(d)
		m.fleet.crashing.Store(false)
		m.give(soakCrashingPart)
	})
}

// replaceCrashed starts targets in the place of those that a prompt has crashed.
func (m *troublemaker) replaceCrashed() {
	for _, t := range m.fleet.all {
		if !t.gone && t.leaving.IsZero() && t.Crashed() {
			m.lose(t)
		}
	}
}

// limitTarget has a target name a request rate for a while.
func (m *troublemaker) limitTarget() {
	t := m.target()
	if t == nil {
		return
	}
	perSecond, d := float64(1+m.rng.IntN(8)), m.between(5000, 9000)
	m.group.Go(func() {
		limit := soakLimit{target: t, perSecond: perSecond, from: time.Now()}
		t.SetFaults(standin.TargetFaults{CrashingPart: soakCrashingPart, MaxPerSecond: perSecond})
		time.Sleep(d)
		t.SetFaults(standin.TargetFaults{CrashingPart: soakCrashingPart})
		limit.to = time.Now()
		m.fleet.mu.Lock()
		m.fleet.limits = append(m.fleet.limits, limit)
		m.fleet.mu.Unlock()
		m.give(t.ID)
	})
}

// closeTargets has a target, at times all of its service, turn requests away for a while
// and name a time for which it wants no more.
func (m *troublemaker) closeTargets() {
	first, all := m.target(), m.rng.IntN(3) == 0
	named, spell := m.between(500, 6000), m.between(100, 2500)
	faults := standin.TargetFaults{
		CrashingPart: soakCrashingPart, Shed: true, Unstated: m.rng.IntN(3) == 0,
		RetryAfter: []string{fmt.Sprintf("%.3f", named.Seconds())},
	}
	if first == nil {
		return
	}
	closed := []*soakTarget{first}
	for _, t := range m.fleet.all {
		if all && t.Service == first.Service && !t.gone && t.drained.IsZero() && !t.Crashed() && m.take(t.ID) {
			closed = append(closed, t)
		}
	}
	for _, t := range closed {
		m.group.Go(func() {
			t.SetFaults(faults)
			time.Sleep(spell)
			t.SetFaults(standin.TargetFaults{CrashingPart: soakCrashingPart})
			time.Sleep(named) // nothing else is done to the target, so that the judge can tell
			m.give(t.ID)
		})
	}
}

// newTarget starts a target in the place of one that leaves.
func (m *troublemaker) newTarget(old *soakTarget, cold time.Duration) {
	m.born++
	t, err := standin.StartTarget(fmt.Sprintf("%sn-%d", m.fleet.ids, m.born), old.Service, old.Zone)
	if err == nil {
		t.StartedUnixMilli, t.ColdRemaining = time.Now().UnixMilli(), cold
		err = m.fleet.adopt(t)
	}
	if err != nil {
		m.fleet.fault(err)
	}
}

func (m *troublemaker) crashTarget() {
	t := m.target()
	if t == nil {
		return
	}
	t.Crash()
	m.lose(t)
}

// lose replaces a target that has crashed.
func (m *troublemaker) lose(t *soakTarget) {
	t.gone = true
	m.newTarget(t, 3*time.Second)
	lapse := m.between(500, 3000)
	m.group.Go(func() {
		time.Sleep(lapse)
		m.fleet.Store.Remove("servers/" + t.ID)
	})
}

// drainTarget has a target leave. It says so in its answers, and to the store by its entry's
// state, by removing the entry, or not at all.
func (m *troublemaker) drainTarget() {
	t := m.target()
	if t == nil {
		return
	}
	m.newTarget(t, 0)
	t.Leave()
	t.leaving = time.Now()
	switch m.rng.IntN(3) {
	case 0:
		m.fleet.register(t, "draining")
		t.drained = time.Now()
	case 1:
		m.fleet.Store.Remove("servers/" + t.ID)
		t.drained = time.Now()
	}
	later := soakLeave + m.between(300, 3000)
	m.group.Go(func() {
		time.Sleep(later)
		m.fleet.log.begin("gone after draining", t.ID, false)
		t.Crash()
		m.fleet.Store.Remove("servers/" + t.ID)
	})
}

func (m *troublemaker) storm() {
	for range 5 {
		m.fleet.configure()
		time.Sleep(100 * time.Millisecond)
	}
}

func (m *troublemaker) evacuate() {
	zone := []string{"a", "b"}[m.rng.IntN(2)]
	if !m.take("zones") {
		return
	}
	m.group.Go(func() {
		m.fleet.Store.Put("op/evacuate/"+zone, map[string]any{})
		e := evacuation{zone: zone, from: time.Now()}
		time.Sleep(soakEvacuate + 2*time.Second)
		e.to = time.Now()
		m.fleet.Store.Remove("op/evacuate/" + zone)
		m.fleet.mu.Lock()
		m.fleet.evacuated = append(m.fleet.evacuated, e)
		m.fleet.mu.Unlock()
		m.give("zones")
	})
}
