package process

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/clock"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
	"github.com/zinniaquay/zinniaquay/internal/standin/platformserver"
)

const (
	anyPortAddr     = "127.0.0.1:0"
	unreachableAddr = "127.0.0.1:1"
	token           = "0123456789abcdef"
	waitTimeout     = 15 * time.Second
)

// testFleet runs several complete processes on the loopback interface.
type testFleet struct {
	t        *testing.T
	dir      string
	router   *Router
	sidecars []*Sidecar
	stop     context.CancelFunc
	wg       sync.WaitGroup
}

// startFleet starts a router and three sidecars. The last sidecar can't reach the
// platform.
func startFleet(t *testing.T) *testFleet {
	is := is.New(t)
	memory := platform.NewMemory()
	mux := http.NewServeMux()
	mux.Handle(platformserver.New(memory).Handler())
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	_, err := configstore.NewEditor(memory, configstore.NewStore()).Patch(t.Context(), 0, []byte(`{"zones":{"z":{}}}`))
	is.NoErr(err)
	f := &testFleet{t: t, dir: t.TempDir()}
	is.NoErr(os.WriteFile(filepath.Join(f.dir, "token"), []byte(token), 0o600))
	addr := strings.TrimPrefix(server.URL, "http://")
	f.router, err = NewRouter(&zinniaquayv1.RouterSettings{
		Process: f.process("router", addr), CallerAddr: anyPortAddr, OperatorAddr: anyPortAddr, OperatorTokenFile: filepath.Join(f.dir, "token"),
		ReadTimeout: durationpb.New(waitTimeout), DrainTimeout: durationpb.New(waitTimeout),
	}, logr.Discard())
	is.NoErr(err)
	for i, platformAddr := range []string{addr, addr, unreachableAddr} {
		s, err := NewSidecar(&zinniaquayv1.SidecarSettings{
			Process: f.process(fmt.Sprint("sidecar-", i), platformAddr), Target: "t", TargetUrl: "http://" + unreachableAddr,
			BufferBytes: 1 << 20, DrainTimeout: durationpb.New(waitTimeout),
		}, logr.Discard())
		is.NoErr(err)
		f.sidecars = append(f.sidecars, s)
	}
	var ctx context.Context
	ctx, f.stop = context.WithCancel(t.Context())
	f.wg.Go(func() { _ = f.router.Run(ctx) })
	for _, s := range f.sidecars {
		f.wg.Go(func() { _ = s.Run(ctx) })
	}
	return f
}

func (f *testFleet) process(name, platformAddr string) *zinniaquayv1.ProcessSettings {
	s := &zinniaquayv1.ProcessSettings{
		Name: name, PeerAddr: anyPortAddr, Zone: "z", FleetTokenFile: filepath.Join(f.dir, "token"), PlatformAddr: platformAddr,
	}
	if f.router != nil {
		s.SeedAddrs = []string{f.router.PeerAddr()}
	}
	return s
}

// eventually waits up to waitTimeout for a condition that has no specified
// deadline.
func (f *testFleet) eventually(what string, reached func() bool) {
	f.t.Helper()
	for begun := time.Now(); !reached(); time.Sleep(10 * time.Millisecond) {
		if time.Since(begun) > waitTimeout {
			f.t.Fatal("timed out waiting for: ", what)
		}
	}
}

func (f *testFleet) configInForce(number uint64) bool {
	for _, s := range f.sidecars {
		if s.store.Number() < number {
			return false
		}
	}
	return f.router.store.Number() >= number
}

func TestPatchReachesEveryProcess(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	f.eventually("the first configuration in every process", func() bool { return f.configInForce(1) })
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPatch, "http://"+f.router.OperatorAddr()+"/v1/config",
		strings.NewReader(`{"zones":{"z":{"state":"out"}}}`))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("If-Match", `"1"`)
	req.Header.Set("Content-Type", "application/merge-patch+json")
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.Equal(res.StatusCode, http.StatusOK)
	f.eventually("the patch in every process", func() bool { return f.configInForce(2) })
	is.Equal(f.sidecars[2].status().GetPlatformAgeMs(), int64(unknownAgeMs)) // received from peers

	// A request is rejected if it has the number of a configuration that can't be
	// fetched.
	pool := rpc.NewPool(&rpc.Node{Token: token, Addr: unreachableAddr, Clock: &clock.Clock{}, ConfigurationNumber: func() uint64 { return 9 }})
	defer pool.Close()
	_, err = pool.Get(f.sidecars[0].PeerAddr()).Sidecar.Reserve(t.Context(), &zinniaquayv1.ReserveRequest{})
	is.Equal(connect.CodeOf(err), connect.CodeUnavailable)

	f.eventually("a complete member list", func() bool { return len(f.sidecars[0].members.Live(zinniaquayv1.Member_sidecar)) == 3 })
	f.stop()
	f.wg.Wait()
	is.Equal(f.router.members.Self().GetState(), zinniaquayv1.Member_gone)
}
