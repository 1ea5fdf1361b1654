package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/operator"
)

// configPath is where a router answers for the configuration.
const configPath = "/v1/config"

// newConfig returns the command that reads and patches the configuration.
func newConfig() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Read the fleet's configuration, patch it, and show its history",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(newConfigGet(), newConfigPatch(), newConfigHistory())
	return cmd
}

func newConfigGet() *cobra.Command {
	c := &client{}
	cmd := &cobra.Command{
		Use:   "get",
		Short: "Show the configuration in force; --output json gives the whole document",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var document json.RawMessage
			if err := c.get(cmd.Context(), configPath, &document); err != nil {
				return err
			}
			return c.write(cmd.OutOrStdout(), document, func(w io.Writer) error { return writeConfig(w, document) })
		},
	}
	c.addFlags(cmd)
	return cmd
}

// writeConfig writes what an operator looks for first, one thing a line.
func writeConfig(w io.Writer, document []byte) error {
	doc := &zinniaquayv1.Configuration{}
	// A router of a later release may know more fields.
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(document, doc); err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// The writer keeps its first error, which Flush returns.
	_, _ = fmt.Fprintf(t, "number\t%d\naccounts\t%d\nservices\t%d\ntargets\t%d\n",
		doc.GetNumber(), len(doc.GetAccounts()), len(doc.GetServices()), len(doc.GetTargets()))
	for _, name := range slices.Sorted(maps.Keys(doc.GetZones())) {
		_, _ = fmt.Fprintf(t, "zone %s\t%s\n", name, doc.GetZones()[name].GetState())
	}
	for _, name := range slices.Sorted(maps.Keys(doc.GetMoves())) {
		m := doc.GetMoves()[name]
		_, _ = fmt.Fprintf(t, "move %s\t%s from %s to %s by %s\n", name, m.GetService(), m.GetFromVersion(), m.GetToVersion(),
			m.GetDeadline().AsTime().Format("2006-01-02T15:04:05Z07:00"))
	}
	return t.Flush()
}

func newConfigPatch() *cobra.Command {
	c := &client{}
	var number uint64
	var file string
	cmd := &cobra.Command{
		Use:   "patch --if-match NUMBER [PATCH]",
		Short: "Change the configuration by a JSON merge patch against its number",
		Long: "Sends a JSON merge patch, from the argument, from --file or from the standard input.\n" +
			"It is accepted as a whole or refused as a whole; --if-match names the number that it was made against.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !cmd.Flags().Changed("if-match") {
				return usage(errors.New("name the number that the patch was made against by --if-match"))
			}
			patch, err := readPatch(cmd.InOrStdin(), file, args)
			if err != nil {
				return err
			}
			accepted, err := c.patch(cmd.Context(), number, patch)
			if err != nil {
				return err
			}
			return c.write(cmd.OutOrStdout(), accepted, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "accepted as number %d (patch %s)\n", accepted.Number, accepted.PatchID)
				return err
			})
		},
	}
	c.addFlags(cmd)
	cmd.Flags().Uint64Var(&number, "if-match", 0, "number of the configuration that the patch was made against")
	cmd.Flags().StringVarP(&file, "file", "f", "", "file with the patch; - for the standard input")
	return cmd
}

// readPatch returns the patch from the argument, a file or the standard input.
func readPatch(stdin io.Reader, file string, args []string) ([]byte, error) {
	switch {
	case len(args) == 1 && file != "":
		return nil, usage(errors.New("give the patch as an argument or by --file, not both"))
	case len(args) == 1:
		return []byte(args[0]), nil
	case file != "" && file != "-":
		return os.ReadFile(file)
	default:
		return io.ReadAll(io.LimitReader(stdin, operator.MaxPatchBytes+1))
	}
}

// patch sends a patch. An answer that does not arrive leaves its outcome unknown.
func (c *client) patch(ctx context.Context, number uint64, patch []byte) (operator.Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	header := http.Header{}
	header.Set("Content-Type", operator.MergePatchType)
	header.Set("If-Match", strconv.Quote(strconv.FormatUint(number, 10)))
	var accepted operator.Accepted
	res, err := c.do(ctx, http.MethodPatch, configPath, header, bytes.NewReader(patch))
	if err != nil {
		return accepted, unanswered(err)
	}
	// The answer was read; a failure to close says nothing about it.
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return accepted, unanswered(err)
	}
	if res.StatusCode != http.StatusOK {
		return accepted, refusal(res.StatusCode, body)
	}
	if err := json.Unmarshal(body, &accepted); err != nil {
		return accepted, unanswered(err)
	}
	return accepted, nil
}

// unanswered says that a patch may have been accepted, unless the call was wrong
// in itself or never left this machine.
func unanswered(err error) error {
	var wrong *usageError
	if errors.As(err, &wrong) || notSent(err) {
		return err
	}
	return fmt.Errorf("%s: the patch may have been accepted; look for it in config history: %w", errkind.OutcomeUnknown, err)
}

func newConfigHistory() *cobra.Command {
	c := &client{}
	var limit int
	cmd := &cobra.Command{
		Use:   "history",
		Short: "Show the patches accepted last, the newest first",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var history operator.History
			if err := c.get(cmd.Context(), fmt.Sprintf("%s/history?limit=%d", configPath, limit), &history); err != nil {
				return err
			}
			return c.write(cmd.OutOrStdout(), history, func(w io.Writer) error { return writeHistory(w, history) })
		},
	}
	c.addFlags(cmd)
	cmd.Flags().IntVar(&limit, "limit", 20, "most patches to show")
	return cmd
}

func writeHistory(w io.Writer, history operator.History) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, p := range history.Patches {
		var patch bytes.Buffer
		if err := json.Compact(&patch, p.Patch); err != nil || patch.String() == "null" {
			patch.Reset()
			patch.WriteString("(no longer kept)")
		}
		_, _ = fmt.Fprintf(t, "%d\t%s\t%s\t%s\n", p.Number, p.Time.Format("2006-01-02T15:04:05Z07:00"), p.ID, patch.String())
	}
	return t.Flush()
}
