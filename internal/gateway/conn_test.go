package gateway

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

func TestTwoFramingsAreSeenHoweverTheHeadArrives(t *testing.T) {
	const twice = "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	const once = "POST / HTTP/1.1\r\nContent-Length: 60\r\n\r\n\r\ntransfer-encoding: chunked\r\ncontent-length: 1\r\n\r\n"
	is := is.New(t)
	for size := 1; size < len(twice); size++ {
		c := &framedConn{}
		for at := 0; at < len(twice) && !c.inBody; at += size {
			c.watch([]byte(twice[at:min(at+size, len(twice))]))
		}
		is.True(c.twice.Load()) // size
	}
	c := &framedConn{}
	c.watch([]byte(once))
	is.True(!c.twice.Load()) // a body may say anything
	c.next()
	c.watch([]byte(twice))
	is.True(c.twice.Load())
}

func TestConnectionsAboveTheLimitAreClosedUnread(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	l := newFramingListener(inner, 2*connMemory, 0, metrics.NewRegistry())
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	var conns []net.Conn
	for range 3 {
		conn, err := net.Dial("tcp4", inner.Addr().String())
		is.NoErr(err)
		conns = append(conns, conn)
	}
	_, err = conns[2].Read(make([]byte, 1))
	is.Equal(err, io.EOF) // closed at once
	is.Equal(len(accepted), 2)
	first := <-accepted
	is.NoErr(first.Close())
	is.True(first.Close() != nil) // counts once
	is.Equal(l.open.Load(), int64(1))
	is.NoErr(inner.Close())
}
