// Package intake bounds what callers hold of a process before their requests are served: the
// memory of bodies that are being read, and the connections that have not sent a request yet.
// What is used up is taken from those that make no progress first.
package intake

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/telemetry"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

const (
	// firstBlockBytes bounds the block that a body gets before any of it has come, whatever
	// length is announced, and maxBlockBytes those after it.
	firstBlockBytes, maxBlockBytes = 16 << 10, 256 << 10
	// minChunkedBytes is the first block of a body without a length.
	minChunkedBytes = 4 << 10
	// stallTime is the time without a byte after which a body may lose its memory to another
	// one, and minBytesPerSecond the rate below which it may after that time.
	stallTime         = time.Second
	minBytesPerSecond = 16 << 10
	// maxMemoryWait is how long a body waits for memory that others are to give back.
	maxMemoryWait = 300 * time.Millisecond
	// sweepInterval is the interval between checks for bodies whose sender is silent.
	sweepInterval = time.Second
)

// Errors of reading a body.
var (
	// ErrMemory means that the memory for bodies is used up, or was needed by others.
	ErrMemory = errors.New("the memory for bodies is used up")
	// ErrSilent means that the sender sent nothing for too long.
	ErrSilent = errors.New("the rest of the body did not come in time")
	// ErrTooLarge means that the body exceeds its limit.
	ErrTooLarge = errors.New("the body is too large")
)

// Sender is the connection that a body is read from.
type Sender interface {
	SetReadDeadline(deadline time.Time) error
}

// Bodies bounds the memory of the bodies that are being read and of those that were read and
// not released. It is safe for concurrent use.
type Bodies struct {
	held    metrics.Gauge
	evicted metrics.Counter

	mu         sync.Mutex
	totalBytes int64
	usedBytes  int64
	// reading holds the bodies that are being read.
	reading map[*reader]struct{}
	// released is closed and replaced when memory is released, if waiting bodies wait for it.
	released chan struct{}
	waiting  int
}

// reader is a body that is being read. Its Bodies guards its fields.
type reader struct {
	sender Sender
	// reserved is the memory that it holds.
	reserved int64
	// begun is when reading began, and progressed when the latest byte came.
	begun, progressed time.Time
	bytes             int64
	// evicted is why the body is not read any further; nil if it is.
	evicted error
}

// NewBodies returns a bound for a process.
func NewBodies(totalBytes int64, registry metrics.Registry) *Bodies {
	return &Bodies{
		held:       metrics.GetOrRegisterGauge(telemetry.Name("body_bytes_held"), registry),
		evicted:    metrics.GetOrRegisterCounter(telemetry.Name("bodies_evicted_total"), registry),
		totalBytes: totalBytes, reading: make(map[*reader]struct{}), released: make(chan struct{}),
	}
}

// Body is a body with the memory that it holds. A nil body is that of a request without one.
type Body struct {
	data   []byte
	bodies *Bodies
	held   int64
}

// Bytes returns the body.
func (b *Body) Bytes() []byte {
	if b == nil {
		return nil
	}
	return b.data
}

// Release gives the memory of a body back.
func (b *Body) Release() {
	if b != nil {
		b.bodies.release(b.held)
	}
}

// Read reads a body to its end. length is what its sender announced, below 0 if nothing.
// Memory is reserved before it is used. The error is ErrTooLarge, ErrMemory, ErrSilent or that
// of the sender; the connection is of no use after any of them.
func (b *Bodies) Read(from io.Reader, sender Sender, length, limit int64) (*Body, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	now := time.Now()
	r := &reader{sender: sender, begun: now, progressed: now}
	b.mu.Lock()
	b.reading[r] = struct{}{}
	b.mu.Unlock()
	blocks, total, err := b.fill(r, from, length, limit)
	var data []byte
	if err == nil {
		data, err = b.join(r, blocks, total)
	}
	if len(blocks) > 1 {
		giveBlocksBack(blocks)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reading, r)
	if r.evicted != nil {
		err = r.evicted
	}
	if err != nil {
		b.releaseLocked(r.reserved)
		return nil, err
	}
	return &Body{data: data, bodies: b, held: r.reserved}, nil
}

// fill reads a body in blocks, whose size grows with what has come.
func (b *Bodies) fill(r *reader, from io.Reader, length, limit int64) (blocks [][]byte, total int64, err error) {
	size := int64(minChunkedBytes)
	if length >= 0 {
		// One byte more than announced, so that the end is read without another block.
		limit, size = length, length+1
	}
	var block []byte
	for size = min(size, firstBlockBytes); ; {
		if len(block) == cap(block) {
			size = min(size, limit+1-total)
			if err := b.reserve(r, size); err != nil {
				return blocks, total, err
			}
			block = newBlock(size)
			blocks = append(blocks, block)
			size = min(2*size, maxBlockBytes)
		}
		n, err := from.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		blocks[len(blocks)-1] = block
		total += int64(n)
		b.progress(r, n)
		switch {
		case total > limit:
			return blocks, total, ErrTooLarge
		case errors.Is(err, io.EOF) && total < length:
			return blocks, total, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return blocks, total, nil
		case err != nil:
			return blocks, total, err
		}
	}
}

