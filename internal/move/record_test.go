package move

import (
	"testing"
	"time"

	"github.com/matryer/is"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

func TestNextFollowsTransitionTable(t *testing.T) {
	full := Progress{OldIdle: true}
	for _, c := range []struct {
		name string
		from State
		p    Progress
		to   State
	}{
		{"declared", "", Progress{}, Moving},
		{"waits for evidence", Moving, Progress{Missing: "more"}, Moving},
		{"old version still starts work", Moving, Progress{}, Moving},
		{"moved", Moving, full, Done},
		{"deadline passed", Moving, Progress{Missing: "more", Late: true}, Late},
		{"at full share at the deadline", Moving, Progress{OldIdle: true, Late: true}, Done},
		{"at full share after the deadline", Late, full, Done},
		{"still late", Late, Progress{Missing: "more", Late: true}, Late},
		{"bad while moving", Moving, Progress{Bad: "b", OldIdle: true}, RollingBack},
		{"bad after the deadline", Late, Progress{Bad: "b"}, RollingBack},
		{"bad when done", Done, Progress{Bad: "b"}, RollingBack},
		{"missing evidence when done", Done, Progress{Missing: "x", Late: true}, Done},
		{"new version still runs", RollingBack, Progress{Bad: "b"}, RollingBack},
		{"new version idle", RollingBack, Progress{Bad: "b", NewIdle: true}, RolledBack},
		{"final", RolledBack, full, RolledBack},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			to, reason := Next(c.from, c.p)
			is.Equal(to, c.to)
			is.Equal(to != c.from, reason != "")
		})
	}
}

func TestShareComesFromDeclarationAndVerdictOnly(t *testing.T) {
	d := Declaration{Name: "m", SmallShare: 0.05}
	cleared := func(level uint32, routes ...string) *zinniaquayv1.Verdict {
		return &zinniaquayv1.Verdict{Cleared: true, Level: level, Routes: routes}
	}
	for _, c := range []struct {
		name string
		v    *zinniaquayv1.Verdict
		want float64
	}{
		{"no verdict", nil, 0.05},
		{"bad", &zinniaquayv1.Verdict{}, 0},
		{"route without evidence", cleared(3, "other"), 0.05},
		{"route at a level", cleared(1, "r"), 0.25},
		{"route at the full level", cleared(3, "r"), 1},
		{"all routes", cleared(3, AllRoutes), 1},
		{"level from a later release", cleared(9, AllRoutes), 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(d.Share(c.v, "r"), c.want)
		})
	}
}

func TestVerdictSetNeverRevertsAVerdict(t *testing.T) {
	is := is.New(t)
	d := Declaration{Name: "m", SmallShare: 0.05}
	cleared := func(level uint32, routes ...string) *zinniaquayv1.Verdict {
		return &zinniaquayv1.Verdict{MoveDigest: d.Digest(), Cleared: true, Level: level, Routes: routes}
	}
	bad := &zinniaquayv1.Verdict{MoveDigest: d.Digest(), Reason: "b"}
	verdicts := NewVerdictSet()
	is.True(verdicts.Add(cleared(1, "a")))
	is.True(verdicts.Add(cleared(0, "b")))
	is.True(!verdicts.Add(cleared(1, "a", "b")))
	is.Equal(d.Share(verdicts.Verdict(d), "b"), 0.25)
	is.True(verdicts.Add(cleared(3, AllRoutes)))
	is.True(!verdicts.Add(cleared(2, "c")))
	is.True(verdicts.Add(bad))
	is.True(!verdicts.Add(cleared(3, AllRoutes), bad))
	is.True(verdicts.Bad(d))
	renamed := d
	renamed.Name = "again"
	is.True(!verdicts.Bad(renamed)) // the verdict does not apply to a later move
	verdicts.Retain([]Declaration{renamed})
	is.Equal(len(verdicts.Verdicts()), 0)
}

func TestNewHolderResumesFromCommittedRecord(t *testing.T) {
	is := is.New(t)
	d := Declaration{Name: "m", From: "v1", To: "v2", SmallShare: 0.05}
	r, differs := NextRecord(d, nil, Progress{Missing: "x"})
	is.True(differs)
	_, differs = NextRecord(d, r, Progress{Missing: "x"})
	is.True(!differs) // nothing to write
	r, _ = NextRecord(d, r, Progress{Level: 2, Routes: []string{"r"}})
	is.Equal(d.Share(RecordVerdict(d, r), "r"), 0.5)
	r, _ = NextRecord(d, r, Progress{Bad: "b"})
	is.Equal(d.Share(RecordVerdict(d, r), "r"), 0.0)
	is.Equal(r.GetReason(), "b")
	j := NewJudge(d, time.Unix(0, 0))
	j.Adopt(RecordVerdict(d, r), time.Unix(0, 0))
	is.True(!j.Verdict().GetCleared()) // a new holder keeps the bad verdict of the record
}
