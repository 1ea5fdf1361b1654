package upstream

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"sync"
)

// Request is a request as a target gets it.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
}

// inlineBytes is the size of a body up to which it is written before the answer
// is read; it fits into the buffers of a connection.
const inlineBytes = 16 << 10

// heads holds buffers for the heads of requests.
var heads = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Send writes a request. A long body is written beside the reading of the
// answer, since a target may answer before it has read the body; finished then
// yields the result.
func (c *Conn) Send(r *Request) (finished <-chan error, err error) {
	buf := heads.Get().(*bytes.Buffer)
	buf.Reset()
	writeHead(buf, r)
	if len(r.Body) <= inlineBytes {
		buf.Write(r.Body)
	}
	_, err = c.Write(buf.Bytes())
	heads.Put(buf)
	if err != nil {
		return nil, fmt.Errorf("send to %s: %w", c.addr, err)
	}
	if len(r.Body) <= inlineBytes {
		return nil, nil
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.Write(r.Body)
		done <- err
	}()
	return done, nil
}

// writeHead writes the request line and headers. Header values were read by
// net/http, which refuses bytes that would end a line.
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
