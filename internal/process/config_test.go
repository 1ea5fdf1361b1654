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
	anyPort  = "127.0.0.1:0"
	nowhere  = "127.0.0.1:1"
	token    = "0123456789abcdef"
	patience = 15 * time.Second
)

// fleetTest is a few whole processes on loopback.
type fleetTest struct {
	t      *testing.T
	dir    string
	router *Router
	sides  []*Sidecar
	stop   context.CancelFunc
	duties sync.WaitGroup
}

// startFleet starts a router and three sidecars, the last of them without the
// platform.
func startFleet(t *testing.T) *fleetTest {
	is := is.New(t)
	memory := platform.NewMemory()
	mux := http.NewServeMux()
	mux.Handle(platformserver.New(memory).Handler())
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	_, err := configstore.NewEditor(memory, configstore.NewStore()).Patch(t.Context(), 0, []byte(`{"zones":{"z":{}}}`))
	is.NoErr(err)
	f := &fleetTest{t: t, dir: t.TempDir()}
	is.NoErr(os.WriteFile(filepath.Join(f.dir, "token"), []byte(token), 0o600))
	addr := strings.TrimPrefix(server.URL, "http://")
	f.router, err = NewRouter(&zinniaquayv1.RouterSettings{
		Process: f.process("router", addr), CallerAddr: anyPort, OperatorAddr: anyPort, OperatorTokenFile: filepath.Join(f.dir, "token"),
		ReadTimeout: durationpb.New(patience), DrainTimeout: durationpb.New(patience),
	}, logr.Discard())
	is.NoErr(err)
	for i, platformAddr := range []string{addr, addr, nowhere} {
		s, err := NewSidecar(&zinniaquayv1.SidecarSettings{
			Process: f.process(fmt.Sprint("sidecar-", i), platformAddr), Target: "t", TargetUrl: "http://" + nowhere,
			BufferBytes: 1 << 20, DrainTimeout: durationpb.New(patience),
		}, logr.Discard())
		is.NoErr(err)
		f.sides = append(f.sides, s)
	}
	var ctx context.Context
	ctx, f.stop = context.WithCancel(t.Context())
	f.duties.Go(func() { _ = f.router.Run(ctx) })
	for _, s := range f.sides {
		f.duties.Go(func() { _ = s.Run(ctx) })
	}
	return f
}

func (f *fleetTest) process(name, platformAddr string) *zinniaquayv1.ProcessSettings {
	s := &zinniaquayv1.ProcessSettings{
		Name: name, PeerAddr: anyPort, Zone: "z", FleetTokenFile: filepath.Join(f.dir, "token"), PlatformAddr: platformAddr,
	}
	if f.router != nil {
		s.SeedAddrs = []string{f.router.PeerAddr()}
	}
	return s
}

// eventually waits for a state that has no deadline of its own.
func (f *fleetTest) eventually(what string, reached func() bool) {
	f.t.Helper()
	for begun := time.Now(); !reached(); time.Sleep(10 * time.Millisecond) {
		if time.Since(begun) > patience {
			f.t.Fatal("never reached: ", what)
		}
	}
}

func (f *fleetTest) inForce(number uint64) bool {
	for _, s := range f.sides {
		if s.store.Number() < number {
			return false
		}
	}
	return f.router.store.Number() >= number
}

func TestAPatchReachesEveryProcess(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	f.eventually("the first configuration everywhere", func() bool { return f.inForce(1) })
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
	f.eventually("the patch everywhere", func() bool { return f.inForce(2) })
	is.Equal(f.sides[2].status().GetPlatformAgeMs(), int64(unknownAge)) // it got it from peers

	// A message with a number that cannot be fetched is not acted on.
	pool := rpc.NewPool(&rpc.Node{Token: token, Addr: nowhere, Clock: &clock.Clock{}, ConfigurationNumber: func() uint64 { return 9 }})
	defer pool.Close()
	_, err = pool.Get(f.sides[0].PeerAddr()).Sidecar.Reserve(t.Context(), &zinniaquayv1.ReserveRequest{})
	is.Equal(connect.CodeOf(err), connect.CodeUnavailable)

	f.eventually("all members known", func() bool { return len(f.sides[0].members.Live(zinniaquayv1.Member_sidecar)) == 3 })
	f.stop()
	f.duties.Wait()
	is.Equal(f.router.members.Self().GetState(), zinniaquayv1.Member_gone)
}
