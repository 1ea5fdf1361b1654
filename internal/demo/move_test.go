package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/zinniaquay/zinniaquay/internal/move"
	"github.com/zinniaquay/zinniaquay/internal/report"
	"github.com/zinniaquay/zinniaquay/internal/standin/target"
)

// newVersion is the version that traffic moves to.
const newVersion = "v2"

// TestWholeProcessesTakeABadVersionBack declares a move as an operator does and
// waits for what the report says of it. It fails if any process is not joined
// to the evidence on moves, their records or orders.
func TestWholeProcessesTakeABadVersionBack(t *testing.T) {
	is := is.New(t)
	d, err := Find("lankaroute")
	is.NoErr(err)
	ctx, stop := context.WithCancel(t.Context())
	f, err := Start(ctx, Options{Deployment: d, CallerAddr: anyPort, OperatorAddr: anyPort, Log: logr.Discard()})
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	is.NoErr(f.Wait(ctx))
	is.Equal(f.operate(ctx, t, http.MethodPatch, "/v1/config", declareMove(d)), http.StatusOK)
	f.untilLoaded(ctx, t)
	callers, stopCallers := context.WithCancel(ctx)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() { f.callUntil(callers, d) })
	}
	f.untilState(ctx, t, move.Moving)
	for _, e := range f.engines {
		if e.Orders().Version == newVersion {
			e.SetFaults(target.Faults{FailShare: 1})
		}
	}
	f.untilState(ctx, t, move.RolledBack)
	stopCallers()
	group.Wait()
	stop()
	is.NoErr(<-ended)
}

// declareMove returns a patch that gives the second target of each zone another
// version and moves traffic to it.
func declareMove(d Deployment) string {
	model := d.Models[0].Name
	targets := make(map[string]map[string]string)
	for _, zone := range d.Zones {
		targets[fmt.Sprintf("%s-%s-2", model, zone)] = map[string]string{"version": newVersion}
	}
	// Strings always encode.
	patch, _ := json.Marshal(map[string]any{
		"targets": targets,
		"moves": map[string]any{"to-v2": map[string]any{
			"service": model, "from_version": Version, "to_version": newVersion, "small_share": 0.3,
			"deadline": time.Now().Add(time.Hour).UTC().Format(time.RFC3339),
		}},
	})
	return string(patch)
}

// operate sends a request to the operators' address and returns the status.
func (f *Fleet) operate(ctx context.Context, t *testing.T, method, path, body string) int {
	t.Helper()
	res := f.operatorCall(ctx, t, method, path, body)
	defer func() { _ = res.Body.Close() }()
	text, _ := io.ReadAll(res.Body)
	t.Logf("%s %s: %d %s", method, path, res.StatusCode, text)
	return res.StatusCode
}

func (f *Fleet) operatorCall(ctx context.Context, t *testing.T, method, path, body string) *http.Response {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.OperatorAddr()+path, strings.NewReader(body))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+f.Token())
	req.Header.Set("If-Match", `"1"`)
	req.Header.Set("Content-Type", "application/merge-patch+json")
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	return res
}

// callUntil calls the moving model until the context ends.
func (f *Fleet) callUntil(ctx context.Context, d Deployment) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":2}`, d.Models[0].Name)
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.CallerAddr()+"/v1/chat/completions", strings.NewReader(body))
		if err != nil {
			return
		}
		req.Header.Set("Authorization", "Bearer "+d.Accounts[0].Key())
		if res, err := http.DefaultClient.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
	}
}

// untilLoaded waits until three targets serve the new version.
func (f *Fleet) untilLoaded(ctx context.Context, t *testing.T) {
	t.Helper()
	poll(ctx, t, "three targets with the new version", func() bool {
		loaded := 0
		for _, e := range f.engines {
			if e.Orders().Version == newVersion {
				loaded++
			}
		}
		return loaded == 3
	})
}

// untilState waits until the operators' report shows a state of the move.
func (f *Fleet) untilState(ctx context.Context, t *testing.T, state move.State) {
	t.Helper()
	poll(ctx, t, "state "+string(state), func() bool {
		res := f.operatorCall(ctx, t, http.MethodGet, "/v1/report", "")
		defer func() { _ = res.Body.Close() }()
		var r report.Report
		return json.NewDecoder(res.Body).Decode(&r) == nil && len(r.Moves) == 1 && r.Moves[0].State == string(state)
	})
}

// poll waits for a condition. Its patience is no bound on anything but a hung
// test.
func poll(ctx context.Context, t *testing.T, what string, done func() bool) {
	t.Helper()
	const patience = 2 * time.Minute
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			t.Fatalf("gave up waiting for %s", what)
		case <-time.After(100 * time.Millisecond):
		}
	}
}
