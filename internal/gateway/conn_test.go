package gateway

import (
	"testing"

	"github.com/matryer/is"
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
