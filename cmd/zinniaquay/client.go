package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/zinniaquay/zinniaquay/internal/operator"
	"github.com/zinniaquay/zinniaquay/internal/settings"
)

// Names of environment variables that stand in for flags.
const (
	envURL   = "ZINNIAQUAY_OPERATOR_URL"
	envToken = "ZINNIAQUAY_OPERATOR_TOKEN"
)

const (
	// defaultURL is where a router on this machine answers operators.
	defaultURL = "http://127.0.0.1:8081"
	// callTimeout is the longest time for one answer of a router.
	callTimeout = 30 * time.Second
	// maxAnswerBytes is the largest answer that is read.
	maxAnswerBytes = 64 << 20
)

// Forms in which a command writes its outcome.
const (
	outputText = "text"
	outputJSON = "json"
)

// client calls a router as an operator.
type client struct {
	url       string
	tokenFile string
	output    string
}

// addFlags adds the flags that all of the operators' commands share.
func (c *client) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.url, "url", "", "URL of a router's operator address (default $"+envURL+" or "+defaultURL+")")
	cmd.Flags().StringVar(&c.tokenFile, "token-file", "", "file with the operators' token (default the value of $"+envToken+")")
	cmd.Flags().StringVarP(&c.output, "output", "o", outputText, "form of the output: text or json")
	complete(cmd, "output", outputText, outputJSON)
}

// token returns the operators' token.
func (c *client) token() (settings.Secret, error) {
	if c.tokenFile != "" {
		return settings.LoadSecret(c.tokenFile)
	}
	if value := os.Getenv(envToken); value != "" {
		return settings.NewSecret(value), nil
	}
	return settings.Secret{}, usage(fmt.Errorf("no operators' token: give --token-file or set $%s", envToken))
}

// base returns the router's URL.
func (c *client) base() string {
	if c.url != "" {
		return c.url
	}
	if value := os.Getenv(envURL); value != "" {
		return value
	}
	return defaultURL
}

// do sends a request and returns the answer, whose body the caller closes.
func (c *client) do(ctx context.Context, method, path string, header http.Header, body io.Reader) (*http.Response, error) {
	if c.output != outputText && c.output != outputJSON {
		return nil, usage(fmt.Errorf("unknown output %q, expected text or json", c.output))
	}
	token, err := c.token()
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base()+path, body)
	if err != nil {
		return nil, usage(err)
	}
	if header != nil {
		req.Header = header
	}
	req.Header.Set("Authorization", "Bearer "+token.Reveal())
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call router: %w", err)
	}
	return res, nil
}

// get reads an answer in JSON into v.
func (c *client) get(ctx context.Context, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := c.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	// The answer was read; a failure to close says nothing about it.
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if res.StatusCode != http.StatusOK {
		return refusal(res.StatusCode, body)
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	return nil
}

// notSent reports whether a call failed before anything left this machine.
func notSent(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

// refusal returns the error that an answer describes, with every fault that it
// lists on a line of its own.
func refusal(status int, body []byte) error {
	var refused operator.Refusal
	if err := json.Unmarshal(body, &refused); err != nil || refused.Error.Kind == "" {
		return fmt.Errorf("router answered with status %d", status)
	}
	message := fmt.Sprintf("router refused: %s: %s", refused.Error.Kind, refused.Error.Message)
	for _, fault := range refused.Error.Faults {
		message += fmt.Sprintf("\n%s: %s", fault.Field, fault.Message)
	}
	return errors.New(message)
}

// write writes an outcome in the form that was asked for.
func (c *client) write(w io.Writer, v any, text func(io.Writer) error) error {
	if c.output == outputText {
		return text(w)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
