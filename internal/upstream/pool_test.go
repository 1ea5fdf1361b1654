package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// listen accepts connections, passes each to serve and returns the address.
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

// respondWith returns a handler that writes text after each read.
func respondWith(text string) func(net.Conn) {
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

// roundTrip sends a request on a connection and reads the whole response.
func roundTrip(t *testing.T, c *Conn) {
	t.Helper()
	is := is.New(t)
	_, err := c.Send(&Request{Method: http.MethodPost, URI: "/x", Host: "h"})
	is.NoErr(err)
	resp, err := c.ReadResponse(http.MethodPost)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.NoErr(resp.Body.Close())
}

const emptyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

func TestGetReusesOnlySafeIdleConnections(t *testing.T) {
	for _, c := range []struct {
		name          string
		response      string
		keepAlive     string
		nonRepeatable bool
		// whileIdle changes the idle connection before the next Get.
		whileIdle func(*Conn)
		reused    bool
	}{
		{"recently used", emptyResponse, "", true, func(*Conn) {}, true},
		{"idle for long, repeatable request", emptyResponse, "", false, func(c *Conn) { c.idleSince = c.idleSince.Add(-2 * maxNonRepeatableIdle) }, true},
		{"idle for long, non-repeatable request", emptyResponse, "", true, func(c *Conn) { c.idleSince = c.idleSince.Add(-2 * maxNonRepeatableIdle) }, false},
		{"past the target's keep-alive timeout", emptyResponse, "timeout=1", false, func(c *Conn) { c.idleUntil = c.idleUntil.Add(-time.Second) }, false},
		{"unsolicited bytes in the buffer", emptyResponse + "HTTP/1.1 200 OK\r\n", "", false, func(*Conn) {}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(testResponseBytes, metrics.NewRegistry())
			addr := listen(t, respondWith(c.response))
			first, err := p.Get(context.Background(), addr, true)
			is.NoErr(err)
			roundTrip(t, first)
			time.Sleep(20 * time.Millisecond) // lets all bytes that the target sent arrive
			p.Put(first, c.keepAlive)
			c.whileIdle(first)
			next, err := p.Get(context.Background(), addr, c.nonRepeatable)
			is.NoErr(err)
			defer next.Discard()
			is.Equal(next == first, c.reused)
		})
	}
}

func TestClosedConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	p := NewPool(testResponseBytes, metrics.NewRegistry())
	closed := make(chan struct{})
	addr := listen(t, func(conn net.Conn) {
		buf := make([]byte, 4096)
		if _, err := conn.Read(buf); err == nil {
			_, _ = conn.Write([]byte(emptyResponse))
		}
		_ = conn.Close()
		closed <- struct{}{}
	})
	first, err := p.Get(context.Background(), addr, false)
	is.NoErr(err)
	roundTrip(t, first)
	<-closed
	time.Sleep(20 * time.Millisecond)
	p.Put(first, "")
	next, err := p.Get(context.Background(), addr, false)
	is.NoErr(err)
	is.True(next != first)
	next.Discard()
}

func TestSweepClosesConnectionsToUnusedAddresses(t *testing.T) {
	is := is.New(t)
	p := NewPool(testResponseBytes, metrics.NewRegistry())
	addr := listen(t, respondWith(emptyResponse))
	for _, inUse := range []bool{true, false} {
		c, err := p.Get(context.Background(), addr, false)
		is.NoErr(err)
		roundTrip(t, c)
		p.Put(c, "")
		p.Sweep(time.Now(), func(string) bool { return inUse })
		is.Equal(p.popIdle(addr) == c, inUse)
	}
}

func TestGetReturnsErrDialIfDialingFails(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	_, err = NewPool(testResponseBytes, metrics.NewRegistry()).Get(context.Background(), l.Addr().String(), false)
	is.True(errors.Is(err, ErrDial))
}

// A target may respond before it has read a long body. The response must be
// readable while the body is still being written.
func TestResponseIsReadBeforeTheBodyIsWritten(t *testing.T) {
	is := is.New(t)
	addr := listen(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 100))
		_, _ = conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n" + emptyResponse))
	})
	p := NewPool(testResponseBytes, metrics.NewRegistry())
	c, err := p.Get(context.Background(), addr, false)
	is.NoErr(err)
	finished, err := c.Send(&Request{Method: http.MethodPost, URI: "/x", Host: "h", Body: []byte(strings.Repeat("x", 64<<20))})
	is.NoErr(err)
	resp, err := c.ReadResponse(http.MethodPost)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK) // the interim response is skipped
	is.NoErr(resp.Body.Close())
	select {
	case err := <-finished:
		t.Fatalf("writing the 64 MB body ended early: %v", err)
	default:
	}
	c.Discard()
	is.True(<-finished != nil)
}

