package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// peerSilence is the time without a report after which a peer's work counts as
// ended.
const peerSilence = 3 * time.Second

// peer is what another router reported.
type peer struct {
	heard time.Time
	loads map[uint32]Load
}

// AccountReport is what one router saw of an account.
type AccountReport struct {
	// Account is the hash of the account's name.
	Account uint32
	// Requested and Received are in tokens and fade with the share window.
	Requested, Received float64
}

// Report is what a router tells its peers.
type Report struct {
	// HasAccounts says that the report holds accounts too.
	HasAccounts bool
	// Loads are the router's own loads by the short hash of the target's ID.
	Loads    map[uint32]Load
	Accounts []AccountReport
}

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// leastReported is the usage in tokens below which an account is not reported.
const leastReported = 1

// Report returns what this router tells its peers.
func (d *Dispatcher) Report(slow bool, now time.Time) Report {
	r := Report{HasAccounts: slow, Loads: make(map[uint32]Load)}
	for _, t := range d.targets {
		if t.own.Running > 0 {
			r.Loads[t.short] = t.own
		}
	}
	if !slow {
		return r
	}
	for hash, a := range d.usage.accounts {
		asked, got := a.asked.read(now, d.usage.window), a.got.read(now, d.usage.window)
		if asked >= leastReported || got >= leastReported {
			r.Accounts = append(r.Accounts, AccountReport{hash, asked, got})
		}
	}
	return r
}

// Merge takes over the latest report of a peer.
func (d *Dispatcher) Merge(name string, r Report, now time.Time) {
	d.peers[name] = &peer{heard: now, loads: r.Loads}
	for key := range r.Loads {
		if t := d.byShort[key]; t != nil {
			t.peersAt = now
		}
	}
	d.sumPeers()
	if r.HasAccounts {
		d.usage.merge(name, r.Accounts)
	}
}

// ExpirePeers drops peers that have been silent.
func (d *Dispatcher) ExpirePeers(now time.Time) {
	dropped := false
	for name, p := range d.peers {
		if now.Sub(p.heard) <= peerSilence {
			continue
		}
		delete(d.peers, name)
		d.usage.forget(name)
		dropped = true
	}
	if dropped {
		d.sumPeers()
	}
}

// sumPeers adds up what peers have running at each target.
func (d *Dispatcher) sumPeers() {
	for _, t := range d.targets {
		t.peers = Load{}
	}
	for _, p := range d.peers {
		for key, load := range p.loads {
			if t := d.byShort[key]; t != nil {
				t.peers = t.peers.plus(load)
			}
		}
	}
}
