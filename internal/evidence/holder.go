// Package evidence brings what targets answered to the router that holds the
// evidence on a move, and its conclusions back.
package evidence

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/move"
	"github.com/zinniaquay/zinniaquay/internal/move/keeper"
	"github.com/zinniaquay/zinniaquay/internal/versions"
)

const (
	// StepInterval is how often a holder looks at its evidence.
	StepInterval = 250 * time.Millisecond
	// commitTimeout bounds the calls to the platform for one record, so that
	// the other moves of the holder do not wait for long.
	commitTimeout = 2 * time.Second
	// heardFor is how long after the last report a process counts as the holder
	// of a move although its own list of members names another one.
	heardFor = 5 * time.Second
)

// errUnknownMove is the answer to evidence on a move that is not declared here.
var errUnknownMove = connect.NewError(connect.CodeNotFound, errors.New("move not declared here"))

// HolderOptions are what a holder needs.
type HolderOptions struct {
	// Name of the process, unique in the fleet.
	Name string
	// Incarnation tells this start of the process from all others.
	Incarnation uint64
	// Store holds the configuration in force.
	Store *configstore.Store
	// Verdicts takes the conclusions, which peers pass on.
	Verdicts *move.VerdictSet
	// Records is the part of the platform that holds the records of moves.
	Records keeper.Store
	// Routers returns the live routers, this one among them.
	Routers func() []Member
	// Log takes structured logs.
	Log logr.Logger
	// Metrics takes metrics: move_commit_failures_total.
	Metrics metrics.Registry
	// Event notes a change of a move's committed state or a verdict.
	Event func(committed bool, moveName, detail string)
}

// Holder holds the evidence on moves at one router. It is safe for concurrent
// use.
type Holder struct {
	opts HolderOptions

	mu    sync.Mutex
	moves map[uint64]*held
}

// held is one move at its holder.
type held struct {
	declaration move.Declaration
	judge       *move.Judge
	heard       time.Time

	// keeper belongs to the goroutine of Run.
	keeper *keeper.Keeper
}

// NewHolder returns a holder without evidence.
func NewHolder(o HolderOptions) *Holder {
	return &Holder{opts: o, moves: make(map[uint64]*held)}
}

// ReportEvidence implements the RPC.
func (h *Holder) ReportEvidence(_ context.Context, req *zinniaquayv1.ReportEvidenceRequest) (*zinniaquayv1.ReportEvidenceResponse, error) {
	now := time.Now()
	h.sync(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	m, ok := h.moves[req.GetMoveDigest()]
	if !ok {
		return nil, errUnknownMove
	}
	m.heard = now
	m.judge.Merge(req, now)
	h.share(m)
	return &zinniaquayv1.ReportEvidenceResponse{
		Verdict:     h.opts.Verdicts.Verdict(m.declaration),
		Incarnation: h.opts.Incarnation,
	}, nil
}

// sync begins to hold moves that were declared and forgets those that are not
// any more.
func (h *Holder) sync(now time.Time) {
	snap := h.opts.Store.Current()
	if snap == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	declared := make(map[uint64]bool)
	moves := versions.Declarations(snap)
	h.opts.Verdicts.Retain(moves)
	for _, d := range moves {
		declared[d.Digest()] = true
		known, ok := h.moves[d.Digest()]
		if !ok {
			known = &held{judge: move.NewJudge(d, now), keeper: keeper.New(h.opts.Records, h.holderID(), d)}
			h.moves[d.Digest()] = known
		}
		known.declaration = d
		known.judge.SetDeclaration(d)
	}
	for digest := range h.moves {
		if !declared[digest] {
			delete(h.moves, digest)
		}
	}
}

func (h *Holder) holderID() string {
	return processID(h.opts.Name, h.opts.Incarnation)
}

// share exchanges conclusions between a judge and the process's knowledge. The
// caller holds the lock.
func (h *Holder) share(m *held) {
	if v := h.opts.Verdicts.Verdict(m.declaration); v != nil {
		m.judge.Adopt(v, time.Now())
	}
	wasBad := h.opts.Verdicts.Bad(m.declaration)
	verdict := m.judge.Verdict()
	h.opts.Verdicts.Add(verdict)
	if !wasBad && !verdict.GetCleared() {
		h.event(false, m.declaration.Name, verdict.GetReason())
	}
}

func (h *Holder) event(committed bool, moveName, detail string) {
	if h.opts.Event != nil {
		h.opts.Event(committed, moveName, detail)
	}
}

// Run steps and commits the moves that this process holds until the context
// ends. It is the only goroutine that calls the platform for them.
func (h *Holder) Run(ctx context.Context) {
	tick := time.NewTicker(StepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			h.Step(ctx)
		}
	}
}

// Step looks once at every move that this process holds.
func (h *Holder) Step(ctx context.Context) {
	now := time.Now()
	h.sync(now)
	for _, m := range h.ours(now) {
		h.stepOne(ctx, m)
	}
}

// ours returns the moves that this process holds: those that rendezvous hashing
// gives it, and those that reporters take it to hold.
func (h *Holder) ours(now time.Time) []*held {
	routers := h.opts.Routers()
	h.mu.Lock()
	defer h.mu.Unlock()
	var moves []*held
	for digest, m := range h.moves {
		first := Ranked(digest, routers)
		named := len(first) == 0 || first[0].Name == h.opts.Name
		if named || now.Sub(m.heard) < heardFor {
			moves = append(moves, m)
		}
	}
	return moves
}

func (h *Holder) stepOne(ctx context.Context, m *held) {
	snap := h.opts.Store.Current()
	if snap == nil {
		return
	}
	now := time.Now()
	h.mu.Lock()
	d := m.declaration
	fleet := move.Fleet{Old: snap.Targets(d.Service, d.From), New: snap.Targets(d.Service, d.To)}
	missing := m.judge.Step(fleet, now)
	h.share(m)
	progress := m.judge.Progress(fleet, missing, now)
	h.mu.Unlock()
	if m.keeper.Due(progress, now) {
		h.commit(ctx, m.keeper, d, progress, now)
	}
}

// commit writes the record that follows and learns what the record says.
func (h *Holder) commit(ctx context.Context, k *keeper.Keeper, d move.Declaration, p move.Progress, now time.Time) {
	before := k.Committed().GetState()
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if err := k.Commit(ctx, p, now); err != nil {
		metrics.GetOrRegisterCounter("move_commit_failures_total", h.opts.Metrics).Inc(1)
		h.opts.Log.Info("record of a move not committed", "move", d.Name, "err", err.Error())
	}
	record := k.Committed()
	if v := move.RecordVerdict(d, record); v != nil {
		h.opts.Verdicts.Add(v)
	}
	if state := record.GetState(); state != before {
		h.event(true, d.Name, state+": "+record.GetReason())
	}
}
