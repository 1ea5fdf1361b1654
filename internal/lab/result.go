package lab

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"
)

// outputSize is what a generated token counts beside one read in the size of a
// request, and leastSize the worth of a request of no size, from the operator's
// definition of worth.
const (
	outputSize = 10
	leastSize  = 0.3
	mostWorth  = 4
)

// worth returns what a caller's answer is worth on time.
func (d *Workload) worth(c *caller) float64 {
	size := float64(c.in+outputSize*c.out) / d.meanSize(c.kind)
	return c.kind.Worth * math.Min(mostWorth, leastSize+(1-leastSize)*size)
}

// Tally is what a group of callers asked and got.
type Tally struct {
	Asked, OnTime, Late, Refused, GaveUp int
	// Owed is the worth of all answers on time, and Got what was earned.
	Owed, Got float64
	// First are the times to the first event of those that got one, sorted.
	First []time.Duration
}

// Share returns the part of the worth owed that was earned.
func (t *Tally) Share() float64 {
	if t.Owed == 0 {
		return 1
	}
	return t.Got / t.Owed
}

// Quantile returns a quantile of the times to the first event.
func (t *Tally) Quantile(q float64) time.Duration {
	if len(t.First) == 0 {
		return 0
	}
	return t.First[min(len(t.First)-1, int(q*float64(len(t.First))))]
}

// Result is what callers got on a day that was played by one way.
type Result struct {
	Strategy string
	All      Tally
	Kinds    map[string]*Tally
	Accounts map[string]*Tally
	// Demand holds what each account asked and received, by seconds.
	Demand map[string][]DemandSecond
	// Windows are the tallies of two seconds each.
	Windows []*Tally
	// Reasons counts the final refusals.
	Reasons map[string]int
	// Read and Reread are prompt tokens that engines read, and those of shared
	// parts that some engine had read before.
	Read, Reread, Preempted int
	// Busy is the part of the time that engines made steps, and Batch the number of
	// requests in a step on average.
	Busy, Batch float64
	// Bound is the share of the worth owed that engine time alone allows.
	Bound float64
	// CrashCauses holds when engines crashed under a crashing part, and CrashingSent
	// when the requests with such a part were sent that reached an engine. These
	// requests count nowhere else.
	CrashCauses, CrashingSent []time.Duration
	// Limited holds the requests that reached engines which named a limit, in order of
	// time.
	Limited []LimitedArrival
	// Leaving holds the requests that reached engines which were leaving, in order of time.
	Leaving []LeavingArrival
	// Closings holds the requests that reached engines on a day on which some close, in
	// order of time.
	Closings []ClosingArrival
	// WronglyQuarantined counts the refusals of requests without a crashing part because
	// of a quarantined one.
	WronglyQuarantined int
	// WronglyHeld holds when such requests were told to come back, because a part was
	// being tried.
	WronglyHeld []time.Duration
}

// windowLength is the length of the windows that are tallied.
const windowLength = 2 * time.Second

func newResult(d *Workload, way string, callers []*caller, w *world) *Result {
	r := &Result{Strategy: way, Kinds: make(map[string]*Tally), Accounts: make(map[string]*Tally), Reasons: make(map[string]int),
		Demand: d.demand(callers)}
	for range int(math.Ceil(d.Seconds / windowLength.Seconds())) {
		r.Windows = append(r.Windows, &Tally{})
	}
	credits := d.credits(callers)
	for i, c := range callers {
		window := r.Windows[min(len(r.Windows)-1, int(c.at/windowLength))]
		for _, t := range []*Tally{&r.All, tallyOf(r.Kinds, c.kind.Name), tallyOf(r.Accounts, c.account), window} {
			t.add(c, credits[i])
		}
		if c.ended == refused {
			r.Reasons[c.reason]++
		}
	}
	for _, t := range r.Kinds {
		slices.Sort(t.First)
	}
	slices.Sort(r.All.First)
	busy, steps, batch := 0.0, 0, 0
	for _, e := range w.played {
		r.Read += e.read
		r.Reread += e.reread
		r.Preempted += e.preempted
		busy += e.busy
		steps += e.steps
		batch += e.batch
	}
	r.Busy, r.Batch = busy/(d.Seconds*1000*float64(d.Engines)), float64(batch)/math.Max(1, float64(steps))
	r.CrashCauses, r.CrashingSent = w.crashCauses, w.crashingSent
	r.Limited, r.Leaving, r.Closings = w.limited, w.leavingArrivals, w.closings
	r.WronglyQuarantined, r.WronglyHeld = w.wronglyQuarantined, w.wronglyHeld
	r.Bound = d.bound(callers) / r.All.Owed
	return r
}

