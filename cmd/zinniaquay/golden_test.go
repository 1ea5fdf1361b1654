package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/zinniaquay/zinniaquay/internal/demo"
	"github.com/zinniaquay/zinniaquay/internal/standin/target"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"zinniaquay": func() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestSessions plays whole sessions of the command line and of the HTTP API.
// With UPDATE_SESSIONS in the environment their golden parts are written anew.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "../../test/testdata",
		RequireExplicitExec: true,
		UpdateScripts:       os.Getenv("UPDATE_SESSIONS") != "",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet": startFleet, "zq": runCommand, "call": callHTTP, "settled": callSettled, "faults": setFaults,
		},
	})
}

// fleets holds the fleet of each running script, by the script's name.
var fleets sync.Map

// startFleet implements "fleet DEPLOYMENT": it runs a demo until the script
// ends, and sets CALLER, OPERATOR and what the operators' commands read.
func startFleet(ts *testscript.TestScript, _ bool, args []string) {
	d, err := demo.Find(args[0])
	ts.Check(err)
	ctx, stop := context.WithCancel(context.Background())
	f, err := demo.Start(ctx, demo.Options{Deployment: d, CallerAddr: "127.0.0.1:0", OperatorAddr: "127.0.0.1:0", Log: logr.Discard()})
	ts.Check(err)
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	ts.Defer(func() {
		stop()
		ts.Check(<-ended)
	})
	ts.Check(f.Wait(ctx))
	fleets.Store(ts.Name(), f)
	ts.Setenv("CALLER", "http://"+f.CallerAddr())
	ts.Setenv("OPERATOR", "http://"+f.OperatorAddr())
	ts.Setenv(envURL, "http://"+f.OperatorAddr())
	ts.Setenv(envToken, f.Token())
}

// setFaults implements "faults JSON": it switches faults of all engines on.
func setFaults(ts *testscript.TestScript, _ bool, args []string) {
	var faults target.Faults
	ts.Check(json.Unmarshal([]byte(args[0]), &faults))
	f, ok := fleets.Load(ts.Name())
	if !ok {
		ts.Fatalf("no fleet runs")
	}
	f.(*demo.Fleet).SetFaults(faults)
}

// runCommand implements "zq CODE ARGS...": it runs the command line and checks
// the exit code.
func runCommand(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec("zinniaquay", args[1:]...)
	var exit *exec.ExitError
	code := 0
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if code != want {
		ts.Fatalf("exit code %d, want %d", code, want)
	}
}

// uuid is how a request's ID looks.
var uuid = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)

// shownHeaders are the headers that callHTTP writes.
var shownHeaders = []string{"Content-Type", "Content-Length", "Etag", "Idempotent-Replayed", "Retry-After", "Www-Authenticate"}

// settleTimeout bounds how long an idempotency key is under way after its answer.
const settleTimeout = 10 * time.Second

// callSettled implements "settled ...": it is "call ..." once the idempotency
// key is no longer under way.
func callSettled(ts *testscript.TestScript, neg bool, args []string) {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		res, _, err := send(ts, args)
		ts.Check(err)
		if res.StatusCode != http.StatusConflict {
			break
		}
	}
	callHTTP(ts, neg, args)
}

// callHTTP implements "call METHOD URL [HEADER=VALUE...] [@BODY | BODY]": it
// writes status, headers and body, with request IDs as ID.
func callHTTP(ts *testscript.TestScript, _ bool, args []string) {
	res, body, err := send(ts, args)
	out := ts.Stdout()
	_, _ = fmt.Fprintln(out, res.StatusCode)
	for _, name := range shownHeaders {
		for _, value := range res.Header.Values(name) {
			_, _ = fmt.Fprintf(out, "%s: %s\n", name, value)
		}
	}
	id := res.Header.Get("X-Request-Id")
	if id != "" && !strings.Contains(string(body), id) && strings.Contains(string(body), "chatcmpl-") {
		ts.Fatalf("the answer is not that of request %s", id)
	}
	_, _ = fmt.Fprintf(out, "\n%s", uuid.ReplaceAllString(string(body), "ID"))
	if err != nil {
		_, _ = fmt.Fprintf(out, "broken off: %v\n", err)
	}
}

// send sends the request that a script's arguments describe. Its error is that
// of an answer that broke off.
func send(ts *testscript.TestScript, args []string) (*http.Response, []byte, error) {
	req, err := http.NewRequest(args[0], args[1], nil)
	ts.Check(err)
	for _, arg := range args[2:] {
		switch name, value, header := strings.Cut(arg, "="); {
		case strings.HasPrefix(arg, "@"):
			setBody(req, ts.ReadFile(arg[1:]))
		case header && !strings.HasPrefix(arg, "{"):
			req.Header.Set(name, value)
		default:
			setBody(req, arg)
		}
	}
	res, err := http.DefaultClient.Do(req)
	ts.Check(err)
	body, err := io.ReadAll(res.Body)
	ts.Check(res.Body.Close())
	return res, body, err
}

func setBody(req *http.Request, body string) {
	req.Body = io.NopCloser(strings.NewReader(body))
	req.ContentLength = int64(len(body))
}
