package telemetry

import (
	"io"

	"github.com/rcrowley/go-metrics"
)

// Bounded is a writer that never blocks: lines wait in a bounded ring for a
// goroutine that writes them, and are dropped and counted when it is full.
type Bounded struct {
	lines   chan []byte
	dropped metrics.Counter
	done    chan struct{}
}

// boundedLines is the number of lines that wait at most, some seconds of a
// loaded process.
const boundedLines = 4096

// NewBounded returns a writer to w.
func NewBounded(w io.Writer, registry metrics.Registry) *Bounded {
	b := &Bounded{
		lines:   make(chan []byte, boundedLines),
		dropped: metrics.GetOrRegisterCounter(Name("log_lines_dropped_total"), registry),
		done:    make(chan struct{}),
	}
	go b.run(w)
	return b
}

// run writes lines, as many at a time as wait.
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
			// There is no other place to tell; the count shows the loss.
			b.dropped.Inc(1)
		}
	}
}

// batchBytes bounds one write.
const batchBytes = 32 << 10

// Write implements io.Writer. It never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	held := append([]byte(nil), line...)
	select {
	case b.lines <- held:
	default:
		b.dropped.Inc(1)
	}
	return len(line), nil
}

// Close writes the lines that wait. Nothing may be written afterwards.
func (b *Bounded) Close() {
	close(b.lines)
	<-b.done
}
