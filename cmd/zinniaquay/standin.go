package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"

	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/standin/platformserver"
	"github.com/zinniaquay/zinniaquay/internal/standin/target"
)

const (
	// standinHeaderTimeout bounds the headers of calls to a stand-in.
	standinHeaderTimeout = 5 * time.Second
	// standinCloseTimeout bounds the graceful shutdown of a stand-in.
	standinCloseTimeout = 5 * time.Second
)

// newStandin returns the command that runs stand-ins for trying the fleet out.
func newStandin() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in of a target or of the platform, to try the fleet out",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(newStandinPlatform(), newStandinTarget())
	return cmd
}

func newStandinPlatform() *cobra.Command {
	var addr, configuration string
	var routers []string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in of the platform's services in memory",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			memory := platform.NewMemory()
			if configuration != "" {
				if err := loadConfiguration(cmd.Context(), memory, configuration); err != nil {
					return err
				}
			}
			if err := listRouters(memory, routers); err != nil {
				return usage(err)
			}
			mux := http.NewServeMux()
			mux.Handle(platformserver.New(memory).Handler())
			return serveStandin(cmd, addr, mux)
		},
	}
	cmd.Flags().StringVar(&addr, "addr", "127.0.0.1:2379", "address (IP:port) to listen at")
	cmd.Flags().StringVar(&configuration, "configuration", "", "JSON file with the configuration to begin with; its sidecars are listed as hosts")
	cmd.Flags().StringArrayVar(&routers, "router", nil, "router to list as a host, as NAME,ADDR,ZONE; may be repeated")
	return cmd
}

// loadConfiguration commits a configuration and lists its sidecars as hosts.
func loadConfiguration(ctx context.Context, memory *platform.Memory, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	store := configstore.NewStore()
	if _, err := configstore.NewEditor(memory, store).Patch(ctx, 0, text); err != nil {
		return fmt.Errorf("commit configuration: %w %v", err, configstore.FaultsOf(err))
	}
	for name, t := range store.Current().Doc.GetTargets() {
		memory.SetHost(platform.Host{Name: "sidecar-" + name, Addr: t.GetSidecarAddr(), Zone: t.GetZone(), Role: "sidecar"})
	}
	return nil
}

// listRouters lists routers as hosts.
func listRouters(memory *platform.Memory, routers []string) error {
	for _, router := range routers {
		parts := strings.Split(router, ",")
		if len(parts) != 3 {
			return fmt.Errorf("router %q is not NAME,ADDR,ZONE", router)
		}
		memory.SetHost(platform.Host{Name: parts[0], Addr: parts[1], Zone: parts[2], Role: "router"})
	}
	return nil
}

func newStandinTarget() *cobra.Command {
	var addr string
	var plain bool
	o := target.Options{LoadLag: 200 * time.Millisecond, LoadTime: 5 * time.Second, CrashDuration: 2 * time.Second, ResumeGrace: 2 * time.Second}
	cmd := &cobra.Command{
		Use:   "target",
		Short: "Run a stand-in of a model engine or, with --plain, of a booking service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if plain {
				return serveStandin(cmd, addr, target.NewBooking(o))
			}
			engine := target.NewEngine(o)
			defer engine.Close()
			return serveStandin(cmd, addr, engine)
		},
	}
	cmd.Flags().StringVar(&addr, "addr", "127.0.0.1:9000", "address (IP:port) to listen at")
	cmd.Flags().BoolVar(&plain, "plain", false, "run a booking service in place of a model engine")
	cmd.Flags().StringVar(&o.Name, "name", "target", "name that begins the instance ID")
	cmd.Flags().StringVar(&o.Version, "version", "v1", "version that the engine serves")
	cmd.Flags().DurationVar(&o.FirstToken, "first-token", 40*time.Millisecond, "time to the first token")
	cmd.Flags().DurationVar(&o.PerToken, "per-token", 15*time.Millisecond, "time between tokens, or of a booking")
	cmd.Flags().Float64Var(&o.Slowdown, "slowdown", 0.05, "share of the time between tokens that each further request adds")
	cmd.Flags().IntVar(&o.ColdRunning, "cold-running", 2, "requests that a cold engine bears; 0 for never cold")
	cmd.Flags().DurationVar(&o.WarmAfter, "warm-after", 3*time.Second, "time that a cold start takes")
	cmd.Flags().BoolVar(&o.ChecksFencing, "checks-fencing", true, "refuse an order with an old fencing number")
	return cmd
}

// serveStandin serves a handler until a signal comes.
func serveStandin(cmd *cobra.Command, addr string, h http.Handler) error {
	ctx, stop := untilSignal(cmd)
	defer stop()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: standinHeaderTimeout}
	failed := make(chan error, 1)
	var duties conc.WaitGroup
	duties.Go(func() { failed <- server.Serve(listener) })
	select {
	case err = <-failed:
	case <-ctx.Done():
		closing, cancel := context.WithTimeout(context.Background(), standinCloseTimeout)
		defer cancel()
		err = server.Shutdown(closing)
	}
	duties.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
