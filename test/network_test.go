package test

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// network is a small TCP stand-in in memory, for tests under fake time. Hosts
// are the IP numbers in addresses. Connections can go silent for good, be cut,
// or be held back while new ones work.
type network struct {
	latency time.Duration

	mu        sync.Mutex
	closed    bool
	listeners map[string]*memListener
	conns     map[*link]struct{}
	dead      map[string]bool
	// kills counts how often a host was killed, so that what is left of a
	// killed process can't act after a restart.
	kills     map[string]int
	heldUntil map[string]time.Time
	parted    map[[2]string]bool
}

func newNetwork() *network {
	return &network{
		latency:   time.Millisecond,
		listeners: make(map[string]*memListener),
		conns:     make(map[*link]struct{}),
		dead:      make(map[string]bool),
		kills:     make(map[string]int),
		heldUntil: make(map[string]time.Time),
		parted:    make(map[[2]string]bool),
	}
}

// link is one connection between two hosts.
type link struct {
	from, to string // hosts
	ends     [2]*memConn
}

// host returns the IP number of an address.
func host(addr string) string {
	h, _, err := net.SplitHostPort(addr)
	if err != nil {
		panic(err)
	}
	return h
}

// listen returns a listener at an address.
func (n *network) listen(addr string) *memListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memListener{network: n, addr: addr, accept: make(chan net.Conn, 256), closed: make(chan struct{})}
	n.listeners[addr] = l
	n.dead[host(addr)] = false
	return l
}

// dialer returns what a process on a host dials with, until it is killed.
func (n *network) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	n.mu.Lock()
	kills := n.kills[from]
	n.mu.Unlock()
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		if err := n.reach(ctx, from, host(addr)); err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		l := n.listeners[addr]
		if n.closed || l == nil || kills != n.kills[from] || n.dead[host(addr)] {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
		}
		c := n.connect(from, host(addr))
		l.accept <- c.ends[1]
		return c.ends[0], nil
	}
}

// dialTimeout is the longest time that opening a connection takes.
const dialTimeout = time.Second

// reach waits as long as it takes for a packet to come from one host to another
// one, and back.
func (n *network) reach(ctx context.Context, from, to string) error {
	n.mu.Lock()
	wait := 2 * n.latency
	for _, h := range []string{from, to} {
		wait = max(wait, time.Until(n.heldUntil[h]))
	}
	lost := n.parted[[2]string{from, to}] || wait > dialTimeout
	n.mu.Unlock()
	if lost {
		wait = dialTimeout
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
	}
	if lost {
		return syscall.ETIMEDOUT
	}
	return nil
}

// connect returns a new link. The caller holds the lock.
func (n *network) connect(from, to string) *link {
	there, back := newHalf(n, from, to), newHalf(n, to, from)
	c := &link{from: from, to: to}
	c.ends[0] = &memConn{in: back, out: there}
	c.ends[1] = &memConn{in: there, out: back}
	n.conns[c] = struct{}{}
	return c
}

// between returns the links that one host opened to another one.
func (n *network) between(from, to string) []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []*link
	for c := range n.conns {
		if c.from == from && c.to == to {
			found = append(found, c)
		}
	}
	return found
}

// silence lets the present connections from one host to another one swallow all
// that is sent from now on. New ones work.
func (n *network) silence(from, to string) {
	for _, c := range n.between(from, to) {
		c.ends[0].out.swallow()
		c.ends[1].out.swallow()
	}
}

// cut resets the present connections from one host to another one.
func (n *network) cut(from, to string) {
	for _, c := range n.between(from, to) {
		c.reset()
	}
}

// part cuts two hosts off from one another until mended.
func (n *network) part(a, b string, parted bool) {
	n.mu.Lock()
	n.parted[[2]string{a, b}] = parted
	n.parted[[2]string{b, a}] = parted
	n.mu.Unlock()
	if parted {
		n.silence(a, b)
		n.silence(b, a)
	}
}

// hold keeps everything from and to a host back for a time, as if the host
// were frozen.
func (n *network) hold(h string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heldUntil[h] = time.Now().Add(d)
}

// kill resets all connections of a host and refuses new ones, both ways.
func (n *network) kill(h string) {
	n.mu.Lock()
	n.dead[h] = true
	n.kills[h]++
	var doomed []*link
	for c := range n.conns {
		if c.from == h || c.to == h {
			doomed = append(doomed, c)
		}
	}
	n.mu.Unlock()
	for _, c := range doomed {
		c.reset()
	}
}

// close resets all connections and closes all listeners.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for c := range n.conns {
		c.reset()
	}
	for _, l := range n.listeners {
		_ = l.Close()
	}
}

