package demo

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/process"
	"github.com/zinniaquay/zinniaquay/internal/settings"
	"github.com/zinniaquay/zinniaquay/internal/standin/platformserver"
	"github.com/zinniaquay/zinniaquay/internal/standin/target"
)

const (
	// anyPort lets the system choose a port on loopback.
	anyPort = "127.0.0.1:0"
	// drainTimeout is the longest time that a demo's process drains.
	drainTimeout = 30 * time.Second
	// headerTimeout bounds the headers of calls to stand-ins.
	headerTimeout = 5 * time.Second
	// maxBodyBytes and bufferBytes are the defaults of the settings.
	maxBodyBytes = 4 << 20
	bufferBytes  = 64 << 20
)

// Options say what a demo runs.
type Options struct {
	// Deployment to play.
	Deployment Deployment
	// CallerAddr (IP:port) is where callers reach the router.
	CallerAddr string
	// OperatorAddr (IP:port) is where operators reach the router.
	OperatorAddr string
	// ReadTimeout is the longest time that a caller may take to send a request.
	// Default settings.DefaultReadTimeout.
	ReadTimeout time.Duration
	// Log takes the logs of all processes.
	Log logr.Logger
}

// Fleet is a running demo. Its parts speak over loopback just as separate
// processes do.
type Fleet struct {
	options  Options
	dir      string
	token    string
	memory   *platform.Memory
	platform string
	servers  []*http.Server
	standins conc.WaitGroup
	engines  []*target.Engine
	sidecars map[string]*process.Sidecar
	router   *process.Router
}

// Start opens all listeners and commits the deployment's configuration.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	if o.ReadTimeout == 0 {
		o.ReadTimeout = settings.DefaultReadTimeout
	}
	f := &Fleet{options: o, token: rand.Text(), memory: platform.NewMemory(), sidecars: make(map[string]*process.Sidecar)}
	if err := f.start(ctx); err != nil {
		f.stopStandins()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.writeSecrets(); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(platformserver.New(f.memory).Handler())
	addr, err := f.serve(mux)
	if err != nil {
		return err
	}
	f.platform = addr
	for _, t := range f.options.Deployment.Targets() {
		if err := f.startTarget(t); err != nil {
			return err
		}
	}
	return f.startRouter(ctx)
}

// writeSecrets puts the tokens where settings name files.
func (f *Fleet) writeSecrets() error {
	dir, err := os.MkdirTemp("", "zinniaquay-demo-")
	if err != nil {
		return fmt.Errorf("make folder for tokens: %w", err)
	}
	f.dir = dir
	for name, token := range map[string]string{"fleet": rand.Text(), "operator": f.token} {
		if err := os.WriteFile(f.secret(name), []byte(token), 0o600); err != nil {
			return fmt.Errorf("write token: %w", err)
		}
	}
	return nil
}

func (f *Fleet) secret(name string) string { return filepath.Join(f.dir, name) }

// serve serves a stand-in on loopback and returns its address.
func (f *Fleet) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", fmt.Errorf("listen for a stand-in: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	f.servers = append(f.servers, server)
	f.standins.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			f.options.Log.Error(err, "stand-in failed")
		}
	})
	return listener.Addr().String(), nil
}

// Times of a demo's targets, of the order of small models.
const (
	firstToken  = 40 * time.Millisecond
	perToken    = 15 * time.Millisecond
	perBooking  = 20 * time.Millisecond
	slowdown    = 0.05
	loadLag     = 200 * time.Millisecond
	loadTime    = 5 * time.Second
	fallOver    = 2 * time.Second
	resumeGrace = 2 * time.Second
)

// startTarget starts a stand-in and the sidecar beside it.
func (f *Fleet) startTarget(t Target) error {
	addr, err := f.serve(f.standin(t))
	if err != nil {
		return err
	}
	s, err := process.NewSidecar(&zinniaquayv1.SidecarSettings{
		Process: f.process("sidecar-"+t.Name, t.Zone), Target: t.Name, TargetUrl: "http://" + addr,
		BufferBytes: bufferBytes, DrainTimeout: durationpb.New(drainTimeout),
	}, f.options.Log.WithValues("process", "sidecar-"+t.Name))
	if err != nil {
		return fmt.Errorf("start sidecar: %w", err)
	}
	f.sidecars[t.Name] = s
	f.memory.SetHost(platform.Host{Name: "sidecar-" + t.Name, Addr: s.PeerAddr(), Zone: t.Zone, Role: "sidecar"})
	return nil
}

