package move

import (
	"fmt"
	"slices"
	"strings"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// State is the committed state of a move.
//
//	state        meaning
//	moving       the new version gets a share that evidence raises
//	late         like moving, after the deadline
//	done         no target of the old version starts work any more
//	taking back  the new version is bad and gets no new work
//	taken back   in addition, no target of the new version runs work any more
//
//	from         to           when
//	(none)       moving       the move is declared
//	moving       done         full share on every route, old version idle
//	moving       late         the deadline has passed first
//	moving       taking back  a bad verdict
//	late         done         full share on every route, old version idle
//	late         taking back  a bad verdict
//	done         taking back  a bad verdict: faults may appear late
//	taking back  taken back   new version idle
//
// No other transition exists; taken back is final for a declaration.
type State string

// The states.
const (
	Moving      State = "moving"
	Late        State = "late"
	Done        State = "done"
	RollingBack State = "taking back"
	RolledBack  State = "taken back"
)

// Next returns the state that follows from a state and the evidence, and the
// reason. It returns the same state if nothing changes. The empty state stands
// for a move without a record.
func Next(s State, p Progress) (State, string) {
	switch s {
	case "":
		return Moving, "declared"
	case Moving, Late:
		return nextForward(s, p)
	case Done:
		if p.Bad != "" {
			return RollingBack, p.Bad
		}
	case RollingBack:
		if p.NewIdle {
			return RolledBack, p.withSilent(p.Bad)
		}
	case RolledBack:
	}
	return s, ""
}

func nextForward(s State, p Progress) (State, string) {
	switch {
	case p.Bad != "":
		return RollingBack, p.Bad
	case p.Missing == "" && p.OldIdle:
		return Done, p.withSilent("all traffic is at the new version")
	case p.Late && s == Moving:
		missing := p.Missing
		if missing == "" {
			missing = "targets of the old version still start work"
		}
		return Late, missing
	}
	return s, ""
}

// withSilent appends the names of targets that have not reported.
func (p Progress) withSilent(reason string) string {
	if len(p.Silent) == 0 {
		return reason
	}
	names := slices.Clone(p.Silent)
	slices.Sort(names)
	return fmt.Sprintf("%s (not heard from: %s)", reason, strings.Join(names, ", "))
}

// NextRecord returns the record that follows from the committed one and the
// evidence, and whether it must be written: it has a new state or a higher
// level. Newly cleared routes alone do not cause a write. committed may be nil
// or belong to an earlier declaration.
func NextRecord(d Declaration, committed *zinniaquayv1.MoveRecord, p Progress) (*zinniaquayv1.MoveRecord, bool) {
	if committed.GetMoveDigest() != d.Digest() {
		committed = nil
	}
	state, reason := Next(State(committed.GetState()), p)
	next := &zinniaquayv1.MoveRecord{
		Move:       d.Name,
		MoveDigest: d.Digest(),
		State:      string(state),
		Reason:     reason,
		Evidence:   p.Evidence,
		Level:      max(committed.GetLevel(), p.Level),
		Routes:     p.Routes,
	}
	if len(next.Routes) == 0 {
		next.Routes = committed.GetRoutes()
	}
	changedState := next.State != committed.GetState()
	if !changedState {
		next.Reason = committed.GetReason()
	}
	return next, changedState || next.Level > committed.GetLevel()
}

// RecordVerdict returns the verdict in a committed record, or nil if the record
// belongs to another declaration.
func RecordVerdict(d Declaration, r *zinniaquayv1.MoveRecord) *zinniaquayv1.Verdict {
	if r.GetMoveDigest() != d.Digest() {
		return nil
	}
	v := &zinniaquayv1.Verdict{Move: d.Name, Version: d.To, MoveDigest: d.Digest()}
	switch State(r.GetState()) {
	case RollingBack, RolledBack:
		v.Reason = r.GetReason()
	default:
		v.Cleared = true
		v.Level = r.GetLevel()
		v.Routes = r.GetRoutes()
	}
	return v
}
