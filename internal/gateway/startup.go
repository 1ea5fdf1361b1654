package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/errkind"
)

// startupWait is how long a process that has just read its first view waits for reports of
// its peers. They respond within milliseconds to its own first report, which comes within
// 100 ms.
const startupWait = 300 * time.Millisecond

// startup holds a process back until its first configuration is not older than those of its
// peers: a store that was restored from an older copy has an older one until the operator
// writes again, while processes that were running never go back. It is safe for concurrent
// use.
type startup struct {
	done atomic.Bool

	mu sync.Mutex
	// firstViewAt is when the first configuration was seen.
	firstViewAt time.Time
	// peerVersions holds the configuration versions of peers, by sender.
	peerVersions map[uint32]int64
}

// observe records a peer's configuration version.
func (s *startup) observe(sender uint32, version int64) {
	if s.done.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peerVersions == nil {
		s.peerVersions = make(map[uint32]int64)
	}
	s.peerVersions[sender] = version
}

// complete reports whether a process with a configuration version and a number of peers
// may serve. Once it may, it stays so. If it may not, newest is the newest version that a
// peer has.
func (s *startup) complete(version int64, peers int, now time.Time) (complete bool, newest int64) {
	if s.done.Load() {
		return true, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstViewAt.IsZero() {
		s.firstViewAt = now
	}
	for _, v := range s.peerVersions {
		newest = max(newest, v)
	}
	heard := len(s.peerVersions) > 0 && 2*len(s.peerVersions) >= peers
	if version < newest || !heard && now.Sub(s.firstViewAt) < startupWait {
		return false, newest
	}
	s.done.Store(true)
	s.peerVersions = nil
	return true, 0
}

// checkStarted returns an error while the process is held back.
func (g *Gateway) checkStarted() error {
	view := g.views.View()
	if view.Config == nil {
		return errkind.New(errkind.NoConfiguration, "no configuration is known yet")
	}
	peers := len(view.Members)
	if _, registered := view.Members[g.settings.Name]; registered {
		peers--
	}
	complete, newest := g.startup.complete(view.Config.Version, peers, time.Now())
	if !complete {
		return errkind.New(errkind.PlatformUnavailable, "the process has just started with configuration %d; its peers have %d",
			view.Config.Version, newest)
	}
	return nil
}
