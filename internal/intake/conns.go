package intake

import (
	"container/list"
	"io"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/telemetry"
)

// minHeadTime is how long a connection may take to send its first request before it may be
// closed for another one.
const minHeadTime = time.Second

// Conns bounds the open connections of callers, and the bytes of headers that are being read.
// At either bound it closes the connection that has taken longest to send its first request. It
// is safe for concurrent use.
type Conns struct {
	max          int
	maxHeadBytes int64
	openGauge    metrics.Gauge
	evicted      metrics.Counter

	mu        sync.Mutex
	open      int
	headBytes int64
	// waiting holds the connections whose header has not ended, the oldest first. It has those
	// that never sent one from the start.
	waiting list.List
}

// Conn is a connection in a Conns.
type Conn struct {
	conns *Conns
	conn  io.Closer
	since time.Time // guarded by Conns
	// element is the connection's place among the waiting ones; nil if its header has ended.
	// Conns guards all fields below.
	element   *list.Element
	headBytes int64
	closed    bool
}

// NewConns returns a bound of max connections, and of maxHeadBytes of headers.
func NewConns(maxConns int, maxHeadBytes int64, registry metrics.Registry) *Conns {
	return &Conns{
		max: max(1, maxConns), maxHeadBytes: maxHeadBytes,
		openGauge: metrics.GetOrRegisterGauge(telemetry.Name("caller_connections_open"), registry),
		evicted:   metrics.GetOrRegisterCounter(telemetry.Name("connections_evicted_total"), registry),
	}
}

// NewConn returns a connection that is not counted yet.
func NewConn(conn io.Closer) *Conn { return &Conn{conn: conn, closed: true} }

// Add counts a connection, which is closed if the bound is reached before it has sent a request
// and others need its place. It reports false if there is no place for it.
func (c *Conns) Add(conn *Conn) bool {
	now := time.Now()
	c.mu.Lock()
	var oldest *Conn
	if c.open >= c.max {
		if oldest = c.oldest(); oldest == nil || now.Sub(oldest.since) < minHeadTime {
			c.mu.Unlock()
			return false
		}
		c.remove(oldest)
	}
	conn.conns, conn.since, conn.closed = c, now, false
	conn.element = c.waiting.PushBack(conn)
	c.open++
	c.openGauge.Update(int64(c.open))
	c.mu.Unlock()
	c.close(oldest)
	return true
}

// oldest returns the connection that has taken longest to send its first request, nil if there
// is none. The caller holds mu.
func (c *Conns) oldest() *Conn {
	if e := c.waiting.Front(); e != nil {
		return e.Value.(*Conn)
	}
	return nil
}

// Open returns the number of open connections.
func (c *Conns) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// Evicted returns the number of connections that were closed for others.
func (c *Conns) Evicted() int64 { return c.evicted.Count() }

// Max returns the bound.
func (c *Conns) Max() int { return c.max }

// AddHead counts bytes of a header that has not ended. If all of them are too many, it closes
// the connection that has taken longest.
func (c *Conn) AddHead(n int) {
	s := c.conns
	s.mu.Lock()
	var oldest *Conn
	if !c.closed {
		if c.element == nil { // a later header of the connection
			c.since, c.element = time.Now(), s.waiting.PushBack(c)
		}
		c.headBytes += int64(n)
		s.headBytes += int64(n)
		if s.headBytes > s.maxHeadBytes {
			oldest = s.oldest()
			s.remove(oldest)
		}
	}
	s.mu.Unlock()
	s.close(oldest)
}

// HeadEnded records that a header has ended.
func (c *Conn) HeadEnded() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.conns.removeWaiting(c)
}

// Release records that the connection is closed.
func (c *Conn) Release() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.conns.remove(c)
}

// remove takes a connection out of the count, once. The caller holds mu.
func (c *Conns) remove(conn *Conn) {
	c.removeWaiting(conn)
	if !conn.closed {
		conn.closed = true
		c.open--
		c.openGauge.Update(int64(c.open))
	}
}

// removeWaiting takes a connection out of the waiting ones. The caller holds mu.
func (c *Conns) removeWaiting(conn *Conn) {
	if conn.element == nil {
		return
	}
	c.waiting.Remove(conn.element)
	c.headBytes -= conn.headBytes
	conn.element, conn.headBytes = nil, 0
}

// close closes a connection that was evicted, if there is one.
func (c *Conns) close(conn *Conn) {
	if conn == nil {
		return
	}
	c.evicted.Inc(1)
	// Its caller may have closed it.
	_ = conn.conn.Close()
}
