// Package upstream sends requests to targets over kept connections. One request
// uses a connection at a time and nothing is ever sent twice by itself.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/telemetry"
)

// ErrDial means that no connection could be made, so that nothing was sent.
var ErrDial = errors.New("no connection")

// Times of connections.
const (
	// dialTimeout bounds a new connection; hosts are milliseconds apart.
	dialTimeout = 400 * time.Millisecond
	// mostIdle is how long a connection is kept without use. Targets close theirs
	// after some seconds.
	mostIdle = 4 * time.Second
	// freshIdle is the idle time after which a connection is not trusted with a
	// request that must not be sent again.
	freshIdle = time.Second
	// keepAliveMargin is kept from the idle time that a target states.
	keepAliveMargin = 500 * time.Millisecond
	// mostKept is the number of idle connections that are kept to one target.
	mostKept = 64
	// bufferBytes is the size of a connection's read buffer.
	bufferBytes = 4096
)

// Pool holds the idle connections to all targets. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	opened metrics.Counter
	reused metrics.Counter

	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool.
func NewPool(registry metrics.Registry) *Pool {
	return &Pool{
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2},
		},
		opened: metrics.GetOrRegisterCounter(telemetry.Name("target_connections_opened_total"), registry),
		reused: metrics.GetOrRegisterCounter(telemetry.Name("target_connections_reused_total"), registry),
		idle:   make(map[string][]*Conn),
	}
}

// Conn is a connection to a target that one request uses.
type Conn struct {
	net.Conn
	addr   string
	reader *bufio.Reader
	// idleFrom is when the connection was last put back, and idleUntil when it
	// is not to be used any more.
	idleFrom, idleUntil time.Time
}

// Get returns an idle connection to addr or a new one. Once says that the
// request must not be sent again. Its error wraps ErrDial.
func (p *Pool) Get(ctx context.Context, addr string, once bool) (*Conn, error) {
	now := time.Now()
	for {
		c := p.take(addr)
		if c == nil {
			break
		}
		if now.Before(c.idleUntil) && (!once || now.Sub(c.idleFrom) < freshIdle) && c.quiet() {
			p.reused.Inc(1)
			return c, nil
		}
		c.Discard()
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%w to %s: %w", ErrDial, addr, err)
	}
	p.opened.Inc(1)
	return &Conn{Conn: conn, addr: addr, reader: bufio.NewReaderSize(conn, bufferBytes)}, nil
}

func (p *Pool) take(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[addr] = conns[:len(conns)-1]
	return c
}

// Put keeps a connection for the next request. The answer must have been read
// to its end; keepAlive is the answer's Keep-Alive header.
func (p *Pool) Put(c *Conn, keepAlive string) {
	if c.reader.Buffered() > 0 {
		// Bytes after a complete answer belong to no request.
		c.Discard()
		return
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.Discard()
		return
	}
	now := time.Now()
	c.idleFrom, c.idleUntil = now, now.Add(idleTime(keepAlive))
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= mostKept {
		c.Discard()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Sweep closes connections that were idle for too long, and those to addresses
// that used does not report.
func (p *Pool) Sweep(now time.Time, used func(addr string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.idleUntil) && used(addr) {
				kept = append(kept, c)
				continue
			}
			c.Discard()
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		clear(conns[len(kept):])
		p.idle[addr] = kept
	}
}

// idleTime returns how long a connection may be idle, given the answer's
// Keep-Alive header.
func idleTime(keepAlive string) time.Duration {
	for field := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return min(mostIdle, max(0, time.Duration(seconds)*time.Second-keepAliveMargin))
		}
	}
	return mostIdle
}

// Discard closes a connection that is not to be used again.
func (c *Conn) Discard() {
	// The connection is of no use whether or not closing it fails.
	_ = c.Close()
}

// ReadResponse reads the head of the answer to a request of the given method.
// Interim answers are passed over.
func (c *Conn) ReadResponse(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read answer of %s: %w", c.addr, err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}
