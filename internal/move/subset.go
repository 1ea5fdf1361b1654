package move

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// leastSubset is the least number of targets that share a small share, so that
// trouble at one host can be told from a fault of the version.
const leastSubset = 2

// Subset returns the targets of the new version that take its share: as many as
// the share needs, so that they run under the load that they are to bear later
// and show what they do under it. All processes choose the same ones among the
// same targets; a full share takes all.
func Subset(d Declaration, targets []string, share float64) []string {
	return firstRanked(d, targets, max(leastSubset, int(math.Ceil(share*float64(len(targets))))))
}

// firstRanked returns the first n targets in an order of the move's own.
func firstRanked(d Declaration, targets []string, n int) []string {
	ordered := slices.Clone(targets)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(subsetRank(d, a), subsetRank(d, b)), cmp.Compare(a, b))
	})
	return ordered[:min(n, len(ordered))]
}

func subsetRank(d Declaration, target string) uint64 {
	return xxhash.Sum64String(d.Name + "\x00" + d.To + "\x00" + target)
}
