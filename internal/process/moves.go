package process

import (
	"context"
	"slices"
	"strings"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/evidence"
	"github.com/zinniaquay/zinniaquay/internal/move"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
)

// recordTimeout bounds how long operators wait for the records of moves; after
// it they see what was read last, with its age.
const recordTimeout = time.Second

// newEvidenceHolder returns the holder of evidence on moves.
func (p *Router) newEvidenceHolder() *evidence.Holder {
	return evidence.NewHolder(evidence.HolderOptions{
		Name:        p.common.GetName(),
		Incarnation: p.incarnation,
		Store:       p.store,
		Verdicts:    p.knowledge,
		Records:     p.platform,
		Routers:     p.evidenceRouters,
		Log:         p.log,
		Metrics:     p.registry,
		Event: func(committed bool, moveName, detail string) {
			kind := timeline.MoveVerdict
			if committed {
				kind = timeline.MoveState
			}
			p.events.Record(kind, "", moveName+": "+detail)
		},
	})
}

// routerNames returns the names of all live routers.
func (p *Router) routerNames() []string {
	var names []string
	for _, m := range p.members.Live(zinniaquayv1.Member_router) {
		names = append(names, m.GetName())
	}
	return names
}

// moves returns the committed state of each declared move.
func (p *Router) moves(ctx context.Context) []*zinniaquayv1.MoveStatus {
	snap := p.store.Current()
	if snap == nil {
		return nil
	}
	var moves []*zinniaquayv1.MoveStatus
	for name, m := range snap.Doc.GetMoves() {
		d := move.NewDeclaration(name, m)
		status := p.records.Status(ctx, d, time.Now())
		status.Share = d.LevelShare(p.knowledge.Verdict(d))
		if p.knowledge.Bad(d) {
			status.Share = 0
		}
		moves = append(moves, status)
	}
	slices.SortFunc(moves, func(a, b *zinniaquayv1.MoveStatus) int { return strings.Compare(a.GetMove(), b.GetMove()) })
	return moves
}

// operatorStatus returns what operators see of this router: besides its status
// the committed records of moves, which are read only when an operator asks.
func (p *Router) operatorStatus() *zinniaquayv1.StatusResponse {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	s := p.status()
	s.Moves = p.moves(ctx)
	return s
}
