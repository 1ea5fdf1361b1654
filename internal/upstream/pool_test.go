package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// listen accepts connections and hands each to serve.
func listen(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

// answering writes a text after each head that it reads.
func answering(text string) func(net.Conn) {
	return func(conn net.Conn) {
		buf := make([]byte, 4096)
		for {
			if _, err := conn.Read(buf); err != nil {
				return
			}
			if _, err := conn.Write([]byte(text)); err != nil {
				return
			}
		}
	}
}

// exchange sends a request on a connection and reads the whole answer.
func exchange(t *testing.T, c *Conn) {
	t.Helper()
	is := is.New(t)
	_, err := c.Send(&Request{Method: http.MethodPost, URI: "/x", Host: "h"})
	is.NoErr(err)
	resp, err := c.ReadResponse(http.MethodPost)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.NoErr(resp.Body.Close())
}

const emptyAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// Which idle connections carry the next request.
func TestWhichConnectionsAreUsedAgain(t *testing.T) {
	for _, c := range []struct {
		name      string
		answer    string
		keepAlive string
		once      bool
		// between happens while the connection is idle.
		between func(*Conn)
		again   bool
	}{
		{"a fresh one", emptyAnswer, "", true, func(*Conn) {}, true},
		{"one that was idle for long, by what may run again", emptyAnswer, "", false, func(c *Conn) { c.idleFrom = c.idleFrom.Add(-2 * freshIdle) }, true},
		{"one that was idle for long, by what must not", emptyAnswer, "", true, func(c *Conn) { c.idleFrom = c.idleFrom.Add(-2 * freshIdle) }, false},
		{"one past the time that the target states", emptyAnswer, "timeout=1", false, func(c *Conn) { c.idleUntil = c.idleUntil.Add(-time.Second) }, false},
		{"one that holds bytes nobody asked for", emptyAnswer + "HTTP/1.1 200 OK\r\n", "", false, func(*Conn) {}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(metrics.NewRegistry())
			addr := listen(t, answering(c.answer))
			first, err := p.Get(context.Background(), addr, true)
			is.NoErr(err)
			exchange(t, first)
			time.Sleep(20 * time.Millisecond) // whatever else the target sent is in
			p.Put(first, c.keepAlive)
			c.between(first)
			next, err := p.Get(context.Background(), addr, c.once)
			is.NoErr(err)
			defer next.Discard()
			is.Equal(next == first, c.again)
		})
	}
}

// A connection that its target has closed is not used again.
func TestAClosedConnectionIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	p := NewPool(metrics.NewRegistry())
	closed := make(chan struct{})
	addr := listen(t, func(conn net.Conn) {
		buf := make([]byte, 4096)
		if _, err := conn.Read(buf); err == nil {
			_, _ = conn.Write([]byte(emptyAnswer))
		}
		_ = conn.Close()
		closed <- struct{}{}
	})
	first, err := p.Get(context.Background(), addr, false)
	is.NoErr(err)
	exchange(t, first)
	<-closed
	time.Sleep(20 * time.Millisecond)
	p.Put(first, "")
	next, err := p.Get(context.Background(), addr, false)
	is.NoErr(err)
	is.True(next != first)
	next.Discard()
}

func TestSweepClosesWhatIsNotUsed(t *testing.T) {
	is := is.New(t)
	p := NewPool(metrics.NewRegistry())
	addr := listen(t, answering(emptyAnswer))
	for _, used := range []bool{true, false} {
		c, err := p.Get(context.Background(), addr, false)
		is.NoErr(err)
		exchange(t, c)
		p.Put(c, "")
		p.Sweep(time.Now(), func(string) bool { return used })
		is.Equal(p.take(addr) == c, used)
	}
}

func TestNothingWasSentWithoutAConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	_, err = NewPool(metrics.NewRegistry()).Get(context.Background(), l.Addr().String(), false)
	is.True(errors.Is(err, ErrDial))
}

// A long body is written beside the reading of an answer that comes before it is
// in.
func TestAnAnswerBeforeTheBodyIsIn(t *testing.T) {
	is := is.New(t)
	addr := listen(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 100))
		_, _ = conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n" + emptyAnswer))
	})
	p := NewPool(metrics.NewRegistry())
	c, err := p.Get(context.Background(), addr, false)
	is.NoErr(err)
	finished, err := c.Send(&Request{Method: http.MethodPost, URI: "/x", Host: "h", Body: []byte(strings.Repeat("x", 64<<20))})
	is.NoErr(err)
	resp, err := c.ReadResponse(http.MethodPost)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK) // the interim answer is passed over
	is.NoErr(resp.Body.Close())
	select {
	case err := <-finished:
		t.Fatalf("the target has read 64 MB: %v", err)
	default:
	}
	c.Discard()
	is.True(<-finished != nil)
}
