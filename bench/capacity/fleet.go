package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

const (
	// accountKey is the key of every caller.
	accountKey = "capacity-key"
	// startTimeout bounds how long a fleet takes to be ready.
	startTimeout = 60 * time.Second
	// stopTimeout bounds how long a process takes to end.
	stopTimeout = 20 * time.Second
	// fleetZones is the number of availability zones.
	fleetZones = 4
	// engineRoom is how many requests a target runs.
	engineRoom = 2048
)

// fleet is a platform, one target that all sidecars share, some routers and
// sidecars, each a process of its own.
type fleet struct {
	dir      string
	binary   string
	platform string
	engine   string
	callers  string
	routers  []*proc
	sidecars []*proc
	others   []*proc
}

// proc is one process.
type proc struct {
	cmd *exec.Cmd
}

// size is how large a fleet is.
type size struct {
	routers, sidecars, accounts int
	// perToken is the target's time between tokens.
	perToken time.Duration
}

// startFleet builds the binary and starts a fleet.
func startFleet(ctx context.Context, sz size) (*fleet, error) {
	dir, err := os.MkdirTemp("", "zinniaquay-capacity-")
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	f := &fleet{dir: dir, binary: filepath.Join(dir, "zinniaquay")}
	if out, err := exec.CommandContext(ctx, "go", "build", "-o", f.binary, "./cmd/zinniaquay").CombinedOutput(); err != nil {
		f.stop()
		return nil, fmt.Errorf("build: %w: %s", err, out)
	}
	if err := f.start(ctx, sz); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

// start starts all processes and waits until the router takes requests.
func (f *fleet) start(ctx context.Context, sz size) error {
	ports, err := freePorts(3 + sz.routers + sz.sidecars)
	if err != nil {
		return err
	}
	f.platform, f.engine, f.callers = ports[0], ports[1], ports[2]
	routerAddrs, sidecarAddrs := ports[3:3+sz.routers], ports[3+sz.routers:]
	for _, name := range []string{"fleet.token", "operator.token"} {
		if err := os.WriteFile(filepath.Join(f.dir, name), []byte("a token of some length\n"), 0o600); err != nil {
			return fmt.Errorf("write token: %w", err)
		}
	}
	if err := f.writeConfiguration(sz.accounts, sidecarAddrs); err != nil {
		return err
	}
	platform := []string{"standin", "platform", "--addr", f.platform, "--configuration", "configuration.json"}
	for i, addr := range routerAddrs {
		platform = append(platform, "--router", fmt.Sprintf("router-%04d,%s,zone-%d", i, addr, i%fleetZones))
	}
	if err := f.run(&f.others, platform...); err != nil {
		return err
	}
	if err := f.run(&f.others, "standin", "target", "--addr", f.engine, "--per-token", sz.perToken.String(),
		"--first-token", "0s", "--slowdown", "0", "--cold-running", "0"); err != nil {
		return err
	}
	for i, addr := range sidecarAddrs {
		if err := f.startSidecar(i, addr); err != nil {
			return err
		}
	}
	for i, addr := range routerAddrs {
		if err := f.startRouter(i, addr); err != nil {
			return err
		}
	}
	return f.waitReady(ctx)
}

// startSidecar starts the sidecar of a target.
func (f *fleet) startSidecar(i int, addr string) error {
	name := fmt.Sprintf("target-%04d", i)
	settings := f.processSettings("sidecar-"+name, addr, i%fleetZones) +
		"target: " + name + "\ntarget_url: http://" + f.engine + "\n"
	return f.runWith(&f.sidecars, "sidecar", name, settings)
}

// startRouter starts a router. Callers reach the first one.
func (f *fleet) startRouter(i int, peer string) error {
	callers := "127.0.0.1:0"
	if i == 0 {
		callers = f.callers
	}
	name := fmt.Sprintf("router-%04d", i)
	settings := f.processSettings(name, peer, i%fleetZones) +
		"caller_addr: " + callers + "\noperator_addr: 127.0.0.1:0\noperator_token_file: operator.token\n"
	return f.runWith(&f.routers, "router", name, settings)
}

// processSettings returns the settings that all processes have.
func (f *fleet) processSettings(name, addr string, zone int) string {
	return fmt.Sprintf("process:\n  name: %s\n  peer_addr: %s\n  zone: zone-%d\n  fleet_token_file: fleet.token\n  platform_addr: %s\n  log_level: error\n",
		name, addr, zone, f.platform)
}

// runWith starts a process with a settings file.
func (f *fleet) runWith(into *[]*proc, role, name, settings string) error {
	file := name + ".yaml"
	if err := os.WriteFile(filepath.Join(f.dir, file), []byte(settings), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return f.run(into, role, "--settings", file)
}

// run starts a process in the fleet's folder.
func (f *fleet) run(into *[]*proc, args ...string) error {
	cmd := exec.Command(f.binary, args...)
	cmd.Dir = f.dir
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", args[0], err)
	}
	*into = append(*into, &proc{cmd: cmd})
	return nil
}

// waitReady waits until the first router takes requests.
func (f *fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.callers+"/readyz", nil)
		if err != nil {
			return fmt.Errorf("ask whether the router is ready: %w", err)
		}
		if res, err := http.DefaultClient.Do(req); err == nil {
			_ = res.Body.Close() // nothing of it is wanted
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.New("the router was not ready in time")
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// stop ends all processes, routers first, and removes the folder.
func (f *fleet) stop() {
	for _, group := range [][]*proc{f.routers, f.sidecars, f.others} {
		for _, p := range group {
			// A process that has ended already needs no signal.
			_ = p.cmd.Process.Signal(syscall.SIGTERM)
		}
		for _, p := range group {
			p.stop()
		}
	}
	// A folder that stays behind does no harm.
	_ = os.RemoveAll(f.dir)
}

// stop ends a process, by force once stopTimeout is over.
func (p *proc) stop() {
	// A process that has ended already needs no signal.
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	timer := time.AfterFunc(stopTimeout, func() { _ = p.cmd.Process.Kill() })
	defer timer.Stop()
	// How it ended says nothing about what was measured before.
	_ = p.cmd.Wait()
}

// writeConfiguration writes the fleet's configuration.
func (f *fleet) writeConfiguration(accounts int, sidecarAddrs []string) error {
	doc := configuration(accounts, len(sidecarAddrs))
	digest := sha256.Sum256([]byte(accountKey))
	doc.Accounts["account-00000"].KeySha256 = []string{hex.EncodeToString(digest[:])}
	doc.Accounts["account-00000"].MaxWaiting = 100_000
	// Nothing serves this model, so that its requests wait.
	doc.Services["model-out"] = &zinniaquayv1.Service{Version: "v1"}
	doc.Zones = make(map[string]*zinniaquayv1.AvailabilityZone)
	for i := range fleetZones {
		doc.Zones[fmt.Sprintf("zone-%d", i)] = &zinniaquayv1.AvailabilityZone{Region: fmt.Sprintf("region-%d", i/2)}
	}
	doc.Zones["zone-out"] = &zinniaquayv1.AvailabilityZone{Region: "region-0", State: zinniaquayv1.AvailabilityZone_out}
	doc.Targets["target-out"] = &zinniaquayv1.Target{Service: "model-out", Version: "v1", Zone: "zone-out", SidecarAddr: "127.0.0.1:1"}
	for i, addr := range sidecarAddrs {
		t := doc.Targets[fmt.Sprintf("target-%04d", i)]
		t.SidecarAddr = addr
		t.Zone = fmt.Sprintf("zone-%d", i%fleetZones)
		t.ColdRunning, t.MaxRunning = engineRoom, engineRoom
	}
	doc.Number = 0
	text, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(doc)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	if err := os.WriteFile(filepath.Join(f.dir, "configuration.json"), text, 0o600); err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	return nil
}

// freePorts returns addresses on loopback that nothing listens at.
func freePorts(n int) ([]string, error) {
	addrs := make([]string, n)
	for i := range addrs {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a port: %w", err)
		}
		defer func() { _ = l.Close() }()
		addrs[i] = l.Addr().String()
	}
	return addrs, nil
}

// usage is what a process has used so far.
type usage struct {
	processor time.Duration
	bytes     float64
	resident  float64
}

// usage reads what a process has used: processor time, bytes read and written,
// and resident memory in bytes.
func (p *proc) usage() (usage, error) {
	pid := p.cmd.Process.Pid
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, fmt.Errorf("read usage: %w", err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	// Fields 14, 15 and 24 of proc(5), counted from the one after the name.
	const ticksPerSecond = 100
	u.processor = time.Duration(atof(fields[11])+atof(fields[12])) * time.Second / ticksPerSecond
	u.resident = atof(fields[21]) * float64(os.Getpagesize())
	io, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return u, fmt.Errorf("read usage: %w", err)
	}
	for line := range strings.Lines(string(io)) {
		if name, value, _ := strings.Cut(strings.TrimSpace(line), ": "); name == "rchar" || name == "wchar" {
			u.bytes += atof(value)
		}
	}
	return u, nil
}

// atof reads a number that the kernel wrote.
func atof(s string) float64 {
	var v float64
	// The kernel writes numbers; anything else reads as 0 and shows in the fit.
	_, _ = fmt.Sscan(s, &v)
	return v
}
