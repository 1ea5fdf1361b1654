package lab

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/dispatch"
	"github.com/zinniaquay/zinniaquay/internal/quarantine"
)

// Policy decides where and when the requests of one gateway run.
// dispatch.Dispatcher is one.
type Policy interface {
	NextSequence() uint64
	Enqueue(r *dispatch.Request, now time.Time) bool
	Withdraw(sequence uint64) bool
	Queued() int
	Decide(now time.Time) []dispatch.Decision
	ResponseStarted(sequence uint64, now time.Time)
	End(sequence uint64, o dispatch.Outcome, now time.Time)
	Report(slow bool, now time.Time) dispatch.Report
	UsageReport(now time.Time) dispatch.Report
	ZoneUsageReport(now time.Time) (dispatch.Report, bool)
	Merge(name string, r dispatch.Report, now time.Time)
	MergeZoneUsage(zone uint32, r dispatch.Report, now time.Time)
	ObserveLimit(id string, perSecond float64, named bool, sentAt, now time.Time) bool
	ObserveLeaving(id, addr string, startedUnixMilli int64, now time.Time) bool
	CloseTarget(c dispatch.Closing, now time.Time) bool
	CrashReport(now time.Time) dispatch.Report
	ReviewCrashes(now time.Time)
	TakeNews() bool
	SetView(view *catalog.View)
	TargetCrashed(id string, now time.Time) (quarantine.Crash, bool)
}

// Strategy is a way of deciding that the lab can play.
type Strategy struct {
	Name string
	// SingleGateway says that one gateway takes all requests, and hears of all at once.
	SingleGateway bool
	// NoNews says that gateways hear of crashes by their reports alone.
	NoNews bool
	// New returns the policy of a gateway.
	New func(self string, d Workload, view *catalog.View) Policy
}

// service is the one service of the lab.
const service = "model"

// Strategies returns the ways by which a day can be played: simple ones, earlier ones of the
// product, and the present one last.
func Strategies() []Strategy {
	return []Strategy{
		{Name: "fewest running", New: func(_ string, _ Workload, v *catalog.View) Policy { return newDirect(v, fewestRunning) }},
		{Name: "affinity alone", New: func(_ string, _ Workload, v *catalog.View) Policy { return newDirect(v, affinity) }},
		{Name: "prediction alone", New: func(_ string, _ Workload, v *catalog.View) Policy { return newDirect(v, shortestWait) }},
		{Name: "patient", New: limited(dispatch.Config{MaxWaitFraction: 0.75, MaxLateLoad: 0.8, MaxLateBacklog: 40 * time.Millisecond})},
		{Name: "late beside others", New: limited(dispatch.Config{MaxLateLoad: 0.8, MaxLateBacklog: 40 * time.Millisecond})},
		{Name: "present alone", SingleGateway: true, New: limited(dispatch.Config{})},
		{Name: "present", New: limited(dispatch.Config{})},
	}
}

// limited returns the product's own policy, present or with figures as they were
// earlier.
func limited(l dispatch.Config) func(self string, d Workload, view *catalog.View) Policy {
	l.Zone, l.ShareWindow, l.ColdOverage, l.MaxQueued, l.LeavingGrace = "a", shareWindow, 1, mostQueued, leavingGrace
	return func(self string, _ Workload, view *catalog.View) Policy {
		l := l
		l.Self = self
		p := dispatch.New(l)
		p.SetView(view)
		return p
	}
}

const (
	// shareWindow is the time over which shares are counted, from the operator's
	// settings.
	shareWindow = 4 * time.Second
	// mostQueued is the number of requests that wait at a gateway, as in the
	// product.
	mostQueued = 2000
	// leavingGrace is how long a gateway may use engines that say that they are leaving, if
	// there are no others: half of the operator's bound.
	leavingGrace = time.Second
)

// viewOf returns what gateways know of a day's deployment.
func viewOf(d *Workload) *catalog.View {
	v := &catalog.View{
		Config: &catalog.Configuration{
			Services: map[string]*catalog.Service{service: {Name: service, MemoryTokens: d.Engine.MemoryTokens}},
			Limits:   catalog.Limits{TokensPerSecond: d.TokensPerSecond},
		},
		Targets: make(map[string]*catalog.Target), Members: make(map[string]catalog.Member), ZonesOut: make(map[string]bool),
	}
	for i := range d.Engines {
		id := engineID(i)
		v.Targets[id] = d.target(id, 0)
	}
	for i := range d.Gateways {
		v.Members[gatewayName(i)] = catalog.Member{Name: gatewayName(i)}
	}
	return v
}

func engineID(i int) string    { return fmt.Sprintf("engine-%02d", i) }
func gatewayName(i int) string { return fmt.Sprintf("gateway-%d", i) }

// direct sends each request at once, by arrival, to the target that pick names. It
// refuses nothing and holds nothing.
type direct struct {
	pick   func(d *direct, r *dispatch.Request) int
	ids    []string
	queue  []*dispatch.Request
	placed map[uint64]placedAt
	own    []dispatch.Load
	peers  map[string]dispatch.Report
	serial uint64
}

type placedAt struct {
	target int
	load   dispatch.Load
}