func (c *link) reset() {
	for _, end := range c.ends {
		end.in.reset()
	}
}

// held returns the time until which what goes between two hosts is kept back.
func (n *network) held(from, to string) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.heldUntil[from].After(n.heldUntil[to]) {
		return n.heldUntil[from]
	}
	return n.heldUntil[to]
}

type memListener struct {
	network *network
	addr    string
	accept  chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *memListener) Addr() net.Addr { return memAddr(l.addr) }

type memAddr string

// Network implements net.Addr.
func (memAddr) Network() string { return "tcp" }

// String implements net.Addr.
func (a memAddr) String() string { return string(a) }

// segment is bytes on their way.
type segment struct {
	data []byte
	at   time.Time
}

// half is one direction of a connection.
type half struct {
	network  *network
	from, to string

	mu       sync.Mutex
	changed  chan struct{}
	segments []segment
	eof      bool
	err      error
	silent   bool
	deadline time.Time
}

func newHalf(n *network, from, to string) *half {
	return &half{network: n, from: from, to: to, changed: make(chan struct{})}
}

func (h *half) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *half) update(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
	h.wake()
}

func (h *half) swallow() { h.update(func() { h.silent = true }) }

func (h *half) reset() { h.update(func() { h.err = syscall.ECONNRESET }) }

func (h *half) write(p []byte) (int, error) {
	at := time.Now().Add(h.network.latency)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err != nil || h.eof {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.EPIPE}
	}
	if !h.silent {
		h.segments = append(h.segments, segment{append([]byte(nil), p...), at})
		h.wake()
	}
	return len(p), nil
}

// read waits until bytes have come, or the end, or the deadline.
func (h *half) read(p []byte) (int, error) {
	for {
		n, wait, changed, err := h.tryRead(p)
		if n > 0 || err != nil {
			return n, err
		}
		var timer <-chan time.Time
		if wait > 0 {
			timer = time.After(wait)
		}
		select {
		case <-changed:
		case <-timer:
		}
	}
}

// tryRead reads what has come. Without any result it returns how long to wait,
// 0 for as long as nothing changes.
func (h *half) tryRead(p []byte) (n int, wait time.Duration, changed <-chan struct{}, err error) {
	held := time.Until(h.network.held(h.from, h.to))
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	switch {
	case h.err != nil:
		return 0, 0, h.changed, &net.OpError{Op: "read", Net: "tcp", Err: h.err}
	case !h.deadline.IsZero() && !now.Before(h.deadline):
		return 0, 0, h.changed, os.ErrDeadlineExceeded
	case len(h.segments) > 0 && held <= 0 && !h.segments[0].at.After(now):
		n = copy(p, h.segments[0].data)
		h.segments[0].data = h.segments[0].data[n:]
		if len(h.segments[0].data) == 0 {
			h.segments = h.segments[1:]
		}
		return n, 0, h.changed, nil
	case len(h.segments) == 0 && h.eof && !h.silent && held <= 0:
		return 0, 0, h.changed, io.EOF
	}
	if len(h.segments) > 0 {
		wait = max(held, time.Until(h.segments[0].at))
	} else if h.eof && !h.silent {
		wait = held
	}
	if !h.deadline.IsZero() && (wait == 0 || wait > time.Until(h.deadline)) {
		wait = time.Until(h.deadline)
	}
	return 0, wait, h.changed, nil
}

// memConn is one end of a connection.
type memConn struct {
	in, out *half
}

// Read implements net.Conn.
func (c *memConn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write implements net.Conn.
func (c *memConn) Write(p []byte) (int, error) { return c.out.write(p) }

// Close implements net.Conn.
func (c *memConn) Close() error {
	c.in.update(func() {
		if c.in.err == nil {
			c.in.err = net.ErrClosed
		}
	})
	c.out.update(func() { c.out.eof = true })
	return nil
}

// LocalAddr implements net.Conn.
func (c *memConn) LocalAddr() net.Addr { return memAddr(fmt.Sprintf("%s:0", c.out.from)) }

// RemoteAddr implements net.Conn.
func (c *memConn) RemoteAddr() net.Addr { return memAddr(fmt.Sprintf("%s:0", c.out.to)) }

// SetDeadline implements net.Conn.
func (c *memConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *memConn) SetReadDeadline(t time.Time) error {
	c.in.update(func() { c.in.deadline = t })
	return nil
}

// SetWriteDeadline implements net.Conn; writes never wait.
func (c *memConn) SetWriteDeadline(time.Time) error { return nil }
