package fairness_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/fairness"
	"github.com/zinniaquay/zinniaquay/internal/ledger"
)

// Sizes of the fleet under test. A running request gets one token a step.
const (
	routers   = 6
	sidecars  = 4
	places    = 4
	step      = 10 * time.Millisecond
	stepsPerS = int(time.Second / step)
	runFor    = 120 * time.Second
	maxCost   = 2000 // tokens
	meanCost  = 60   // tokens, about
	maxQueue  = 256  // requests of one account at one router
	fleetRate = float64(sidecars*places) * float64(stepsPerS)
)

// policy is an order in which waiting requests start.
type policy int

const (
	fleetWide policy = iota
	perRouter
	arrivalOrder
	perSidecar // as fleetWide, without the ledger
	policies
)

// offer is what one account asks for.
type offer struct {
	// rate is in requests a second.
	rate float64
	// weights spreads the account over the routers; nil is evenly.
	weights []float64
	// active says whether the account asks at a step; nil is always.
	active func(step int) bool
	// targets is the number of targets that may serve it; 0 is all.
	targets int
}

// scenario is one run of the fleet.
type scenario struct {
	name   string
	offers []offer
	// heavy makes costs heavy-tailed and hints wrong by 20 times.
	heavy bool
	// flood, skewed and cuts say which bounds hold: against arrival order, against
	// each router fair on its own, and none on waits at a router out of reach.
	flood, skewed, cuts bool
	// overlap says that some accounts may use only some targets, so that the gap
	// must be smaller than without the ledger.
	overlap bool
	// at is called before each step.
	at func(f *fleet, step int)
}

// work is one request.
type work struct {
	account, router int
	cost, done      int
	hint            uint64
	arrived         int
	charge          *fairness.Charge
	routerCharge    *fairness.Charge
}

// sidecar is one target with the real decisions and the ledger's reporter.
type sidecar struct {
	counters *fairness.Counters
	reporter *ledger.Reporter
	running  []*work
	turn     int
	number   int
}

// fleet is routers' queues and sidecars under one policy.
type fleet struct {
	policy   policy
	rng      *rand.Rand
	queues   [routers][][]*work // by router and account, in order of arrival
	cut      [routers]bool
	fair     [routers]*fairness.Counters // of the policy perRouter
	sidecars []*sidecar
	members  []ledger.Member
	holders  map[string]*ledger.Holder
	restarts uint64
	offers   []offer

	served  []float64
	used    int
	maxWait []int
	gaps    *gaps
}

// name returns the name of an account.
func name(account int) string { return fmt.Sprintf("account-%02d", account) }

// equal gives every account the same weight.
func equal(string) float64 { return 1 }

// newFleet returns an idle fleet.
func newFleet(p policy, offers []offer) *fleet {
	accounts := len(offers)
	f := &fleet{
		policy: p, offers: offers, rng: rand.New(rand.NewPCG(4, 4)),
		holders: make(map[string]*ledger.Holder),
		served:  make([]float64, accounts),
		maxWait: make([]int, accounts),
		gaps:    newGaps(accounts),
	}
	for r := range routers {
		f.queues[r] = make([][]*work, accounts)
		f.fair[r] = fairness.New(equal)
		f.addMember(fmt.Sprintf("router-%d", r))
	}
	for i := range sidecars {
		n := fmt.Sprintf("sidecar-%d", i)
		f.addMember(n)
		f.sidecars = append(f.sidecars, &sidecar{number: i, counters: fairness.New(equal), reporter: ledger.NewReporter(n, 1)})
	}
	return f
}

// addMember adds a process that may hold accounts of the ledger.
func (f *fleet) addMember(n string) {
	f.members = append(f.members, ledger.Member{Name: n, Addr: n})
	f.holders[n] = ledger.NewHolder(n, 1)
}

// restart empties a router: its queues and its part of the ledger are lost.
func (f *fleet) restart(router int) {
	for a := range f.queues[router] {
		for range f.queues[router][a] {
			f.wait(a, -1)
		}
		f.queues[router][a] = nil
	}
	f.fair[router] = fairness.New(equal)
	f.restarts++
	n := fmt.Sprintf("router-%d", router)
	f.holders[n] = ledger.NewHolder(n, 1+f.restarts)
}

