package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

// MinAbsence is the time that a member must be missing from the platform's host
// list before it is checked whether the member still runs.
const MinAbsence = time.Minute

// MergeHosts merges the platform's host list, which lags. Its entries get
// incarnation 0, so that a record from the process itself takes precedence. It
// returns the changed records, and the members that have been missing from the
// list for MinAbsence: the caller must contact these and call MarkGone for those
// that do not respond.
func (l *List) MergeHosts(hosts []platform.Host, now time.Time) (updates, absent []*zinniaquayv1.Member) {
	listed := make(map[string]bool, len(hosts))
	var entries []*zinniaquayv1.Member
	for _, h := range hosts {
		listed[h.Name] = true
		// The process is the source of its own record.
		if role, ok := roles[h.Role]; ok && h.Name != l.self {
			entries = append(entries, &zinniaquayv1.Member{
				Name: h.Name, Addr: h.Addr, Zone: h.Zone, Role: role, State: hostState(h),
			})
		}
	}
	updates = l.Merge(entries)
	return updates, l.absentMembers(listed, now)
}

var roles = map[string]zinniaquayv1.Member_Role{
	"router":  zinniaquayv1.Member_router,
	"sidecar": zinniaquayv1.Member_sidecar,
}

func hostState(h platform.Host) zinniaquayv1.Member_State {
	if h.Leaving {
		return zinniaquayv1.Member_leaving
	}
	return zinniaquayv1.Member_live
}

// absentMembers returns the members that have been missing from the host list for
// MinAbsence. A list without the process itself is not complete yet, so that it
// is no evidence that other members are absent.
func (l *List) absentMembers(listed map[string]bool, now time.Time) []*zinniaquayv1.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	var absent []*zinniaquayv1.Member
	for name, r := range l.records {
		if name == l.self || goneCount(r) == 1 || listed[name] || !listed[l.self] {
			delete(l.absentSince, name)
			continue
		}
		since, ok := l.absentSince[name]
		if !ok {
			l.absentSince[name] = now
			continue
		}
		if now.Sub(since) >= MinAbsence {
			absent = append(absent, r.member)
		}
	}
	return absent
}

// MarkGone marks a member as gone that is missing from the platform's list and
// does not respond. A member that still runs refutes it. MarkGone returns the
// changed record, if any.
func (l *List) MarkGone(m *zinniaquayv1.Member) []*zinniaquayv1.Member {
	gone := proto.CloneOf(m)
	gone.State = zinniaquayv1.Member_gone
	return l.Merge([]*zinniaquayv1.Member{gone})
}
