package main

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"
)

// version of this build; releases set it by the linker.
var version = "dev"

// newVersion returns the command that prints the version.
func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "zinniaquay %s %s\n", version, runtime.Version())
			return err
		},
	}
}
