package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/settings"
	"github.com/zinniaquay/zinniaquay/platform"
)

// newCheck returns the command that checks files without running anything.
func newCheck() *cobra.Command {
	var routers, sidecars, configurations, gateways, operator []string
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check settings and a configuration without running a process",
		Long: "Checks settings files and the secrets that they name, and configurations in JSON,\n" +
			"those of the users' platform too.\n" +
			"Every fault is printed with its file and line, or with its file and field.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(routers)+len(sidecars)+len(configurations)+len(gateways)+len(operator) == 0 {
				return usage(errors.New("nothing to check: give --router, --sidecar, --configuration, --gateway or --operator-configuration"))
			}
			var faults []error
			for _, path := range routers {
				faults = append(faults, checkRouter(path))
			}
			for _, path := range sidecars {
				faults = append(faults, checkSidecar(path))
			}
			for _, path := range configurations {
				faults = append(faults, checkConfiguration(path))
			}
			for _, path := range gateways {
				_, err := platform.LoadSettings(path)
				faults = append(faults, err)
			}
			for _, path := range operator {
				faults = append(faults, checkOperator(path))
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
	cmd.Flags().StringArrayVar(&configurations, "configuration", nil, "file with a configuration in JSON; may be repeated")
	cmd.Flags().StringArrayVar(&gateways, "gateway", nil, "settings file of the users' platform; may be repeated")
	cmd.Flags().StringArrayVar(&operator, "operator-configuration", nil, "file with a configuration as the users' operator writes it; may be repeated")
	return cmd
}

// checkOperator reports every fault of a configuration of the users' operator.
func checkOperator(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := platform.CheckConfiguration(data); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// checkConfiguration reports every fault of a configuration, as a patch of the
// same content would be refused with.
func checkConfiguration(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	_, found, err := configstore.FromJSON(data)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	var faults []error
	for _, f := range found {
		faults = append(faults, fmt.Errorf("%s: %s: %s", path, f.Field, f.Message))
	}
	return errors.Join(faults...)
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
