package quarantine

import "time"

// provenParts remembers parts that targets survived, in two generations: the older
// one is dropped when the newer one is full or old.
type provenParts struct {
	newer, older map[uint64]struct{}
	since        time.Time
}

// Limits of one generation.
const (
	maxProvenParts = 4096
	maxProvenAge   = evidenceAge
)

func (p *provenParts) add(part uint64, now time.Time) {
	if p.newer == nil || len(p.newer) >= maxProvenParts || now.Sub(p.since) >= maxProvenAge {
		p.newer, p.older, p.since = make(map[uint64]struct{}), p.newer, now
	}
	p.newer[part] = struct{}{}
}

func (p *provenParts) contains(part uint64) bool {
	if _, ok := p.newer[part]; ok {
		return true
	}
	_, ok := p.older[part]
	return ok
}
