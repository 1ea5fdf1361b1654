package rpc

import (
	"net/http"
	"time"
)

// headerTimeout limits the time in which a peer sends the headers of a call.
const headerTimeout = 5 * time.Second

// NewServer returns an HTTP/2 server without encryption for calls from peers.
func NewServer(handler http.Handler) *http.Server {
	s := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		Protocols:         new(http.Protocols),
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
	}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	return s
}