// DemandSecond is what an account asked and received in one second, in tokens as
// shares count them.
type DemandSecond struct {
	Asked, Received float64
	// Largest is the size of the largest request that was asked.
	Largest float64
	// Waited reports whether a request was refused or began later than its objective.
	Waited bool
}

// demand returns what accounts asked and received by seconds. A request counts as
// asked when its caller first asks, and as received when its first token is generated.
func (d *Workload) demand(callers []*caller) map[string][]DemandSecond {
	seconds := int(math.Ceil(d.Seconds))
	demand := make(map[string][]DemandSecond, d.Accounts)
	for rank := 1; rank <= d.Accounts; rank++ {
		demand[accountName(rank)] = make([]DemandSecond, seconds)
	}
	for _, c := range callers {
		of := demand[c.account]
		second := &of[min(seconds-1, int(c.at/time.Second))]
		second.Asked += c.size()
		second.Largest = math.Max(second.Largest, c.size())
		if c.begun == 0 || c.first > ms(c.kind.ObjectiveMS) {
			second.Waited = true
		}
		if begun := int(c.begun / time.Second); c.begun > 0 && begun < seconds {
			of[begun].Received += c.size()
		}
	}
	return demand
}

// size is what a request counts in shares.
func (c *caller) size() float64 { return float64(c.in + generatedSize*c.out) }

func tallyOf(tallies map[string]*Tally, name string) *Tally {
	t := tallies[name]
	if t == nil {
		t = &Tally{}
		tallies[name] = t
	}
	return t
}

// credit is what is owed for a request, and what was earned.
type credit struct{ owed, got float64 }

// earned returns what a caller's answer has earned.
func (d *Workload) earned(c *caller) float64 {
	switch {
	case c.ended != answered:
		return 0
	case c.onTime():
		return d.worth(c)
	}
	return d.worth(c) * c.kind.LateWorth / c.kind.Worth
}

// onTime says that an answer began in time and had no long pause.
func (c *caller) onTime() bool {
	return c.first <= ms(c.kind.ObjectiveMS) && c.gap <= ms(c.kind.GapMS)
}

// credits returns what is owed and earned for each request. In each share window an
// account is owed its max-min share of what the operator states; what it asks and
// gets beyond counts nothing.
func (d *Workload) credits(callers []*caller) []credit {
	type group struct {
		account string
		window  time.Duration
	}
	type sums struct{ asked, owed, got float64 }
	groups := make(map[group]*sums)
	of := func(c *caller) *sums {
		key := group{c.account, c.at / shareWindow}
		if groups[key] == nil {
			groups[key] = &sums{}
		}
		return groups[key]
	}
	for _, c := range callers {
		g := of(c)
		g.asked += c.size()
		g.owed += d.worth(c)
		g.got += d.earned(c)
	}
	asked := make(map[time.Duration][]float64)
	for key, g := range groups {
		asked[key.window] = append(asked[key.window], g.asked)
	}
	credits := make([]credit, len(callers))
	for i, c := range callers {
		g := of(c)
		part := math.Min(1, maxMinShare(asked[c.at/shareWindow], d.TokensPerSecond*shareWindow.Seconds())/g.asked)
		credits[i].owed = part * d.worth(c)
		if g.got > 0 {
			credits[i].got = d.earned(c) * math.Min(1, part*g.owed/g.got)
		}
	}
	return credits
}

// generatedSize is what a generated token counts beside one read in shares, from
// the operator's definition.
const generatedSize = 2

// maxMinShare returns the share that accounts get at most which ask so much of a
// capacity; without a capacity all get what they ask.
func maxMinShare(asked []float64, capacity float64) float64 {
	if capacity <= 0 {
		return math.Inf(1)
	}
	asked = slices.Sorted(slices.Values(asked))
	for i, a := range asked {
		if share := capacity / float64(len(asked)-i); a > share {
			return share
		}
		capacity -= a
	}
	return math.Inf(1)
}

