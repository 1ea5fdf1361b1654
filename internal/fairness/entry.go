package fairness

import "math"

// entry is the state of one account.
type entry struct {
	account string
	weight  float64
	// own is service given by this process; it only rises.
	own float64
	// others is service given by other processes; it only rises.
	others float64
	// reported is the part of own that the ledger has taken into account.
	reported float64
	// reporters is the number of processes that serve the account.
	reporters int
	// fleetLift is virtual service added when the account trailed too far; it
	// is shared through the ledger and only rises.
	fleetLift float64
	// provisional is a lift that holds until the ledger has answered.
	provisional float64
	// known says that the ledger has answered.
	known bool
	// expected is the service that running requests are estimated to need still.
	expected float64
	// waiting is the number of requests that wait here.
	waiting int
	// lastTurn is the turn in which the account last started a request.
	lastTurn uint64
	// tie orders accounts that never had a turn, in no meaningful order.
	tie uint64
	// costs is the mean cost of the account's requests.
	costs meanCost

	orderIndex, leadIndex int
}

// settled returns the virtual service that is certain.
func (e *entry) settled() float64 {
	return (e.own+e.others)/e.weight + e.fleetLift + e.provisional
}

// key returns the virtual service that orders accounts: running requests at
// their estimates, and for each other reporter as much since the last answer as
// was given here. Otherwise all processes would make up for the same arrears at
// once, each in full.
func (e *entry) key() float64 {
	assumed := float64(max(0, e.reporters-1)) * math.Max(0, e.own-e.reported)
	return e.settled() + (e.expected+assumed)/e.weight
}

// before reports whether e starts before other: by key, then by the longest
// time without a turn, so that equal accounts alternate whatever their names.
func (e *entry) before(other *entry) bool {
	if a, b := e.key(), other.key(); a != b {
		return a < b
	}
	if e.lastTurn != other.lastTurn {
		return e.lastTurn < other.lastTurn
	}
	if e.tie != other.tie {
		return e.tie < other.tie
	}
	return e.account < other.account
}

// orderHeap has the account that starts next at its root.
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

// leadHeap has the most served waiting account at its root.
type leadHeap []*entry

func (h leadHeap) Len() int           { return len(h) }
func (h leadHeap) Less(i, j int) bool { return h[i].settled() > h[j].settled() }
func (h leadHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].leadIndex, h[j].leadIndex = i, j
}

// Push implements heap.Interface.
func (h *leadHeap) Push(x any) {
	e := x.(*entry)
	e.leadIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *leadHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
