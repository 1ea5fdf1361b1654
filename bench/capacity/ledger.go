package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1/zinniaquayv1connect"
	"github.com/zinniaquay/zinniaquay/internal/ledger"
)

// Work of one sidecar at the peak of the size to design for.
const (
	// startsPerSecond is 4,400 requests a second over 600 workers.
	startsPerSecond = 4400.0 / designSidecars
	// tokensPerRequest is 1.3 million tokens over 4,400 requests.
	tokensPerRequest = 1.3e6 / 4400
	// models is the number of models in use; a sidecar serves one of them.
	models = 37
	// ledgerSeconds is the time that is played, after ledgerWarm.
	ledgerSeconds = 20
	ledgerWarm    = 10
	// callBytes is what a call takes beside its message, for each direction:
	// HTTP/2 frames and headers. The measurement of the wire checks it.
	callBytes = 90
	// hotAccount is an account that all sidecars serve.
	hotAccount = "account-hot"
)

// peerHolder serves the ledger's call alone.
type peerHolder struct {
	zinniaquayv1connect.UnimplementedPeerServiceHandler
	*ledger.Holder
}

// ReportService implements the RPC.
func (p peerHolder) ReportService(ctx context.Context, req *zinniaquayv1.ReportServiceRequest) (*zinniaquayv1.ReportServiceResponse, error) {
	return p.Holder.ReportService(ctx, req)
}

// measureReport measures the bytes of reports to the ledger, against the number
// of accounts in each of 100 calls.
func measureReport(ctx context.Context) (slope, error) {
	const calls = 100
	s := slope{unit: "bytes", per: "accounts in a report", claim: ledger.MaxBatch}
	for range runs {
		for _, n := range []int{1, 8, ledger.MaxBatch} {
			y, err := reportBytes(ctx, n, calls)
			if err != nil {
				return slope{}, err
			}
			s.points = append(s.points, point{float64(n), y / calls})
		}
	}
	return s, nil
}

// reportBytes returns the bytes both ways of calls with n accounts each.
func reportBytes(ctx context.Context, n, calls int) (float64, error) {
	e, err := newEndpoint(configuration(1, 1))
	if err != nil {
		return 0, err
	}
	defer e.close()
	e.serve(zinniaquayv1connect.NewPeerServiceHandler(
		peerHolder{Holder: ledger.NewHolder("process-0000", 1)}, connect.WithHandlerOptions(e.option())))
	return bytesOf(e, calls, func(i int) error {
		req := &zinniaquayv1.ReportServiceRequest{Reporter: "process-0001", Incarnation: 1 << 60}
		for a := range n {
			req.Totals = append(req.Totals, &zinniaquayv1.ServiceTotal{
				Account: fmt.Sprintf("account-%05d", a), Service: float64(1000*i) + 0.5, Contended: true,
			})
		}
		_, err := e.pool.Get(e.node.Addr).Peer.ReportService(ctx, req)
		return err
	})
}

// ledgerFleet is the ledger of a whole fleet, played in fake time with the real
// reporters and holders. Every message is counted.
type ledgerFleet struct {
	members   []ledger.Member
	holders   map[string]*ledger.Holder
	reporters []*ledger.Reporter
	service   []map[string]float64
	sent      map[string]int // bytes by process
	rng       *rand.Rand
	// hot lets one further account be served by all sidecars.
	hot bool
	// longestPace is the longest interval that a holder asked for.
	longestPace time.Duration
}

// newLedgerFleet returns a fleet with the design's share of sidecars.
func newLedgerFleet(processes int) *ledgerFleet {
	f := &ledgerFleet{
		holders: make(map[string]*ledger.Holder),
		sent:    make(map[string]int),
		rng:     rand.New(rand.NewPCG(4, 4)),
	}
	for i := range processes {
		m := ledger.Member{Name: fmt.Sprintf("process-%04d", i), Addr: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250)}
		f.members = append(f.members, m)
		f.holders[m.Name] = ledger.NewHolder(m.Name, 1)
		if i < max(1, processes*designSidecars/designProcesses) {
			f.reporters = append(f.reporters, ledger.NewReporter(m.Name, 1))
			f.service = append(f.service, make(map[string]float64))
		}
	}
	return f
}

