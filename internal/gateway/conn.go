package gateway

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/intake"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
)

// callerConn scans request headers for conflicting framing, a Content-Length
// beside a Transfer-Encoding, of which net/http exposes only one.
type callerConn struct {
	net.Conn
	// head holds the request header received so far, until its end is seen. Of one that is
	// longer than is scanned it holds the last bytes.
	head []byte
	// scanned is true once the header was scanned before its end.
	scanned bool
	// headEnded is true once the header has ended.
	headEnded bool
	// counted is the connection's place in the limit, and writableUntil when the latest deadline
	// for writing passes.
	counted            *intake.Conn
	writableUntil      time.Time
	conflictingFraming atomic.Bool
	// admitted is true if the connection was accepted while requests were shed, and its
	// first request is not to be shed any more.
	admitted atomic.Bool
	// kept is true once the connection has carried a request.
	kept atomic.Bool
	// closeOnce ensures that the close is counted only once.
	closeOnce sync.Once
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.closeOnce.Do(c.counted.Release)
	return c.Conn.Close()
}

// CloseWrite has the HTTP server end a connection on which bytes are unread without a reset, with
// which the caller would lose its answer.
func (c *callerConn) CloseWrite() error { return intake.CloseWrite(c.Conn) }

// maxUnreadTime is how long a caller may read nothing of what is written to it. It is longer
// than the time for which any configuration lets callers be idle.
const maxUnreadTime = 30 * time.Second

