package rpc

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/zinniaquay/zinniaquay/internal/clock"
)

func TestPoolEvictsUnusedPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := NewPool(&Node{Clock: &clock.Clock{}, ConfigurationNumber: func() uint64 { return 0 }})
		const replaced = 100
		for i := range replaced {
			p.Get(fmt.Sprintf("10.0.0.%d:9000", i))
			p.Get("10.1.0.1:9000") // in use throughout
			time.Sleep(time.Minute)
		}
		is.True(len(p.peers) <= int(peerTTL/time.Minute)+2)
		kept := p.peers["10.1.0.1:9000"]
		is.Equal(p.Get("10.1.0.1:9000"), kept) // a peer in use keeps its connections
	})
}
