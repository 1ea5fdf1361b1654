package upstream

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/telemetry"
)

const (
	// minChunkBytes and maxChunkBytes bound the chunks in which a response body is held.
	minChunkBytes = 1 << 10
	maxChunkBytes = 64 << 10
	// maxMemoryWait is how long a response waits for memory that others are to give back.
	maxMemoryWait = time.Second
)

var (
	// ErrResponseMemory means that a response was ended because it held more than others
	// when the memory for responses was used up, or because none became free.
	ErrResponseMemory = errors.New("the memory for responses is used up")
	// ErrResponseTooLarge means that a response exceeds the size up to which it is read.
	ErrResponseTooLarge = errors.New("the response is too large")
)

// responseMemory bounds the bytes that responses hold together while they are read and
// passed on. Once they are used up, the unfinished response that holds the most is ended:
// complete responses are small, and those without end grow. It is safe for concurrent use.
type responseMemory struct {
	held  metrics.Gauge
	ended metrics.Counter

	mu             sync.Mutex
	availableBytes int64
	totalBytes     int64
	// reservations holds those that hold bytes.
	reservations map[*reservation]struct{}
	// released is closed and replaced when bytes are released or a response is ended.
	released chan struct{}
}

// reservation is the part of the memory that the response on a connection holds. Its
// responseMemory guards its fields.
type reservation struct {
	memory *responseMemory
	conn   *Conn
	bytes  int64
	// complete is true once the response has been read to its end, and ended if its memory
	// is needed by others.
	complete, ended bool
}

func newResponseMemory(bytes int64, registry metrics.Registry) *responseMemory {
	return &responseMemory{
		held:           metrics.GetOrRegisterGauge(telemetry.Name("response_bytes_held"), registry),
		ended:          metrics.GetOrRegisterCounter(telemetry.Name("responses_ended_for_memory_total"), registry),
		availableBytes: bytes, totalBytes: bytes,
		reservations: make(map[*reservation]struct{}), released: make(chan struct{}),
	}
}

// reserve adds n bytes to what a response holds. It ends larger responses if it must, and
// fails if there is none.
func (r *reservation) reserve(n int64) error {
	m := r.memory
	timeout := time.NewTimer(maxMemoryWait)
	defer timeout.Stop()
	m.mu.Lock()
	defer m.mu.Unlock()
	for !r.ended && m.availableBytes < n {
		if !m.makeRoom(r, n) {
			break
		}
		released := m.released
		m.mu.Unlock()
		expired := false
		select {
		case <-released:
		case <-timeout.C:
			expired = true
		}
		m.mu.Lock()
		if expired {
			break
		}
	}
	if !r.ended && m.availableBytes < n {
		r.ended = true
		m.ended.Inc(1)
	}
	if r.ended {
		return ErrResponseMemory
	}
	m.availableBytes -= n
	r.bytes += n
	m.reservations[r] = struct{}{}
	m.held.Update(m.totalBytes - m.availableBytes)
	return nil
}

// makeRoom ends the unfinished response that holds the most, unless those that were ended
// are about to release enough. It reports false if r holds the most itself and complete
// responses won't release enough either. The caller holds the lock.
func (m *responseMemory) makeRoom(r *reservation, n int64) bool {
	ending, complete := m.availableBytes, int64(0)
	var largest *reservation
	for other := range m.reservations {
		switch {
		case other.ended:
			ending += other.bytes
		case other.complete:
			complete += other.bytes
		case largest == nil || other.bytes > largest.bytes:
			largest = other
		}
	}
	switch {
	case ending >= n:
		return true
	case largest == nil || largest.bytes <= r.bytes:
		return ending+complete >= n
	}
	largest.ended = true
	m.ended.Inc(1)
	largest.conn.Abort()
	m.signal()
	return true
}

// release gives back what a response holds.
func (r *reservation) release() {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.bytes > 0 {
		delete(m.reservations, r)
		m.availableBytes += r.bytes
		m.held.Update(m.totalBytes - m.availableBytes)
		m.signal()
	}
	r.bytes, r.complete = 0, false
}

func (m *responseMemory) signal() {
	close(m.released)
	m.released = make(chan struct{})
}

func (r *reservation) markComplete() {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.complete = true
}

// ReadBody reads the body of the response on the connection to its end and returns it in
// parts. It holds memory until the connection is put back or discarded. It fails with
// ErrResponseTooLarge beyond maxBytes, and with ErrResponseMemory if other responses need
// the memory.
func (c *Conn) ReadBody(resp *http.Response, maxBytes int64) ([][]byte, error) {
	if resp.ContentLength > maxBytes {
		return nil, ErrResponseTooLarge
	}
	var parts [][]byte
	total, size := int64(0), int64(minChunkBytes)
	for {
		if resp.ContentLength >= 0 {
			size = min(resp.ContentLength-total, maxChunkBytes)
		}
		if size == 0 {
			c.reservation.markComplete()
			return parts, nil
		}
		if err := c.reservation.reserve(size); err != nil {
			return nil, err
		}
		part, err := fill(resp.Body, make([]byte, size))
		if len(part) > 0 {
			parts = append(parts, part)
		}
		total += int64(len(part))
		switch {
		case total > maxBytes:
			return nil, ErrResponseTooLarge
		case errors.Is(err, io.EOF):
			c.reservation.markComplete()
			return parts, nil
		case err != nil:
			return nil, c.reservation.cause(err)
		}
		size = min(2*size, maxChunkBytes)
	}
}

// fill reads into a buffer until it is full or reading fails, and returns the filled part.
// Unlike io.ReadFull, it tells the end of a body from one that is cut short.
func fill(body io.Reader, buffer []byte) ([]byte, error) {
	n := 0
	for n < len(buffer) {
		read, err := body.Read(buffer[n:])
		n += read
		if err != nil {
			return buffer[:n], err
		}
	}
	return buffer, nil
}

// cause returns why reading a response failed: ErrResponseMemory if it was ended.
func (r *reservation) cause(err error) error {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	if r.ended {
		return ErrResponseMemory
	}
	return err
}
