package gateway

import (
	"math"
	"strconv"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/dispatch"
)

// Units of reports, in tokens; finer ones would cost bytes and change nothing.
const (
	tokenUnit  = 32
	memoryUnit = 1024
)

// Report returns what peers are told.
func (g *Gateway) Report(slow bool) *zinniaquayv1.GatewayReport {
	own := g.scheduler.report(slow)
	loads := &zinniaquayv1.TargetLoads{}
	for key, load := range own.Loads {
		loads.Target = append(loads.Target, key)
		loads.Running = append(loads.Running, uint32(load.Running))
		loads.Backlog = append(loads.Backlog, units(load.Backlog, tokenUnit))
		loads.Memory = append(loads.Memory, units(load.Memory, memoryUnit))
	}
	r := &zinniaquayv1.GatewayReport{Loads: loads}
	if !slow {
		return r
	}
	r.Moves = g.moves.evidence()
	r.Accounts = &zinniaquayv1.AccountUsages{}
	for _, a := range own.Accounts {
		r.Accounts.Account = append(r.Accounts.Account, a.Account)
		r.Accounts.Asked = append(r.Accounts.Asked, units(a.Requested, tokenUnit))
		r.Accounts.Got = append(r.Accounts.Got, units(a.Received, tokenUnit))
	}
	return r
}

// Merge takes over a peer's report. Lists of unequal length are cut to the
// shortest.
func (g *Gateway) Merge(r *zinniaquayv1.GatewayReport) {
	loads := r.GetLoads()
	n := min(len(loads.GetTarget()), len(loads.GetRunning()), len(loads.GetBacklog()), len(loads.GetMemory()))
	report := dispatch.Report{Loads: make(map[uint32]dispatch.Load, n), HasAccounts: r.GetAccounts() != nil}
	for i := range n {
		report.Loads[loads.GetTarget()[i]] = dispatch.Load{
			Running: int(loads.GetRunning()[i]),
			Backlog: float64(loads.GetBacklog()[i]) * tokenUnit,
			Memory:  float64(loads.GetMemory()[i]) * memoryUnit,
		}
	}
	accounts := r.GetAccounts()
	n = min(len(accounts.GetAccount()), len(accounts.GetAsked()), len(accounts.GetGot()))
	for i := range n {
		report.Accounts = append(report.Accounts, dispatch.AccountReport{
			Account:   accounts.GetAccount()[i],
			Requested: float64(accounts.GetAsked()[i]) * tokenUnit,
			Received:  float64(accounts.GetGot()[i]) * tokenUnit,
		})
	}
	peer := strconv.FormatUint(uint64(r.GetSender()), 16)
	g.scheduler.merge(peer, report)
	g.moves.merge(peer, r.GetMoves())
}

// units returns a number of tokens in units, rounded up.
func units(tokens, unit float64) uint32 {
	return uint32(math.Min(math.Ceil(math.Max(0, tokens)/unit), math.MaxUint32))
}
