package report

import (
	"context"
	"errors"
	"flag"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// fleet is a Source whose statuses are set by the test.
type fleet struct {
	config *zinniaquayv1.Configuration
	status map[string]*zinniaquayv1.StatusResponse
	polls  int
	silent map[string]bool
}

func (f *fleet) Configuration() *zinniaquayv1.Configuration { return f.config }

func (f *fleet) Processes() []Process {
	f.polls++
	var list []Process
	for name := range f.status {
		list = append(list, Process{Name: name, Status: func(ctx context.Context) (*zinniaquayv1.StatusResponse, error) {
			if f.silent[name] {
				return nil, errors.New("no response")
			}
			return f.status[name], nil
		}})
	}
	return list
}

func total(account string, service float64) *zinniaquayv1.ServiceTotal {
	return &zinniaquayv1.ServiceTotal{Account: account, Service: service}
}

func newFleet() *fleet {
	return &fleet{
		config: &zinniaquayv1.Configuration{
			Number:   7,
			Accounts: map[string]*zinniaquayv1.ClientAccount{"city": {Weight: 4}, "village": {}, "<i>idle": {}},
			Zones:    map[string]*zinniaquayv1.AvailabilityZone{"za-1": {Region: "sk"}, "za-2": {State: zinniaquayv1.AvailabilityZone_out}},
			Targets:  map[string]*zinniaquayv1.Target{"t1": {Zone: "za-1"}, "t2": {Zone: "za-2"}},
		},
		status: map[string]*zinniaquayv1.StatusResponse{
			"router-1": {
				Member:              &zinniaquayv1.Member{Name: "router-1", Role: zinniaquayv1.Member_router, Zone: "za-1"},
				ConfigurationNumber: 7, Waiting: 5, WaitingByAccount: map[string]uint64{"city": 3, "village": 2},
				Refused: map[string]uint64{"queue_full": 4}, PlatformAgeMs: -1,
				Moves: []*zinniaquayv1.MoveStatus{{Move: "planner-2", State: "moving", Share: 0.05, Reason: "waits for evidence", RecordAgeMs: 3000}},
			},
			"sidecar-1": {
				Member:              &zinniaquayv1.Member{Name: "sidecar-1", Role: zinniaquayv1.Member_sidecar, Zone: "za-1", Target: "t1"},
				ConfigurationNumber: 6, Running: 3, Window: 4, Totals: []*zinniaquayv1.ServiceTotal{total("city", 100), total("village", 10)}, PlatformAgeMs: 40,
			},
			"sidecar-2": {
				Member:              &zinniaquayv1.Member{Name: "sidecar-2", Role: zinniaquayv1.Member_sidecar, Zone: "za-2", Target: "t2"},
				ConfigurationNumber: 7, Window: 1, Cold: true, Totals: []*zinniaquayv1.ServiceTotal{total("city", 50)},
				Moves: []*zinniaquayv1.MoveStatus{{Move: "planner-2", State: "moving", Share: 0.04, RecordAgeMs: 9000}},
			},
		},
		silent: make(map[string]bool),
	}
}

func compareGolden(t *testing.T, path, got string) {
	t.Helper()
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(got, string(want))
}

func TestReportOverTwoRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		c := NewCollector(f)
		is.Equal(c.Report(t.Context()).Gap, Gap{}) // nothing to compare with yet
		f.status["sidecar-1"].Totals = []*zinniaquayv1.ServiceTotal{total("city", 500), total("village", 60)}
		time.Sleep(10 * time.Second)
		f.silent["sidecar-2"] = true
		r := c.Report(t.Context())
		is.Equal(r.Gap, Gap{Service: 50, Most: "city", Least: "village"}) // 400/4 - 50/1
		is.Equal(r.SpanMS, int64(10_000))
		is.Equal(r.Use, Utilisation{Running: 3, Window: 4, Percent: 75, Waiting: 5}) // without the silent process
		is.Equal(r.Silent, []string{"sidecar-2"})
		is.True(!r.Everywhere) // sidecar-1 has an older configuration
		is.Equal(r.Moves, []Move{{"planner-2", "moving", 5, "waits for evidence", 3000}})
		is.Equal(r.Processes[2].AgeMS, int64(10_000)) // age of the last status
		is.Equal(r.Processes[1].PlatformAgeMS, int64(40))
		is.Equal(r.Zones[1].Silent, 1)
		var text strings.Builder
		is.NoErr(r.WriteText(&text))
		text.WriteString("\n")
		is.NoErr(r.WriteStatus(&text))
		compareGolden(t, "testdata/report.txt", text.String())
		var html strings.Builder
		is.NoErr(r.WriteHTML(&html))
		compareGolden(t, "testdata/report.html", html.String())
		is.True(!strings.Contains(html.String(), "<script"))
		is.True(strings.Contains(html.String(), "&lt;i&gt;idle")) // names are escaped
	})
}

func TestUtilisationExcludesZonesThatAreOut(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	f.status["sidecar-2"].Window = 96
	is.Equal(NewCollector(f).Report(t.Context()).Use, Utilisation{Running: 3, Window: 4, Percent: 75, Waiting: 5})
}

func TestReportsWithinPollIntervalShareOneRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		c := NewCollector(f)
		for range 5 {
			c.Report(t.Context())
		}
		is.Equal(f.polls, 1)
		for range 2 * maxRounds {
			time.Sleep(time.Minute)
			c.Report(t.Context())
		}
		is.Equal(len(c.rounds), 6) // rounds older than maxRoundAge are dropped
	})
}

func TestGapExcludesAccountsThatWereIdle(t *testing.T) {
	is := is.New(t)
	rounds := []round{
		{waiting: map[string]bool{"a": true, "b": true}, service: map[string]float64{}},
		{waiting: map[string]bool{"a": true}, service: map[string]float64{"a": 9, "b": 1}},
	}
	list := accounts(nil, nil, rounds)
	is.Equal(gapOf(list, true), Gap{}) // b had nothing waiting in one round
	rounds[1].waiting["b"] = true
	is.Equal(gapOf(accounts(nil, nil, rounds), true), Gap{Service: 8, Most: "a", Least: "b"})
	rounds[1].service["idle"] = 0
	list = accounts(nil, nil, rounds)
	is.Equal(list[2].Name, "idle") // after the backlogged accounts, despite the smallest share
}

func TestPageLimitsRowsAndListsUnhealthyProcessesFirst(t *testing.T) {
	is := is.New(t)
	r := &Report{Accounts: make([]Account, 200)}
	for range 100 {
		r.Processes = append(r.Processes, ProcessRow{Name: "sound", State: "live"})
	}
	r.Processes = append(r.Processes, ProcessRow{Name: "trouble", State: stateSilent})
	short, accounts, processes := truncate(r)
	is.Equal(len(short.Accounts), maxRows)
	is.Equal(accounts, 150)
	is.Equal(short.Processes[0].Name, "trouble")
	is.Equal(processes, 51)
}
