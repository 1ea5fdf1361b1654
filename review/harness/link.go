package main

import (
	"net"
	"sync"
	"time"
)

// link passes channels on to an address. While it is cut, it holds all bytes back.
type link struct {
	listener net.Listener
	to       string

	mu sync.Mutex
	// whole is closed while the link is not cut.
	whole chan struct{}
	// ended is closed when the address ends its channels.
	ended chan struct{}
}

func newLink(to string) (*link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, to: to, whole: make(chan struct{}), ended: make(chan struct{})}
	close(k.whole)
	go k.run()
	return k, nil
}

func (k *link) addr() string { return k.listener.Addr().String() }

// cut cuts the link for a time.
func (k *link) cut(length time.Duration) {
	whole := make(chan struct{})
	k.mu.Lock()
	k.whole = whole
	k.mu.Unlock()
	time.AfterFunc(length, func() { close(whole) })
}

// endChannels ends the present channels, as the process at the address does that ends. What is
// held back of them is lost.
func (k *link) endChannels() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.ended)
	k.ended = make(chan struct{})
}

// wait waits while the link is cut.
func (k *link) wait() {
	k.mu.Lock()
	whole := k.whole
	k.mu.Unlock()
	<-whole
}

func (k *link) channelsEnd() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ended
}

func (k *link) run() {
	for {
		from, err := k.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			to, err := net.Dial("tcp4", k.to)
			if err != nil {
				_ = from.Close()
				return
			}
			ended := k.channelsEnd()
			go k.pass(to, from, ended)
			go k.pass(from, to, ended)
			<-ended
			k.wait()
			reset(from)
			reset(to)
		}()
	}
}

// reset resets a channel.
func reset(conn net.Conn) {
	// Errors don't matter: the channel ends either way.
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// pass copies one direction of a channel until it ends.
func (k *link) pass(to, from net.Conn, ended <-chan struct{}) {
	defer func() { _ = to.Close() }()
	part := make([]byte, 32<<10)
	for {
		n, err := from.Read(part)
		k.wait()
		select {
		case <-ended:
			return
		default:
		}
		if n > 0 {
			if _, err := to.Write(part[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			return
		}
	}
}
