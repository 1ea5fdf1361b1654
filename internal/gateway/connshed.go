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
	"strconv"
	"syscall"
	"time"
	"unicode"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"github.com/zinniaquay/zinniaquay/internal/errkind"
)

const (
	// acceptShedPermille is the refused fraction at or above which requests are shed before
	// the HTTP server has their connections. Below it, handing the others over costs more
	// processor time than shedding saves.
	acceptShedPermille = 250
	// maxShedHeadBytes is the size up to which a request is read to be shed. The head of a
	// request and a short body fit into it.
	maxShedHeadBytes = 16 << 10
	// shedReadTimeout is how long a connection that is to be shed may take to send its
	// request, and to be drained. Callers give up a request that was not read for longer.
	shedReadTimeout = time.Second
	// maxShedding bounds the connections that wait for the rest of a request to shed it.
	maxShedding = 64
	// acceptFlags are those that the Go runtime sets on connections it accepts.
	acceptFlags = syscall.SOCK_NONBLOCK | syscall.SOCK_CLOEXEC
)

// connShedder accepts the connections of callers, and refuses the first requests of most of
// them, while the process is short of processor time. A request that has arrived whole is
// refused with four system calls, without a goroutine, a registration with the runtime's
// poller or a parsed header, so that a flood leaves the processor to the requests that are served.
type connShedder struct {
	gateway *Gateway
	// listener is a duplicate of the listener's descriptor, on which the runtime lets other
	// code wait.
	listener *os.File
	raw      syscall.RawConn
	// buffer holds the request of the connection that is being accepted.
	buffer []byte
	// refusal is what every shed request gets, after the line with its ID.
	refusal shedRefusal
	ended   metrics.Counter
	// waiting holds one value for each connection that waits for the rest of its request.
	waiting chan struct{}
	group   conc.WaitGroup
}

// shedRefusal is an encoded refusal in the parts between which the request's ID is put.
type shedRefusal struct{ status, header, body []byte }

func newConnShedder(g *Gateway, l *net.TCPListener) (*connShedder, error) {
	listener, err := l.File()
	if err != nil {
		return nil, err
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	return &connShedder{gateway: g, listener: listener, raw: raw, buffer: make([]byte, maxShedHeadBytes), refusal: encodeShedRefusal(g),
		ended: g.requestMetrics.ended(string(errkind.Of(errShed))), waiting: make(chan struct{}, maxShedding)}, nil
}

// close ends accept.
func (s *connShedder) close() error { return s.listener.Close() }

// encodeShedRefusal returns the refusal of a shed request as the last response of its connection.
func encodeShedRefusal(g *Gateway) shedRefusal {
	header, body := g.encodeRefusal(&call{}, errShed)
	header.Set("Connection", "close")
	status := errkind.Of(errShed).Answer().Status
	var b bytes.Buffer
	if err := header.Write(&b); err != nil {
		g.log.Error(err, "failed to encode the header of a refusal") // a buffer takes all writes
	}
	b.WriteString("\r\n")
	return shedRefusal{fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status)), b.Bytes(), body}
}

// active reports whether requests are shed before the HTTP server has their connections.
func (s *connShedder) active() bool {
	return s.gateway.shedder.shedPermille.Load() >= acceptShedPermille
}

// accept returns the next connection whose first request is not to be shed, and sheds those
// before it.
func (s *connShedder) accept() (net.Conn, error) {
	for {
		admitted, acceptErr := -1, error(nil)
		err := s.raw.Read(func(fd uintptr) bool {
			admitted, acceptErr = s.acceptOn(int(fd))
			return !errors.Is(acceptErr, syscall.EAGAIN)
		})
		if err != nil {
			return nil, err
		}
		if errors.Is(acceptErr, syscall.ECONNABORTED) {
			continue // the caller left before its connection was accepted
		}
		if acceptErr != nil {
			return nil, acceptError(acceptErr)
		}
		if admitted < 0 {
			continue
		}
		conn, err := connOf(admitted)
		if err != nil {
			s.gateway.log.Error(err, "accepted connection can't be used")
			continue
		}
		return conn, nil
	}
}

// acceptError returns the error that net reports for a failed accept. The HTTP server goes on
// after those that it knows to be temporary, such as a lack of descriptors.
func acceptError(err error) error {
	return &net.OpError{Op: "accept", Net: "tcp4", Err: os.NewSyscallError("accept4", err)}
}

// acceptOn accepts a connection on the listener's descriptor and sheds its first request, or
// returns the descriptor of the connection if it is not to be shed; -1 otherwise.
func (s *connShedder) acceptOn(listener int) (int, error) {
	fd, _, err := syscall.Accept4(listener, acceptFlags)
	if err != nil {
		return -1, err
	}
	if !s.gateway.shedder.shouldShed() {
		return fd, nil
	}
	n, err := syscall.Read(fd, s.buffer)
	switch {
	case err == nil && n == 0:
		s.gateway.shedder.recordDisconnect()
		s.closeDescriptor(fd)
	case err == nil && isWholeRequest(s.buffer[:n]):
		s.refuse(fd, s.buffer[:n])
		s.closeDescriptor(fd)
	case err == nil || errors.Is(err, syscall.EAGAIN):
		s.refuseLater(fd, bytes.Clone(s.buffer[:max(0, n)]))
	default:
		s.gateway.log.V(1).Info("connection closed unread", "cause", err.Error())
		s.closeDescriptor(fd)
	}
	return -1, nil
}

