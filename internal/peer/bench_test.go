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

// BenchmarkIdleNodeSecond measures the work of one node in a second without
// updates: one comparison sent, one handled, and the selection of watchers. It
// excludes the cost of the network.
func BenchmarkIdleNodeSecond(b *testing.B) {
	for _, processes := range []int{18, 970} {
		b.Run(fmt.Sprint(processes), func(b *testing.B) {
			node, other := newIdleNode(processes, 0), newIdleNode(processes, 1)
			b.ReportAllocs()
			for b.Loop() {
				node.shouldWatch()
				node.exchangeWithNeighbour(context.Background(), 0)
				if _, err := node.Exchange(context.Background(), other.newRequest()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// newIdleNode returns a node that has all members and whose peers have no updates.
func newIdleNode(processes, self int) *Node {
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
		Members: list, Store: configstore.NewStore(), Platform: platform.NewMemory(), Caller: idleCaller{list.Digest()}, Log: logr.Discard(),
	})
}

type idleCaller struct{ digest uint64 }

func (q idleCaller) Exchange(context.Context, string, *zinniaquayv1.ExchangeRequest) (*zinniaquayv1.ExchangeResponse, error) {
	return &zinniaquayv1.ExchangeResponse{MembersDigest: q.digest}, nil
}

func (idleCaller) FetchConfiguration(context.Context, string, *zinniaquayv1.FetchConfigurationRequest) (*zinniaquayv1.FetchConfigurationResponse, error) {
	return &zinniaquayv1.FetchConfigurationResponse{}, nil
}
