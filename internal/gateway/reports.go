package gateway

import (
	"math"
	"slices"
	"strconv"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/dispatch"
	"github.com/zinniaquay/zinniaquay/internal/exchange"
	"github.com/zinniaquay/zinniaquay/internal/quarantine"
)

// Units of token counts in reports; finer units would cost bytes without any
// benefit.
const (
	tokensPerUnit       = 32
	memoryTokensPerUnit = 1024
)

// Report returns the report on loads for peers. If slow is set, it includes the data that
// changes slowly: the evidence on moves and crashes, and the limits of targets.
func (g *Gateway) Report(slow bool) *zinniaquayv1.GatewayReport {
	own := g.scheduler.report(slow)
	loads := &zinniaquayv1.TargetLoads{}
	for key, load := range own.Loads {
		loads.Target = append(loads.Target, key)
		loads.Running = append(loads.Running, uint32(load.Running))
		loads.Backlog = append(loads.Backlog, toUnits(load.Backlog, tokensPerUnit))
		loads.Memory = append(loads.Memory, toUnits(load.Memory, memoryTokensPerUnit))
	}
	r := &zinniaquayv1.GatewayReport{Loads: loads}
	if config := g.views.View().Config; config != nil {
		r.ConfigurationVersion = config.Version
	}
	if !slow {
		return r
	}
	if g.duties != nil {
		r.WallMs = uint64(time.Now().UnixMilli())
	}
	r.Moves = g.moveTracker.evidence()
	r.Crashes = encodeCrashes(own.Crashes)
	r.Limits = &zinniaquayv1.TargetLimits{}
	for key, perSecond := range own.Limits {
		r.Limits.Target = append(r.Limits.Target, key)
		r.Limits.PerSecond = append(r.Limits.PerSecond, float32(perSecond))
	}
	return r
}

// UsageReport implements exchange.Source.
func (g *Gateway) UsageReport() *zinniaquayv1.GatewayReport {
	return &zinniaquayv1.GatewayReport{Zone: exchange.HashName(g.settings.Zone), Accounts: encodeUsage(g.scheduler.usageReport())}
}

// ZoneUsageReport implements exchange.Source.
func (g *Gateway) ZoneUsageReport() *zinniaquayv1.GatewayReport {
	report, complete := g.scheduler.zoneUsageReport()
	if !complete {
		return nil
	}
	return &zinniaquayv1.GatewayReport{Zone: exchange.HashName(g.settings.Zone), ZoneTotal: true, Accounts: encodeUsage(report)}
}

// encodeUsage converts the accounts of a report.
func encodeUsage(r dispatch.Report) *zinniaquayv1.AccountUsages {
	u := &zinniaquayv1.AccountUsages{AgeMs: uint32(min(max(0, r.Age.Milliseconds()), math.MaxUint32))}
	for _, a := range r.Accounts {
		u.Account = append(u.Account, a.Account)
		u.Asked = append(u.Asked, toUnits(a.Requested, tokensPerUnit))
		u.Got = append(u.Got, toUnits(a.Received, tokensPerUnit))
		u.Gateways = append(u.Gateways, uint32(a.Routers))
	}
	return u
}

// decodeUsage converts the accounts of a peer's report. Lists of unequal length are
// truncated to the shortest.
func decodeUsage(u *zinniaquayv1.AccountUsages) dispatch.Report {
	r := dispatch.Report{HasAccounts: true, Age: time.Duration(u.GetAgeMs()) * time.Millisecond}
	for i := range min(len(u.GetAccount()), len(u.GetAsked()), len(u.GetGot()), len(u.GetGateways())) {
		r.Accounts = append(r.Accounts, dispatch.AccountReport{
			Account:   u.GetAccount()[i],
			Requested: float64(u.GetAsked()[i]) * tokensPerUnit,
			Received:  float64(u.GetGot()[i]) * tokensPerUnit,
			Routers:   int(u.GetGateways()[i]),
		})
	}
	return r
}

// mergeUsage applies a peer's report on usage: that at a peer of this gateway's availability
// zone, or that in another one.
func (g *Gateway) mergeUsage(peer string, r *zinniaquayv1.GatewayReport) {
	usage, own := decodeUsage(r.GetAccounts()), r.GetZone() == exchange.HashName(g.settings.Zone)
	switch {
	case r.GetZoneTotal() && !own:
		g.scheduler.mergeZoneUsage(r.GetZone(), usage)
	case !r.GetZoneTotal() && own:
		g.scheduler.merge(peer, usage)
	default:
		g.log.V(1).Info("report on usage ignored: it is for gateways of another zone", "peer", peer, "zone_total", r.GetZoneTotal())
	}
}