// refuse counts and logs a shed request and writes its refusal to a descriptor.
func (s *connShedder) refuse(fd int, request []byte) {
	if _, err := syscall.Write(fd, s.record(request)); err != nil {
		s.gateway.log.V(1).Info("caller disconnected before its refusal was written", "cause", err.Error())
	}
}

// record counts and logs a shed request, and returns its refusal.
func (s *connShedder) record(request []byte) []byte {
	g := s.gateway
	g.requestMetrics.requests.Inc(1)
	g.shutdown.requestStarted()
	defer g.shutdown.requestEnded()
	x := &call{started: time.Now()}
	name := g.codec.RequestIDHeader()
	x.attempt.ID = headerValue(request, name)
	if g.shedder.countShed() {
		if r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(request))); err == nil {
			g.recordShed(r.Header)
		}
	}
	s.ended.Inc(1)
	if g.refusalLogLimiter.Allow() {
		g.logEnd(x, errShed)
	}
	refusal := append([]byte(nil), s.refusal.status...)
	if x.attempt.ID != "" {
		refusal = fmt.Appendf(refusal, "%s: %s\r\n", name, x.attempt.ID)
	}
	refusal = append(refusal, s.refusal.header...)
	if !bytes.HasPrefix(request, []byte("HEAD ")) {
		refusal = append(refusal, s.refusal.body...)
	}
	return refusal
}

// refuseLater refuses a request that begins with start once the rest of it has come.
func (s *connShedder) refuseLater(fd int, start []byte) {
	select {
	case s.waiting <- struct{}{}:
	default:
		// The caller has not been read, so it may repeat its request at once, at another process
		// once this one is out of rotation.
		s.gateway.connLimit.closedUnread.Inc(1)
		s.gateway.shedder.connClosedUnread()
		s.closeDescriptor(fd)
		return
	}
	s.group.Go(func() {
		defer func() { <-s.waiting }()
		conn, err := connOf(fd)
		if err != nil {
			s.gateway.log.Error(err, "accepted connection can't be used")
			return
		}
		s.refuseWhenRead(conn, start)
		if err := conn.Close(); err != nil {
			s.gateway.log.V(1).Info("close of a shed connection failed", "cause", err.Error())
		}
	})
}

// refuseWhenRead reads the rest of a request that begins with start, and refuses it.
func (s *connShedder) refuseWhenRead(conn net.Conn, start []byte) {
	if err := conn.SetDeadline(time.Now().Add(shedReadTimeout)); err != nil {
		return // the connection is closed
	}
	request := make([]byte, maxShedHeadBytes)
	n := copy(request, start)
	for !bytes.Contains(request[:n], headEnd) {
		read, err := conn.Read(request[n:]) // nothing if the header exceeds the buffer
		n += read
		if err != nil || read == 0 {
			s.gateway.log.V(1).Info("connection closed unread", "bytes", n)
			return
		}
	}
	if _, err := conn.Write(s.record(request[:n])); err != nil {
		s.gateway.log.V(1).Info("caller disconnected before its refusal was written", "cause", err.Error())
		return
	}
	// What is left unread when a connection is closed would reset it, and the caller might lose
	// the refusal.
	if tcp, ok := conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, conn) // ends with the caller's end or at the deadline
	}
}

func (s *connShedder) closeDescriptor(fd int) {
	if err := syscall.Close(fd); err != nil {
		s.gateway.log.V(1).Info("close of a shed connection failed", "cause", err.Error())
	}
}

// connOf returns a descriptor of an accepted connection as a connection.
func connOf(fd int) (net.Conn, error) {
	file := os.NewFile(uintptr(fd), "caller")
	conn, err := net.FileConn(file)
	if err := errors.Join(err, file.Close()); err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		err = tcp.SetNoDelay(true)
	}
	return conn, err
}

// isWholeRequest reports whether data holds a request with all of its body. It reports false if
// only reading it would tell.
func isWholeRequest(data []byte) bool {
	end := bytes.Index(data, headEnd)
	if end < 0 || headerValue(data, "Transfer-Encoding") != "" {
		return false
	}
	length := 0
	if text := headerValue(data, "Content-Length"); text != "" {
		var err error
		if length, err = strconv.Atoi(text); err != nil {
			return false
		}
	}
	return length <= len(data)-end-len(headEnd)
}

// headerValue returns the value of a header of a request that has not been parsed; "" if it has
// none, or one with control characters.
func headerValue(request []byte, name string) string {
	head, _, _ := bytes.Cut(request, headEnd)
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		if len(line) <= len(name) || line[len(name)] != ':' || !bytes.EqualFold(line[:len(name)], []byte(name)) {
			continue
		}
		value := bytes.TrimSpace(line[len(name)+1:])
		if bytes.ContainsFunc(value, unicode.IsControl) {
			return ""
		}
		return string(value)
	}
	return ""
}
