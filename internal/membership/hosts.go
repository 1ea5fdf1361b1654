package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

// AbsentFor is how long the platform's list must lack a member before the
// member is asked whether it still runs.
const AbsentFor = time.Minute

// MergeHosts takes in the platform's lagging list. Its entries have incarnation
// 0, so that whatever a process said of itself beats them. It returns what was
// news, and members that the list has lacked for AbsentFor: the caller asks
// them, and reports those that do not answer by MarkGone.
func (l *List) MergeHosts(hosts []platform.Host, now time.Time) (news, absent []*zinniaquayv1.Member) {
	listed := make(map[string]bool, len(hosts))
	var entries []*zinniaquayv1.Member
	for _, h := range hosts {
		listed[h.Name] = true
		// The process itself needs nobody's word.
		if role, ok := roles[h.Role]; ok && h.Name != l.self {
			entries = append(entries, &zinniaquayv1.Member{
				Name: h.Name, Addr: h.Addr, Zone: h.Zone, Role: role, State: hostState(h),
			})
		}
	}
	news = l.Merge(entries)
	return news, l.absent(listed, now)
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

// absent returns members that the list has lacked for long. A list that lacks
// the process itself is not yet filled and says nothing of others.
func (l *List) absent(listed map[string]bool, now time.Time) []*zinniaquayv1.Member {
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
		if now.Sub(since) >= AbsentFor {
			absent = append(absent, r.member)
		}
	}
	return absent
}

// MarkGone reports a member as gone that neither the platform's list nor the
// member itself speaks for. A member that runs all the same refutes it. It
// returns the news, if it was any.
func (l *List) MarkGone(m *zinniaquayv1.Member) []*zinniaquayv1.Member {
	gone := proto.CloneOf(m)
	gone.State = zinniaquayv1.Member_gone
	return l.Merge([]*zinniaquayv1.Member{gone})
}