// News implements exchange.Source.
func (g *Gateway) News() <-chan struct{} { return g.scheduler.news }

// NewsReport implements exchange.Source.
func (g *Gateway) NewsReport() *zinniaquayv1.GatewayReport {
	crashes := g.scheduler.crashReport().Crashes
	if len(crashes) == 0 {
		return nil
	}
	return &zinniaquayv1.GatewayReport{Crashes: encodeCrashes(crashes)}
}

// encodeCrashes converts evidence on crashes.
func encodeCrashes(evidence []quarantine.Evidence) []*zinniaquayv1.CrashEvidence {
	messages := make([]*zinniaquayv1.CrashEvidence, 0, len(evidence))
	for _, e := range evidence {
		m := &zinniaquayv1.CrashEvidence{Part: e.Part, Proven: e.Proven}
		for _, c := range e.Crashes {
			m.Target = append(m.Target, c.Target)
			m.AgeMs = append(m.AgeMs, uint32(min(max(0, c.Age.Milliseconds()), math.MaxUint32)))
			m.Void = append(m.Void, c.Void)
			m.Trial = append(m.Trial, c.Trial)
		}
		if !slices.Contains(m.Trial, true) {
			m.Trial = nil
		}
		messages = append(messages, m)
	}
	return messages
}

// decodeCrashes converts a peer's evidence on crashes.
func decodeCrashes(messages []*zinniaquayv1.CrashEvidence) []quarantine.Evidence {
	evidence := make([]quarantine.Evidence, 0, len(messages))
	for _, m := range messages {
		e := quarantine.Evidence{Part: m.GetPart(), Proven: m.GetProven()}
		for i := range min(len(m.GetTarget()), len(m.GetAgeMs()), len(m.GetVoid())) {
			e.Crashes = append(e.Crashes, quarantine.CrashEvidence{
				Target: m.GetTarget()[i], Age: time.Duration(m.GetAgeMs()[i]) * time.Millisecond, Void: m.GetVoid()[i],
				Trial: i < len(m.GetTrial()) && m.GetTrial()[i],
			})
		}
		evidence = append(evidence, e)
	}
	return evidence
}

// Merge applies a peer's report. Lists of unequal length are truncated to
// the shortest.
func (g *Gateway) Merge(r *zinniaquayv1.GatewayReport) {
	peer := strconv.FormatUint(uint64(r.GetSender()), 16)
	if g.duties != nil {
		g.duties.observeClock(r)
	}
	if r.GetStarts() != nil {
		if g.duties != nil {
			g.duties.merge(r)
		}
		return
	}
	if r.GetAccounts() != nil {
		g.mergeUsage(peer, r)
		return
	}
	report := dispatch.Report{Crashes: decodeCrashes(r.GetCrashes())}
	loads := r.GetLoads()
	if loads == nil {
		g.scheduler.merge(peer, report)
		return
	}
	g.startup.observe(r.GetSender(), r.GetConfigurationVersion())
	n := min(len(loads.GetTarget()), len(loads.GetRunning()), len(loads.GetBacklog()), len(loads.GetMemory()))
	report.Loads = make(map[uint32]dispatch.Load, n)
	for i := range n {
		report.Loads[loads.GetTarget()[i]] = dispatch.Load{
			Running: float64(loads.GetRunning()[i]),
			Backlog: float64(loads.GetBacklog()[i]) * tokensPerUnit,
			Memory:  float64(loads.GetMemory()[i]) * memoryTokensPerUnit,
		}
	}
	limits := r.GetLimits()
	n = min(len(limits.GetTarget()), len(limits.GetPerSecond()))
	report.Limits = make(map[uint32]float64, n)
	for i := range n {
		report.Limits[limits.GetTarget()[i]] = float64(limits.GetPerSecond()[i])
	}
	g.scheduler.merge(peer, report)
	g.moveTracker.merge(peer, r.GetMoves())
}

// toUnits converts a number of tokens to units, rounded up.
func toUnits(tokens, unit float64) uint32 {
	return uint32(math.Min(math.Ceil(math.Max(0, tokens)/unit), math.MaxUint32))
}