func TestARefusedConnectionIsToldFromOneThatIsAccepted(t *testing.T) {
	is := is.New(t)
	pool := NewPool(testResponseBytes, metrics.NewRegistry())
	addr := listen(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	is.True(!pool.Refuses(t.Context(), addr))
	is.True(!pool.Refuses(t.Context(), addr))
	is.Equal(len(pool.idle[addr]), 1) // kept once, for the next request
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	is.True(pool.Refuses(t.Context(), l.Addr().String()))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(!pool.Refuses(ended, l.Addr().String())) // nothing is known
}

// Guards against a connection to a later process that passes for one to an earlier one.
func TestOnlyAConnectionFromBeforeAMomentIsTaken(t *testing.T) {
	is := is.New(t)
	pool := NewPool(testResponseBytes, metrics.NewRegistry())
	addr := listen(t, respondWith(emptyResponse))
	early, err := pool.Open(t.Context(), addr)
	is.NoErr(err)
	moment := time.Now()
	late, err := pool.Open(t.Context(), addr)
	is.NoErr(err)
	pool.Put(early, "")
	pool.Put(late, "")
	is.Equal(pool.IdleOpenedBefore(addr, moment), early)
	is.Equal(pool.IdleOpenedBefore(addr, moment), nil)
	is.Equal(pool.popIdle(addr), late)
	early.Discard()
	late.Discard()
}

// Guards against an anonymous response that may belong to an earlier request of its connection.
func TestNonRepeatableRequestsGetUnusedConnectionsToAnonymousTargets(t *testing.T) {
	for _, c := range []struct {
		name                             string
		anonymous, nonRepeatable, reused bool
	}{
		{"non-repeatable", false, true, true},
		{"non-repeatable, anonymous target", true, true, false},
		{"repeatable, anonymous target", true, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(testResponseBytes, metrics.NewRegistry())
			first, err := p.Get(t.Context(), listen(t, respondWith(emptyResponse)), true)
			is.NoErr(err)
			roundTrip(t, first)
			is.True(first.OnlyRequest())
			if c.anonymous {
				p.RecordAnonymous(first)
			}
			p.Put(first, "")
			next, err := p.Get(t.Context(), first.addr, c.nonRepeatable)
			is.NoErr(err)
			defer next.Discard()
			is.Equal(next == first, c.reused)
			roundTrip(t, next)
			is.Equal(next.OnlyRequest(), !c.reused)
		})
	}
}

// Guards against a response that was cut anywhere and is read as a whole one.
func TestCutResponsesAreNotWhole(t *testing.T) {
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nContent-Length: 10\r\n\r\n0123456789",
		"HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n",
	} {
		for end := range len(whole) + 1 {
			is := is.New(t)
			addr := listen(t, func(conn net.Conn) {
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = conn.Write([]byte(whole[:end]))
				_ = conn.Close()
			})
			c, err := NewPool(testResponseBytes, metrics.NewRegistry()).Open(t.Context(), addr)
			is.NoErr(err)
			_, err = c.Send(&Request{Method: http.MethodPost, URI: "/x", Host: "h"})
			is.NoErr(err)
			resp, err := c.ReadResponse(http.MethodPost)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close() // fails as the read did
			}
			is.Equal(err == nil, end == len(whole)) // whole[:end]
			c.Discard()
		}
	}
}

// Guards against a target that is not known to live on since all connections to it are in use or were opened later.
func TestAWitnessStaysIdleAndIsShared(t *testing.T) {
	is := is.New(t)
	p := NewPool(testResponseBytes, metrics.NewRegistry())
	addr := listen(t, respondWith(emptyResponse))
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() { p.EnsureWitness(t.Context(), addr) })
	}
	group.Wait()
	is.Equal(p.opened.Count(), int64(1))
	witness, moment := p.witnesses[addr][0], time.Now()
	c, err := p.Get(t.Context(), addr, false)
	is.NoErr(err)
	is.True(c != witness)
	for range 2 {
		is.Equal(p.IdleOpenedBefore(addr, moment), witness)
		roundTrip(t, witness)
		p.Put(witness, "")
	}
	p.EnsureWitness(t.Context(), addr)
	is.Equal(len(p.witnesses[addr]), 1)
	witness.idleUntil = time.Now().Add(witnessTime / 2) // it won't stay for long enough
	p.EnsureWitness(t.Context(), addr)
	is.Equal(len(p.witnesses[addr]), 2)
	p.Sweep(time.Now().Add(witnessTime), func(string) bool { return true })
	is.Equal(len(p.witnesses[addr]), 1)
	p.Sweep(time.Now(), func(string) bool { return false })
	is.Equal(len(p.witnesses), 0)
	is.Equal(p.IdleOpenedBefore(addr, moment), nil)
}

// testResponseBytes is the memory for responses in tests that don't use it up.
const testResponseBytes = 1 << 20
