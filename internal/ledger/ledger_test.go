package ledger

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "4"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

func report(name string, incarnation uint64, service float64) *zinniaquayv1.ReportServiceRequest {
	return &zinniaquayv1.ReportServiceRequest{
		Reporter: name, Incarnation: incarnation,
		Totals: []*zinniaquayv1.ServiceTotal{{Account: "a", Service: service}},
	}
}

// TestTotalIsIndependentOfRepeatsOrderAndRestarts sends the running totals of
// several reporters and incarnations in random order, each one twice. The total
// must be the sum of the last totals of all incarnations.
func TestTotalIsIndependentOfRepeatsOrderAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent []*zinniaquayv1.ReportServiceRequest
		want := 0.0
		for r := range rapid.IntRange(1, 4).Draw(t, "reporters") {
			for i := range rapid.IntRange(1, maxTrackedIncarnations).Draw(t, "incarnations") {
				last := 0.0
				for range rapid.IntRange(1, 4).Draw(t, "reports") {
					last += float64(rapid.IntRange(0, 100).Draw(t, "service"))
					sent = append(sent, report(fmt.Sprint("r", r), uint64(i+1), last))
				}
				want += last
			}
		}
		h := NewHolder("h", 1)
		for _, req := range rapid.Permutation(sent).Draw(t, "order") {
			h.Report(start, req)
			h.Report(start, req) // duplicate delivery
		}
		query := &zinniaquayv1.ReportServiceRequest{Reporter: "asker", Want: []string{"a"}}
		if got := h.Report(start, query).GetTotals()[0].GetService(); got != want {
			t.Fatalf("total %v, want %v", got, want)
		}
	})
}

func TestOldIncarnationsAreCompactedAndNotCountedTwice(t *testing.T) {
	is := is.New(t)
	h := NewHolder("h", 1)
	for i := range uint64(50) {
		h.Report(start, report("r", i+1, 10))
	}
	resp := h.Report(start, report("r", 1, 10)) // a late duplicate from the first incarnation
	is.Equal(resp.GetTotals()[0].GetService(), 500.0)
	is.Equal(len(h.accounts["a"].reporters["r"].tracked), maxTrackedIncarnations)
}

func TestInvalidTotalsAreIgnored(t *testing.T) {
	is := is.New(t)
	h := NewHolder("h", 1)
	for _, v := range []float64{math.NaN(), math.Inf(1), -5} {
		h.Report(start, report("r", 1, v))
	}
	is.Equal(h.Report(start, report("r", 1, 7)).GetTotals()[0].GetService(), 7.0)
}

func TestUnreportedAccountsExpire(t *testing.T) {
	is := is.New(t)
	h := NewHolder("h", 1)
	h.Report(start, report("r", 1, 7))
	other := &zinniaquayv1.ReportServiceRequest{Reporter: "r", Want: []string{"b"}}
	h.Report(start.Add(accountTTL), other)
	is.Equal(h.Accounts(), 2)
	h.Report(start.Add(accountTTL+expiryInterval), other)
	is.Equal(h.Accounts(), 1)
}

func TestPaceKeepsResponsesWithinByteBudget(t *testing.T) {
	is := is.New(t)
	h := NewHolder("h", 1)
	var pace time.Duration
	const reporters = 600
	for i := range reporters {
		resp := h.Report(start, report(fmt.Sprint("r", i), 1, 1))
		pace = time.Duration(resp.GetPaceMs()) * time.Millisecond
	}
	bytes := reporters * (responseOverheadBytes + bytesPerTotal) / pace.Seconds()
	is.True(bytes <= holderBytesPerSecond*1.01) // if all reporters use this pace
}

