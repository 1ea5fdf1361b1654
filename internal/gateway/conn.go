package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/telemetry"
)

// framedConn watches the heads of requests for two framings at once, a length
// beside chunks, of which net/http shows only one.
type framedConn struct {
	net.Conn
	// head holds the start of a request's head until its end was seen.
	head []byte
	// inBody says that the head has ended.
	inBody bool
	twice  atomic.Bool
	// closed lets the listener count the connection's end once.
	closed sync.Once
	open   *atomic.Int64
}

// Close implements net.Conn.
func (c *framedConn) Close() error {
	c.closed.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// mostHeadBytes bounds what is kept of a head.
const mostHeadBytes = 32 << 10

var (
	headEnd        = []byte("\r\n\r\n")
	lengthField    = []byte("\r\ncontent-length:")
	encodingField  = []byte("\r\ntransfer-encoding:")
	connContextKey = new(int)
)

// Read implements net.Conn.
func (c *framedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.inBody {
		c.watch(p[:n])
	}
	return n, err
}

// watch looks at bytes of a head.
func (c *framedConn) watch(p []byte) {
	c.head = append(c.head, p...)
	end := bytes.Index(c.head, headEnd)
	if end < 0 && len(c.head) < mostHeadBytes {
		return
	}
	if end >= 0 {
		c.head = c.head[:end]
	}
	lower := bytes.ToLower(c.head)
	if bytes.Contains(lower, lengthField) && bytes.Contains(lower, encodingField) {
		c.twice.Store(true)
	}
	c.inBody, c.head = true, c.head[:0]
}

// next prepares for the next request of the connection.
func (c *framedConn) next() { c.inBody = false }

// framingListener wraps accepted connections, and closes those above a number
// at once: callers whose request was not read come back, mostly to another
// process, while a process over its memory would cut all of them.
type framingListener struct {
	net.Listener
	most   int64
	open   atomic.Int64
	closed metrics.Counter
}

// connMemory is the memory in bytes that a connection with its request needs at
// most on average.
const connMemory = 64 << 10

// newFramingListener returns a listener for a process of the given memory and
// number of descriptors, of which targets need half.
func newFramingListener(l net.Listener, memory int64, descriptors int, registry metrics.Registry) *framingListener {
	most := memory / connMemory
	if descriptors > 0 {
		most = min(most, int64(descriptors)/2)
	}
	return &framingListener{
		Listener: l, most: max(1, most),
		closed: metrics.GetOrRegisterCounter(telemetry.Name("connections_closed_unread_total"), registry),
	}
}

// Accept implements net.Listener.
func (l *framingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &framedConn{Conn: conn, open: &l.open}, nil
		}
		l.open.Add(-1)
		l.closed.Inc(1)
		// The connection is of no use whether or not closing it fails.
		_ = conn.Close()
	}
}

// connContext keeps the connection for framedTwice.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey, conn)
}

// connState prepares a connection that waits for its next request.
func connState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*framedConn); ok && state == http.StateIdle {
		c.next()
	}
}

// framedTwice reports whether the request of a context came with two framings.
func framedTwice(ctx context.Context) bool {
	c, ok := ctx.Value(connContextKey).(*framedConn)
	return ok && c.twice.Load()
}
