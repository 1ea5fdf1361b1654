package move

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// Limits of a tally's memory. Answers beyond them are counted under OtherKey.
const (
	MaxRoutes   = 32
	MaxAccounts = 256
)

// OtherKey is the key of the cell for everything beyond a limit.
const OtherKey = "other"

// Dimension is the property that the answers of a cell have in common.
type Dimension = zinniaquayv1.EvidenceCell_Dimension

// The dimensions of cells. Every answer counts once in each.
const (
	ByLoad    = zinniaquayv1.EvidenceCell_load
	ByRoute   = zinniaquayv1.EvidenceCell_route
	ByAccount = zinniaquayv1.EvidenceCell_account
)

// Cell identifies a set of answers that have one property in common.
type Cell struct {
	// Dimension is that property.
	Dimension Dimension
	// Key is its value; empty for ByLoad.
	Key string
	// Load of the target when the requests started. Empty for all loads.
	Load Load
}

// isRoute reports whether the cell counts all answers of a route.
func (c Cell) isRoute() bool { return c.Dimension == ByRoute && c.Load == "" }

// String describes the cell for operators.
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

// The loads, in thirds of the maximum number of requests that the target may
// run.
const (
	LoadLow    Load = "low"
	LoadMiddle Load = "middle"
	LoadHigh   Load = "high"
)

// loads lists the loads from low to high.
var loads = [...]Load{LoadLow, LoadMiddle, LoadHigh}

// LoadOf returns the load of a target.
func LoadOf(running, maxRunning int) Load {
	switch {
	case 3*running > 2*maxRunning:
		return LoadHigh
	case 3*running > maxRunning:
		return LoadMiddle
	default:
		return LoadLow
	}
}

// Outcome is how an answer ended.
type Outcome int

// The outcomes.
const (
	// Succeeded is a complete answer.
	Succeeded Outcome = iota
	// Failed is an answer with a fault of the target: it ended early, timed out or
	// reported an internal error.
	Failed
	// Refused is an answer that reports an error of the caller.
	Refused
)

// Observation is one finished answer. Answers whose caller has disconnected are
// not observed.
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

// Tally counts the answers of one target for one move. It is not safe for
// concurrent use.
type Tally struct {
	cells            map[Cell]*tallyCell
	cellsByDimension map[Dimension]int
	holder           uint64
}

// tallyCell is one cell of a tally.
type tallyCell struct {
	cell   Cell
	counts Counts
	// acked is what the current holder has acknowledged.
	acked Counts
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		cells:            make(map[Cell]*tallyCell),
		cellsByDimension: make(map[Dimension]int),
	}
}

// Observe counts one answer.
func (t *Tally) Observe(o Observation) {
	t.countsFor(Cell{ByLoad, "", o.Load}).observe(o)
	t.countsFor(Cell{ByRoute, o.Route, o.Load}).observe(o)
	t.countsFor(Cell{ByAccount, o.Account, o.Load}).observe(o)
}

func (t *Tally) countsFor(c Cell) *Counts {
	if known, ok := t.cells[c]; ok {
		return &known.counts
	}
	limit := MaxAccounts * len(loads)
	if c.Dimension == ByRoute {
		limit = MaxRoutes * len(loads)
	}
	if t.cellsByDimension[c.Dimension] >= limit && c.Key != OtherKey {
		return t.countsFor(Cell{c.Dimension, OtherKey, c.Load})
	}
	t.cellsByDimension[c.Dimension]++
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
// acknowledged, limited to budget bytes but at least one cell: cells with the
// most new failures first, then those with the most new answers.
func (t *Tally) Changed(holder uint64, budget int) []*zinniaquayv1.EvidenceCell {
	t.setHolder(holder)
	var cells []*zinniaquayv1.EvidenceCell
	for _, c := range t.unacknowledged() {
		m := c.toProto()
		if budget -= proto.Size(m); budget < 0 && len(cells) > 0 {
			break
		}
		cells = append(cells, m)
	}
	return cells
}

// HasUnacknowledged reports whether there are answers that the current holder
// has not acknowledged.
func (t *Tally) HasUnacknowledged() bool {
	for _, c := range t.cells {
		if c.counts.Answers > c.acked.Answers {
			return true
		}
	}
	return false
}

// setHolder discards the acknowledgements if the holder has changed.
func (t *Tally) setHolder(holder uint64) {
	if holder == t.holder {
		return
	}
	t.holder = holder
	for _, c := range t.cells {
		c.acked = Counts{}
	}
}

// unacknowledged returns the changed cells, the most urgent first:
// those with the most new failures, then those with the most new answers.
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

// Acknowledge records that a holder has merged cells.
func (t *Tally) Acknowledge(holder uint64, cells []*zinniaquayv1.EvidenceCell) {
	t.setHolder(holder)
	for _, m := range cells {
		if c, ok := t.cells[cellFromProto(m)]; ok {
			c.acked = countsFromProto(m)
		}
	}
}

func (c *tallyCell) toProto() *zinniaquayv1.EvidenceCell {
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

// cellFromProto returns the cell of a part of a report.
func cellFromProto(m *zinniaquayv1.EvidenceCell) Cell {
	return Cell{m.GetDimension(), m.GetKey(), Load(m.GetAtLoad())}
}

// countsFromProto returns the counts of a part of a report. Buckets that do not
// exist are ignored.
func countsFromProto(m *zinniaquayv1.EvidenceCell) Counts {
	c := Counts{Answers: m.GetAnswers(), Failed: m.GetFailed(), Refused: m.GetRefused()}
	copy(c.FirstToken[:], m.GetFirstToken())
	copy(c.TokenGap[:], m.GetTokenGap())
	return c
}
