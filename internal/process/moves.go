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

// moveRecordTimeout bounds how long an operator's request waits for the move
// records. After it the response has the records read last, with their age.
const moveRecordTimeout = time.Second

// newEvidenceHolder returns the store of evidence on moves.
func (p *Router) newEvidenceHolder() *evidence.Holder {
	return evidence.NewHolder(evidence.HolderOptions{
		Name:        p.processSettings.GetName(),
		Incarnation: p.incarnation,
		Store:       p.store,
		Verdicts:    p.verdicts,
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

// moveStatuses returns the committed state of each declared move, sorted by name.
func (p *Router) moveStatuses(ctx context.Context) []*zinniaquayv1.MoveStatus {
	snap := p.store.Current()
	if snap == nil {
		return nil
	}
	var moves []*zinniaquayv1.MoveStatus
	for name, m := range snap.Doc.GetMoves() {
		d := move.NewDeclaration(name, m)
		status := p.moveRecords.Status(ctx, d, time.Now())
		status.Share = d.LevelShare(p.verdicts.Verdict(d))
		if p.verdicts.Bad(d) {
			status.Share = 0
		}
		moves = append(moves, status)
	}
	slices.SortFunc(moves, func(a, b *zinniaquayv1.MoveStatus) int { return strings.Compare(a.GetMove(), b.GetMove()) })
	return moves
}

// operatorStatus returns the router's status for operators. It adds the committed
// move records, which are read only when an operator requests them.
func (p *Router) operatorStatus() *zinniaquayv1.StatusResponse {
	ctx, cancel := context.WithTimeout(context.Background(), moveRecordTimeout)
	defer cancel()
	s := p.status()
	s.Moves = p.moveStatuses(ctx)
	return s
}