func members(n int) []Member {
	var list []Member
	for i := range n {
		list = append(list, Member{Name: fmt.Sprintf("p%d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 9000+i)})
	}
	return list
}

func TestRendezvousMovesOnlyTheLostMembersAccounts(t *testing.T) {
	is := is.New(t)
	all := newRendezvous(members(20))
	counts := make(map[string]int)
	for i := range 2000 {
		hash := mix(uint64(i))
		before, _ := all.holder(hash, func(string) bool { return true })
		after, _ := all.holder(hash, func(name string) bool { return name != "p7" })
		if before.Name != "p7" {
			is.Equal(before, after)
		}
		counts[before.Name]++
	}
	for _, n := range counts {
		is.True(n > 50 && n < 200) // 100 each on average
	}
}

// due returns the only report that is due, or nil.
func due(r *Reporter, now time.Time) *Report {
	reports := r.Due(now, queueSize)
	if len(reports) == 0 {
		return nil
	}
	return &reports[0]
}

func TestUncontendedAccountIsReportedAfterUncontendedDelay(t *testing.T) {
	is := is.New(t)
	r := NewReporter("p0", 1)
	r.SetMembers(start, members(3))
	r.Update(start, LocalTotal{Account: "a", Service: 1e6})
	is.True(due(r, start.Add(UncontendedReportDelay-1)) == nil)
	is.True(due(r, start.Add(UncontendedReportDelay)) != nil)
}

func TestReportThresholdShrinksWithReporters(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct {
		reporters uint32
		service   float64
		sent      bool
	}{{1, 4095, false}, {1, 4096, true}, {8, 511, false}, {8, 512, true}} {
		r := NewReporter("p0", 1)
		r.SetMembers(start, members(3))
		r.Update(start, LocalTotal{Account: "a", Contended: true})
		r.fleetTotals(start, []*zinniaquayv1.ServiceTotal{{Account: "a", Reporters: tt.reporters}})
		r.Update(start, LocalTotal{Account: "a", Contended: true, Service: tt.service})
		is.Equal(due(r, start.Add(Tick)) != nil, tt.sent)
		is.True(due(r, start.Add(ContendedReportDelay)) == nil || !tt.sent) // at most one report is in flight per holder
	}
}

func TestReporterStaysWithinByteBudget(t *testing.T) {
	is := is.New(t)
	r := NewReporter("p0", 1)
	r.SetMembers(start, members(400))
	bytes := 0
	const seconds = 60
	for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(Tick) {
		for i := range 620 {
			r.Update(now, LocalTotal{Account: fmt.Sprint(i), Service: now.Sub(start).Seconds() * 1e4, Waiting: true, Contended: true})
		}
		for _, report := range r.Due(now, queueSize) {
			bytes += reportSizeBytes(report.Request)
			r.Answered(now, report, &zinniaquayv1.ReportServiceResponse{Incarnation: 1})
		}
	}
	is.True(bytes <= seconds*reporterBytesPerSecond+reporterMaxBurstBytes+reportOverheadBytes+MaxBatch*bytesPerTotal)
}

func TestUnreachableHolderIsSkippedAndAccountCountsAsUnheld(t *testing.T) {
	is := is.New(t)
	r := NewReporter("p0", 1)
	r.SetMembers(start, members(2))
	r.Update(start, LocalTotal{Account: "a", Service: 10, Waiting: true, Contended: true})
	first := due(r, start)
	r.Failed(start, *first)
	second := due(r, start)
	is.True(second != nil && second.Holder != first.Holder)
	is.Equal(second.Request.GetTotals()[0].GetService(), 10.0)
	r.Failed(start, *second)
	is.True(due(r, start) == nil)
	is.Equal(r.Unheld(), 1)
	again := due(r, start.Add(suspectDuration))
	is.Equal(again.Holder, first.Holder)
}

func TestTotalsOfRestartedHolderAreRebuilt(t *testing.T) {
	is := is.New(t)
	r := NewReporter("p0", 1)
	r.SetMembers(start, members(1))
	h := NewHolder("p0", 1)
	for _, name := range []string{"a", "b"} {
		r.Update(start, LocalTotal{Account: name, Service: 10, Waiting: true, Contended: true})
	}
	report := due(r, start)
	r.Answered(start, *report, h.Report(start, report.Request))
	r.Update(start, LocalTotal{Account: "b", Service: 10}) // b has no waiting requests and does not change again

	h = NewHolder("p0", 2)
	now := start
	for range 70 {
		now = now.Add(Tick)
		if report := due(r, now); report != nil {
			r.Answered(now, *report, h.Report(now, report.Request))
		}
	}
	query := &zinniaquayv1.ReportServiceRequest{Reporter: "x", Want: []string{"a", "b"}}
	for _, total := range h.Report(now, query).GetTotals() {
		is.Equal(total.GetService(), 10.0)
	}
}

// fakeTotals holds a process's totals of one account.
type fakeTotals struct {
	mu      sync.Mutex
	service float64
	others  float64
}

func (b *fakeTotals) Collect(emit func(LocalTotal)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	emit(LocalTotal{Account: "a", Service: b.service, Waiting: true, Contended: true})
}

func (b *fakeTotals) Merge(totals []FleetTotal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, total := range totals {
		b.others = math.Max(b.others, total.Others)
	}
}

// TestSyncersConvergeWhileAHolderIsUnreachable runs the syncers of two of three
// processes under fake time. The third, which ranks first for the account, cannot
// be reached.
func TestSyncersConvergeWhileAHolderIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		list := members(3)
		holders := make(map[string]*Holder)
		for _, m := range list {
			holders[m.Addr] = NewHolder(m.Name, 1)
		}
		first, _ := newRendezvous(list).holder(xxhash.Sum64String("a"), func(string) bool { return true })
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		var locals []*fakeTotals
		for _, m := range list {
			if m == first {
				continue
			}
			b := &fakeTotals{service: 100}
			locals = append(locals, b)
			d := &Syncer{
				Self: m, Incarnation: 1, Holder: holders[m.Addr], Totals: b, Metrics: metrics.NewRegistry(),
				Members: func() []Member { return list },
				Call: func(ctx context.Context, addr string, req *zinniaquayv1.ReportServiceRequest) (*zinniaquayv1.ReportServiceResponse, error) {
					if addr == first.Addr {
						return nil, errors.New("holder unreachable")
					}
					return holders[addr].ReportService(ctx, req)
				},
			}
			group.Go(func() { d.Run(ctx) })
		}
		time.Sleep(2 * ContendedReportDelay)
		cancel()
		group.Wait()
		for _, b := range locals {
			is.Equal(b.others, 100.0)
		}
	})
}