// add counts a caller.
func (t *Tally) add(c *caller, x credit) {
	t.Asked++
	t.Owed += x.owed
	t.Got += x.got
	switch c.ended {
	case answered:
		t.First = append(t.First, c.first)
		if c.onTime() {
			t.OnTime++
			return
		}
		t.Late++
	case refused:
		t.Refused++
	default:
		t.GaveUp++
	}
}

// bound returns the most worth that the engines' time allows: each prompt's own
// part is read once, shared parts cost nothing, and places are always full. It takes
// what is worth most for its time first; no dispatcher does better, however much it
// knows.
func (d *Workload) bound(callers []*caller) float64 {
	type item struct{ worth, cost float64 }
	f := d.Engine
	perToken := (f.StepMS + f.StepMSPerSlot*float64(f.Slots)) / float64(f.Slots)
	items := make([]item, 0, len(callers))
	for i, x := range d.credits(callers) {
		c := callers[i]
		own := float64(c.parts[len(c.parts)-1].length)
		part := x.owed / d.worth(c)
		items = append(items, item{x.owed, part * (own/f.TokensPerMS + perToken*float64(c.out))})
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(b.worth/b.cost, a.worth/a.cost) })
	left, worth := (d.Seconds*1000+d.longestObjective())*float64(d.Engines), 0.0
	for _, i := range items {
		part := math.Min(1, left/i.cost)
		worth += part * i.worth
		if left -= part * i.cost; left <= 0 {
			break
		}
	}
	return worth
}

func (d *Workload) longestObjective() float64 {
	longest := 0.0
	for _, k := range d.Kinds {
		longest = math.Max(longest, k.ObjectiveMS)
	}
	return longest
}

// Goal weighs the whole day with what is worst served, as the operator does.
func (r *Result) Goal() float64 {
	return 0.45*r.All.Share() + 0.15*r.WorstWindows() + 0.1*r.WorstKind() + 0.3*r.WorstAccounts()
}

// WorstAccounts returns the share of the worst-served tenth of the accounts.
func (r *Result) WorstAccounts() float64 { return worst(r.Accounts, max(1, len(r.Accounts)/10)) }

// WorstKind returns the share of the worst-served kind.
func (r *Result) WorstKind() float64 { return worst(r.Kinds, 1) }

// WorstWindows returns the share of the two worst windows.
func (r *Result) WorstWindows() float64 {
	tallies := make(map[string]*Tally, len(r.Windows))
	for i, t := range r.Windows {
		tallies[fmt.Sprint(i)] = t
	}
	return worst(tallies, 2)
}

// worst returns the mean share of the n worst tallies.
func worst(tallies map[string]*Tally, n int) float64 {
	var shares []float64
	for _, t := range tallies {
		shares = append(shares, t.Share())
	}
	slices.Sort(shares)
	sum := 0.0
	for _, s := range shares[:n] {
		sum += s
	}
	return sum / float64(n)
}

// WriteTable writes results side by side.
func WriteTable(w io.Writer, day Workload, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\t\n", args...) } // Flush tells of errors
	line("way\tgoal\tworth\tworst windows\tworst kind\tworst accounts\tasked\ton time\tlate\trefused\tgave up\tread M\tagain M\tbusy\tbatch\tp50 ms\tp99 ms")
	for _, r := range results {
		a := &r.All
		line("%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.2f\t%.2f\t%.1f\t%d\t%d", r.Strategy, r.Goal(), a.Share(), r.WorstWindows(), r.WorstKind(), r.WorstAccounts(),
			a.Asked, a.OnTime, a.Late, a.Refused, a.GaveUp, float64(r.Read)/1e6, float64(r.Reread)/1e6, r.Busy, r.Batch, a.Quantile(0.5).Milliseconds(), a.Quantile(0.99).Milliseconds())
	}
	line("engine time alone\t\t%.3f", results[0].Bound)
	line("")
	line("way\tkind\tworth\tasked\ton time\tlate\trefused\tgave up\tp50 ms\tp99 ms")
	for _, r := range results {
		for _, k := range day.Kinds {
			a := tallyOf(r.Kinds, k.Name)
			line("%s\t%s\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%d", r.Strategy, k.Name, a.Share(), a.Asked, a.OnTime, a.Late, a.Refused, a.GaveUp,
				a.Quantile(0.5).Milliseconds(), a.Quantile(0.99).Milliseconds())
		}
	}
	line("")
	for _, r := range results {
		line("%s refused\t%v", r.Strategy, r.Reasons)
	}
	return t.Flush()
}
