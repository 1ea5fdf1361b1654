package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
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

// framingListener wraps accepted connections.
type framingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l framingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framedConn{Conn: conn}, nil
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
