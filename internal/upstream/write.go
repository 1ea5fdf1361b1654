package upstream

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"sync"
)

// Request is a request as it is sent to a target.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
}

// maxInlineBodyBytes is the maximum size of a body that is written before the
// response is read; it fits into the buffers of a connection.
const maxInlineBodyBytes = 16 << 10

// headBuffers holds buffers for request heads.
var headBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Send writes a request. A body of more than maxInlineBodyBytes is written
// concurrently with reading the response, since a target may respond before it
// has read the body; finished then receives the result of the write.
func (c *Conn) Send(r *Request) (finished <-chan error, err error) {
	buf := headBuffers.Get().(*bytes.Buffer)
	buf.Reset()
	writeHead(buf, r)
	if len(r.Body) <= maxInlineBodyBytes {
		buf.Write(r.Body)
	}
	c.requests++
	_, err = c.Write(buf.Bytes())
	headBuffers.Put(buf)
	if err != nil {
		return nil, fmt.Errorf("send to %s: %w", c.addr, err)
	}
	if len(r.Body) <= maxInlineBodyBytes {
		return nil, nil
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.Write(r.Body)
		done <- err
	}()
	return done, nil
}

// writeHead writes the request line and headers. Header values come from
// net/http, which rejects bytes that would end a line.
func writeHead(buf *bytes.Buffer, r *Request) {
	buf.WriteString(r.Method)
	buf.WriteByte(' ')
	buf.WriteString(r.URI)
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(r.Host)
	buf.WriteString("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			buf.WriteString(name)
			buf.WriteString(": ")
			buf.WriteString(v)
			buf.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		buf.WriteString("Content-Length: ")
		buf.WriteString(strconv.Itoa(len(r.Body)))
		buf.WriteString("\r\n")
	}
	buf.WriteString("\r\n")
}
