package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/standin/target"
)

// shortRead is the time that callers of a hasty fleet have for a request. Sound
// callers keep it on a loaded machine as well.
const shortRead = 3 * time.Second

// run starts a fleet that ends with the test.
func run(t *testing.T, o Options) *Fleet {
	t.Helper()
	is := is.New(t)
	d, err := Find("zilina")
	is.NoErr(err)
	o.Deployment, o.CallerAddr, o.OperatorAddr, o.Log = d, anyPort, anyPort, logr.Discard()
	ctx, stop := context.WithCancel(context.Background())
	f, err := Start(ctx, o)
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	is.NoErr(f.Wait(ctx))
	return f
}

// raw writes bytes to the callers' address, closes its side if told to, and
// returns all that comes back.
func raw(t *testing.T, f *Fleet, text string, closeWrite bool) string {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", f.CallerAddr())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, text)
	is.NoErr(err)
	if closeWrite {
		is.NoErr(conn.(*net.TCPConn).CloseWrite())
	}
	answer, err := io.ReadAll(conn)
	is.NoErr(err) // the router closes the connection itself
	return string(answer)
}

// refusalIn returns the refusal in a raw answer.
func refusalIn(t *testing.T, answer string) (int, errkind.Detail) {
	t.Helper()
	is := is.New(t)
	res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(answer)), nil)
	is.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	var body errkind.Body
	is.NoErr(json.NewDecoder(res.Body).Decode(&body))
	is.True(res.Header.Get("X-Request-Id") != "")
	return res.StatusCode, body.Error
}

func post(length int, body string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n"+
		"Authorization: Bearer demo-obec-rajec\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

// TestBadInputGetsAClearErrorAndDisturbsNobody sends bad input while other
// callers' streams run.
func TestBadInputGetsAClearErrorAndDisturbsNobody(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	// Only those who are slow on purpose meet the short timeout: on a loaded
	// machine 4 MiB may take longer.
	patient, hasty := run(t, Options{}), run(t, Options{ReadTimeout: shortRead})
	sound := make(chan error, 2)
	for _, f := range []*Fleet{patient, hasty} {
		go func() { sound <- streamWhole(f, "demo-mesto-zilina", 200) }()
	}

	huge := `{"model":"clerk-chat","messages":[{"role":"user","content":"` + strings.Repeat("x", maxBodyBytes) + `"}]}`
	tables := []struct {
		name, text string
		fleet      *Fleet
		closeWrite bool
		status     int
		kind       errkind.Kind
	}{
		{"malformed JSON", post(9, `{"model":`), patient, false, 400, errkind.Malformed},
		{"JSON of another shape", post(13, `{"model":[1]}`), patient, false, 400, errkind.Malformed},
		{"oversized JSON", post(len(huge), huge), patient, false, 413, errkind.TooLarge},
		{"body cut half way", post(100, `{"model":"clerk-chat"`), patient, true, 400, errkind.Malformed},
		{"slow body", post(100, `{"model":"clerk-chat"`), hasty, false, 400, errkind.Malformed},
		{"unknown model", post(21, `{"model":"elsewhere"}`), patient, false, 404, errkind.UnknownService},
	}
	for _, table := range tables {
		t.Run(table.name, func(t *testing.T) {
			is := is.New(t)
			status, refusal := refusalIn(t, raw(t, table.fleet, table.text, table.closeWrite))
			is.Equal(status, table.status)
			is.Equal(refusal.Kind, table.kind)
			is.True(refusal.NotRun)
		})
	}
	t.Run("slow headers", func(t *testing.T) {
		// No request has begun, so the connection ends without an answer or with
		// that of the HTTP server.
		answer := raw(t, hasty, "POST /v1/chat/completions HTTP/1.1\r\nHost: fl", false)
		is.New(t).True(!strings.Contains(answer, " 200 "))
	})
	is.NoErr(<-sound)
	is.NoErr(<-sound)
}

// streamWhole asks for a stream and compares every byte of the answer.
func streamWhole(f *Fleet, key string, tokens int) error {
	text := fmt.Sprintf(`{"model":"route-planner","stream":true,"max_tokens":%d}`, tokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+f.CallerAddr()+"/v1/chat/completions", strings.NewReader(text))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	request := target.ChatRequest{Model: "route-planner", MaxTokens: tokens}
	want := target.NewAnswer(request, res.Header.Get("X-Request-Id"), Version).Stream()
	if !bytes.Equal(got, want) {
		same := 0
		for same < min(len(got), len(want)) && got[same] == want[same] {
			same++
		}
		return fmt.Errorf("status %d: %d bytes, want the %d of the own answer; the same up to byte %d, then %.600q",
			res.StatusCode, len(got), len(want), same, got[same:])
	}
	return nil
}

// TestFaultyTargetDisturbsNoOtherAnswer lets every engine break off the answers
// that begin now, while earlier ones run on.
func TestFaultyTargetDisturbsNoOtherAnswer(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]target.Faults{
		"garbage":         {Garbage: true},
		"stops half way":  {StopHalfWay: true},
		"fails":           {FailShare: 1},
		"extra after end": {ExtraAfterEnd: 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := run(t, Options{})
			sound := make(chan error, 1)
			go func() { sound <- streamWhole(f, "demo-mesto-zilina", 100) }()
			is.NoErr(awaitRunning(t.Context(), f, 1))
			f.SetFaults(faults)
			err := streamWhole(f, "demo-obec-rajec", 4)
			is.Equal(err == nil, faults.ExtraAfterEnd > 0) // its own whole answer, or none that looks whole
			is.NoErr(<-sound)
		})
	}
}

// awaitRunning waits until the engines have started so many requests.
func awaitRunning(ctx context.Context, f *Fleet, n int) error {
	for {
		started := 0
		for _, e := range f.engines {
			started += e.State().Started
		}
		if started >= n {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPause):
		}
	}
}

// readyPause is the time between two looks at the engines.
const readyPause = 5 * time.Millisecond
