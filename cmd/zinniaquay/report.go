package main

import (
	"github.com/spf13/cobra"

	"github.com/zinniaquay/zinniaquay/internal/report"
)

// newReport returns the command that shows the fleet's report.
func newReport() *cobra.Command {
	c := &client{}
	cmd := &cobra.Command{
		Use:   "report",
		Short: "Show fairness, utilisation, zones, moves and refusals",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var r report.Report
			if err := c.get(cmd.Context(), "/v1/report", &r); err != nil {
				return err
			}
			return c.write(cmd.OutOrStdout(), &r, r.WriteText)
		},
	}
	c.addFlags(cmd)
	return cmd
}
