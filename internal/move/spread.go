package move

import (
	"github.com/cespare/xxhash/v2"
)

// HeadStarts is the number of routers that send the first request of a route to
// the new version, so that a rare route gathers evidence for any number of
// routers. All others start without credit.
const HeadStarts = 20

// Spreader turns a share into choices at one router, without randomness. Every
// route has a credit to which each request adds the share. When the credit
// reaches one, the request goes to the new version and the credit decreases by
// one. So a router that got n requests of a route sent the new version at most
//
//	share*n + start,  start = 1-share at HeadStarts routers, else 0
//
// of them, and all routers together at most share*N + HeadStarts of N, for any
// number of routers and any distribution of requests over them. A restarted
// router may use its head start again. A router that gets a longer list of
// routers may leave the first HeadStarts; it keeps its credit.
//
// A Spreader is not safe for concurrent use.
type Spreader struct {
	router  string
	credits map[string]float64
}

// NewSpreader returns the spreader of one move at a router.
func NewSpreader(router string) *Spreader {
	return &Spreader{router: router, credits: make(map[string]float64)}
}

// Next reports whether the next request of a route goes to the new version.
// routers returns all routers of the fleet that are known to this one; it is
// called for the first request of a route only.
func (s *Spreader) Next(route string, share float64, routers func() []string) bool {
	if _, ok := s.credits[route]; !ok && len(s.credits) >= MaxRoutes {
		route = OtherKey
	}
	credit, ok := s.credits[route]
	if !ok && s.hasHeadStart(route, routers()) {
		credit = 1 - share
	}
	credit += share
	// Rounding errors must not withhold requests at the full share.
	const tolerance = 1e-9
	chosen := share > 0 && credit >= 1-tolerance
	if chosen {
		credit--
	}
	s.credits[route] = max(0, credit)
	return chosen
}

// hasHeadStart reports whether this router is among the first HeadStarts
// routers by rendezvous hashing on the route.
func (s *Spreader) hasHeadStart(route string, routers []string) bool {
	ownRank := routeRank(route, s.router)
	ahead := 0
	for _, r := range routers {
		if r != s.router && routeRank(route, r) < ownRank {
			ahead++
		}
	}
	return ahead < HeadStarts
}

func routeRank(route, router string) uint64 {
	return xxhash.Sum64String(route + "\x00" + router)
}