// setCut takes a router out of reach, or brings it back.
func (f *fleet) setCut(router int, cut bool) {
	if f.cut[router] == cut {
		return
	}
	change := 1
	if cut {
		change = -1
	}
	for a, q := range f.queues[router] {
		for range q {
			f.wait(a, change)
		}
	}
	f.cut[router] = cut
}

// serves reports whether a sidecar's target may serve an account.
func (f *fleet) serves(s *sidecar, account int) bool {
	n := f.offers[account].targets
	return n == 0 || s.number < n
}

// wait tells every sidecar that may serve an account that one more or less of its
// requests waits.
func (f *fleet) wait(account, change int) {
	for _, s := range f.sidecars {
		switch {
		case !f.serves(s, account):
		case change > 0:
			s.counters.AddWaiting(name(account))
		default:
			s.counters.RemoveWaiting(name(account))
		}
	}
}

// run plays a scenario.
func (f *fleet) run(sc scenario) {
	steps := int(runFor / step)
	for now := range steps {
		if sc.at != nil {
			sc.at(f, now)
		}
		f.arrive(sc, now)
		for _, s := range f.sidecars {
			f.fill(s, now)
			f.serve(s)
		}
		if f.policy == fleetWide && now%int(ledger.Tick/step) == 0 {
			f.report(now)
		}
		f.gaps.observe(f.served, f.backlogged())
	}
}

// arrive adds the requests of one step.
func (f *fleet) arrive(sc scenario, now int) {
	for a, o := range sc.offers {
		if o.active != nil && !o.active(now) {
			continue
		}
		expected := o.rate / float64(stepsPerS)
		for ; expected > 0; expected-- {
			if f.rng.Float64() >= expected {
				continue
			}
			w := f.newWork(sc, a, now)
			q := &f.queues[w.router][a]
			if len(*q) >= maxQueue {
				continue // refused: not run
			}
			*q = append(*q, w)
			if !f.cut[w.router] {
				f.wait(a, +1)
			}
		}
	}
}

// newWork draws one request.
func (f *fleet) newWork(sc scenario, account, now int) *work {
	w := &work{account: account, arrived: now, cost: meanCost, router: f.rng.IntN(routers)}
	if weights := sc.offers[account].weights; weights != nil {
		w.router = 0
		for x := f.rng.Float64(); w.router < routers-1 && x >= weights[w.router]; w.router++ {
			x -= weights[w.router]
		}
	}
	w.hint = uint64(w.cost)
	if sc.heavy {
		// Pareto with shape 1.2, cut at the largest cost.
		w.cost = int(math.Min(maxCost, 16*math.Pow(1-f.rng.Float64(), -1/1.2)))
		w.hint = uint64(float64(w.cost) * []float64{0.05, 1, 20}[f.rng.IntN(3)])
	}
	return w
}

// fill starts requests while there are places.
func (f *fleet) fill(s *sidecar, now int) {
	for len(s.running) < places {
		w := f.next(s)
		if w == nil {
			return
		}
		f.wait(w.account, -1)
		w.charge = s.counters.Start(name(w.account), w.hint)
		w.routerCharge = f.fair[w.router].Start(name(w.account), w.hint)
		f.maxWait[w.account] = max(f.maxWait[w.account], now-w.arrived)
		s.running = append(s.running, w)
	}
}

// next takes the request that starts next at a sidecar out of its queue.
func (f *fleet) next(s *sidecar) *work {
	switch f.policy {
	case fleetWide, perSidecar:
		if n, ok := s.counters.Next(); ok {
			return f.take(s, n)
		}
		return nil
	case perRouter:
		return f.nextOfRouters(s)
	default:
		return f.oldest(s)
	}
}

// take takes a request of an account from the next router that has one.
func (f *fleet) take(s *sidecar, account string) *work {
	a := 0
	for name(a) != account {
		a++
	}
	for range routers {
		s.turn = (s.turn + 1) % routers
		if !f.cut[s.turn] && len(f.queues[s.turn][a]) > 0 {
			return f.pop(s.turn, a)
		}
	}
	panic("an account waits that has no request")
}

// nextOfRouters serves the routers in turn, each fair on its own.
func (f *fleet) nextOfRouters(s *sidecar) *work {
	for range routers {
		s.turn = (s.turn + 1) % routers
		if f.cut[s.turn] {
			continue
		}
		var waiting []string
		for a, q := range f.queues[s.turn] {
			if len(q) > 0 && f.serves(s, a) {
				waiting = append(waiting, name(a))
			}
		}
		if len(waiting) == 0 {
			continue
		}
		best := f.fair[s.turn].Pick(waiting)
		a := 0
		for name(a) != best {
			a++
		}
		return f.pop(s.turn, a)
	}
	return nil
}

