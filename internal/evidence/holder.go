// Package evidence sends statistics on the answers of targets to the router that
// holds the evidence on a move, and returns that router's verdicts to the senders.
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
	// StepInterval is the interval at which a holder evaluates its evidence.
	StepInterval = 250 * time.Millisecond
	// commitTimeout is the deadline of the platform calls for one record. It limits
	// the delay for the other moves of the holder.
	commitTimeout = 2 * time.Second
	// reportedHolderTTL is how long after the last report a process counts as the
	// holder of a move although another router ranks first in its own member list.
	reportedHolderTTL = 5 * time.Second
)

// errUnknownMove is the response to evidence on a move that is not in the
// configuration of this process.
var errUnknownMove = connect.NewError(connect.CodeNotFound, errors.New("move not declared here"))

// HolderOptions configures a Holder.
type HolderOptions struct {
	// Name is the name of the process, unique in the fleet.
	Name string
	// Incarnation identifies this start of the process.
	Incarnation uint64
	// Store holds the configuration in force.
	Store *configstore.Store
	// Verdicts receives the verdicts. Peers propagate them.
	Verdicts *move.VerdictSet
	// Records is the platform's store for the records of moves.
	Records keeper.Store
	// Routers returns the live routers, including this one.
	Routers func() []Member
	// Log is the structured logger.
	Log logr.Logger
	// Metrics receives move_commit_failures_total.
	Metrics metrics.Registry
	// Event records a change of a move's committed state, or a verdict.
	Event func(committed bool, moveName, detail string)
}

// Holder stores the evidence on moves at one router. It is safe for concurrent
// use.
type Holder struct {
	opts HolderOptions

	mu    sync.Mutex
	moves map[uint64]*heldMove
}

// heldMove is the holder's state for one move.
type heldMove struct {
	declaration move.Declaration
	judge       *move.Judge
	lastReport  time.Time

	// keeper is used only by the goroutine of Run.
	keeper *keeper.Keeper
}

// NewHolder returns a holder without evidence.
func NewHolder(o HolderOptions) *Holder {
	return &Holder{opts: o, moves: make(map[uint64]*heldMove)}
}

// ReportEvidence implements the RPC.
func (h *Holder) ReportEvidence(_ context.Context, req *zinniaquayv1.ReportEvidenceRequest) (*zinniaquayv1.ReportEvidenceResponse, error) {
	now := time.Now()
	h.syncDeclarations(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	m, ok := h.moves[req.GetMoveDigest()]
	if !ok {
		return nil, errUnknownMove
	}
	m.lastReport = now
	m.judge.Merge(req, now)
	h.exchangeVerdicts(m)
	return &zinniaquayv1.ReportEvidenceResponse{
		Verdict:     h.opts.Verdicts.Verdict(m.declaration),
		Incarnation: h.opts.Incarnation,
	}, nil
}

// syncDeclarations starts to hold newly declared moves and drops those that are
// no longer declared.
func (h *Holder) syncDeclarations(now time.Time) {
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
		held, ok := h.moves[d.Digest()]
		if !ok {
			held = &heldMove{judge: move.NewJudge(d, now), keeper: keeper.New(h.opts.Records, h.holderID(), d)}
			h.moves[d.Digest()] = held
		}
		held.declaration = d
		held.judge.SetDeclaration(d)
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

// exchangeVerdicts passes the process's verdict on a move to its judge, and the
// judge's verdict to the process's verdicts. The caller holds the lock.
func (h *Holder) exchangeVerdicts(m *heldMove) {
	if v := h.opts.Verdicts.Verdict(m.declaration); v != nil {
		m.judge.Adopt(v, time.Now())
	}
	wasBad := h.opts.Verdicts.Bad(m.declaration)
	verdict := m.judge.Verdict()
	h.opts.Verdicts.Add(verdict)
	if !wasBad && !verdict.GetCleared() {
		h.recordEvent(false, m.declaration.Name, verdict.GetReason())
	}
}

func (h *Holder) recordEvent(committed bool, moveName, detail string) {
	if h.opts.Event != nil {
		h.opts.Event(committed, moveName, detail)
	}
}

// Run evaluates and commits the moves that this process holds until the context
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

// Step evaluates every move that this process holds once.
func (h *Holder) Step(ctx context.Context) {
	now := time.Now()
	h.syncDeclarations(now)
	for _, m := range h.heldMoves(now) {
		h.stepMove(ctx, m)
	}
}

// heldMoves returns the moves that this process holds: those for which it ranks
// first by rendezvous hashing, and those on which it recently received reports.
func (h *Holder) heldMoves(now time.Time) []*heldMove {
	routers := h.opts.Routers()
	h.mu.Lock()
	defer h.mu.Unlock()
	var moves []*heldMove
	for digest, m := range h.moves {
		first := Ranked(digest, routers)
		ranksFirst := len(first) == 0 || first[0].Name == h.opts.Name
		if ranksFirst || now.Sub(m.lastReport) < reportedHolderTTL {
			moves = append(moves, m)
		}
	}
	return moves
}

func (h *Holder) stepMove(ctx context.Context, m *heldMove) {
	snap := h.opts.Store.Current()
	if snap == nil {
		return
	}
	now := time.Now()
	h.mu.Lock()
	d := m.declaration
	fleet := move.Fleet{Old: snap.Targets(d.Service, d.From), New: snap.Targets(d.Service, d.To)}
	missing := m.judge.Step(fleet, now)
	h.exchangeVerdicts(m)
	progress := m.judge.Progress(fleet, missing, now)
	h.mu.Unlock()
	if m.keeper.Due(progress, now) {
		h.commit(ctx, m.keeper, d, progress, now)
	}
}

// commit writes the next record of a move and adds the committed record's verdict
// to the verdicts of the process.
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
		h.recordEvent(true, d.Name, state+": "+record.GetReason())
	}
}
