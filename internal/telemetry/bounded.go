package telemetry

import (
	"io"

	"github.com/rcrowley/go-metrics"
)

// Bounded is a writer that never blocks. Lines are queued for a goroutine that
// writes them; lines that arrive while the queue is full are dropped and counted.
type Bounded struct {
	lines   chan []byte
	dropped metrics.Counter
	done    chan struct{}
}

// maxQueuedLines is the capacity of the queue. A busy process writes that many
// lines in some seconds.
const maxQueuedLines = 4096

// NewBounded returns a writer that passes lines on to w from a goroutine.
func NewBounded(w io.Writer, registry metrics.Registry) *Bounded {
	b := &Bounded{
		lines:   make(chan []byte, maxQueuedLines),
		dropped: metrics.GetOrRegisterCounter(Name("log_lines_dropped_total"), registry),
		done:    make(chan struct{}),
	}
	go b.run(w)
	return b
}

// run writes the queued lines in batches.
func (b *Bounded) run(w io.Writer) {
	defer close(b.done)
	var batch []byte
	for line := range b.lines {
		batch = append(batch[:0], line...)
		for n := len(b.lines); n > 0 && len(batch) < batchBytes; n-- {
			more, ok := <-b.lines
			if !ok {
				break
			}
			batch = append(batch, more...)
		}
		if _, err := w.Write(batch); err != nil {
			// The failure can't be logged elsewhere; the counter shows the loss.
			b.dropped.Inc(1)
		}
	}
}

// batchBytes is the size from which a batch takes no more lines.
const batchBytes = 32 << 10

// Write implements io.Writer. It never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	owned := append([]byte(nil), line...)
	select {
	case b.lines <- owned:
	default:
		b.dropped.Inc(1)
	}
	return len(line), nil
}

// Close waits until the queued lines are written. Write must not be called
// afterwards.
func (b *Bounded) Close() {
	close(b.lines)
	<-b.done
}
