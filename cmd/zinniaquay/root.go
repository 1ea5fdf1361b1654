package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes of the command.
const (
	exitOK    = 0
	exitError = 1
)

// run executes the command line and returns the process's exit code.
func run(args []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.ExecuteContext(context.Background()); err != nil {
		// Nothing is left to do if the terminal is gone.
		_, _ = fmt.Fprintln(stderr, "zinniaquay:", err)
		return exitError
	}
	return exitOK
}

// newRoot returns the root command with all its subcommands.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "zinniaquay",
		Short:         "Router fleet for client accounts who share capacity fairly",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newRouter(), newSidecar(), newVersion())
	return root
}
