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

// Sizes of the simulated fleet. A running request receives one token per step.
const (
	routers        = 6
	sidecars       = 4
	slotsPerTarget = 4
	step           = 10 * time.Millisecond
	stepsPerSecond = int(time.Second / step)
	runDuration    = 120 * time.Second
	maxCost        = 2000 // tokens
	meanCost       = 60   // tokens, approximate mean
	maxQueue       = 256  // requests of one account at one router
	fleetRate      = float64(sidecars*slotsPerTarget) * float64(stepsPerSecond)
)

// policy is an order in which waiting requests start.
type policy int

const (
	fleetWide policy = iota
	perRouter
	arrivalOrder
	perSidecar // like fleetWide, but without the ledger
	policyCount
)

// demand is the offered load of one account.
type demand struct {
	// rate is in requests a second.
	rate float64
	// weights are the routers' shares of the account's requests; nil is evenly.
	weights []float64
	// active reports whether the account sends requests at a step; nil is always.
	active func(step int) bool
	// targets is the number of targets that may serve the account; 0 is all.
	targets int
}

// scenario describes one run of the fleet.
type scenario struct {
	name    string
	demands []demand
	// heavyTailed makes costs heavy-tailed and hints wrong by a factor of 20.
	heavyTailed bool
	// flood, skewed and partitioned select the checks: flood compares the gap with
	// arrival order, skewed compares it with fairness per router, and partitioned
	// omits the bound on waits, as requests at an unreachable router wait longer.
	flood, skewed, partitioned bool
	// overlap is set if some accounts may use only some targets; the gap must then
	// be smaller than without the ledger.
	overlap bool
	// beforeStep is called before each step.
	beforeStep func(f *fleet, step int)
}

// request is a simulated request.
type request struct {
	account, router int
	cost, done      int
	hint            uint64
	arrived         int
	charge          *fairness.Charge
	routerCharge    *fairness.Charge
}

// sidecar is one target with the production counters and ledger reporter.
type sidecar struct {
	counters   *fairness.Counters
	reporter   *ledger.Reporter
	running    []*request
	lastRouter int
	index      int
}

// fleet simulates the routers' queues and the sidecars under one policy.
type fleet struct {
	policy         policy
	rng            *rand.Rand
	queues         [routers][][]*request // by router and account, in arrival order
	unreachable    [routers]bool
	routerCounters [routers]*fairness.Counters // used by the policy perRouter
	sidecars       []*sidecar
	members        []ledger.Member
	holders        map[string]*ledger.Holder
	restarts       uint64
	demands        []demand

	served      []float64
	totalServed int
	maxWait     []int
	gaps        *gapTracker
}

// accountName returns the name of an account.
func accountName(account int) string { return fmt.Sprintf("account-%02d", account) }

// equalWeight returns the same weight for every account.
func equalWeight(string) float64 { return 1 }

// newFleet returns an idle fleet.
func newFleet(p policy, demands []demand) *fleet {
	accounts := len(demands)
	f := &fleet{
		policy: p, demands: demands, rng: rand.New(rand.NewPCG(4, 4)),
		holders: make(map[string]*ledger.Holder),
		served:  make([]float64, accounts),
		maxWait: make([]int, accounts),
		gaps:    newGapTracker(accounts),
	}
	for r := range routers {
		f.queues[r] = make([][]*request, accounts)
		f.routerCounters[r] = fairness.New(equalWeight)
		f.addMember(fmt.Sprintf("router-%d", r))
	}
	for i := range sidecars {
		n := fmt.Sprintf("sidecar-%d", i)
		f.addMember(n)
		f.sidecars = append(f.sidecars, &sidecar{index: i, counters: fairness.New(equalWeight), reporter: ledger.NewReporter(n, 1)})
	}
	return f
}

// addMember adds a process that may hold accounts in the ledger.
func (f *fleet) addMember(n string) {
	f.members = append(f.members, ledger.Member{Name: n, Addr: n})
	f.holders[n] = ledger.NewHolder(n, 1)
}

// restart restarts a router, which loses its queues and its part of the ledger.
func (f *fleet) restart(router int) {
	for a := range f.queues[router] {
		for range f.queues[router][a] {
			f.changeWaiting(a, -1)
		}
		f.queues[router][a] = nil
	}
	f.routerCounters[router] = fairness.New(equalWeight)
	f.restarts++
	n := fmt.Sprintf("router-%d", router)
	f.holders[n] = ledger.NewHolder(n, 1+f.restarts)
}

