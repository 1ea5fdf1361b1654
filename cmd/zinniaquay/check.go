package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/zinniaquay/zinniaquay/internal/settings"
)

// newCheck returns the command that checks files without running anything.
func newCheck() *cobra.Command {
	var routers, sidecars []string
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check settings without running a process",
		Long:  "Checks settings files and the secrets that they name. Every fault is printed with its file and line.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(routers)+len(sidecars) == 0 {
				return usage(errors.New("nothing to check: give --router or --sidecar"))
			}
			var faults []error
			for _, path := range routers {
				faults = append(faults, checkRouter(path))
			}
			for _, path := range sidecars {
				faults = append(faults, checkSidecar(path))
			}
			if err := errors.Join(faults...); err != nil {
				return fmt.Errorf("faults found:\n%w", err)
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "no faults")
			return err
		},
	}
	cmd.Flags().StringArrayVar(&routers, "router", nil, "file with the settings of a router; may be repeated")
	cmd.Flags().StringArrayVar(&sidecars, "sidecar", nil, "file with the settings of a sidecar; may be repeated")
	return cmd
}

func checkRouter(path string) error {
	s, err := settings.LoadRouter(path)
	if err != nil {
		return err
	}
	return errors.Join(
		checkSecret(path, "process.fleet_token_file", s.GetProcess().GetFleetTokenFile()),
		checkSecret(path, "operator_token_file", s.GetOperatorTokenFile()))
}

func checkSidecar(path string) error {
	s, err := settings.LoadSidecar(path)
	if err != nil {
		return err
	}
	return checkSecret(path, "process.fleet_token_file", s.GetProcess().GetFleetTokenFile())
}

// checkSecret reports a secret's file that can't be used.
func checkSecret(path, field, file string) error {
	if _, err := settings.LoadSecret(file); err != nil {
		return fmt.Errorf("%s: %s: %w", path, field, err)
	}
	return nil
}
