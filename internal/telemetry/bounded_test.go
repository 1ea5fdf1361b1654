package telemetry

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

func TestBlockedOutputDoesNotDelayWriters(t *testing.T) {
	is := is.New(t)
	registry := metrics.NewRegistry()
	out := &blockedWriter{release: make(chan struct{})}
	b := NewBounded(out, registry)
	const lines = 3 * maxQueuedLines
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for range lines {
			if _, err := b.Write([]byte("line\n")); err != nil {
				t.Error(err)
			}
		}
	}()
	select {
	case <-finished:
	case <-time.After(30 * time.Second):
		t.Fatal("writers block on the output")
	}
	dropped := metrics.GetOrRegisterCounter(Name("log_lines_dropped_total"), registry).Count()
	is.True(dropped >= lines-maxQueuedLines-batchBytes/5-1) // all lines that are neither queued nor in a batch
	close(out.release)
	b.Close()
	is.Equal(int64(bytes.Count(out.written.Bytes(), []byte("\n")))+dropped, int64(lines)) // all other lines were written
}
