package move

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// Limits of a tally's memory. What does not fit is counted under OtherKey.
const (
	MaxRoutes   = 32
	MaxAccounts = 256
)

// OtherKey is the key of the cell for everything over a limit.
const OtherKey = "other"

// Dimension says what the answers of a cell have in common.
type Dimension = zinniaquayv1.EvidenceCell_Dimension

// The dimensions of cells. Every answer counts once in each.
const (
	ByLoad    = zinniaquayv1.EvidenceCell_load
	ByRoute   = zinniaquayv1.EvidenceCell_route
	ByAccount = zinniaquayv1.EvidenceCell_account
)

// Cell names a set of answers that have one thing in common.
type Cell struct {
	// Dimension says which thing that is.
	Dimension Dimension
	// Key is its value; empty for ByLoad.
	Key string
	// Load of the target when the requests started. Empty for all loads.
	Load Load
}

// isRoute reports whether the cell counts all answers of a route.
func (c Cell) isRoute() bool { return c.Dimension == ByRoute && c.Load == "" }

// String names the cell for operators.
func (c Cell) String() string {
	switch {
	case c.Dimension == ByLoad && c.Load == "":
		return "all requests"
	case c.Dimension == ByLoad:
		return fmt.Sprintf("requests under %s load", c.Load)
	case c.Load == "":
		return fmt.Sprintf("%s %q", c.Dimension, c.Key)
	}
	return fmt.Sprintf("%s %q under %s load", c.Dimension, c.Key, c.Load)
}

// Load is how busy a target was when a request started.
type Load string

// The loads, in thirds of the most requests that the target may run.
const (
	LoadLow    Load = "low"
	LoadMiddle Load = "middle"
	LoadHigh   Load = "high"
)

// loads lists the loads from low to high.
var loads = [...]Load{LoadLow, LoadMiddle, LoadHigh}

// LoadOf returns the load of a target.
func LoadOf(running, most int) Load {
	switch {
	case 3*running > 2*most:
		return LoadHigh
	case 3*running > most:
		return LoadMiddle
	default:
		return LoadLow
	}
}

// Outcome is how an answer ended.
type Outcome int

// The outcomes.
const (
	// Succeeded is a whole answer.
	Succeeded Outcome = iota
	// Failed is an answer that is the target's fault: it broke off, timed out or
	// reported an internal error.
	Failed
	// Refused is an answer that puts the fault on the caller.
	Refused
)

// Observation is one finished answer. An answer whose caller has gone is none.
type Observation struct {
	// Route of the request.
	Route string
	// Account is the client account of the request.
	Account string
	// Load of the target when the request started.
	Load Load
	// Outcome of the request.
	Outcome Outcome
	// FirstToken is the time from start to the first token; 0 if there was none.
	FirstToken time.Duration
	// TokenGap is the mean time between tokens; 0 if there were fewer than two.
	TokenGap time.Duration
}

// Tally counts the answers of one target on behalf of one move. It is not safe
// for concurrent use.
type Tally struct {
	cells  map[Cell]*tallyCell
	keys   map[Dimension]int
	holder uint64
}

// tallyCell is one cell of a tally.
type tallyCell struct {
	cell   Cell
	counts Counts
	// acked is what the present holder has acknowledged.
	acked Counts
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		cells: make(map[Cell]*tallyCell),
		keys:  make(map[Dimension]int),
	}
}

// Observe counts one answer.
func (t *Tally) Observe(o Observation) {
	t.cell(Cell{ByLoad, "", o.Load}).observe(o)
	t.cell(Cell{ByRoute, o.Route, o.Load}).observe(o)
	t.cell(Cell{ByAccount, o.Account, o.Load}).observe(o)
}

func (t *Tally) cell(c Cell) *Counts {
	if known, ok := t.cells[c]; ok {
		return &known.counts
	}
	limit := MaxAccounts * len(loads)
	if c.Dimension == ByRoute {
		limit = MaxRoutes * len(loads)
	}
	if t.keys[c.Dimension] >= limit && c.Key != OtherKey {
		return t.cell(Cell{c.Dimension, OtherKey, c.Load})
	}
	t.keys[c.Dimension]++
	added := &tallyCell{cell: c}
	t.cells[c] = added
	return &added.counts
}

