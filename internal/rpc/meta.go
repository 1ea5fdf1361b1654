// Package rpc carries calls between processes of the fleet: clients, servers,
// and what every message says besides its own content.
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

// Meta is what every message between processes tells of its sender.
type Meta struct {
	// ConfigurationNumber is the number in force at the sender, 0 for none.
	ConfigurationNumber uint64
	// Stamp is the sender's hybrid logical time.
	Stamp clock.Stamp
	// Addr (IP:port) is where the sender answers peers.
	Addr string
}

// write puts the meta into a header.
func (m Meta) write(h http.Header) {
	h.Set(metaHeader, fmt.Sprintf("%d %x %s", m.ConfigurationNumber, uint64(m.Stamp), m.Addr))
}

// readMeta reads the meta of a header; ok is false if there is none.
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
