package main

import (
	"net/url"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/zinniaquay/zinniaquay/internal/timeline"
)

// newTimeline returns the command that shows the events of all processes.
func newTimeline() *cobra.Command {
	c := &client{}
	var request string
	var limit uint32
	var after uint64
	cmd := &cobra.Command{
		Use:   "timeline",
		Short: "Show the events of all processes in causal order",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			query := url.Values{
				"limit": {strconv.FormatUint(uint64(limit), 10)},
				"after": {strconv.FormatUint(after, 10)},
			}
			if request != "" {
				query.Set("request_id", request)
			}
			var v timeline.View
			if err := c.get(cmd.Context(), "/v1/timeline?"+query.Encode(), &v); err != nil {
				return err
			}
			return c.write(cmd.OutOrStdout(), v, v.WriteText)
		},
	}
	c.addFlags(cmd)
	cmd.Flags().StringVar(&request, "request", "", "only events of the request with this ID")
	cmd.Flags().Uint32Var(&limit, "limit", 1000, "most events to show")
	cmd.Flags().Uint64Var(&after, "after", 0, "only events after this clock, as --output json shows it")
	return cmd
}
