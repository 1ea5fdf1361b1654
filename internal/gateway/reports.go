package gateway

import (
	"math"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/dispatch"
)

// Report returns what peers are told.
func (g *Gateway) Report() *zinniaquayv1.GatewayReport {
	own := g.scheduler.report()
	r := &zinniaquayv1.GatewayReport{Moves: g.moves.evidence()}
	for key, load := range own.Loads {
		r.Loads = append(r.Loads, &zinniaquayv1.TargetLoad{
			Target: key, Running: uint32(load.Running), Backlog: rounded(load.Backlog), Memory: rounded(load.Memory),
		})
	}
	for _, a := range own.Accounts {
		r.Accounts = append(r.Accounts, &zinniaquayv1.AccountUsage{
			Account: a.Account, Asked: rounded(a.Asked), Got: rounded(a.Got),
		})
	}
	return r
}

// Merge takes over a peer's report.
func (g *Gateway) Merge(r *zinniaquayv1.GatewayReport) {
	report := dispatch.Report{Loads: make(map[uint64]dispatch.Load, len(r.GetLoads()))}
	for _, l := range r.GetLoads() {
		report.Loads[l.GetTarget()] = dispatch.Load{
			Running: int(l.GetRunning()), Backlog: float64(l.GetBacklog()), Memory: float64(l.GetMemory()),
		}
	}
	for _, a := range r.GetAccounts() {
		report.Accounts = append(report.Accounts, dispatch.AccountReport{
			Account: a.GetAccount(), Asked: float64(a.GetAsked()), Got: float64(a.GetGot()),
		})
	}
	g.scheduler.merge(r.GetName(), report)
	g.moves.merge(r.GetName(), r.GetMoves())
}

func rounded(v float64) uint32 { return uint32(math.Min(math.Max(0, math.Round(v)), math.MaxUint32)) }