// oldest takes the request that arrived first anywhere for a sidecar.
func (f *fleet) oldest(s *sidecar) *work {
	var best *work
	for r := range routers {
		if f.cut[r] {
			continue
		}
		for a, q := range f.queues[r] {
			if len(q) > 0 && f.serves(s, a) && (best == nil || q[0].arrived < best.arrived) {
				best = q[0]
			}
		}
	}
	if best == nil {
		return nil
	}
	return f.pop(best.router, best.account)
}

// pop takes the first request of a queue.
func (f *fleet) pop(router, account int) *work {
	w := f.queues[router][account][0]
	f.queues[router][account] = f.queues[router][account][1:]
	return w
}

// serve gives each running request one token.
func (f *fleet) serve(s *sidecar) {
	kept := s.running[:0]
	for _, w := range s.running {
		w.done++
		w.charge.Add(1)
		w.routerCharge.Add(1)
		f.served[w.account]++
		f.used++
		if w.done >= w.cost {
			w.charge.Settle()
			w.routerCharge.Settle()
			continue
		}
		kept = append(kept, w)
	}
	s.running = kept
}

// report does the ledger's part of a step.
func (f *fleet) report(now int) {
	at := time.Unix(0, 0).Add(time.Duration(now) * step)
	for _, s := range f.sidecars {
		s.reporter.SetMembers(at, f.members)
		contended := s.counters.Waiting() > 1
		s.counters.SetCredit(fairness.Credit(sidecars*places, s.counters.MeanCost(), fleetRate, ledger.MaxStaleness.Seconds()))
		s.counters.VisitChanged(func(v fairness.AccountState) {
			s.reporter.Update(at, ledger.LocalTotal{
				Account: v.Account, Service: v.Own, Lift: v.Lift,
				Waiting: v.Waiting, Contended: v.Waiting && contended,
			})
		})
		for _, report := range s.reporter.Due(at, 64) {
			resp := f.ask(at, report)
			if resp == nil {
				s.reporter.Failed(at, report)
				continue
			}
			for _, t := range s.reporter.Answered(at, report, resp) {
				s.counters.Merge(t.Account, fairness.FleetTotal{Others: t.Others, Own: t.Own, Lift: t.Lift, Reporters: t.Reporters})
			}
		}
	}
}

// ask returns a holder's answer, or nil if it is cut off.
func (f *fleet) ask(at time.Time, report ledger.Report) *zinniaquayv1.ReportServiceResponse {
	for r, cut := range f.cut {
		if cut && report.Holder.Name == fmt.Sprintf("router-%d", r) {
			return nil
		}
	}
	return f.holders[report.Holder.Name].Report(at, report.Request)
}

// backlogged says which accounts have requests waiting within reach.
func (f *fleet) backlogged() []bool {
	waiting := make([]bool, len(f.served))
	for r := range routers {
		for a, q := range f.queues[r] {
			waiting[a] = waiting[a] || (len(q) > 0 && !f.cut[r])
		}
	}
	return waiting
}

// gaps finds, for each pair of accounts, the widest difference of service over
// any time in which both had requests waiting throughout.
type gaps struct {
	low, high [][]float64
	both      [][]bool
	widest    float64
}

// newGaps returns gaps of a number of accounts.
func newGaps(accounts int) *gaps {
	g := &gaps{}
	for range accounts {
		g.low = append(g.low, make([]float64, accounts))
		g.high = append(g.high, make([]float64, accounts))
		g.both = append(g.both, make([]bool, accounts))
	}
	return g
}

// observe takes in the service so far and which accounts wait.
func (g *gaps) observe(served []float64, waiting []bool) {
	for i := range served {
		for j := range i {
			if !waiting[i] || !waiting[j] {
				g.both[i][j] = false
				continue
			}
			d := served[i] - served[j]
			if !g.both[i][j] {
				g.low[i][j], g.high[i][j], g.both[i][j] = d, d, true
			}
			g.low[i][j] = math.Min(g.low[i][j], d)
			g.high[i][j] = math.Max(g.high[i][j], d)
			g.widest = math.Max(g.widest, g.high[i][j]-g.low[i][j])
		}
	}
}
