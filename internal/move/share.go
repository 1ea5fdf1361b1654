package move

import (
	"slices"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// AllRoutes stands for every route in a verdict.
const AllRoutes = "*"

// FullLevel is the level at which the new version gets all traffic.
const FullLevel = 3

// levelShares is the share at each level; at level 0 it is the declared small
// share.
var levelShares = [FullLevel + 1]float64{0, 0.25, 0.5, 1}

// Share returns the fraction of a route's traffic that goes to the new version,
// given the verdict on it; v may be nil. Processes with the same declaration
// and verdict compute the same share.
//
//	share = 0                            if the version is bad
//	        small                        if the route is not cleared
//	        max(small, levelShares[l])   if it is cleared up to level l
func (d Declaration) Share(v *zinniaquayv1.Verdict, route string) float64 {
	switch {
	case v == nil:
		return d.SmallShare
	case !v.GetCleared():
		return 0
	case !clearsRoute(v, route):
		return d.SmallShare
	}
	return d.LevelShare(v)
}

// LevelShare returns the share of a cleared route, given the verdict on the new
// version; v may be nil.
func (d Declaration) LevelShare(v *zinniaquayv1.Verdict) float64 {
	if v == nil || !v.GetCleared() {
		return d.SmallShare
	}
	return max(d.SmallShare, levelShares[min(v.GetLevel(), FullLevel)])
}

func clearsRoute(v *zinniaquayv1.Verdict, route string) bool {
	routes := v.GetRoutes()
	return slices.Contains(routes, route) || slices.Contains(routes, AllRoutes)
}

// Merge merges two verdicts on the same declaration: the result is bad if
// either is bad, else it has the higher level and the routes of both. The
// result may be one of the arguments, which must not be changed.
func Merge(a, b *zinniaquayv1.Verdict) *zinniaquayv1.Verdict {
	switch {
	case a == nil || (a.GetCleared() && !b.GetCleared()):
		return b
	case b == nil || !a.GetCleared():
		return a
	case includes(a, b):
		return a
	case includes(b, a):
		return b
	}
	routes := slices.Concat(a.GetRoutes(), b.GetRoutes())
	slices.Sort(routes)
	return &zinniaquayv1.Verdict{
		Move:       a.GetMove(),
		Version:    a.GetVersion(),
		MoveDigest: a.GetMoveDigest(),
		Cleared:    true,
		Level:      max(a.GetLevel(), b.GetLevel()),
		Routes:     slices.Compact(routes),
	}
}

// includes reports whether a contains everything that b contains.
func includes(a, b *zinniaquayv1.Verdict) bool {
	if a.GetLevel() < b.GetLevel() {
		return false
	}
	for _, route := range b.GetRoutes() {
		if !clearsRoute(a, route) {
			return false
		}
	}
	return true
}
