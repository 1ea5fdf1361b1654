package move

import (
	"slices"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// AllRoutes stands for every route in a verdict.
const AllRoutes = "*"

// FullLevel is the level at which the new version gets all traffic.
const FullLevel = 3

// ladder is the share of each level; level 0 is the declared small share.
var ladder = [FullLevel + 1]float64{0, 0.25, 0.5, 1}

// Share returns the part of a route's traffic that goes to the new version,
// given what is known of it; v may be nil. Processes that know the same compute
// the same.
//
//	share = 0                       if the version is bad
//	        small                   if the route is not cleared
//	        max(small, ladder[l])   if it is cleared up to level l
func (d Declaration) Share(v *zinniaquayv1.Verdict, route string) float64 {
	switch {
	case v == nil:
		return d.SmallShare
	case !v.GetCleared():
		return 0
	case !follows(v, route):
		return d.SmallShare
	}
	return d.LevelShare(v)
}

// LevelShare returns the share of a route that is cleared, given what is known
// of the new version; v may be nil.
func (d Declaration) LevelShare(v *zinniaquayv1.Verdict) float64 {
	if v == nil || !v.GetCleared() {
		return d.SmallShare
	}
	return max(d.SmallShare, ladder[min(v.GetLevel(), FullLevel)])
}

func follows(v *zinniaquayv1.Verdict, route string) bool {
	routes := v.GetRoutes()
	return slices.Contains(routes, route) || slices.Contains(routes, AllRoutes)
}

// Merge returns what two verdicts on the same declaration say together: bad if
// either says so, else the higher level and the routes of both. The result may
// be one of the arguments, which must not be changed.
func Merge(a, b *zinniaquayv1.Verdict) *zinniaquayv1.Verdict {
	switch {
	case a == nil || (a.GetCleared() && !b.GetCleared()):
		return b
	case b == nil || !a.GetCleared():
		return a
	case covers(a, b):
		return a
	case covers(b, a):
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

// covers reports whether a says all that b says.
func covers(a, b *zinniaquayv1.Verdict) bool {
	if a.GetLevel() < b.GetLevel() {
		return false
	}
	for _, route := range b.GetRoutes() {
		if !follows(a, route) {
			return false
		}
	}
	return true
}