// play plays the ledger with some backlogged accounts, all of which wait at the
// sidecars of their model, and returns the bytes a second that a process sends:
// the mean and the most.
func (f *ledgerFleet) play(backlogged int) (mean, most float64) {
	start := time.Unix(1000, 0)
	ticks := int((ledgerWarm + ledgerSeconds) * time.Second / ledger.Tick)
	for tick := range ticks {
		now := start.Add(time.Duration(tick) * ledger.Tick)
		if tick == ticks*ledgerWarm/(ledgerWarm+ledgerSeconds) {
			clear(f.sent)
		}
		for i := range f.reporters {
			f.tick(i, backlogged, now)
		}
	}
	total := 0
	for _, bytes := range f.sent {
		total += bytes
		most = max(most, float64(bytes)/ledgerSeconds)
	}
	return float64(total) / ledgerSeconds / float64(len(f.members)), most
}

// tick plays one tick of one sidecar.
func (f *ledgerFleet) tick(i, backlogged int, now time.Time) {
	r := f.reporters[i]
	r.SetMembers(now, f.members)
	perModel := max(1, (backlogged+models-1)/models)
	first := i % models * perModel % backlogged
	accountOf := func(k int) string { return fmt.Sprintf("account-%05d", (first+k)%backlogged) }
	for expected := startsPerSecond * ledger.Tick.Seconds(); f.rng.Float64() < expected; expected-- {
		f.service[i][accountOf(f.rng.IntN(perModel))] += tokensPerRequest
	}
	for k := range perModel {
		a := accountOf(k)
		r.Update(now, ledger.LocalTotal{Account: a, Service: f.service[i][a], Waiting: true, Contended: perModel > 1})
	}
	if f.hot {
		f.service[i][hotAccount] += tokensPerRequest * ledger.Tick.Seconds()
		r.Update(now, ledger.LocalTotal{Account: hotAccount, Service: f.service[i][hotAccount], Waiting: true, Contended: true})
	}
	for _, report := range r.Due(now, 64) {
		resp := f.holders[report.Holder.Name].Report(now, report.Request)
		if report.Holder != f.members[i] {
			f.sent[f.members[i].Name] += proto.Size(report.Request) + callBytes
			f.sent[report.Holder.Name] += proto.Size(resp) + callBytes
		}
		f.longestPace = max(f.longestPace, time.Duration(resp.GetPaceMs())*time.Millisecond)
		r.Answered(now, report, resp)
	}
}

// measureLedgerProcesses counts the ledger's bytes against processes.
func measureLedgerProcesses(context.Context) (slope, error) {
	s := slope{unit: "bytes a second and process", per: "processes", claim: designProcesses}
	for _, n := range []int{10, 50, 100, 200, 400} {
		mean, _ := newLedgerFleet(n).play(designBacklogged)
		s.points = append(s.points, point{float64(n), mean})
	}
	return s, nil
}

// measureLedgerMost counts the bytes of the process that sends most.
func measureLedgerMost(context.Context) (slope, error) {
	s := slope{unit: "bytes a second", per: "processes", claim: designProcesses}
	for _, n := range []int{10, 50, 100, 200, 400} {
		_, most := newLedgerFleet(n).play(designBacklogged)
		s.points = append(s.points, point{float64(n), most})
	}
	return s, nil
}

// measureLedgerAccounts counts the ledger's bytes against backlogged accounts.
func measureLedgerAccounts(context.Context) (slope, error) {
	s := slope{unit: "bytes a second and process", per: "backlogged accounts", claim: designBacklogged}
	for _, n := range []int{10, 60, 150, 300, designBacklogged} {
		mean, _ := newLedgerFleet(400).play(n)
		s.points = append(s.points, point{float64(n), mean})
	}
	return s, nil
}