// largeBlocks holds blocks of maxBlockBytes. Those of bodies that were given up serve the next
// ones, and are no garbage beside them.
var largeBlocks = sync.Pool{New: func() any { return new([maxBlockBytes]byte) }}

// newBlock returns an empty block of a size.
func newBlock(size int64) []byte {
	if size == maxBlockBytes {
		return largeBlocks.Get().(*[maxBlockBytes]byte)[:0]
	}
	return make([]byte, 0, size)
}

// giveBlocksBack returns the blocks of a body that is not used any more, or was copied.
func giveBlocksBack(blocks [][]byte) {
	for _, block := range blocks {
		if cap(block) == maxBlockBytes {
			largeBlocks.Put((*[maxBlockBytes]byte)(block[:maxBlockBytes]))
		}
	}
}

// join returns the blocks of a body as one.
func (b *Bodies) join(r *reader, blocks [][]byte, total int64) ([]byte, error) {
	if len(blocks) == 1 {
		return blocks[0], nil
	}
	held := r.reserved
	if err := b.reserve(r, total); err != nil {
		return nil, err
	}
	data := slices.Concat(blocks...)
	b.mu.Lock()
	defer b.mu.Unlock()
	r.reserved -= held
	b.releaseLocked(held)
	return data, nil
}

// progress records that bytes of a body have come.
func (b *Bodies) progress(r *reader, n int) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r.bytes += int64(n)
	r.progressed = time.Now()
}

// reserve reserves memory for a body. If there is none left it evicts bodies that make no
// progress, and waits for them for a moment.
func (b *Bodies) reserve(r *reader, n int64) error {
	var timeout <-chan time.Time
	b.mu.Lock()
	defer b.mu.Unlock()
	for r.evicted == nil && b.usedBytes+n > b.totalBytes {
		b.makeRoom(r, n)
		released := b.released
		if timeout == nil {
			timer := time.NewTimer(maxMemoryWait)
			defer timer.Stop()
			timeout = timer.C
		}
		b.waiting++
		b.mu.Unlock()
		expired := false
		select {
		case <-released:
		case <-timeout:
			expired = true
		}
		b.mu.Lock()
		b.waiting--
		if expired && b.usedBytes+n > b.totalBytes {
			return ErrMemory
		}
	}
	if r.evicted != nil {
		return r.evicted
	}
	b.usedBytes += n
	r.reserved += n
	b.held.Update(b.usedBytes)
	return nil
}

// makeRoom evicts bodies that make no progress, those that hold the most first, until the
// memory that they give back is enough. The caller holds mu.
func (b *Bodies) makeRoom(except *reader, n int64) {
	now := time.Now()
	missing := b.usedBytes + n - b.totalBytes
	for other := range b.reading {
		if other.evicted != nil {
			missing -= other.reserved
		}
	}
	for missing > 0 {
		var largest *reader
		for other := range b.reading {
			if other != except && other.evicted == nil && other.stalled(now) && (largest == nil || other.reserved > largest.reserved) {
				largest = other
			}
		}
		if largest == nil || largest.reserved == 0 {
			return
		}
		missing -= largest.reserved
		b.evict(largest, ErrMemory)
	}
}

// stalled reports whether a body makes too little progress to keep its memory when others
// need it.
func (r *reader) stalled(now time.Time) bool {
	elapsed := now.Sub(r.begun)
	return now.Sub(r.progressed) > stallTime || elapsed > stallTime && float64(r.bytes) < minBytesPerSecond*elapsed.Seconds()
}

// evict ends the reading of a body. The caller holds mu.
func (b *Bodies) evict(r *reader, cause error) {
	r.evicted = cause
	b.evicted.Inc(1)
	// A deadline in the past ends a read that waits. If it can't be set, the connection is
	// closed already.
	_ = r.sender.SetReadDeadline(time.Unix(1, 0))
}

// Evicted returns the number of bodies that were not read to their end, since others needed
// their memory or their senders were silent.
func (b *Bodies) Evicted() int64 { return b.evicted.Count() }

func (b *Bodies) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked(n)
}

func (b *Bodies) releaseLocked(n int64) {
	b.usedBytes -= n
	b.held.Update(b.usedBytes)
	if b.waiting > 0 {
		close(b.released)
		b.released = make(chan struct{})
	}
}

// Sweep evicts bodies of which nothing has come for longer than maxSilence returns, until the
// context ends.
func (b *Bodies) Sweep(ctx context.Context, maxSilence func() time.Duration) {
	for wait.For(ctx, sweepInterval) {
		now, limit := time.Now(), maxSilence()
		b.mu.Lock()
		for r := range b.reading {
			if r.evicted == nil && now.Sub(r.progressed) > limit {
				b.evict(r, ErrSilent)
			}
		}
		b.mu.Unlock()
	}
}
