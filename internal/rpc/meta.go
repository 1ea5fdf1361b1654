// Package rpc provides the clients and servers for calls between processes of
// the fleet, and the metadata that every message carries.
package rpc

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/zinniaquay/zinniaquay/internal/clock"
)

// metaHeader carries Meta on every request and response.
const metaHeader = "Zq"

// Meta is the metadata on its sender that every message between processes
// carries.
type Meta struct {
	// ConfigurationNumber is the number of the configuration in force at the
	// sender, or 0 for none.
	ConfigurationNumber uint64
	// Stamp is the sender's hybrid logical timestamp.
	Stamp clock.Stamp
	// Addr (IP:port) is the address at which the sender accepts calls from peers.
	Addr string
}

// write sets the metadata in a header.
func (m Meta) write(h http.Header) {
	h.Set(metaHeader, fmt.Sprintf("%d %x %s", m.ConfigurationNumber, uint64(m.Stamp), m.Addr))
}

// readMeta reads the metadata from a header. ok is false if it is missing or
// malformed.
func readMeta(h http.Header) (m Meta, ok bool) {
	fields := strings.Fields(h.Get(metaHeader))
	if len(fields) != 3 {
		return Meta{}, false
	}
	number, err := strconv.ParseUint(fields[0], 10, 64)
	if err != nil {
		return Meta{}, false
	}
	stamp, err := strconv.ParseUint(fields[1], 16, 64)
	if err != nil {
		return Meta{}, false
	}
	return Meta{ConfigurationNumber: number, Stamp: clock.Stamp(stamp), Addr: fields[2]}, true
}
