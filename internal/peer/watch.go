package peer

import (
	"context"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

const (
	// WatchTimeout is the time after which a watch is renewed, since a watch may
	// stop delivering changes without an error.
	WatchTimeout = 10 * time.Second
	// watchGrace is how long after its timeout a watch may still respond.
	watchGrace = 2 * time.Second
	// PollInterval is the average time between two reads of the configuration by
	// the fleet as a whole, in addition to the watches.
	PollInterval = 2 * time.Second
	// HostsInterval is the average time between two reads of the host list by a
	// watcher.
	HostsInterval = 10 * time.Second
	// IsolatedAfter is the time without contact with any peer after which a process
	// watches the platform itself.
	IsolatedAfter = 5 * time.Second
	// Bounds of the time between two attempts while the platform does not respond.
	minRetry = time.Second
	maxRetry = 8 * time.Second
)

// shouldWatch reports whether this process has to watch the platform: it is one
// of the few watchers, or it has no contact with a peer that could forward updates.
func (n *Node) shouldWatch() bool {
	now := time.Now()
	n.mu.Lock()
	joined, isolated := n.joined, now.Sub(n.lastPeerContact) >= IsolatedAfter
	n.mu.Unlock()
	return isolated || joined && n.Members.IsWatcher(now)
}

// watchLoop watches the configuration in the platform.
func (n *Node) watchLoop(ctx context.Context) {
	var revision uint64
	retry := minRetry
	for ctx.Err() == nil {
		if !n.shouldWatch() {
			wait.For(ctx, n.jittered(minRetry))
			continue
		}
		entry, err := n.watchOnce(ctx, revision)
		if err == nil && entry.Revision > revision {
			err = n.applyEntry(entry)
		}
		if err != nil {
			n.platformFailed(err)
			wait.For(ctx, n.jittered(retry))
			retry = min(2*retry, maxRetry)
			continue
		}
		revision, retry = entry.Revision, minRetry
	}
}

// watchOnce runs one watch with a local timeout, because a silent watch never
// ends by itself.
func (n *Node) watchOnce(ctx context.Context, revision uint64) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout+watchGrace)
	defer cancel()
	return n.Platform.Watch(ctx, configstore.Key, revision, WatchTimeout)
}

// pollLoop reads the configuration at random times, on average once in
// PollInterval for the fleet as a whole. It finds changes that all watchers miss.
func (n *Node) pollLoop(ctx context.Context) {
	for wait.For(ctx, n.jittered(PollInterval)+PollInterval/4) {
		if !n.hasJoined() || n.intN(n.Members.Size()) != 0 {
			continue
		}
		if err := n.readPlatform(ctx); err != nil {
			n.platformFailed(err)
		}
	}
}

// readPlatform reads the configuration once and puts it in force.
func (n *Node) readPlatform(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	entry, err := n.Platform.Get(ctx, configstore.Key)
	if err != nil {
		return err
	}
	return n.applyEntry(entry)
}

// applyEntry puts the platform's configuration in force. The platform alone
// suffices to start, since it never holds an older number than any process.
func (n *Node) applyEntry(entry platform.Entry) error {
	record, err := configstore.DecodeRecord(entry.Value, entry.Revision)
	if err != nil {
		return err
	}
	n.Store.ApplyRecord(record)
	n.mu.Lock()
	n.lastPlatformContact = time.Now()
	n.mu.Unlock()
	n.markStarted()
	return nil
}

func (n *Node) platformFailed(err error) {
	n.count.platformFailed.Inc(1)
	n.Log.V(1).Info("could not read from the platform", "reason", err.Error())
}

// hostsLoop reads the platform's list of hosts periodically while this process
// has to watch the platform.
func (n *Node) hostsLoop(ctx context.Context) {
	for wait.For(ctx, n.jittered(HostsInterval)+HostsInterval/4) {
		if n.shouldWatch() {
			n.readHosts(ctx)
		}
	}
}

func (n *Node) readHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, HostsInterval)
	defer cancel()
	hosts, err := n.Platform.Hosts(ctx)
	if err != nil {
		n.platformFailed(err)
		return
	}
	changed, absent := n.Members.MergeHosts(hosts, time.Now())
	n.queueMembers(changed)
	for _, member := range absent {
		if _, err := n.exchange(ctx, member.GetAddr(), member, n.newRequest()); err != nil && ctx.Err() == nil {
			n.Log.Info("member is absent from the host list and unreachable; marking it gone", "member", member.GetName())
			n.queueMembers(n.Members.MarkGone(member))
		}
	}
}
