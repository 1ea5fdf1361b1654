package process

import (
	"context"
	"fmt"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
)

// recordConfigurations records a timeline event for each configuration that takes
// effect, until the context ends.
func (b *base) recordConfigurations(ctx context.Context) {
	for last := uint64(0); ; {
		changed := b.store.Changed()
		if number := b.store.Number(); number != last {
			last = number
			b.events.Record(timeline.ConfigApplied, "", fmt.Sprintf("number %d", number))
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// recordMembers records a timeline event for each change of another process's
// state, until the context ends.
func (b *base) recordMembers(ctx context.Context) {
	known := make(map[string]zinniaquayv1.Member_State)
	for {
		changed := b.members.Changed()
		for _, m := range b.members.All() {
			state, ok := known[m.GetName()]
			if m.GetName() == b.processSettings.GetName() || ok && state == m.GetState() {
				continue
			}
			known[m.GetName()] = m.GetState()
			b.events.Record(memberEventKind(m.GetState()), "", m.GetName()+" at "+m.GetAddr())
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// memberEventKind returns the event kind for a member's new state.
func memberEventKind(s zinniaquayv1.Member_State) timeline.Kind {
	switch s {
	case zinniaquayv1.Member_leaving:
		return timeline.PeerLeaving
	case zinniaquayv1.Member_gone:
		return timeline.PeerGone
	default:
		return timeline.PeerJoined
	}
}

// recordPlatformOutage records the start and end of a platform outage as timeline
// events.
func (b *base) recordPlatformOutage(up bool, err error) {
	if up {
		b.events.Record(timeline.PlatformFound, "", "")
		return
	}
	b.events.Record(timeline.PlatformLost, "", err.Error())
}
