package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/spf13/cobra"

	"github.com/zinniaquay/zinniaquay/internal/gateway"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
	"github.com/zinniaquay/zinniaquay/platform"
)

// newGateway returns the command that runs a gateway on the users' platform.
func newGateway() *cobra.Command {
	var path, level string
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Run a router on the users' platform, straight before its targets",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				path = os.Getenv(platform.SettingsVariable)
			}
			if path == "" {
				return usage(fmt.Errorf("no settings file: give --settings or set %s", platform.SettingsVariable))
			}
			s, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			registry := metrics.NewRegistry()
			out := telemetry.NewBounded(cmd.OutOrStdout(), registry)
			defer out.Close()
			log, err := telemetry.NewLogger(out, level, s.Name)
			if err != nil {
				return usage(err)
			}
			store := platform.NewStore(s.StoreAddr)
			p := gateway.NewProcess(s, store, platform.Documents{}, platform.Headers{}, registry, log)
			p.UseDuties(gateway.Duties{Leases: store, Calls: platform.NewDutyClient(s.Duties.Addr), Codec: platform.Documents{}})
			stopNotify := logReloads(path, s, settingsPoll, log)
			defer stopNotify()
			ctx, stop := untilSignal(cmd)
			defer stop()
			return p.Run(ctx)
		},
	}
	cmd.Flags().StringVarP(&path, "settings", "s", "", "the platform's settings file; by default the one that "+
		platform.SettingsVariable+" names")
	cmd.Flags().StringVar(&level, "log-level", "info", "debug, info or error")
	return cmd
}

// settingsPoll is the pause between two looks at the settings file, which may change
// without a signal; nobody waits for the line.
const settingsPoll = 5 * time.Second

// logReloads reads the settings file again at each SIGHUP, and when it has changed
// without one, and tells so. A process keeps the settings of its start: they are its
// addresses, its size and the rules that its decisions were made under.
func logReloads(path string, inForce gateway.Settings, poll time.Duration, log logr.Logger) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	done := make(chan struct{})
	look := time.NewTicker(poll)
	go func() {
		defer look.Stop()
		modified := modifiedAt(path)
		for {
			cause := "SIGHUP"
			select {
			case <-hangups:
			case <-look.C:
				if modifiedAt(path).Equal(modified) {
					continue
				}
				cause = "the file has changed"
			case <-done:
				return
			}
			modified = modifiedAt(path)
			logReload(path, inForce, cause, log)
		}
	}()
	return func() {
		signal.Stop(hangups)
		close(done)
	}
}

// modifiedAt returns when a file was last written; the zero time if that can't be
// told, as while it is being replaced.
func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func logReload(path string, inForce gateway.Settings, cause string, log logr.Logger) {
	read, err := platform.LoadSettings(path)
	if err != nil {
		log.Error(err, "settings can't be read; those of the start stay in force", "because", cause)
		return
	}
	log.Info("settings read again", "changed", read != inForce, "in_force", "those of the start", "because", cause)
}
