package fairness

import "math"

// entry is the state of one account.
type entry struct {
	account string
	weight  float64
	// own is service delivered by this process; it only rises.
	own float64
	// others is service delivered by other processes; it only rises.
	others float64
	// reportedOwn is the part of own that the ledger has recorded.
	reportedOwn float64
	// reporters is the number of processes that have reported service of the
	// account.
	reporters int
	// fleetLift is virtual service added because the account trailed by more than
	// the credit; it is shared through the ledger and only rises.
	fleetLift float64
	// provisionalLift is a local lift that holds until a total of the ledger is
	// merged.
	provisionalLift float64
	// known is set once a total of the ledger was merged.
	known bool
	// outstanding is the service that running requests are estimated to still need.
	outstanding float64
	// waiting is the number of requests that wait here.
	waiting int
	// lastStart is the value of Counters.startSequence at the account's last start.
	lastStart uint64
	// tieBreaker is a hash that orders accounts with equal keys that never started
	// a request.
	tieBreaker uint64
	// costs is the mean cost of the account's requests.
	costs meanCost

	orderIndex, mostServedIndex int
}

// deliveredVirtual returns the virtual service without estimates for running
// requests.
func (e *entry) deliveredVirtual() float64 {
	return (e.own+e.others)/e.weight + e.fleetLift + e.provisionalLift
}

// orderKey returns the virtual service by which accounts are ordered. It counts
// running requests at their estimates, and assumes that each other reporter has
// delivered as much since the ledger's last response as this process.
// Otherwise every process would compensate for the same deficit at once, each in
// full.
func (e *entry) orderKey() float64 {
	assumed := float64(max(0, e.reporters-1)) * math.Max(0, e.own-e.reportedOwn)
	return e.deliveredVirtual() + (e.outstanding+assumed)/e.weight
}

// before reports whether e starts before other: by order key, then by the
// earlier last start, so that accounts with equal keys alternate whatever their
// names.
func (e *entry) before(other *entry) bool {
	if a, b := e.orderKey(), other.orderKey(); a != b {
		return a < b
	}
	if e.lastStart != other.lastStart {
		return e.lastStart < other.lastStart
	}
	if e.tieBreaker != other.tieBreaker {
		return e.tieBreaker < other.tieBreaker
	}
	return e.account < other.account
}

// orderHeap is a heap with the account that starts next at its root.
type orderHeap []*entry

func (h orderHeap) Len() int           { return len(h) }
func (h orderHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h orderHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].orderIndex, h[j].orderIndex = i, j
}

// Push implements heap.Interface.
func (h *orderHeap) Push(x any) {
	e := x.(*entry)
	e.orderIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *orderHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// mostServedHeap is a heap with the most served waiting account at its root.
type mostServedHeap []*entry

func (h mostServedHeap) Len() int           { return len(h) }
func (h mostServedHeap) Less(i, j int) bool { return h[i].deliveredVirtual() > h[j].deliveredVirtual() }
func (h mostServedHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].mostServedIndex, h[j].mostServedIndex = i, j
}

// Push implements heap.Interface.
func (h *mostServedHeap) Push(x any) {
	e := x.(*entry)
	e.mostServedIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *mostServedHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
