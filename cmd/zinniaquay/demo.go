package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/sourcegraph/conc"

	"github.com/spf13/cobra"

	"github.com/zinniaquay/zinniaquay/internal/demo"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
)

// newDemo returns the command that runs a whole fleet in one process.
func newDemo() *cobra.Command {
	var deployment, callerAddr, operatorAddr, logLevel string
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole fleet with stand-ins in one process on loopback",
		Long: "Runs a router, sidecars and stand-ins of the targets and the platform in one process,\n" +
			"prints commands to try, and serves until SIGINT or SIGTERM.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := telemetry.NewLogger(cmd.ErrOrStderr(), logLevel, "demo")
			if err != nil {
				return usage(err)
			}
			ctx, stop := untilSignal(cmd)
			defer stop()
			if deployment == platformDemo {
				return runPlatformDemo(ctx, callerAddr, cmd.OutOrStdout(), log)
			}
			d, err := demo.Find(deployment)
			if err != nil {
				return usage(err)
			}
			fleet, err := demo.Start(ctx, demo.Options{Deployment: d, CallerAddr: callerAddr, OperatorAddr: operatorAddr, Log: log})
			if err != nil {
				return fmt.Errorf("start demo: %w", err)
			}
			if err := runDemo(ctx, fleet, cmd.OutOrStdout()); err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), "drained")
			return err
		},
	}
	cmd.Flags().StringVar(&deployment, "deployment", "zilina", "deployment to play: "+strings.Join(append(demo.Names(), platformDemo), " or "))
	cmd.Flags().StringVar(&callerAddr, "caller-addr", "127.0.0.1:8080", "address (IP:port) for callers")
	cmd.Flags().StringVar(&operatorAddr, "operator-addr", "127.0.0.1:8081", "address (IP:port) for operators")
	cmd.Flags().StringVar(&logLevel, "log-level", "error", "level of logs: debug, info or error")
	complete(cmd, "deployment", append(demo.Names(), platformDemo)...)
	complete(cmd, "log-level", "debug", "info", "error")
	return cmd
}

// runDemo runs a fleet and tells how to call it once it can be called.
func runDemo(ctx context.Context, fleet *demo.Fleet, out io.Writer) error {
	var helped error
	var group conc.WaitGroup
	group.Go(func() {
		if fleet.Wait(ctx) == nil {
			helped = fleet.WriteHelp(out)
		}
	})
	err := fleet.Run(ctx)
	group.Wait()
	return errors.Join(err, helped)
}

// complete offers values of a flag to the shell's completion.
func complete(cmd *cobra.Command, flag string, values ...string) {
	if err := cmd.RegisterFlagCompletionFunc(flag, cobra.FixedCompletions(values, cobra.ShellCompDirectiveNoFileComp)); err != nil {
		panic(err) // the flag was added before
	}
}
