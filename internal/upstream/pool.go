// Package upstream sends requests to targets over pooled HTTP/1.1 connections. A
// connection serves one request at a time, and the package never retries a
// request.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/telemetry"
)

// ErrDial means that no connection could be established, so that nothing was
// sent.
var ErrDial = errors.New("no connection")

const (
	// dialTimeout limits the time to establish a connection; hosts are
	// milliseconds apart.
	dialTimeout = 400 * time.Millisecond
	// refusalTimeout limits the wait for a host to refuse a connection; a host that
	// runs does so within a round trip.
	refusalTimeout = 100 * time.Millisecond
	// maxIdle is the maximum time for which a connection is kept idle. Targets
	// close idle connections after some seconds.
	maxIdle = 4 * time.Second
	// maxNonRepeatableIdle is the maximum idle time of a connection for a request
	// that must not be sent twice.
	maxNonRepeatableIdle = time.Second
	// keepAliveMargin is subtracted from the idle timeout that a target announces.
	keepAliveMargin = 500 * time.Millisecond
	// maxIdleConns is the maximum number of idle connections to one target, and
	// maxIdleAnonymousConns that to one that sent an anonymous response.
	maxIdleConns          = 64
	maxIdleAnonymousConns = 4
	// witnessTime is how long a witness may at least stay idle from when a request is sent,
	// and witnessDialTimeout limits the time for which the request waits for one.
	witnessTime        = 2 * time.Second
	witnessDialTimeout = 200 * time.Millisecond
	// anonymousTime is how long a target counts as one whose responses are anonymous.
	anonymousTime = time.Minute
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4096
	// maxHeadBytes bounds what is read of a target's response until its header ends.
	maxHeadBytes = 64 << 10
)

// Pool holds the idle connections to all targets. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	memory *responseMemory
	opened metrics.Counter
	reused metrics.Counter

	mu   sync.Mutex
	idle map[string][]*Conn
	// witnesses holds the idle witnesses by address, and witnessDials what is closed once a
	// witness was dialed.
	witnesses    map[string][]*Conn
	witnessDials map[string]chan struct{}
	// anonymousUntil holds until when the targets that sent an anonymous response count as
	// such, by address.
	anonymousUntil map[string]time.Time
}

// NewPool returns an empty pool. The responses that are read on its connections at the same
// time hold at most responseBytes.
func NewPool(responseBytes int64, registry metrics.Registry) *Pool {
	return &Pool{
		memory: newResponseMemory(responseBytes, registry),
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2},
		},
		opened: metrics.GetOrRegisterCounter(telemetry.Name("target_connections_opened_total"), registry),
		reused: metrics.GetOrRegisterCounter(telemetry.Name("target_connections_reused_total"), registry),
		idle:   make(map[string][]*Conn),

		witnesses:      make(map[string][]*Conn),
		witnessDials:   make(map[string]chan struct{}),
		anonymousUntil: make(map[string]time.Time),
	}
}

// Conn is a connection to a target. It serves one request at a time.
type Conn struct {
	net.Conn
	addr     string
	openedAt time.Time
	reader   *bufio.Reader
	// limiter bounds what reader reads while it reads a header.
	limiter *headLimiter
	// reservation is the memory that the response holds.
	reservation *reservation
	// idleSince is when the connection was last put back, and idleUntil the time
	// from which it must not be reused.
	idleSince, idleUntil time.Time
	// isWitness is true for a witness.
	isWitness bool
	// requests and responses count what was sent and received.
	requests, responses int
}

// OnlyRequest reports whether the connection has carried one request and at most one
// response, so that the response belongs to that request whatever it says.
func (c *Conn) OnlyRequest() bool { return c.requests == 1 && c.responses <= 1 }

// RecordAnonymous records that a response on a connection did not say which request it
// belongs to. For anonymousTime, requests that must not be sent twice get connections to
// the same address that carried no request before.
func (p *Pool) RecordAnonymous(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.anonymousUntil[c.addr] = time.Now().Add(anonymousTime)
}

// isAnonymous reports whether a response from addr was anonymous within anonymousTime. The
// caller holds the lock.
func (p *Pool) isAnonymous(addr string) bool { return time.Now().Before(p.anonymousUntil[addr]) }

// Get returns an idle connection to addr or a new one. nonRepeatable is set if
// the request must not be sent twice. The error wraps ErrDial.
func (p *Pool) Get(ctx context.Context, addr string, nonRepeatable bool) (*Conn, error) {
	now := time.Now()
	p.mu.Lock()
	unused := nonRepeatable && p.isAnonymous(addr)
	p.mu.Unlock()
	for {
		c := p.popWhere(p.idle, addr, func(c *Conn) bool { return !unused || c.requests == 0 })
		if c == nil {
			break
		}
		if now.Before(c.idleUntil) && (!nonRepeatable || now.Sub(c.idleSince) < maxNonRepeatableIdle) && c.reusable() {
			p.reused.Inc(1)
			return c, nil
		}
		c.Discard()
	}
	return p.dial(ctx, addr)
}

// EnsureWitness ensures that there is a witness for requests to addr that are sent in the
// next moments: a connection that carries no requests of callers and shows later whether
// the target has lived on, since no connection outlives its process. If none can be opened
// there is none. Callers that need one at the same time share it.
func (p *Pool) EnsureWitness(ctx context.Context, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := time.Now().Add(witnessTime)
	for _, c := range slices.Backward(p.witnesses[addr]) {
		if until.Before(c.idleUntil) && c.reusable() {
			return
		}
	}
	if opened := p.witnessDials[addr]; opened != nil {
		p.mu.Unlock()
		<-opened
		p.mu.Lock()
		return
	}
	opened := make(chan struct{})
	p.witnessDials[addr] = opened
	p.mu.Unlock()
	// The request doesn't need the witness: if nothing listens, its own connection shows it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), witnessDialTimeout)
	defer cancel()
	c, err := p.dial(ctx, addr)
	if err == nil {
		c.isWitness = true
		p.Put(c, "")
	}
	p.mu.Lock()
	delete(p.witnessDials, addr)
	close(opened)
}

