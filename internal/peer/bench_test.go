package peer

import (
	"context"
	"fmt"
	"testing"

	"github.com/go-logr/logr"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/membership"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

// BenchmarkSecondOfControl measures what a process of a large fleet computes in
// a second without news: one comparison sent, one answered, and the choice of
// watchers. The wire's own cost is not in it.
func BenchmarkSecondOfControl(b *testing.B) {
	for _, processes := range []int{18, 970} {
		b.Run(fmt.Sprint(processes), func(b *testing.B) {
			one, other := quietNode(processes, 0), quietNode(processes, 1)
			b.ReportAllocs()
			for b.Loop() {
				one.watches()
				one.askOne(context.Background(), 0)
				if _, err := one.Exchange(context.Background(), other.request()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// quietNode returns a node that knows all members and whose peers have no news.
func quietNode(processes, self int) *Node {
	var all []*zinniaquayv1.Member
	for i := range processes {
		name := fmt.Sprintf("process-%03d", i)
		all = append(all, &zinniaquayv1.Member{
			Name: name, Addr: name, Zone: fmt.Sprint("z", i%8), Role: zinniaquayv1.Member_router, Incarnation: uint64(i) + 1e18,
		})
	}
	list := membership.NewList(all[self])
	list.Merge(all)
	return New(Config{
		Members: list, Store: configstore.NewStore(), Platform: platform.NewMemory(), Caller: quietCaller{list.Digest()}, Log: logr.Discard(),
	})
}

type quietCaller struct{ digest uint64 }

func (q quietCaller) Exchange(context.Context, string, *zinniaquayv1.ExchangeRequest) (*zinniaquayv1.ExchangeResponse, error) {
	return &zinniaquayv1.ExchangeResponse{MembersDigest: q.digest}, nil
}

func (quietCaller) FetchConfiguration(context.Context, string, *zinniaquayv1.FetchConfigurationRequest) (*zinniaquayv1.FetchConfigurationResponse, error) {
	return &zinniaquayv1.FetchConfigurationResponse{}, nil
}