func (f *Fleet) standin(t Target) http.Handler {
	if t.Plain {
		return target.NewBooking(target.Options{Name: t.Name, PerToken: perBooking, LoadLag: loadLag})
	}
	engine := target.NewEngine(target.Options{
		Name: t.Name, Version: Version, FirstToken: firstToken, PerToken: perToken, Slowdown: slowdown,
		ColdRunning: coldRunning, WarmAfter: coldTime, CrashDuration: fallOver, LoadLag: loadLag, LoadTime: loadTime,
		ChecksFencing: true, ResumeGrace: resumeGrace,
	})
	f.engines = append(f.engines, engine)
	return engine
}

func (f *Fleet) process(name, zone string) *zinniaquayv1.ProcessSettings {
	return &zinniaquayv1.ProcessSettings{
		Name: name, PeerAddr: anyPort, Zone: zone, FleetTokenFile: f.secret("fleet"), PlatformAddr: f.platform, LogLevel: "info",
		SeedAddrs: f.seeds(),
	}
}

// seeds returns the addresses of a few processes that are there already.
func (f *Fleet) seeds() []string {
	const most = 3
	var addrs []string
	for _, name := range slices.Sorted(maps.Keys(f.sidecars)) {
		if len(addrs) < most {
			addrs = append(addrs, f.sidecars[name].PeerAddr())
		}
	}
	return addrs
}

func (f *Fleet) startRouter(ctx context.Context) error {
	if err := f.commit(ctx); err != nil {
		return err
	}
	r, err := process.NewRouter(&zinniaquayv1.RouterSettings{
		Process: f.process("router-1", f.options.Deployment.Zones[0]), CallerAddr: f.options.CallerAddr,
		OperatorAddr: f.options.OperatorAddr, OperatorTokenFile: f.secret("operator"), MaxBodyBytes: maxBodyBytes,
		ReadTimeout: durationpb.New(f.options.ReadTimeout), DrainTimeout: durationpb.New(drainTimeout),
	}, f.options.Log.WithValues("process", "router-1"))
	if err != nil {
		return fmt.Errorf("start router: %w", err)
	}
	f.router = r
	f.memory.SetHost(platform.Host{Name: "router-1", Addr: r.PeerAddr(), Zone: f.options.Deployment.Zones[0], Role: "router"})
	return nil
}

// commit puts the deployment's configuration into the platform, as an operator
// does.
func (f *Fleet) commit(ctx context.Context) error {
	doc := f.options.Deployment.Configuration(func(name string) string { return f.sidecars[name].PeerAddr() })
	patch, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(doc)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	if _, err := configstore.NewEditor(f.memory, configstore.NewStore()).Patch(ctx, 0, patch); err != nil {
		return fmt.Errorf("commit configuration: %w %v", err, configstore.FaultsOf(err))
	}
	return nil
}

// Token returns the operators' token.
func (f *Fleet) Token() string { return f.token }

// CallerAddr returns the address (IP:port) for callers.
func (f *Fleet) CallerAddr() string { return f.router.CallerAddr() }

// OperatorAddr returns the address (IP:port) for operators.
func (f *Fleet) OperatorAddr() string { return f.router.OperatorAddr() }

// Run serves until the context ends, then shuts down gracefully: the router
// first, so that the sidecars still answer what it holds.
func (f *Fleet) Run(ctx context.Context) error {
	defer f.stopStandins()
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	sidecars := pool.New().WithErrors()
	for _, s := range f.sidecars {
		sidecars.Go(func() error { return s.Run(running) })
	}
	err := f.router.Run(ctx)
	stop()
	return errors.Join(err, sidecars.Wait())
}

// Wait waits until every process has a configuration, or the context ends.
func (f *Fleet) Wait(ctx context.Context) error {
	started := []<-chan struct{}{f.router.Started()}
	for _, s := range f.sidecars {
		started = append(started, s.Started())
	}
	for _, one := range started {
		select {
		case <-one:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// stopStandins ends the stand-ins and removes the tokens.
func (f *Fleet) stopStandins() {
	for _, e := range f.engines {
		e.Close()
	}
	for _, s := range f.servers {
		// Nobody calls a stand-in any more.
		_ = s.Close()
	}
	f.standins.Wait()
	if f.dir != "" {
		// A folder that stays behind holds tokens that open nothing any more.
		_ = os.RemoveAll(f.dir)
	}
}

// SetFaults replaces the faults of all model engines. New requests have them.
func (f *Fleet) SetFaults(faults target.Faults) {
	for _, e := range f.engines {
		e.SetFaults(faults)
	}
}
