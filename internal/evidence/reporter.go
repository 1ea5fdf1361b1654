package evidence

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/move"
	"github.com/zinniaquay/zinniaquay/internal/versions"
)

const (
	// reportTick is the interval at which a reporter checks whether a report is due.
	reportTick = 100 * time.Millisecond
	// reportTimeout limits the duration of one report.
	reportTimeout = 500 * time.Millisecond
	// failedHolderBackoff is how long a holder is skipped after a failed report.
	failedHolderBackoff = 5 * time.Second
)

// TargetUsage is the target state that a reporter sends in addition to its
// counts of responses.
type TargetUsage struct {
	// Running is the number of running requests.
	Running int
	// Ready reports whether the target has loaded its version.
	Ready bool
}

// ReporterOptions configures a Reporter.
type ReporterOptions struct {
	// Target is the name of the target that this sidecar serves.
	Target string
	// Incarnation identifies this start of the process.
	Incarnation uint64
	// Store holds the current configuration.
	Store *configstore.Store
	// Verdicts receives the holder's verdicts.
	Verdicts *move.VerdictSet
	// Routers returns the live routers.
	Routers func() []Member
	// Usage returns the current state of the target.
	Usage func() TargetUsage
	// Call sends a report to the router at addr (IP:port).
	Call func(ctx context.Context, addr string, req *zinniaquayv1.ReportEvidenceRequest) (*zinniaquayv1.ReportEvidenceResponse, error)
	// Metrics receives evidence_reports_total and evidence_failed_total.
	Metrics metrics.Registry
}

// Reporter counts a target's responses while its service is being moved to another
// version, and reports the counts to the router that holds the evidence on the
// move. It is safe for concurrent use.
type Reporter struct {
	opts ReporterOptions

	mu         sync.Mutex
	started    uint64
	moveDigest uint64
	tally      *move.Tally

	// The following fields are used only by the goroutine of Run.
	holderIncarnation  uint64
	lastReport         time.Time
	failedAt           map[string]time.Time
	prunedConfigNumber uint64
}

// NewReporter returns a reporter with no counts.
func NewReporter(o ReporterOptions) *Reporter {
	return &Reporter{opts: o, tally: move.NewTally(), failedAt: make(map[string]time.Time)}
}

// declaration returns the move of the target's service and the version that the
// target is configured to serve. It returns false if the target takes no part in
// a move.
func (r *Reporter) declaration() (d move.Declaration, version string, ok bool) {
	snap := r.opts.Store.Current()
	if snap == nil {
		return d, "", false
	}
	target := snap.Doc.GetTargets()[r.opts.Target]
	d, ok = versions.MoveOf(snap, target.GetService())
	version = target.GetVersion()
	return d, version, ok && (version == d.From || version == d.To)
}

// Started counts the start of a request.
func (r *Reporter) Started() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
}

// Observe counts a response, if the target takes part in a move.
func (r *Reporter) Observe(o move.Observation) {
	d, _, ok := r.declaration()
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset(d)
	r.tally.Observe(o)
}

// reset starts a new tally if the move has changed. The caller holds the lock.
func (r *Reporter) reset(d move.Declaration) {
	if r.moveDigest != d.Digest() {
		r.moveDigest = d.Digest()
		r.tally = move.NewTally()
	}
}

// Run sends reports until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	tick := time.NewTicker(reportTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.reportDue(ctx)
		}
	}
}

// reportDue sends a report if one is due.
func (r *Reporter) reportDue(ctx context.Context) {
	r.pruneVerdicts()
	d, version, ok := r.declaration()
	if !ok {
		return
	}
	now := time.Now()
	r.mu.Lock()
	r.reset(d)
	hasUnacknowledged := r.tally.HasUnacknowledged()
	r.mu.Unlock()
	interval := d.ReportInterval(r.opts.Verdicts.Verdict(d), r.fleet(d), r.opts.Target, hasUnacknowledged)
	holder, ok := r.chooseHolder(d, now)
	if !ok || now.Sub(r.lastReport) < interval {
		return
	}
	r.lastReport = now
	r.send(ctx, holder, r.buildRequest(d, version))
}

// pruneVerdicts drops the verdicts on moves that are no longer declared.
func (r *Reporter) pruneVerdicts() {
	snap := r.opts.Store.Current()
	if snap == nil || snap.Number == r.prunedConfigNumber {
		return
	}
	r.prunedConfigNumber = snap.Number
	r.opts.Verdicts.Retain(versions.Declarations(snap))
}

// fleet returns the targets of a move that may start requests.
func (r *Reporter) fleet(d move.Declaration) move.Fleet {
	snap := r.opts.Store.Current()
	startable := func(version string) (names []string) {
		for _, name := range snap.Targets(d.Service, version) {
			if snap.MayStart(name) {
				names = append(names, name)
			}
		}
		return names
	}
	return move.Fleet{Old: startable(d.From), New: startable(d.To)}
}

// chooseHolder returns the first router in rendezvous order that had no recent
// failure, or the first one if all had.
func (r *Reporter) chooseHolder(d move.Declaration, now time.Time) (Member, bool) {
	ranked := Ranked(d.Digest(), r.opts.Routers())
	for _, m := range ranked {
		if failed, ok := r.failedAt[m.Name]; !ok || now.Sub(failed) >= failedHolderBackoff {
			return m, true
		}
	}
	if len(ranked) == 0 {
		return Member{}, false
	}
	return ranked[0], true
}

// buildRequest returns the next report.
func (r *Reporter) buildRequest(d move.Declaration, version string) *zinniaquayv1.ReportEvidenceRequest {
	usage := r.opts.Usage()
	r.mu.Lock()
	defer r.mu.Unlock()
	return &zinniaquayv1.ReportEvidenceRequest{
		Move:         d.Name,
		MoveDigest:   d.Digest(),
		Version:      version,
		Target:       r.opts.Target,
		Incarnation:  r.opts.Incarnation,
		Started:      r.started,
		Running:      uint64(max(0, usage.Running)),
		Ready:        usage.Ready,
		KnowsVerdict: r.opts.Verdicts.Bad(d),
		Cells:        r.tally.Changed(r.holderIncarnation, move.CellBytes),
	}
}

// send sends a report and applies the response.
func (r *Reporter) send(ctx context.Context, holder Member, req *zinniaquayv1.ReportEvidenceRequest) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	res, err := r.opts.Call(ctx, holder.Addr, req)
	if err != nil {
		metrics.GetOrRegisterCounter("evidence_failed_total", r.opts.Metrics).Inc(1)
		r.failedAt[holder.Name] = time.Now()
		// The next tick reports to the next holder.
		r.lastReport = time.Time{}
		return
	}
	metrics.GetOrRegisterCounter("evidence_reports_total", r.opts.Metrics).Inc(1)
	delete(r.failedAt, holder.Name)
	r.opts.Verdicts.Add(res.GetVerdict())
	r.mu.Lock()
	defer r.mu.Unlock()
	if res.GetIncarnation() != r.holderIncarnation {
		// This report went to a new holder but contained only the cells that the
		// previous holder had not acknowledged. The next report contains all cells.
		r.holderIncarnation = res.GetIncarnation()
		return
	}
	if req.GetMoveDigest() == r.moveDigest {
		r.tally.Acknowledge(r.holderIncarnation, req.GetCells())
	}
}