// setUnreachable makes a router unreachable or reachable again.
func (f *fleet) setUnreachable(router int, unreachable bool) {
	if f.unreachable[router] == unreachable {
		return
	}
	change := 1
	if unreachable {
		change = -1
	}
	for a, q := range f.queues[router] {
		for range q {
			f.changeWaiting(a, change)
		}
	}
	f.unreachable[router] = unreachable
}

// mayServe reports whether a sidecar's target may serve an account.
func (f *fleet) mayServe(s *sidecar, account int) bool {
	n := f.demands[account].targets
	return n == 0 || s.index < n
}

// changeWaiting counts one waiting request more or less of an account at every
// sidecar that may serve it.
func (f *fleet) changeWaiting(account, change int) {
	for _, s := range f.sidecars {
		switch {
		case !f.mayServe(s, account):
		case change > 0:
			s.counters.AddWaiting(accountName(account))
		default:
			s.counters.RemoveWaiting(accountName(account))
		}
	}
}

// run simulates a scenario.
func (f *fleet) run(sc scenario) {
	steps := int(runDuration / step)
	for now := range steps {
		if sc.beforeStep != nil {
			sc.beforeStep(f, now)
		}
		f.addArrivals(sc, now)
		for _, s := range f.sidecars {
			f.startRequests(s, now)
			f.serveStep(s)
		}
		if f.policy == fleetWide && now%int(ledger.Tick/step) == 0 {
			f.reportToLedger(now)
		}
		f.gaps.observe(f.served, f.backlogged())
	}
}

// addArrivals enqueues the requests that arrive in one step.
func (f *fleet) addArrivals(sc scenario, now int) {
	for a, o := range sc.demands {
		if o.active != nil && !o.active(now) {
			continue
		}
		expected := o.rate / float64(stepsPerSecond)
		for ; expected > 0; expected-- {
			if f.rng.Float64() >= expected {
				continue
			}
			w := f.newRequest(sc, a, now)
			q := &f.queues[w.router][a]
			if len(*q) >= maxQueue {
				continue // refused
			}
			*q = append(*q, w)
			if !f.unreachable[w.router] {
				f.changeWaiting(a, +1)
			}
		}
	}
}

// newRequest returns a request with random cost, hint and router.
func (f *fleet) newRequest(sc scenario, account, now int) *request {
	w := &request{account: account, arrived: now, cost: meanCost, router: f.rng.IntN(routers)}
	if weights := sc.demands[account].weights; weights != nil {
		w.router = 0
		for x := f.rng.Float64(); w.router < routers-1 && x >= weights[w.router]; w.router++ {
			x -= weights[w.router]
		}
	}
	w.hint = uint64(w.cost)
	if sc.heavyTailed {
		// Pareto with shape 1.2, truncated at the largest cost.
		w.cost = int(math.Min(maxCost, 16*math.Pow(1-f.rng.Float64(), -1/1.2)))
		w.hint = uint64(float64(w.cost) * []float64{0.05, 1, 20}[f.rng.IntN(3)])
	}
	return w
}

// startRequests starts requests while there are free slots.
func (f *fleet) startRequests(s *sidecar, now int) {
	for len(s.running) < slotsPerTarget {
		w := f.takeNext(s)
		if w == nil {
			return
		}
		f.changeWaiting(w.account, -1)
		w.charge = s.counters.Start(accountName(w.account), w.hint)
		w.routerCharge = f.routerCounters[w.router].Start(accountName(w.account), w.hint)
		f.maxWait[w.account] = max(f.maxWait[w.account], now-w.arrived)
		s.running = append(s.running, w)
	}
}

// takeNext removes the request that starts next at a sidecar from its queue.
func (f *fleet) takeNext(s *sidecar) *request {
	switch f.policy {
	case fleetWide, perSidecar:
		if n, ok := s.counters.Next(); ok {
			return f.takeFromRouters(s, n)
		}
		return nil
	case perRouter:
		return f.takeFromRouterInTurn(s)
	default:
		return f.takeOldest(s)
	}
}

// takeFromRouters removes a request of an account from the next router that has
// one.
func (f *fleet) takeFromRouters(s *sidecar, account string) *request {
	a := 0
	for accountName(a) != account {
		a++
	}
	for range routers {
		s.lastRouter = (s.lastRouter + 1) % routers
		if !f.unreachable[s.lastRouter] && len(f.queues[s.lastRouter][a]) > 0 {
			return f.dequeue(s.lastRouter, a)
		}
	}
	panic("an account is counted as waiting but has no request")
}

