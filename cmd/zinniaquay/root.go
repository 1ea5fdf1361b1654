package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes of the command.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// usageError is an error in how the command was called.
type usageError struct{ err error }

// Error implements error.
func (u *usageError) Error() string { return u.err.Error() }

// Unwrap returns the cause.
func (u *usageError) Unwrap() error { return u.err }

// usage marks an error as one in how the command was called.
func usage(err error) error { return &usageError{err} }

// run executes the command line and returns the process's exit code.
func run(args []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return exitOK
	}
	// Nothing is left to do if the terminal is gone.
	_, _ = fmt.Fprintln(stderr, "zinniaquay:", err)
	var wrong *usageError
	if errors.As(err, &wrong) {
		_, _ = fmt.Fprintln(stderr, "see zinniaquay --help")
		return exitUsage
	}
	return exitError
}

// newRoot returns the root command with all its subcommands.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "zinniaquay",
		Short:         "Router fleet for client accounts who share capacity fairly",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.AddCommand(newRouter(), newGateway(), newSidecar(), newStatus(), newReport(), newTimeline(), newConfig(), newCheck(),
		newDemo(), newStandin(), newVersion())
	markUsage(root)
	return root
}

// markUsage makes wrong flags and arguments of a command and its subcommands
// usage errors.
func markUsage(cmd *cobra.Command) {
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usage(err) })
	if check := cmd.Args; check != nil {
		cmd.Args = func(cmd *cobra.Command, args []string) error {
			if err := check(cmd, args); err != nil {
				return usage(err)
			}
			return nil
		}
	}
	for _, sub := range cmd.Commands() {
		markUsage(sub)
	}
}
