package move

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minSubsetSize is the minimum number of targets that take a small share, so
// that a fault of one host can be distinguished from a fault of the version.
const minSubsetSize = 2

// Subset returns the targets of the new version that take its share: as many as
// the share needs, so that they run under the load that they will have later
// and show how they behave under it. All processes choose the same subset of
// the same targets; a full share takes all.
func Subset(d Declaration, targets []string, share float64) []string {
	return firstRanked(d, targets, max(minSubsetSize, int(math.Ceil(share*float64(len(targets))))))
}

// firstRanked returns the first n targets by rendezvous hashing on the move.
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
