package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// reservations returns reservations of the same memory that hold so many bytes.
func reservations(t *testing.T, memoryBytes int64, held ...int64) []*reservation {
	t.Helper()
	m := newResponseMemory(memoryBytes, metrics.NewRegistry())
	var all []*reservation
	for _, n := range held {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		r := &reservation{memory: m, conn: &Conn{Conn: near}}
		r.conn.reservation = r
		is.New(t).NoErr(r.reserve(n))
		all = append(all, r)
	}
	return all
}

// releaseWhenClosed gives back what a response holds once its connection is closed, as its
// reader does.
func releaseWhenClosed(r *reservation) {
	go func() {
		_, _ = r.conn.Read(make([]byte, 1)) // fails by the close
		r.release()
	}()
}

// Guards against sound responses that are refused while responses without end hold the memory.
func TestTheLargestResponseMakesRoomForOthers(t *testing.T) {
	is := is.New(t)
	all := reservations(t, 100, 60, 30, 10)
	releaseWhenClosed(all[0])
	is.NoErr(all[2].reserve(10))
	is.True(errors.Is(all[0].cause(io.EOF), ErrResponseMemory)) // its reader learns why it ended
	is.Equal(all[1].cause(io.EOF), io.EOF)
	is.Equal(all[0].memory.availableBytes, int64(50))
}

// Guards against a response that ends others although it holds the most itself.
func TestTheLargestResponseEndsNoOther(t *testing.T) {
	is := is.New(t)
	all := reservations(t, 100, 60, 40)
	is.Equal(all[0].reserve(10), ErrResponseMemory)
	is.Equal(all[1].cause(io.EOF), io.EOF)
}

// Guards against complete responses that are ended while they are passed on.
func TestCompleteResponsesAreNotEnded(t *testing.T) {
	is := is.New(t)
	all := reservations(t, 100, 60, 30, 10)
	all[0].markComplete()
	releaseWhenClosed(all[1])
	is.NoErr(all[2].reserve(20))
	is.Equal(all[0].cause(io.EOF), io.EOF)
	all[0].release()
	is.Equal(all[0].memory.availableBytes, int64(70))
}

// Guards against bodies that are cut, or that hold memory after their connection is put back.
func TestBodiesAreReadWholeInEveryFraming(t *testing.T) {
	const size = 3*maxChunkBytes + 7
	text := strings.Repeat("b", size)
	for name, body := range map[string]string{
		"length": "Content-Length: 196615\r\n\r\n" + text, "chunks": "Transfer-Encoding: chunked\r\n\r\n30007\r\n" + text + "\r\n0\r\n\r\n",
		"connection": "Connection: close\r\n\r\n" + text, "empty": "Content-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := listen(t, func(conn net.Conn) {
				if _, err := conn.Read(make([]byte, 4096)); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+body) // checked by its reader
					_ = conn.Close()
				}
			})
			pool := NewPool(2*size, metrics.NewRegistry())
			c, err := pool.Open(t.Context(), addr)
			is.NoErr(err)
			_, err = c.Send(&Request{Method: http.MethodGet, URI: "/x", Host: "h"})
			is.NoErr(err)
			resp, err := c.ReadResponse(http.MethodGet)
			is.NoErr(err)
			parts, err := c.ReadBody(resp, size)
			is.NoErr(err)
			var read strings.Builder
			for _, part := range parts {
				read.Write(part)
			}
			is.True(read.String() == text || name == "empty" && read.Len() == 0)
			c.Discard()
			is.Equal(pool.memory.availableBytes, int64(2*size))
		})
	}
}

// Guards against a cut body that counts as whole, and one beyond the limit that is kept.
func TestBodiesThatAreCutOrTooLargeFail(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]error{
		"Content-Length: 10\r\n\r\nhello":                   io.ErrUnexpectedEOF,
		"Content-Length: 3000\r\n\r\n":                      ErrResponseTooLarge,
		"\r\n" + strings.Repeat("b", 2500):                  ErrResponseTooLarge,
		"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n3": io.ErrUnexpectedEOF,
	} {
		addr := listen(t, func(conn net.Conn) {
			if _, err := conn.Read(make([]byte, 4096)); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+text) // checked by its reader
				_ = conn.Close()
			}
		})
		c, err := NewPool(1<<20, metrics.NewRegistry()).Open(t.Context(), addr)
		is.NoErr(err)
		_, err = c.Send(&Request{Method: http.MethodGet, URI: "/x", Host: "h"})
		is.NoErr(err)
		resp, err := c.ReadResponse(http.MethodGet)
		is.NoErr(err)
		_, err = c.ReadBody(resp, 2000)
		is.True(errors.Is(err, want))
		c.Discard()
	}
}