func newDirect(v *catalog.View, pick func(d *direct, r *dispatch.Request) int) *direct {
	d := &direct{pick: pick, placed: make(map[uint64]placedAt), peers: make(map[string]dispatch.Report)}
	for id := range v.Targets {
		d.ids = append(d.ids, id)
	}
	slices.Sort(d.ids)
	d.own = make([]dispatch.Load, len(d.ids))
	return d
}

// load returns what runs at a target as far as is known.
func (d *direct) load(target int) dispatch.Load {
	sum := d.own[target]
	for _, p := range d.peers {
		l := p.Loads[uint32(target)]
		sum.Running += l.Running
		sum.Backlog += l.Backlog
	}
	return sum
}

// least returns the target with the least of some figure.
func (d *direct) least(figure func(target int) float64) int {
	best := 0
	for i := range d.ids {
		if cmp.Less(figure(i), figure(best)) {
			best = i
		}
	}
	return best
}

func fewestRunning(d *direct, _ *dispatch.Request) int {
	return d.least(func(i int) float64 { return d.load(i).Running })
}

func shortestWait(d *direct, _ *dispatch.Request) int {
	return d.least(func(i int) float64 { return d.load(i).Backlog })
}

// affinity picks by the last part that other requests share.
func affinity(d *direct, r *dispatch.Request) int {
	shared := r.Parts[max(0, len(r.Parts)-2)].Key
	return d.least(func(i int) float64 { return float64(xxhash.Sum64String(fmt.Sprint(shared, d.ids[i]))) })
}

// NextSequence implements Policy.
func (d *direct) NextSequence() uint64 { d.serial++; return d.serial }

// Enqueue implements Policy.
func (d *direct) Enqueue(r *dispatch.Request, _ time.Time) bool {
	d.queue = append(d.queue, r)
	return true
}

// Withdraw implements Policy; nothing waits.
func (d *direct) Withdraw(uint64) bool { return false }

// Queued implements Policy.
func (d *direct) Queued() int { return len(d.queue) }

// Decide implements Policy.
func (d *direct) Decide(time.Time) []dispatch.Decision {
	var decisions []dispatch.Decision
	for _, r := range d.queue {
		at := d.pick(d, r)
		p := placedAt{at, dispatch.Load{Running: 1, Backlog: float64(r.TokensIn)}}
		d.placed[r.Sequence] = p
		d.own[at].Running++
		d.own[at].Backlog += p.load.Backlog
		decisions = append(decisions, dispatch.Decision{Request: r, Action: dispatch.Send, Target: d.ids[at]})
	}
	d.queue = nil
	return decisions
}

// ResponseStarted implements Policy.
func (d *direct) ResponseStarted(sequence uint64, _ time.Time) {
	if p, ok := d.placed[sequence]; ok && p.load.Backlog > 0 {
		d.own[p.target].Backlog -= p.load.Backlog
		p.load.Backlog = 0
		d.placed[sequence] = p
	}
}

// End implements Policy.
func (d *direct) End(sequence uint64, _ dispatch.Outcome, now time.Time) {
	d.ResponseStarted(sequence, now)
	if p, ok := d.placed[sequence]; ok {
		d.own[p.target].Running--
		delete(d.placed, sequence)
	}
}

// Report implements Policy.
func (d *direct) Report(bool, time.Time) dispatch.Report {
	r := dispatch.Report{Loads: make(map[uint32]dispatch.Load)}
	for i, l := range d.own {
		r.Loads[uint32(i)] = l
	}
	return r
}

// ObserveLimit implements Policy; limits don't matter.
func (d *direct) ObserveLimit(string, float64, bool, time.Time, time.Time) bool { return false }

// ObserveLeaving implements Policy; what leaves doesn't matter.
func (d *direct) ObserveLeaving(string, string, int64, time.Time) bool { return false }

// CloseTarget implements Policy; closed targets get requests like others.
func (d *direct) CloseTarget(dispatch.Closing, time.Time) bool { return false }

// CrashReport implements Policy.
func (d *direct) CrashReport(time.Time) dispatch.Report { return dispatch.Report{} }

// ReviewCrashes implements Policy; there is nothing to review.
func (d *direct) ReviewCrashes(time.Time) {}

// TakeNews implements Policy; there is never any.
func (d *direct) TakeNews() bool { return false }

// SetView implements Policy; engines come back under the same ID.
func (d *direct) SetView(*catalog.View) {}

// TargetCrashed implements Policy; nothing depends on it.
func (d *direct) TargetCrashed(string, time.Time) (quarantine.Crash, bool) {
	return quarantine.Crash{}, false
}

// UsageReport implements Policy; usage doesn't matter.
func (d *direct) UsageReport(time.Time) dispatch.Report { return dispatch.Report{} }

// ZoneUsageReport implements Policy.
func (d *direct) ZoneUsageReport(time.Time) (dispatch.Report, bool) { return dispatch.Report{}, false }

// MergeZoneUsage implements Policy.
func (d *direct) MergeZoneUsage(uint32, dispatch.Report, time.Time) {}

// Merge implements Policy.
func (d *direct) Merge(name string, r dispatch.Report, _ time.Time) {
	if r.Loads != nil {
		d.peers[name] = r
	}
}
