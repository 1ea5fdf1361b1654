package sidecar

import (
	"errors"
	"sync"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// maxMergedBytes is the maximum body size of a merged chunk.
const maxMergedBytes = 64 << 10

// errBufferFull means that the budget has no room for more of a response.
var errBufferFull = errors.New("response buffer full")

// buffer holds the numbered chunks of one response, so that a router can resume
// from any chunk on a new connection.
type buffer struct {
	budget *budget

	mu      sync.Mutex
	chunks  []*zinniaquayv1.Chunk
	bytes   int
	dropped bool
	changed chan struct{}
}

// newBuffer returns an empty buffer whose bytes count against a budget.
func newBuffer(b *budget) *buffer {
	return &buffer{budget: b, changed: make(chan struct{})}
}

// add appends a chunk of the response, or returns errBufferFull.
func (b *buffer) add(c *zinniaquayv1.Chunk) error {
	size := len(c.GetBody())
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dropped || !b.budget.acquire(size) {
		return errBufferFull
	}
	b.bytes += size
	b.append(c)
	return nil
}

// addEnd appends the end of the response, which needs no room in the budget.
func (b *buffer) addEnd(e *zinniaquayv1.End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.append(&zinniaquayv1.Chunk{Part: &zinniaquayv1.Chunk_End{End: e}})
}

// append numbers a chunk and wakes the readers. The caller holds the lock.
func (b *buffer) append(c *zinniaquayv1.Chunk) {
	c.Number = uint64(len(b.chunks))
	b.chunks = append(b.chunks, c)
	close(b.changed)
	b.changed = make(chan struct{})
}

// status returns the HTTP status of the response, or 0 if it has no head.
func (b *buffer) status() uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.chunks) == 0 {
		return 0
	}
	return b.chunks[0].GetHead().GetStatus()
}

// drop releases the response's bytes to the budget. Current readers can finish;
// no new reader may start afterwards.
func (b *buffer) drop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.release(b.bytes)
	b.bytes = 0
	b.dropped = true
}

// chunkFrom returns the chunk with the given number, merged with the body
// chunks that follow it. If there is none yet, it returns nil and a channel
// that is closed when a chunk is added.
func (b *buffer) chunkFrom(from uint64) (*zinniaquayv1.Chunk, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if from >= uint64(len(b.chunks)) {
		return nil, b.changed
	}
	return merge(b.chunks[from:]), nil
}

// merge joins the leading body chunks into one. Other chunks are not merged.
func merge(chunks []*zinniaquayv1.Chunk) *zinniaquayv1.Chunk {
	first := chunks[0]
	body := first.GetBody()
	if body == nil || len(chunks) == 1 || chunks[1].GetBody() == nil {
		return first
	}
	joined := append([]byte(nil), body...)
	merged := uint32(0)
	for _, c := range chunks[1:] {
		if c.GetBody() == nil || len(joined)+len(c.GetBody()) > maxMergedBytes {
			break
		}
		joined = append(joined, c.GetBody()...)
		merged++
	}
	return &zinniaquayv1.Chunk{
		Number: first.GetNumber(),
		Part:   &zinniaquayv1.Chunk_Body{Body: joined},
		Merged: merged,
	}
}