// Write implements net.Conn. It fails if the caller reads nothing for too long.
func (c *callerConn) Write(p []byte) (int, error) {
	if now := time.Now(); now.After(c.writableUntil.Add(-maxUnreadTime / 2)) {
		c.writableUntil = now.Add(maxUnreadTime)
		if err := c.SetWriteDeadline(c.writableUntil); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// maxHeadBytes bounds the part of a header that is scanned.
const maxHeadBytes = 32 << 10

var (
	headEnd        = []byte("\r\n\r\n")
	lengthField    = []byte("\r\ncontent-length:")
	encodingField  = []byte("\r\ntransfer-encoding:")
	connContextKey = new(int)
)

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.headEnded {
		c.scanHead(p[:n])
		if c.headEnded {
			c.counted.HeadEnded()
		} else {
			c.counted.AddHead(n)
		}
	}
	return n, err
}

// scanHead scans received bytes of a request header.
func (c *callerConn) scanHead(p []byte) {
	// The end may have begun in what came before.
	from := max(0, len(c.head)-len(headEnd)+1)
	c.head = append(c.head, p...)
	end := bytes.Index(c.head[from:], headEnd)
	if end >= 0 {
		end += from
	}
	if end < 0 && len(c.head) < maxHeadBytes && !c.scanned {
		return
	}
	if !c.scanned {
		c.scanFraming(end)
	}
	if end < 0 {
		c.scanned, c.head = true, append([]byte(nil), c.head[max(0, len(c.head)-len(headEnd)+1):]...)
		return
	}
	c.headEnded, c.scanned, c.head = true, false, c.head[:0]
}

// scanFraming looks for conflicting framing in a header whose end is at a position, or below 0
// if it has none yet.
func (c *callerConn) scanFraming(end int) {
	if end >= 0 {
		c.head = c.head[:end]
	}
	lower := bytes.ToLower(c.head)
	if bytes.Contains(lower, lengthField) && bytes.Contains(lower, encodingField) {
		c.conflictingFraming.Store(true)
	}
}

// nextRequest prepares for the next request on the connection.
func (c *callerConn) nextRequest() {
	c.headEnded = false
	c.kept.Store(true)
}

// connLimit bounds the open connections of callers. Each costs memory, also while it
// is idle, and a process that exceeds its memory would lose all of them.
type connLimit struct {
	*intake.Conns
	closedUnread metrics.Counter
}

const (
	// memoryBytesPerConn is the maximum average memory of a connection with its
	// request.
	memoryBytesPerConn = 64 << 10
	// headMemoryDivisor divides the memory of the process; the result bounds the bytes of
	// headers that have not ended. Parsed, a header takes a few times its bytes.
	headMemoryDivisor = 32
	// keepAliveFraction is the fraction of the limit up to which connections stay
	// open for a next request. Callers that open many and rarely use them again
	// would otherwise fill the limit with idle connections.
	keepAliveFraction = 0.5
)

// newConnLimit returns the limit of a process with the given memory and number of
// descriptors. Half of the descriptors are reserved for connections to targets.
func newConnLimit(memoryBytes int64, descriptors int, registry metrics.Registry) *connLimit {
	limit := memoryBytes / memoryBytesPerConn
	if descriptors > 0 {
		limit = min(limit, int64(descriptors)/2)
	}
	return &connLimit{
		Conns:        intake.NewConns(int(limit), memoryBytes/headMemoryDivisor, registry),
		closedUnread: metrics.GetOrRegisterCounter(telemetry.Name("connections_closed_unread_total"), registry),
	}
}

// keepsAlive reports whether connections stay open for a next request.
func (l *connLimit) keepsAlive() bool {
	return float64(l.Open()) <= keepAliveFraction*float64(l.Max())
}

// callerListener wraps accepted connections, and closes those above the limit.
// Callers whose request was not read reconnect, mostly to another process.
type callerListener struct {
	net.Listener
	limit *connLimit
	// onClosedUnread is called for each connection that is closed at the limit.
	onClosedUnread func()
	// shedder accepts connections while requests are shed; nil if none is shed before it is
	// read.
	shedder *connShedder
}

// listenForCallers listens for connections of callers of a gateway.
func listenForCallers(ctx context.Context, g *Gateway, addr string) (*callerListener, error) {
	// Idle connections of callers end before TCP would find them dead.
	l, err := (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	shedder, err := newConnShedder(g, l.(*net.TCPListener))
	if err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return &callerListener{Listener: l, limit: g.connLimit, onClosedUnread: g.shedder.connClosedUnread, shedder: shedder}, nil
}

// Close implements net.Listener.
func (l *callerListener) Close() error {
	if l.shedder == nil {
		return l.Listener.Close()
	}
	return errors.Join(l.Listener.Close(), l.shedder.close())
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		accept, shedding := l.Listener.Accept, l.shedder != nil && l.shedder.active()
		if shedding {
			accept = l.shedder.accept
		}
		conn, err := accept()
		if err != nil {
			return nil, err
		}
		caller := &callerConn{Conn: conn}
		caller.counted = intake.NewConn(caller)
		if l.limit.Add(caller.counted) {
			caller.admitted.Store(shedding)
			return caller, nil
		}
		l.limit.closedUnread.Inc(1)
		l.onClosedUnread()
		// The connection is of no use whether or not closing it fails.
		_ = conn.Close()
	}
}

// connContext stores the connection in the context, for hasConflictingFraming
// and callerDisconnected.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey, conn)
}

// connState prepares an idle connection for its next request.
func connState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok && state == http.StateIdle {
		c.nextRequest()
	}
}

// resetWhenClosed has the connection of a context end with a reset. What was written and
// not yet sent is lost.
func resetWhenClosed(ctx context.Context) error {
	c, ok := ctx.Value(connContextKey).(*callerConn)
	if !ok {
		return nil
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return tcp.SetLinger(0)
}

// isOnKeptConnection reports whether the connection of a context has carried requests before.
func isOnKeptConnection(ctx context.Context) bool {
	c, ok := ctx.Value(connContextKey).(*callerConn)
	return ok && c.kept.Load()
}

// admittedWhenAccepted reports whether the request of a context is the first of a connection
// that was accepted although requests were shed.
func admittedWhenAccepted(ctx context.Context) bool {
	c, ok := ctx.Value(connContextKey).(*callerConn)
	return ok && c.admitted.Swap(false)
}

// hasConflictingFraming reports whether the request of a context had both a
// Content-Length and a Transfer-Encoding.
func hasConflictingFraming(ctx context.Context) bool {
	c, ok := ctx.Value(connContextKey).(*callerConn)
	return ok && c.conflictingFraming.Load()
}
