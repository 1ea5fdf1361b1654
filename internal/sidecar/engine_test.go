package sidecar

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
)

// closeAtOnce closes the connection without an answer.
const closeAtOnce = "close"

// rawTarget answers each request that it reads with raw bytes and closes the
// connection. It returns its base URL and the count of requests read.
func rawTarget(t *testing.T, answer func(n int64) string) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var read atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerRaw(c, &read, answer, func() { _ = l.Close() })
		}
	}()
	return "http://" + l.Addr().String(), &read
}

// answerRaw answers requests on one connection until an answer is empty, after
// which the target takes no connections any more.
func answerRaw(c net.Conn, read *atomic.Int64, answer func(n int64) string, closeTarget func()) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = r.Discard(int(req.ContentLength))
		text := answer(read.Add(1))
		if text == "" {
			closeTarget()
			return
		}
		if text == closeAtOnce {
			return
		}
		if _, err := c.Write([]byte(text)); err != nil || strings.Contains(text, "Connection: close") {
			return
		}
	}
}

func offered(t *testing.T, e *engine, work *zinniaquayv1.WorkRequest) (*zinniaquayv1.End, *buffer) {
	t.Helper()
	answer := newBuffer(newBudget(0, metrics.NewRegistry()))
	end, _ := e.run(t.Context(), work, answer, func(float64) {})
	return end, answer
}

func booking(method string) *zinniaquayv1.WorkRequest {
	return &zinniaquayv1.WorkRequest{
		Method: method, Path: "/bookings", Body: []byte("{}"), NotRepeatable: true, Units: 1,
		Headers: []*zinniaquayv1.Header{{Name: "Idempotency-Key", Value: "k"}},
	}
}

// model returns a request that the HTTP client repeats by itself on a kept-alive
// connection, as it bears an idempotency key.
func model() *zinniaquayv1.WorkRequest {
	return &zinniaquayv1.WorkRequest{
		Method: "POST", Path: "/v1/chat/completions", Body: []byte("{}"),
		Headers: []*zinniaquayv1.Header{{Name: "Idempotency-Key", Value: "k"}},
	}
}

func TestPlainAnswersOfAllShapes(t *testing.T) {
	for name, c := range map[string]struct {
		method string
		answer string
		kind   errkind.Kind
		status uint32
		body   string
	}{
		"with a length":     {answer: "HTTP/1.1 201 Created\r\nContent-Length: 3\r\n\r\nkit", status: 201, body: "kit"},
		"in chunks":         {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nkit\r\n0\r\n\r\n", status: 200, body: "kit"},
		"empty":             {answer: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", status: 200},
		"no content":        {answer: "HTTP/1.1 204 No Content\r\n\r\n", status: 204},
		"not modified":      {answer: "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", status: 304},
		"to HEAD":           {method: "HEAD", answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", status: 200},
		"after early hints": {answer: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nkit", status: 200, body: "kit"},
		"a redirect":        {answer: "HTTP/1.1 303 See Other\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n", status: 303},
		"an error":          {answer: "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno", status: 500, body: "no"},
		"cut short":         {answer: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\nkit", kind: errkind.TargetFailed},
		"chunks cut short":  {answer: "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nkit\r\n", kind: errkind.TargetFailed},
		"without an end":    {answer: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nkit", kind: errkind.TargetFailed},
		"another protocol":  {answer: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", kind: errkind.TargetFailed},
		"not HTTP":          {answer: "hello\r\nConnection: close\r\n\r\n", kind: errkind.TargetFailed},
		"no answer at all":  {kind: errkind.TargetFailed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			base, read := rawTarget(t, func(int64) string { return c.answer })
			method := c.method
			if method == "" {
				method = "POST"
			}
			end, answer := offered(t, newEngine(base, nil, metrics.NewRegistry()), booking(method))
			is.Equal(end.GetErrorKind(), string(c.kind))
			is.True(!end.GetNotRun())
			is.Equal(read.Load(), int64(1)) // never offered a second time
			if c.kind != "" {
				return
			}
			got := ""
			for _, chunk := range answer.chunks[1:] {
				got += string(chunk.GetBody())
			}
			is.Equal(answer.chunks[0].GetHead().GetStatus(), c.status)
			is.Equal(got, c.body)
		})
	}
}

// The HTTP client sends some requests a second time when a kept-alive connection
// breaks, and then reports that it could not dial. The request has been offered
// all the same.
func TestARepeatByTheHTTPClientIsNotNotRun(t *testing.T) {
	is := is.New(t)
	base, read := rawTarget(t, func(n int64) string {
		if n == 1 {
			return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
		}
		return "" // reads the request, closes the connection and the target
	})
	e := newEngine(base, nil, metrics.NewRegistry())
	end, _ := offered(t, e, model())
	is.Equal(end.GetErrorKind(), "")
	time.Sleep(50 * time.Millisecond) // the client takes its connection back
	end, _ = offered(t, e, model())
	is.Equal(read.Load(), int64(2))
	is.Equal(end.GetErrorKind(), string(errkind.TargetFailed))
	is.True(!end.GetNotRun())
}

func TestATargetThatTakesNoConnectionHasNotRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	base := "http://" + l.Addr().String()
	is.NoErr(l.Close())
	for _, work := range []*zinniaquayv1.WorkRequest{booking("POST"), model()} {
		end, _ := offered(t, newEngine(base, nil, metrics.NewRegistry()), work)
		is.True(end.GetNotRun())
		is.Equal(end.GetErrorKind(), string(errkind.NoTarget))
	}
}

// A kept-alive connection that breaks makes the HTTP client send a request
// without a body again. What must not be repeated has no such connection.
func TestABookingIsNeverOfferedASecondTime(t *testing.T) {
	for _, body := range []string{"", "{}"} {
		is := is.New(t)
		base, read := rawTarget(t, func(n int64) string {
			if n == 1 {
				return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
			}
			return closeAtOnce
		})
		e := newEngine(base, nil, metrics.NewRegistry())
		work := booking("POST")
		work.Body = []byte(body)
		end, _ := offered(t, e, work)
		is.Equal(end.GetErrorKind(), "")
		time.Sleep(50 * time.Millisecond) // the client takes its connection back, if it keeps it
		end, _ = offered(t, e, work)
		is.Equal(end.GetErrorKind(), string(errkind.TargetFailed))
		is.Equal(read.Load(), int64(2))
	}
}
