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

// closeWithoutResponse closes the connection without a response.
const closeWithoutResponse = "close"

// rawTarget starts a target that responds to each request with raw bytes. It
// returns its base URL and the count of requests read.
func rawTarget(t *testing.T, respond func(n int64) string) (string, *atomic.Int64) {
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
			go serveRaw(c, &read, respond, func() { _ = l.Close() })
		}
	}()
	return "http://" + l.Addr().String(), &read
}

// serveRaw responds to requests on one connection until a response is empty,
// after which the target accepts no more connections.
func serveRaw(c net.Conn, read *atomic.Int64, respond func(n int64) string, closeTarget func()) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = r.Discard(int(req.ContentLength))
		text := respond(read.Add(1))
		if text == "" {
			closeTarget()
			return
		}
		if text == closeWithoutResponse {
			return
		}
		if _, err := c.Write([]byte(text)); err != nil || strings.Contains(text, "Connection: close") {
			return
		}
	}
}

func runRequest(t *testing.T, c *targetClient, work *zinniaquayv1.WorkRequest) (*zinniaquayv1.End, *buffer) {
	t.Helper()
	buf := newBuffer(newBudget(0, metrics.NewRegistry()))
	end, _ := c.run(t.Context(), work, buf, func(float64) {})
	return end, buf
}

func bookingRequest(method string) *zinniaquayv1.WorkRequest {
	return &zinniaquayv1.WorkRequest{
		Method: method, Path: "/bookings", Body: []byte("{}"), NotRepeatable: true, Units: 1,
		Headers: []*zinniaquayv1.Header{{Name: "Idempotency-Key", Value: "k"}},
	}
}

// modelRequest returns a request that the HTTP client repeats automatically on
// a kept-alive connection, because it has an idempotency key.
func modelRequest() *zinniaquayv1.WorkRequest {
	return &zinniaquayv1.WorkRequest{
		Method: "POST", Path: "/v1/chat/completions", Body: []byte("{}"),
		Headers: []*zinniaquayv1.Header{{Name: "Idempotency-Key", Value: "k"}},
	}
}

func TestNonModelResponseFraming(t *testing.T) {
	for name, c := range map[string]struct {
		method   string
		response string
		kind     errkind.Kind
		status   uint32
		body     string
	}{
		"with a length":                 {response: "HTTP/1.1 201 Created\r\nContent-Length: 3\r\n\r\nkit", status: 201, body: "kit"},
		"in chunks":                     {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nkit\r\n0\r\n\r\n", status: 200, body: "kit"},
		"empty":                         {response: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", status: 200},
		"no content":                    {response: "HTTP/1.1 204 No Content\r\n\r\n", status: 204},
		"not modified":                  {response: "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", status: 304},
		"to HEAD":                       {method: "HEAD", response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", status: 200},
		"after early hints":             {response: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nkit", status: 200, body: "kit"},
		"a redirect":                    {response: "HTTP/1.1 303 See Other\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n", status: 303},
		"an error":                      {response: "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno", status: 500, body: "no"},
		"cut short":                     {response: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\nkit", kind: errkind.TargetFailed},
		"chunks cut short":              {response: "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nkit\r\n", kind: errkind.TargetFailed},
		"delimited by connection close": {response: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nkit", kind: errkind.TargetFailed},
		"switch of protocols":           {response: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", kind: errkind.TargetFailed},
		"not HTTP":                      {response: "hello\r\nConnection: close\r\n\r\n", kind: errkind.TargetFailed},
		"no response at all":            {kind: errkind.TargetFailed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			base, read := rawTarget(t, func(int64) string { return c.response })
			method := c.method
			if method == "" {
				method = "POST"
			}
			end, buf := runRequest(t, newTargetClient(base, nil, metrics.NewRegistry()), bookingRequest(method))
			is.Equal(end.GetErrorKind(), string(c.kind))
			is.True(!end.GetNotRun())
			is.Equal(read.Load(), int64(1)) // sent exactly once
			if c.kind != "" {
				return
			}
			got := ""
			for _, chunk := range buf.chunks[1:] {
				got += string(chunk.GetBody())
			}
			is.Equal(buf.chunks[0].GetHead().GetStatus(), c.status)
			is.Equal(got, c.body)
		})
	}
}

// The HTTP client resends some requests when a kept-alive connection breaks,
// and then reports a dial error. The request was sent nevertheless, so it must
// not be reported as not run.
func TestRequestResentByHTTPClientIsNotReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	base, read := rawTarget(t, func(n int64) string {
		if n == 1 {
			return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
		}
		return "" // reads the request, closes the connection and the target
	})
	c := newTargetClient(base, nil, metrics.NewRegistry())
	end, _ := runRequest(t, c, modelRequest())
	is.Equal(end.GetErrorKind(), "")
	time.Sleep(50 * time.Millisecond) // the client returns the connection to its pool
	end, _ = runRequest(t, c, modelRequest())
	is.Equal(read.Load(), int64(2))
	is.Equal(end.GetErrorKind(), string(errkind.TargetFailed))
	is.True(!end.GetNotRun())
}

func TestRequestIsReportedAsNotRunWhenTargetRefusesConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	base := "http://" + l.Addr().String()
	is.NoErr(l.Close())
	for _, work := range []*zinniaquayv1.WorkRequest{bookingRequest("POST"), modelRequest()} {
		end, _ := runRequest(t, newTargetClient(base, nil, metrics.NewRegistry()), work)
		is.True(end.GetNotRun())
		is.Equal(end.GetErrorKind(), string(errkind.NoTarget))
	}
}

// When a kept-alive connection breaks, the HTTP client resends a request
// without a body. Requests that must not be repeated therefore never use such a
// connection.
func TestNonRepeatableRequestIsSentOnce(t *testing.T) {
	for _, body := range []string{"", "{}"} {
		is := is.New(t)
		base, read := rawTarget(t, func(n int64) string {
			if n == 1 {
				return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
			}
			return closeWithoutResponse
		})
		c := newTargetClient(base, nil, metrics.NewRegistry())
		work := bookingRequest("POST")
		work.Body = []byte(body)
		end, _ := runRequest(t, c, work)
		is.Equal(end.GetErrorKind(), "")
		time.Sleep(50 * time.Millisecond) // the client returns the connection to its pool, if it keeps it
		end, _ = runRequest(t, c, work)
		is.Equal(end.GetErrorKind(), string(errkind.TargetFailed))
		is.Equal(read.Load(), int64(2))
	}
}
