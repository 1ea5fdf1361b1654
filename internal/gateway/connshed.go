package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/zinniaquay/zinniaquay/internal/errkind"
)

const (
	// maxShedHeadBytes is the size up to which a request is read to be shed. The head of a
	// request and a short body fit into it.
	maxShedHeadBytes = 16 << 10
	// shedReadTimeout is how long a connection that is to be shed may take to send its
	// request, and to be drained. Callers give up a request that was not read for longer.
	shedReadTimeout = time.Second
	// maxShedding bounds the connections that wait for the rest of a request to shed it.
	maxShedding = 64
)

// connShedder refuses the requests of new connections before the HTTP server spends a
// goroutine and buffers on them, while the process is short of processor time.
type connShedder struct {
	gateway *Gateway
	// buffer holds the request of the connection that is being accepted, which reader parses.
	buffer []byte
	reader *bufio.Reader
	// waiting holds one value for each connection that waits for the rest of its request.
	waiting chan struct{}
	group   conc.WaitGroup
}

func newConnShedder(g *Gateway) *connShedder {
	return &connShedder{gateway: g, buffer: make([]byte, maxShedHeadBytes), reader: bufio.NewReader(nil), waiting: make(chan struct{}, maxShedding)}
}

// take takes a new connection if its first request is to be shed, and reports whether it did.
// It never blocks.
func (s *connShedder) take(conn *callerConn) bool {
	shedder := s.gateway.shedder
	if !shedder.short() {
		return false
	}
	if !shedder.shouldShed() {
		conn.admitted.Store(true)
		return false
	}
	n, err := readAvailable(conn.Conn, s.buffer)
	switch {
	case errors.Is(err, io.EOF):
		shedder.recordDisconnect()
		s.close(conn)
		return true
	case err != nil && !errors.Is(err, syscall.EAGAIN):
		s.gateway.log.V(1).Info("connection closed unread", "cause", err.Error())
		s.close(conn)
		return true
	}
	if request, complete := s.parse(s.buffer[:n]); complete {
		if _, err := readAvailable(conn.Conn, s.buffer[:1]); errors.Is(err, io.EOF) {
			shedder.recordDisconnect()
		} else {
			s.refuse(conn, request)
		}
		s.close(conn)
		return true
	}
	select {
	case s.waiting <- struct{}{}:
	default:
		// The caller has not been read, so it may repeat its request at once, at another process
		// once this one is out of rotation.
		s.gateway.connLimit.closedUnread.Inc(1)
		shedder.connClosedUnread()
		s.close(conn)
		return true
	}
	start := bytes.Clone(s.buffer[:n])
	s.group.Go(func() {
		defer func() { <-s.waiting }()
		defer s.close(conn)
		s.refuseLater(conn, start)
	})
	return true
}

// refuseLater reads the rest of a request that begins with start, and refuses it.
func (s *connShedder) refuseLater(conn *callerConn, start []byte) {
	if err := conn.SetReadDeadline(time.Now().Add(shedReadTimeout)); err != nil {
		return // the connection is closed
	}
	request, err := http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader(start), io.LimitReader(conn.Conn, maxShedHeadBytes))))
	if err != nil {
		s.gateway.log.V(1).Info("connection closed unread", "cause", err.Error())
		return
	}
	s.refuse(conn, request)
	// What is left unread when a connection is closed would reset it, and the caller might lose
	// the refusal.
	if tcp, ok := conn.Conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, conn.Conn) // ends with the caller's end or at the deadline
	}
}

// refuse counts, logs and writes the refusal of a request.
func (s *connShedder) refuse(conn *callerConn, request *http.Request) {
	g := s.gateway
	g.requestMetrics.requests.Inc(1)
	g.shutdown.requestStarted()
	defer g.shutdown.requestEnded()
	x := &call{r: request, started: time.Now()}
	err := g.refuseShed(x)
	g.requestMetrics.countEnd(string(errkind.Of(err)))
	if g.refusalLogLimiter.Allow() {
		g.logEnd(x, err)
	}
	if err := conn.SetWriteDeadline(time.Now().Add(shedReadTimeout)); err != nil {
		return // the connection is closed
	}
	if _, err := conn.Write(g.lastResponse(x, err)); err != nil {
		g.log.V(1).Info("caller disconnected before its refusal was written", "cause", err.Error())
	}
}

func (s *connShedder) close(conn *callerConn) {
	if err := conn.Close(); err != nil {
		s.gateway.log.V(1).Info("close of a shed connection failed", "cause", err.Error())
	}
}

// lastResponse returns the refusal of a request as the last response of its connection.
func (g *Gateway) lastResponse(x *call, err error) []byte {
	header, body := g.encodeRefusal(x, err)
	header.Set("Connection", "close")
	var b bytes.Buffer
	status := errkind.Of(err).Answer().Status
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if err := header.Write(&b); err != nil {
		g.log.Error(err, "failed to encode the header of a refusal")
	}
	b.WriteString("\r\n")
	if x.r.Method != http.MethodHead {
		b.Write(body)
	}
	return b.Bytes()
}

// parse parses a request with its body. It reports false if some of it is missing. The body
// of what it returns can't be read.
func (s *connShedder) parse(data []byte) (*http.Request, bool) {
	end := bytes.Index(data, headEnd)
	if end < 0 {
		return nil, false
	}
	s.reader.Reset(bytes.NewReader(data))
	request, err := http.ReadRequest(s.reader)
	if err != nil || request.ContentLength < 0 || int64(len(data)-end-len(headEnd)) < request.ContentLength {
		return nil, false
	}
	return request, true
}

// readAvailable reads what a connection has received, without waiting: syscall.EAGAIN if it is
// nothing, io.EOF if the caller has closed it.
func readAvailable(conn net.Conn, buffer []byte) (n int, err error) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := control.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), buffer)
		return true
	})
	switch {
	case controlErr != nil:
		return 0, controlErr
	case err != nil:
		return 0, os.NewSyscallError("read", err)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
