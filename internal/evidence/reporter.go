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
	// reportTick is how often a reporter looks whether a report is due.
	reportTick = 100 * time.Millisecond
	// reportTimeout is how long a holder may take to answer.
	reportTimeout = 500 * time.Millisecond
	// avoidFor is how long a holder that did not answer is passed over.
	avoidFor = 5 * time.Second
)

// TargetUsage is what a reporter tells of its target besides answers.
type TargetUsage struct {
	// Running is the number of requests that run.
	Running int
	// Ready says that the target has its version loaded.
	Ready bool
}

// ReporterOptions are what a reporter needs.
type ReporterOptions struct {
	// Target that the process stands beside.
	Target string
	// Incarnation tells this start of the process from all others.
	Incarnation uint64
	// Store holds the configuration in force.
	Store *configstore.Store
	// Verdicts takes the holder's conclusions.
	Verdicts *move.VerdictSet
	// Routers returns the live routers.
	Routers func() []Member
	// Usage returns what the target does at this moment.
	Usage func() TargetUsage
	// Call sends a report to the router at addr (IP:port).
	Call func(ctx context.Context, addr string, req *zinniaquayv1.ReportEvidenceRequest) (*zinniaquayv1.ReportEvidenceResponse, error)
	// Metrics takes metrics: evidence_reports_total, evidence_failed_total.
	Metrics metrics.Registry
}

// Reporter counts what a target answers while its service moves, and reports it
// to the move's holder. It is safe for concurrent use.
type Reporter struct {
	opts ReporterOptions

	mu      sync.Mutex
	started uint64
	digest  uint64
	tally   *move.Tally

	// These belong to the goroutine of Run.
	holder   uint64
	reported time.Time
	avoid    map[string]time.Time
	kept     uint64
}

// NewReporter returns a reporter that has counted nothing.
func NewReporter(o ReporterOptions) *Reporter {
	return &Reporter{opts: o, tally: move.NewTally(), avoid: make(map[string]time.Time)}
}

// declaration returns the move that concerns the target, and the version that
// the target is declared to serve.
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

// Started counts a request that starts.
func (r *Reporter) Started() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
}

// Observe counts an answer, if the target's service moves.
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

// reset begins a new tally for another move. The caller holds the lock.
func (r *Reporter) reset(d move.Declaration) {
	if r.digest != d.Digest() {
		r.digest = d.Digest()
		r.tally = move.NewTally()
	}
}

// Run reports until the context ends.
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
	r.forget()
	d, version, ok := r.declaration()
	if !ok {
		return
	}
	now := time.Now()
	r.mu.Lock()
	r.reset(d)
	news := r.tally.HasUnacknowledged()
	r.mu.Unlock()
	interval := d.ReportInterval(r.opts.Verdicts.Verdict(d), r.fleet(d), r.opts.Target, news)
	holder, ok := r.choose(d, now)
	if !ok || now.Sub(r.reported) < interval {
		return
	}
	r.reported = now
	r.send(ctx, holder, r.request(d, version))
}

// forget drops what is known of moves that are not declared any more.
func (r *Reporter) forget() {
	snap := r.opts.Store.Current()
	if snap == nil || snap.Number == r.kept {
		return
	}
	r.kept = snap.Number
	r.opts.Verdicts.Retain(versions.Declarations(snap))
}

// fleet returns the targets of a move that may start work.
func (r *Reporter) fleet(d move.Declaration) move.Fleet {
	snap := r.opts.Store.Current()
	may := func(version string) (names []string) {
		for _, name := range snap.Targets(d.Service, version) {
			if snap.MayStart(name) {
				names = append(names, name)
			}
		}
		return names
	}
	return move.Fleet{Old: may(d.From), New: may(d.To)}
}

// choose returns the first router in rendezvous order that is not avoided, or
// the first one if all are.
func (r *Reporter) choose(d move.Declaration, now time.Time) (Member, bool) {
	ranked := Ranked(d.Digest(), r.opts.Routers())
	for _, m := range ranked {
		if failed, ok := r.avoid[m.Name]; !ok || now.Sub(failed) >= avoidFor {
			return m, true
		}
	}
	if len(ranked) == 0 {
		return Member{}, false
	}
	return ranked[0], true
}

// request returns the report that is due.
func (r *Reporter) request(d move.Declaration, version string) *zinniaquayv1.ReportEvidenceRequest {
	use := r.opts.Usage()
	r.mu.Lock()
	defer r.mu.Unlock()
	return &zinniaquayv1.ReportEvidenceRequest{
		Move:         d.Name,
		MoveDigest:   d.Digest(),
		Version:      version,
		Target:       r.opts.Target,
		Incarnation:  r.opts.Incarnation,
		Started:      r.started,
		Running:      uint64(max(0, use.Running)),
		Ready:        use.Ready,
		KnowsVerdict: r.opts.Verdicts.Bad(d),
		Cells:        r.tally.Changed(r.holder, move.CellBytes),
	}
}

// send sends a report and takes in the answer.
func (r *Reporter) send(ctx context.Context, holder Member, req *zinniaquayv1.ReportEvidenceRequest) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	res, err := r.opts.Call(ctx, holder.Addr, req)
	if err != nil {
		metrics.GetOrRegisterCounter("evidence_failed_total", r.opts.Metrics).Inc(1)
		r.avoid[holder.Name] = time.Now()
		// The next holder is asked at the next tick.
		r.reported = time.Time{}
		return
	}
	metrics.GetOrRegisterCounter("evidence_reports_total", r.opts.Metrics).Inc(1)
	delete(r.avoid, holder.Name)
	r.opts.Verdicts.Add(res.GetVerdict())
	r.mu.Lock()
	defer r.mu.Unlock()
	if res.GetIncarnation() != r.holder {
		// Another holder got only what the last one had not acknowledged; it gets
		// all cells from now on.
		r.holder = res.GetIncarnation()
		return
	}
	if req.GetMoveDigest() == r.digest {
		r.tally.Acknowledge(r.holder, req.GetCells())
	}
}
