// Command lab plays loads on a model of engines, by several ways of deciding side by
// side. It stands beside the product's binary, whose processes would pay for the
// fonts of its plots.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/sourcegraph/conc/iter"
	"github.com/spf13/cobra"

	"github.com/zinniaquay/zinniaquay/internal/lab"
)

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var path, svg string
	var seed uint64
	var names []string
	cmd := &cobra.Command{
		Use:   "lab",
		Short: "Play a load on a model of engines, by several ways of deciding side by side",
		Args:  cobra.NoArgs,
		// A day that can't be played is no reason to explain the flags.
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			day := lab.HeavyWorkload()
			if path != "" {
				read, err := lab.LoadWorkload(path)
				if err != nil {
					return err
				}
				day = read
			}
			ways, err := waysNamed(names)
			if err != nil {
				return err
			}
			results := iter.Map(ways, func(w *lab.Strategy) *lab.Result { return lab.Simulate(day, *w, seed) })
			if svg != "" {
				if err := lab.WritePlot(svg, results); err != nil {
					return err
				}
			}
			return lab.WriteTable(cmd.OutOrStdout(), day, results)
		},
	}
	cmd.Flags().StringVar(&path, "day", "", "YAML file of the day to play; a heavy one by default")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "the same seed gives the same day")
	cmd.Flags().StringSliceVar(&names, "way", nil, "ways to play, all by default: "+strings.Join(wayNames(), ", "))
	cmd.Flags().StringVar(&svg, "plot", "", "SVG file to draw worth and first events into")
	return cmd
}

func wayNames() []string {
	var names []string
	for _, w := range lab.Strategies() {
		names = append(names, w.Name)
	}
	return names
}

func waysNamed(names []string) ([]lab.Strategy, error) {
	if len(names) == 0 {
		return lab.Strategies(), nil
	}
	byName := make(map[string]lab.Strategy)
	for _, w := range lab.Strategies() {
		byName[w.Name] = w
	}
	var ways []lab.Strategy
	for _, name := range names {
		w, ok := byName[name]
		if !ok {
			return nil, fmt.Errorf("unknown way %q, expected one of: %s", name, strings.Join(wayNames(), ", "))
		}
		ways = append(ways, w)
	}
	return ways, nil
}
