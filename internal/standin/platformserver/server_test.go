package platformserver

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1/zinniaquayv1connect"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

func TestRemoteGivesWhatTheStandInGives(t *testing.T) {
	is := is.New(t)
	memory := platform.NewMemory()
	memory.SetHost(platform.Host{Name: "r1", Addr: "127.0.0.1:1", Zone: "a", Role: "router", Leaving: true})
	mux := http.NewServeMux()
	mux.Handle(New(memory).Handler())
	server := httptest.NewServer(mux)
	defer server.Close()
	remote := platform.NewRemote(server.Client(), server.URL)
	ctx := t.Context()

	swapped, revision, err := remote.CompareAndSwap(ctx, "k", 0, []byte("v"))
	is.NoErr(err)
	is.True(swapped)
	entry, err := remote.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(entry, platform.Entry{Value: []byte("v"), Revision: revision})
	entry, err = remote.Watch(ctx, "k", 0, time.Second)
	is.NoErr(err)
	is.Equal(entry.Revision, revision)
	_, _, err = remote.CompareAndSwap(ctx, "k", revision, make([]byte, platform.MaxValueBytes+1))
	is.True(errors.Is(err, platform.ErrTooLarge))
	lease, err := remote.Acquire(ctx, "l", "me", time.Minute)
	is.NoErr(err)
	is.True(lease.Held && lease.FencingNumber == 1 && lease.Remaining == time.Minute)
	hosts, err := remote.Hosts(ctx)
	is.NoErr(err)
	is.Equal(hosts, []platform.Host{{Name: "r1", Addr: "127.0.0.1:1", Zone: "a", Role: "router", Leaving: true}})
	wait, err := remote.TakeLoadPermit(ctx, "v1")
	is.NoErr(err)
	is.Equal(wait, time.Duration(0))

	faults := zinniaquayv1connect.NewPlatformServiceClient(server.Client(), server.URL)
	counted, err := faults.SetFaults(ctx, &zinniaquayv1.SetFaultsRequest{Down: true})
	is.NoErr(err)
	is.Equal(counted.GetReads(), uint64(3))
	_, err = remote.Get(ctx, "k")
	is.True(errors.Is(err, platform.ErrUnavailable))
	_, err = faults.SetFaults(ctx, &zinniaquayv1.SetFaultsRequest{})
	is.NoErr(err)
	deleted, err := remote.Delete(ctx, "k", revision)
	is.NoErr(err)
	is.True(deleted)
}