// Refuses reports whether nothing listens at an address, which is certain only if
// its host refuses a connection. A connection that is established is kept for a later
// request if there is no other.
func (p *Pool) Refuses(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	c, err := p.dial(ctx, addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	if p.hasIdle(addr) {
		c.Discard()
		return false
	}
	p.Put(c, "")
	return false
}

func (p *Pool) hasIdle(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[addr]) > 0
}

func (p *Pool) dial(ctx context.Context, addr string) (*Conn, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%w to %s: %w", ErrDial, addr, err)
	}
	p.opened.Inc(1)
	c := &Conn{Conn: conn, addr: addr, openedAt: time.Now()}
	c.reservation = &reservation{memory: p.memory, conn: c}
	c.limiter = &headLimiter{conn: conn, reservation: c.reservation}
	c.reader = bufio.NewReaderSize(c.limiter, readBufferBytes)
	return c, nil
}

// IdleOpenedBefore takes a witness or an idle connection to addr that was opened before a
// moment. It returns nil if there is none.
func (p *Pool) IdleOpenedBefore(addr string, moment time.Time) *Conn {
	for _, list := range []map[string][]*Conn{p.witnesses, p.idle} {
		for {
			c := p.popWhere(list, addr, func(c *Conn) bool { return c.openedAt.Before(moment) })
			if c == nil {
				break
			}
			if c.reusable() {
				return c
			}
			c.Discard()
		}
	}
	return nil
}

// Open opens a connection to addr. The error wraps ErrDial.
func (p *Pool) Open(ctx context.Context, addr string) (*Conn, error) { return p.dial(ctx, addr) }

func (p *Pool) popIdle(addr string) *Conn {
	return p.popWhere(p.idle, addr, func(*Conn) bool { return true })
}

// popWhere takes the connection of a list for which fits returns true that was used last.
func (p *Pool) popWhere(list map[string][]*Conn, addr string, fits func(*Conn) bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := list[addr]
	for i, c := range slices.Backward(conns) {
		if fits(c) {
			list[addr] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

// Put returns a connection to the pool, and gives back the memory that its response held.
// The response must have been read to its end; keepAlive is its Keep-Alive header.
func (p *Pool) Put(c *Conn, keepAlive string) {
	c.reservation.release()
	if c.reader.Buffered() > 0 {
		// Bytes after a complete response belong to no request.
		c.Discard()
		return
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.Discard()
		return
	}
	now := time.Now()
	c.idleSince, c.idleUntil = now, now.Add(idleTimeout(keepAlive))
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.isWitness {
		p.witnesses[c.addr] = append(p.witnesses[c.addr], c)
		return
	}
	if n := len(p.idle[c.addr]); n >= maxIdleConns || n >= maxIdleAnonymousConns && p.isAnonymous(c.addr) {
		c.Discard()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Sweep closes connections that were idle for too long, and those to addresses
// for which inUse returns false.
func (p *Pool) Sweep(now time.Time, inUse func(addr string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.anonymousUntil, func(addr string, until time.Time) bool { return now.After(until) || !inUse(addr) })
	sweep(p.idle, now, inUse)
	sweep(p.witnesses, now, inUse)
}

func sweep(list map[string][]*Conn, now time.Time, inUse func(addr string) bool) {
	for addr, conns := range list {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.idleUntil) && inUse(addr) {
				kept = append(kept, c)
				continue
			}
			c.Discard()
		}
		if len(kept) == 0 {
			delete(list, addr)
			continue
		}
		clear(conns[len(kept):])
		list[addr] = kept
	}
}

// idleTimeout returns how long a connection may be idle, given the response's
// Keep-Alive header.
func idleTimeout(keepAlive string) time.Duration {
	for field := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return min(maxIdle, max(0, time.Duration(seconds)*time.Second-keepAliveMargin))
		}
	}
	return maxIdle
}

// Discard closes a connection that must not be reused, and gives back the memory that its
// response held. Only the user of the connection may call it.
func (c *Conn) Discard() {
	c.Abort()
	c.reservation.release()
}

// Abort closes a connection, so that its user's reads and writes fail.
func (c *Conn) Abort() {
	// The connection is unusable whether or not closing it fails.
	_ = c.Close()
}

// errHeadTooLarge means that a response header, with the interim responses before
// it, exceeds maxHeadBytes.
var errHeadTooLarge = fmt.Errorf("the response header exceeds %d bytes", maxHeadBytes)

// headLimiter reads from a connection, and fails after a number of bytes while it is
// limited. What does not fit into the read buffer counts as held by the response.
type headLimiter struct {
	conn        net.Conn
	reservation *reservation
	limited     bool
	remaining   int
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.conn.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.conn.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	if err != nil {
		return n, l.reservation.cause(err)
	}
	if l.remaining < maxHeadBytes-readBufferBytes {
		if err := l.reservation.reserve(int64(n)); err != nil {
			return 0, err
		}
	}
	return n, nil
}

// ReadResponse reads the head of the response to a request with the given method.
// It skips interim (1xx) responses.
func (c *Conn) ReadResponse(method string) (*http.Response, error) {
	c.limiter.limited, c.limiter.remaining = true, maxHeadBytes
	defer func() { c.limiter.limited = false }()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read response from %s: %w", c.addr, err)
		}
		if resp.StatusCode >= http.StatusOK {
			c.responses++
			return resp, nil
		}
	}
}
