package peer

import (
	"context"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

const (
	// WatchTimeout is the time after which a watch is renewed, since watches may
	// go silent.
	WatchTimeout = 10 * time.Second
	// watchGrace is how long after its timeout a watch may still answer.
	watchGrace = 2 * time.Second
	// PollInterval is the time in which the whole fleet reads the configuration
	// once, on average, beside the watches.
	PollInterval = 2 * time.Second
	// HostsInterval is the time between two readings of the host list by a
	// watcher.
	HostsInterval = 10 * time.Second
	// IsolatedAfter is how long no peer must have been heard before a process
	// watches the platform for itself.
	IsolatedAfter = 5 * time.Second
	// Bounds of the time between two tries while the platform does not answer.
	minRetry = time.Second
	maxRetry = 8 * time.Second
)

// watches reports whether this process has to watch the platform: it is one of
// the few watchers, or it hears no peer that could tell it.
func (n *Node) watches() bool {
	now := time.Now()
	n.mu.Lock()
	joined, isolated := n.joined, now.Sub(n.peerSpoke) >= IsolatedAfter
	n.mu.Unlock()
	return isolated || joined && n.Members.IsWatcher(now)
}

// watchLoop is the duty that watches the configuration in the platform.
func (n *Node) watchLoop(ctx context.Context) {
	var revision uint64
	retry := minRetry
	for ctx.Err() == nil {
		if !n.watches() {
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

// watchOnce bounds the wait by the process's own clock, because a silent watch
// never ends by itself.
func (n *Node) watchOnce(ctx context.Context, revision uint64) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout+watchGrace)
	defer cancel()
	return n.Platform.Watch(ctx, configstore.Key, revision, WatchTimeout)
}

// pollLoop is the duty that reads the configuration now and then, so seldom that
// the whole fleet together reads it once in PollInterval. It finds what all
// watchers miss.
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

// applyEntry puts in force what the platform holds. The platform's word is
// enough to start with, since it never holds an older number than any process.
func (n *Node) applyEntry(entry platform.Entry) error {
	record, err := configstore.DecodeRecord(entry.Value, entry.Revision)
	if err != nil {
		return err
	}
	n.Store.ApplyRecord(record)
	n.mu.Lock()
	n.platformSpoke = time.Now()
	n.mu.Unlock()
	n.markStarted()
	return nil
}

func (n *Node) platformFailed(err error) {
	n.count.platformFailed.Inc(1)
	n.Log.V(1).Info("the platform does not answer", "reason", err.Error())
}

// hostsLoop is the duty of watchers that reads the platform's list of hosts.
func (n *Node) hostsLoop(ctx context.Context) {
	for wait.For(ctx, n.jittered(HostsInterval)+HostsInterval/4) {
		if n.watches() {
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
	news, absent := n.Members.MergeHosts(hosts, time.Now())
	n.spread(news)
	for _, member := range absent {
		if _, err := n.exchange(ctx, member.GetAddr(), member, n.request()); err != nil && ctx.Err() == nil {
			n.Log.Info("a member is gone", "member", member.GetName())
			n.spread(n.Members.MarkGone(member))
		}
	}
}
