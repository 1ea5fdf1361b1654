package move

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// simTick is the interval of reports in a simulated move.
const simTick = 500 * time.Millisecond

// answer is one answer of a simulated target before it is counted.
type answer struct {
	Observation
	onNew    bool
	elapsed  time.Duration
	affected bool
}

// simulation is one move over a few noisy targets, in fake time.
type simulation struct {
	rng          *rand.Rand
	rate         float64
	accounts     int
	readyFrom    func(target int) time.Duration
	fault        func(*rand.Rand, *answer)
	d            Declaration
	judge        *Judge
	verdicts     *VerdictSet
	spreader     *Spreader
	fleet        Fleet
	tallies      map[string]*Tally
	started      map[string]uint64
	episodes     map[string]time.Duration
	affected     int
	faultShownAt time.Duration
	peakShare    float64
	at           time.Duration
	bytes        int
	reported     map[string]time.Time
	subsets      map[string][]string
}

var (
	simStart  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	simRoutes = []string{"plan", "plan", "plan", "chat", "chat", "label", "label", "stock"}
)

func newSimulation(seed uint64, targets int) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), rate: 40, accounts: 16,
		readyFrom: func(int) time.Duration { return 0 },
		fault:     func(*rand.Rand, *answer) {},
		d:         Declaration{Name: "m", Service: "s", From: "v1", To: "v2", Deadline: simStart.Add(10 * time.Minute), SmallShare: 0.05},
		verdicts:  NewVerdictSet(), spreader: NewSpreader("r1"),
		tallies: map[string]*Tally{}, started: map[string]uint64{}, episodes: map[string]time.Duration{}, subsets: map[string][]string{}, reported: map[string]time.Time{},
	}
	for i := range targets {
		s.fleet.Old = append(s.fleet.Old, fmt.Sprintf("old%d", i))
		s.fleet.New = append(s.fleet.New, fmt.Sprintf("new%d", i))
	}
	for _, name := range append(append([]string{}, s.fleet.Old...), s.fleet.New...) {
		s.tallies[name] = NewTally()
	}
	s.judge = NewJudge(s.d, simStart)
	return s
}

// run continues the simulation until the verdict is bad or the given time is
// reached. It returns the time at which it stopped.
func (s *simulation) run(until time.Duration) time.Duration {
	for ; s.at < until; s.at += simTick {
		at := s.at
		n := s.poisson(s.rate * simTick.Seconds())
		for range n {
			s.request(at)
		}
		s.report(at)
		if s.verdicts.Bad(s.d) {
			return at
		}
	}
	return until
}

func (s *simulation) poisson(mean float64) int {
	n, p := 0, s.rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= s.rng.Float64()
	}
	return n
}

func (s *simulation) request(at time.Duration) {
	route := simRoutes[s.rng.IntN(len(simRoutes))]
	share := s.d.Share(s.verdicts.Verdict(s.d), route)
	s.peakShare = max(s.peakShare, share)
	a := &answer{elapsed: at, onNew: s.spreader.Next(route, share, func() []string { return []string{"r1"} })}
	a.Route, a.Account = route, fmt.Sprintf("a%d", s.rng.IntN(s.accounts))
	// Demand is high every other minute.
	use := 0.5 + 0.45*float64(int(at.Minutes())%2)
	side := s.fleet.Old
	if a.onNew {
		var ready []string
		for i, name := range s.fleet.New {
			if s.readyFrom(i) <= at {
				ready = append(ready, name)
			}
		}
		if len(ready) == 0 {
			a.onNew = false
		} else {
			side = s.subset(ready, share)
			use = min(1, use*share*float64(len(s.fleet.New))/float64(len(side)))
		}
	}
	target := side[s.rng.IntN(len(side))]
	a.Load = LoadOf(int(100*use), 100)
	s.noise(a, target, at)
	if a.onNew {
		s.fault(s.rng, a)
	}
	if a.affected {
		if s.affected++; s.affected == affectedToShow {
			s.faultShownAt = at
		}
	}
	s.started[target]++
	s.tallies[target].Observe(a.Observation)
}

// affectedToShow is the number of affected answers at which a fault counts as
// having appeared.
const affectedToShow = 25

// noise sets the outcome and latencies of a good version's answer at a noisy
// target: one answer in a hundred fails, latencies are log-normal, and about every
// two minutes a target has an episode of three seconds in which three answers in
// ten fail and all are slow.
func (s *simulation) noise(a *answer, target string, at time.Duration) {
	if at > s.episodes[target] && s.rng.Float64() < 1.0/(120*s.rate/6) {
		s.episodes[target] = at + 3*time.Second
	}
	slow, failing := 1.0, 0.01
	if at < s.episodes[target] {
		slow, failing = 4, 0.3
	}
	if a.Load == LoadHigh {
		slow *= 1.5
	}
	a.FirstToken = time.Duration(slow * 200 * math.Exp(0.5*s.rng.NormFloat64()) * float64(time.Millisecond))
	a.TokenGap = time.Duration(slow * 20 * math.Exp(0.3*s.rng.NormFloat64()) * float64(time.Millisecond))
	if s.rng.Float64() < failing {
		a.Outcome = Failed
	}
}

func (s *simulation) report(at time.Duration) {
	now := simStart.Add(at)
	for i := range s.fleet.Old {
		s.reportOne(s.fleet.Old[i], s.d.From, true, now)
		s.reportOne(s.fleet.New[i], s.d.To, s.readyFrom(i) <= at, now)
	}
	s.judge.Step(s.fleet, now)
	s.verdicts.Add(s.judge.Verdict())
}

func (s *simulation) reportOne(target, version string, ready bool, now time.Time) {
	const holder = 7
	t := s.tallies[target]
	if now.Sub(s.reported[target]) < s.d.ReportInterval(s.verdicts.Verdict(s.d), s.fleet, target, t.HasUnacknowledged()) {
		return
	}
	s.reported[target] = now
	cells := t.Changed(holder, CellBytes)
	req := &zinniaquayv1.ReportEvidenceRequest{
		Move: s.d.Name, MoveDigest: s.d.Digest(), Version: version, Target: target,
		Incarnation: uint64(now.UnixNano()), Started: s.started[target], Ready: ready,
		KnowsVerdict: s.verdicts.Bad(s.d), Cells: cells,
	}
	s.bytes += proto.Size(req) + CallBytes
	req.Incarnation = 1
	s.judge.Merge(req, now)
	t.Acknowledge(holder, cells)
}

// subset caches the results of Subset, which the simulation calls often.
func (s *simulation) subset(ready []string, share float64) []string {
	key := fmt.Sprintf("%d %g", len(ready), share)
	if s.subsets[key] == nil {
		s.subsets[key] = Subset(s.d, ready, share)
	}
	return s.subsets[key]
}