func (c *Counts) observe(o Observation) {
	c.Answers++
	switch o.Outcome {
	case Failed:
		c.Failed++
	case Refused:
		c.Refused++
	case Succeeded:
	}
	if o.FirstToken > 0 {
		c.FirstToken.add(o.FirstToken, FirstTokenUnit)
	}
	if o.TokenGap > 0 {
		c.TokenGap.add(o.TokenGap, TokenGapUnit)
	}
}

// Changed returns the cells that the holder of the given incarnation has not
// acknowledged, at most budget bytes of them: cells with the most new failures
// first, then those with the most new answers.
func (t *Tally) Changed(holder uint64, budget int) []*zinniaquayv1.EvidenceCell {
	t.reportTo(holder)
	var cells []*zinniaquayv1.EvidenceCell
	for _, c := range t.unacknowledged() {
		m := c.message()
		if budget -= proto.Size(m); budget < 0 && len(cells) > 0 {
			break
		}
		cells = append(cells, m)
	}
	return cells
}

// HasUnacknowledged reports whether there are answers that the present holder has not
// acknowledged.
func (t *Tally) HasUnacknowledged() bool {
	for _, c := range t.cells {
		if c.counts.Answers > c.acked.Answers {
			return true
		}
	}
	return false
}

// reportTo forgets what was acknowledged if the holder is another one.
func (t *Tally) reportTo(holder uint64) {
	if holder == t.holder {
		return
	}
	t.holder = holder
	for _, c := range t.cells {
		c.acked = Counts{}
	}
}

// unacknowledged returns the changed cells, the most urgent first.
func (t *Tally) unacknowledged() []*tallyCell {
	var changed []*tallyCell
	for _, c := range t.cells {
		if c.counts.Answers != c.acked.Answers {
			changed = append(changed, c)
		}
	}
	slices.SortFunc(changed, func(a, b *tallyCell) int {
		return cmp.Or(
			cmp.Compare(b.counts.Failed-b.acked.Failed, a.counts.Failed-a.acked.Failed),
			cmp.Compare(b.counts.Answers-b.acked.Answers, a.counts.Answers-a.acked.Answers),
			cmp.Compare(a.cell.Dimension, b.cell.Dimension),
			cmp.Compare(a.cell.Key, b.cell.Key),
			cmp.Compare(a.cell.Load, b.cell.Load),
		)
	})
	return changed
}

// Acknowledge notes that a holder has merged cells.
func (t *Tally) Acknowledge(holder uint64, cells []*zinniaquayv1.EvidenceCell) {
	t.reportTo(holder)
	for _, m := range cells {
		if c, ok := t.cells[cellOf(m)]; ok {
			c.acked = countsOf(m)
		}
	}
}

func (c *tallyCell) message() *zinniaquayv1.EvidenceCell {
	n := &c.counts
	return &zinniaquayv1.EvidenceCell{
		Dimension:  c.cell.Dimension,
		Key:        c.cell.Key,
		AtLoad:     string(c.cell.Load),
		Answers:    n.Answers,
		Failed:     n.Failed,
		Refused:    n.Refused,
		FirstToken: n.FirstToken.trimmed(),
		TokenGap:   n.TokenGap.trimmed(),
	}
}

// trimmed returns the buckets without the empty ones at the end.
func (h Histogram) trimmed() []uint64 {
	end := Buckets
	for end > 0 && h[end-1] == 0 {
		end--
	}
	return slices.Clone(h[:end])
}

// cellOf reads which cell a part of a report is on.
func cellOf(m *zinniaquayv1.EvidenceCell) Cell {
	return Cell{m.GetDimension(), m.GetKey(), Load(m.GetAtLoad())}
}

// countsOf reads a cell of a report. Buckets that do not exist are ignored.
func countsOf(m *zinniaquayv1.EvidenceCell) Counts {
	c := Counts{Answers: m.GetAnswers(), Failed: m.GetFailed(), Refused: m.GetRefused()}
	copy(c.FirstToken[:], m.GetFirstToken())
	copy(c.TokenGap[:], m.GetTokenGap())
	return c
}
