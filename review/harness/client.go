package main

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// outcome is how a request ended for its client.
type outcome int

const (
	// answered means a complete answer, with any status.
	answered outcome = iota
	// cut means an answer that ended early.
	cut
	// closed means that the channel ended without any byte of an answer.
	closed
	// unsent means that no channel could be opened, or the request not be written.
	unsent
)

func (o outcome) String() string { return [...]string{"answered", "cut", "closed", "unsent"}[o] }

// result is what a client saw of one request.
type result struct {
	attempt string
	key     string
	gateway *gateway
	// kept is set if the channel had carried an answer before.
	kept       bool
	sent       time.Time
	outcome    outcome
	status     int
	retryAfter time.Duration
}

// request is what a client sends.
type request struct {
	path, attempt, prefix string
	// key is the client's key; empty for apiKey.
	key                 string
	tokensIn, tokensOut int
	deadline            time.Duration
}

// channel is a client's connection to a gateway.
type channel struct {
	net.Conn
	reader  *bufio.Reader
	gateway *gateway
	answers int
}

// clients holds the idle channels of the clients.
type clients struct {
	fleet *fleet

	mu   sync.Mutex
	idle map[int][]*channel
	next int
}

func newClients(f *fleet) *clients { return &clients{fleet: f, idle: make(map[int][]*channel)} }

// take returns an idle channel of a client, or a new one.
func (c *clients) take(client int) (*channel, *gateway, error) {
	c.mu.Lock()
	if idle := c.idle[client]; len(idle) > 0 {
		ch := idle[len(idle)-1]
		c.idle[client] = idle[:len(idle)-1]
		c.mu.Unlock()
		return ch, ch.gateway, nil
	}
	c.mu.Unlock()
	g := c.fleet.route(client)
	conn, err := net.DialTimeout("tcp4", g.callers, time.Second)
	if err != nil {
		return nil, g, err
	}
	return &channel{Conn: conn, reader: bufio.NewReader(conn), gateway: g}, g, nil
}

func (c *clients) put(client int, ch *channel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[client] = append(c.idle[client], ch)
}

// attemptID returns a new ID.
func (c *clients) attemptID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return fmt.Sprintf("%016x", 0x1c41d07b00000000+c.next)
}

// do sends a request of a client and reads the answer.
func (c *clients) do(client int, r request) result {
	res := result{attempt: r.attempt, sent: time.Now(), outcome: unsent}
	ch, g, err := c.take(client)
	res.gateway = g
	if err != nil {
		return res
	}
	res.kept = ch.answers > 0
	var head bytes.Buffer
	fmt.Fprintf(&head, "POST /%s/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nCredential: %s\r\n",
		r.path, host, r.attempt, r.deadline.Milliseconds(), cmp.Or(r.key, apiKey))
	if r.prefix != "" {
		fmt.Fprintf(&head, "Model: m\r\nToken-Usage: %d,%d\r\nPrompt-Prefix: %s\r\n", r.tokensIn, r.tokensOut, r.prefix)
	}
	head.WriteString("Content-Length: 5\r\n\r\nhello")
	_ = ch.SetDeadline(time.Now().Add(r.deadline + time.Second))
	res.sent = time.Now()
	if _, err := ch.Write(head.Bytes()); err != nil {
		_ = ch.Close()
		return res
	}
	if c.readAnswer(ch, &res) {
		ch.answers++
		c.put(client, ch)
		return res
	}
	_ = ch.Close()
	return res
}

// readAnswer reads an answer. It reports whether the channel stays open.
func (c *clients) readAnswer(ch *channel, res *result) bool {
	res.outcome = closed
	if _, err := ch.reader.Peek(1); err != nil {
		return false
	}
	res.outcome = cut
	resp, err := http.ReadResponse(ch.reader, nil)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	res.status = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		res.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return false
	}
	res.outcome = answered
	return !resp.Close
}
