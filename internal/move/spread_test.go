package move

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// spreadOver distributes requests of one route over routers and returns how many
// go to the new version.
func spreadOver(routers, requests int, share float64, pick func(i int) int) int {
	names := make([]string, routers)
	spreaders := make([]*Spreader, routers)
	for i := range names {
		names[i] = fmt.Sprintf("router-%d", i)
		spreaders[i] = NewSpreader(names[i])
	}
	chosen := 0
	for i := range requests {
		if spreaders[pick(i)].Next("rare", share, func() []string { return names }) {
			chosen++
		}
	}
	return chosen
}

func TestSmallShareIsExceededByAtMostTheHeadStarts(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct {
		name              string
		routers, requests int
		pick              func(i int) int
	}{
		{"one request per router", 370, 370, func(i int) int { return i }},
		{"evenly", 370, 7400, func(i int) int { return i % 370 }},
		{"at random", 370, 2000, func(int) int { return rng.IntN(370) }},
		{"all at one router", 370, 2000, func(int) int { return 0 }},
		{"few routers", 3, 2000, func(i int) int { return i % 3 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			const share = 0.05
			chosen := spreadOver(c.routers, c.requests, share, c.pick)
			t.Logf("%d of %d", chosen, c.requests)
			is.True(float64(chosen) <= share*float64(c.requests)+HeadStarts)
		})
	}
}

func TestRareRouteGathersEvidenceAtHundredsOfRouters(t *testing.T) {
	is := is.New(t)
	chosen := spreadOver(370, 370, 0.05, func(i int) int { return i })
	is.Equal(chosen, HeadStarts) // zero without head starts
}

func TestFullAndZeroSharesAreExact(t *testing.T) {
	is := is.New(t)
	is.Equal(spreadOver(5, 1000, 1, func(i int) int { return i % 5 }), 1000)
	is.Equal(spreadOver(5, 1000, 0, func(i int) int { return i % 5 }), 0)
}