// takeFromRouterInTurn serves the routers in turn; each router is fair among its
// own requests.
func (f *fleet) takeFromRouterInTurn(s *sidecar) *request {
	for range routers {
		s.lastRouter = (s.lastRouter + 1) % routers
		if f.unreachable[s.lastRouter] {
			continue
		}
		var waiting []string
		for a, q := range f.queues[s.lastRouter] {
			if len(q) > 0 && f.mayServe(s, a) {
				waiting = append(waiting, accountName(a))
			}
		}
		if len(waiting) == 0 {
			continue
		}
		best := f.routerCounters[s.lastRouter].Pick(waiting)
		a := 0
		for accountName(a) != best {
			a++
		}
		return f.dequeue(s.lastRouter, a)
	}
	return nil
}

// takeOldest removes the request with the earliest arrival at any router that a
// sidecar may serve.
func (f *fleet) takeOldest(s *sidecar) *request {
	var best *request
	for r := range routers {
		if f.unreachable[r] {
			continue
		}
		for a, q := range f.queues[r] {
			if len(q) > 0 && f.mayServe(s, a) && (best == nil || q[0].arrived < best.arrived) {
				best = q[0]
			}
		}
	}
	if best == nil {
		return nil
	}
	return f.dequeue(best.router, best.account)
}

// dequeue removes the first request of a queue.
func (f *fleet) dequeue(router, account int) *request {
	w := f.queues[router][account][0]
	f.queues[router][account] = f.queues[router][account][1:]
	return w
}

// serveStep delivers one token to each running request.
func (f *fleet) serveStep(s *sidecar) {
	unfinished := s.running[:0]
	for _, w := range s.running {
		w.done++
		w.charge.Add(1)
		w.routerCharge.Add(1)
		f.served[w.account]++
		f.totalServed++
		if w.done >= w.cost {
			w.charge.Settle()
			w.routerCharge.Settle()
			continue
		}
		unfinished = append(unfinished, w)
	}
	s.running = unfinished
}

// reportToLedger exchanges the sidecars' totals with the ledger.
func (f *fleet) reportToLedger(now int) {
	at := time.Unix(0, 0).Add(time.Duration(now) * step)
	for _, s := range f.sidecars {
		s.reporter.SetMembers(at, f.members)
		contended := s.counters.Waiting() > 1
		s.counters.SetCredit(fairness.Credit(sidecars*slotsPerTarget, s.counters.MeanCost(), fleetRate, ledger.MaxStaleness.Seconds()))
		s.counters.VisitChanged(func(v fairness.AccountState) {
			s.reporter.Update(at, ledger.LocalTotal{
				Account: v.Account, Service: v.Own, Lift: v.Lift,
				Waiting: v.Waiting, Contended: v.Waiting && contended,
			})
		})
		for _, report := range s.reporter.Due(at, 64) {
			resp := f.callHolder(at, report)
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

// callHolder returns a holder's response, or nil if the holder is unreachable.
func (f *fleet) callHolder(at time.Time, report ledger.Report) *zinniaquayv1.ReportServiceResponse {
	for r, unreachable := range f.unreachable {
		if unreachable && report.Holder.Name == fmt.Sprintf("router-%d", r) {
			return nil
		}
	}
	return f.holders[report.Holder.Name].Report(at, report.Request)
}

// backlogged reports for each account whether it has requests waiting at a
// reachable router.
func (f *fleet) backlogged() []bool {
	waiting := make([]bool, len(f.served))
	for r := range routers {
		for a, q := range f.queues[r] {
			waiting[a] = waiting[a] || (len(q) > 0 && !f.unreachable[r])
		}
	}
	return waiting
}

// gapTracker tracks, for each pair of accounts, the largest difference in service
// over any period in which both had requests waiting throughout.
type gapTracker struct {
	low, high   [][]float64
	bothWaiting [][]bool
	maxGap      float64
}

// newGapTracker returns a tracker for a number of accounts.
func newGapTracker(accounts int) *gapTracker {
	g := &gapTracker{}
	for range accounts {
		g.low = append(g.low, make([]float64, accounts))
		g.high = append(g.high, make([]float64, accounts))
		g.bothWaiting = append(g.bothWaiting, make([]bool, accounts))
	}
	return g
}

// observe records the service so far and which accounts wait.
func (g *gapTracker) observe(served []float64, waiting []bool) {
	for i := range served {
		for j := range i {
			if !waiting[i] || !waiting[j] {
				g.bothWaiting[i][j] = false
				continue
			}
			d := served[i] - served[j]
			if !g.bothWaiting[i][j] {
				g.low[i][j], g.high[i][j], g.bothWaiting[i][j] = d, d, true
			}
			g.low[i][j] = math.Min(g.low[i][j], d)
			g.high[i][j] = math.Max(g.high[i][j], d)
			g.maxGap = math.Max(g.maxGap, g.high[i][j]-g.low[i][j])
		}
	}
}
