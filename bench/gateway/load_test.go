package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/zinniaquay/zinniaquay/platform/standin"
)

// loadVariable makes this program play the platform and the callers, so that the
// other process spends only what a gateway spends.
const loadVariable = "ZINNIAQUAY_BENCH_LOAD"

// order is what the load is to play; its answer is an error, empty if none.
type order struct {
	// Addr is the gateway's address for callers.
	Addr string
	// Requests, of which Together are open at a time.
	Requests, Together int
	// Events of each stream, 20 ms apart.
	Events int
	// Refused has all targets turn requests away for closedSeconds, and each request come on
	// a connection of its own.
	Refused bool
}

const eventGap = 20 * time.Millisecond

// closedSeconds is longer than an order lasts.
const closedSeconds = "60"

func TestMain(m *testing.M) {
	if os.Getenv(loadVariable) == "" {
		os.Exit(m.Run())
	}
	if err := playLoad(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// playLoad starts the stand-ins, tells the store's address and carries orders out
// until there are no more.
func playLoad(in io.Reader, out io.Writer) error {
	d, err := standin.Start()
	if err != nil {
		return err
	}
	defer func() { _ = d.Close(context.Background()) }()
	answers := json.NewEncoder(out)
	if err := answers.Encode(d.StoreAddr); err != nil {
		return err
	}
	orders := json.NewDecoder(in)
	for {
		var o order
		if err := orders.Decode(&o); err != nil {
			return nil // the other process has closed the pipe
		}
		for _, target := range d.Targets {
			target.Events, target.Gap = o.Events, eventGap
			if o.Refused {
				target.SetFaults(standin.TargetFaults{Shed: true, RetryAfter: []string{closedSeconds}})
			}
		}
		text, play := "", call
		if o.Refused {
			play = callRefused
		}
		if err := play(o); err != nil {
			text = err.Error()
		}
		if err := answers.Encode(text); err != nil {
			return err
		}
	}
}

// lastID numbers the requests.
var lastID atomic.Int64

// call makes the requests of an order.
func call(o order) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Together}}
	callers := pool.New().WithErrors().WithMaxGoroutines(o.Together)
	for range o.Requests {
		callers.Go(func() error {
			req, err := http.NewRequest(http.MethodPost, "http://"+o.Addr+"/stream/plan/x", strings.NewReader("hello"))
			if err != nil {
				return err
			}
			req.Host = standin.Host
			req.Header.Set("Attempt-Id", fmt.Sprintf("%016x", lastID.Add(1)))
			req.Header.Set("Credential", standin.APIKey)
			req.Header.Set("Deadline-Ms", "10000")
			req.Header.Set("Token-Usage", "500,50")
			req.Header.Set("Prompt-Prefix", "aa:100,bb:300,cc:100")
			resp, err := client.Do(req)
			if err != nil {
				return err
			}
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			if err != nil {
				return err
			}
			if got := strings.Count(string(body), "\n\n"); got != o.Events {
				return fmt.Errorf("status %d with %d events, want %d", resp.StatusCode, got, o.Events)
			}
			return nil
		})
	}
	return callers.Wait()
}

// refusedRequest is a request of an order with Refused.
const refusedRequest = "POST /stream/plan/x HTTP/1.1\r\nHost: " + standin.Host + "\r\nAttempt-Id: %016x\r\nCredential: " + standin.APIKey +
	"\r\nDeadline-Ms: 10000\r\nToken-Usage: 500,50\r\nPrompt-Prefix: aa:100,bb:300,cc:100\r\nContent-Length: 5\r\n\r\nhello"

// callRefused makes the requests of an order, each on a connection of its own.
func callRefused(o order) error {
	callers := pool.New().WithErrors().WithMaxGoroutines(o.Together)
	for range o.Requests {
		callers.Go(func() error {
			conn, err := net.Dial("tcp4", o.Addr)
			if err != nil {
				return err
			}
			defer func() { _ = conn.Close() }()
			if _, err := fmt.Fprintf(conn, refusedRequest, lastID.Add(1)); err != nil {
				return err
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return err
			}
			defer func() { _ = resp.Body.Close() }()
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return err
			}
			if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
				return fmt.Errorf("status %d of a request that no target takes", resp.StatusCode)
			}
			return nil
		})
	}
	return callers.Wait()
}

// load is the process that plays the platform and the callers.
type load struct {
	orders    *json.Encoder
	answers   *json.Decoder
	storeAddr string
}

func startLoad(tb testing.TB) *load {
	tb.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), loadVariable+"=1")
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		tb.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		tb.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		_ = in.Close()
		if err := cmd.Wait(); err != nil {
			tb.Error(err)
		}
	})
	l := &load{orders: json.NewEncoder(in), answers: json.NewDecoder(bufio.NewReader(out))}
	if err := l.answers.Decode(&l.storeAddr); err != nil {
		tb.Fatal(err)
	}
	return l
}

// play plays an order to its end.
func (l *load) play(tb testing.TB, o order) {
	tb.Helper()
	if err := l.orders.Encode(o); err != nil {
		tb.Fatal(err)
	}
	var text string
	if err := l.answers.Decode(&text); err != nil {
		tb.Fatal(err)
	}
	if text != "" {
		tb.Fatal(text)
	}
}
