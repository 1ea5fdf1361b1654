package move

import (
	"github.com/cespare/xxhash/v2"
)

// HeadStarts is the number of routers that give the new version the first
// request of a route, so that a rare route gathers evidence however many
// routers there are. All others begin with an empty account.
const HeadStarts = 20

// Spreader turns a share into choices at one router, without coin tosses. For
// every route it keeps an account to which each request adds the share; a
// request goes to the new version when the account reaches one, which it pays.
// So a router that saw n requests of a route gave the new version at most
//
//	share*n + start,  start = 1-share at HeadStarts routers, else 0
//
// of them, and all routers together at most share*N + HeadStarts of N, however
// requests are split between routers and however many there are. A restarted
// router may take its head start again. A router that sees a larger list of
// routers may leave the first HeadStarts; it keeps what it has.
//
// A Spreader is not safe for concurrent use.
type Spreader struct {
	router string
	routes map[string]float64
}

// NewSpreader returns the spreader of one move at a router.
func NewSpreader(router string) *Spreader {
	return &Spreader{router: router, routes: make(map[string]float64)}
}

// Next reports whether the next request of a route goes to the new version.
// Routers names all routers of the fleet, as this one knows them; it is called
// for the first request of a route only.
func (s *Spreader) Next(route string, share float64, routers func() []string) bool {
	if _, ok := s.routes[route]; !ok && len(s.routes) >= MaxRoutes {
		route = OtherKey
	}
	account, ok := s.routes[route]
	if !ok && s.headStart(route, routers()) {
		account = 1 - share
	}
	account += share
	// Rounding must not cost a full share its requests.
	const tolerance = 1e-9
	chosen := share > 0 && account >= 1-tolerance
	if chosen {
		account--
	}
	s.routes[route] = max(0, account)
	return chosen
}

// headStart reports whether this router is among the first HeadStarts of a
// route's order of routers.
func (s *Spreader) headStart(route string, routers []string) bool {
	own := routeRank(route, s.router)
	before := 0
	for _, r := range routers {
		if r != s.router && routeRank(route, r) < own {
			before++
		}
	}
	return before < HeadStarts
}

func routeRank(route, router string) uint64 {
	return xxhash.Sum64String(route + "\x00" + router)
}
