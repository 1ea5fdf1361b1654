package intake

import (
	"net"
	"net/http"
	"sync"
)

// Listener accepts connections within a bound, and closes those beyond it. ConnState tells it
// which of them have sent something.
type Listener struct {
	net.Listener
	conns *Conns
}

// NewListener returns a listener whose connections count in a bound.
func NewListener(l net.Listener, conns *Conns) *Listener { return &Listener{l, conns} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		counted := &countedConn{Conn: conn}
		counted.place = NewConn(counted)
		if l.conns.Add(counted.place) {
			return counted, nil
		}
		// The connection is of no use whether or not closing it fails.
		_ = conn.Close()
	}
}

// countedConn is a connection that counts until it is closed.
type countedConn struct {
	net.Conn
	place *Conn
	once  sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(c.place.Release)
	return c.Conn.Close()
}

// CloseWrite has the HTTP server end a connection on which bytes are unread without a reset, with
// which the caller would lose its answer.
func (c *countedConn) CloseWrite() error { return CloseWrite(c.Conn) }

// CloseWrite closes the writing side of a connection, if it has one of its own.
func CloseWrite(conn net.Conn) error {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// ConnState is the http.Server's hook that records connections on which a request has begun.
func ConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*countedConn); ok && state == http.StateActive {
		c.place.HeadEnded()
	}
}
