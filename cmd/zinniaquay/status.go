package main

import (
	"github.com/spf13/cobra"

	"github.com/zinniaquay/zinniaquay/internal/operator"
	"github.com/zinniaquay/zinniaquay/internal/report"
)

// newStatus returns the command that shows the processes of the fleet.
func newStatus() *cobra.Command {
	c := &client{}
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the processes of the fleet and the age of what they say",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s operator.Status
			if err := c.get(cmd.Context(), "/v1/status", &s); err != nil {
				return err
			}
			r := report.Report{Processes: s.Processes}
			return c.write(cmd.OutOrStdout(), s, r.WriteStatus)
		},
	}
	c.addFlags(cmd)
	return cmd
}
