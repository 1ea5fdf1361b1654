package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/zinniaquay/zinniaquay/internal/process"
	"github.com/zinniaquay/zinniaquay/internal/settings"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
)

// untilSignal returns a context that ends with SIGINT or SIGTERM.
func untilSignal(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
}

// newRouter returns the command that runs a router.
func newRouter() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "router",
		Short: "Run a router on an entry host",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.LoadRouter(path)
			if err != nil {
				return err
			}
			log, err := telemetry.NewLogger(cmd.ErrOrStderr(), s.GetProcess().GetLogLevel(), s.GetProcess().GetName())
			if err != nil {
				return err
			}
			p, err := process.NewRouter(s, log)
			if err != nil {
				return fmt.Errorf("start router: %w", err)
			}
			ctx, stop := untilSignal(cmd)
			defer stop()
			return p.Run(ctx)
		},
	}
	addSettingsFlag(cmd, &path)
	return cmd
}

// newSidecar returns the command that runs a sidecar.
func newSidecar() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "sidecar",
		Short: "Run a sidecar beside a target",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.LoadSidecar(path)
			if err != nil {
				return err
			}
			log, err := telemetry.NewLogger(cmd.ErrOrStderr(), s.GetProcess().GetLogLevel(), s.GetProcess().GetName())
			if err != nil {
				return err
			}
			p, err := process.NewSidecar(s, log)
			if err != nil {
				return fmt.Errorf("start sidecar: %w", err)
			}
			ctx, stop := untilSignal(cmd)
			defer stop()
			return p.Run(ctx)
		},
	}
	addSettingsFlag(cmd, &path)
	return cmd
}

// addSettingsFlag adds the flag that names the settings file.
func addSettingsFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVarP(path, "settings", "s", "", "YAML file with the settings of the process")
	if err := cmd.MarkFlagRequired("settings"); err != nil {
		panic(err) // the flag was added one line above
	}
}
