package sidecar

import (
	"sync"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// maxMerged bounds the bytes that are merged into one chunk on the way out.
const maxMerged = 64 << 10

// buffer keeps the numbered chunks of one answer, so that a router can resume
// on a new connection from any chunk.
type buffer struct {
	mu      sync.Mutex
	chunks  []*zinniaquayv1.Chunk
	changed chan struct{}
}

// newBuffer returns an empty buffer.
func newBuffer() *buffer {
	return &buffer{changed: make(chan struct{})}
}

// append numbers a chunk and wakes the readers.
func (b *buffer) append(c *zinniaquayv1.Chunk) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.Number = uint64(len(b.chunks))
	b.chunks = append(b.chunks, c)
	close(b.changed)
	b.changed = make(chan struct{})
}

// next returns the chunk with the given number, merged with the bodies that
// follow it, or nil and a channel that is closed when there is more.
func (b *buffer) next(from uint64) (*zinniaquayv1.Chunk, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if from >= uint64(len(b.chunks)) {
		return nil, b.changed
	}
	return merge(b.chunks[from:]), nil
}

// merge joins the leading body chunks into one. Other chunks stay alone.
func merge(chunks []*zinniaquayv1.Chunk) *zinniaquayv1.Chunk {
	first := chunks[0]
	body := first.GetBody()
	if body == nil || len(chunks) == 1 || chunks[1].GetBody() == nil {
		return first
	}
	joined := append([]byte(nil), body...)
	merged := uint32(0)
	for _, c := range chunks[1:] {
		if c.GetBody() == nil || len(joined)+len(c.GetBody()) > maxMerged {
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
