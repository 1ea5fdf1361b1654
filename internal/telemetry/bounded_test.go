package telemetry

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// stuck is an output that nobody reads until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func TestALogThatNobodyReadsDelaysNobody(t *testing.T) {
	is := is.New(t)
	registry := metrics.NewRegistry()
	out := &stuck{release: make(chan struct{})}
	b := NewBounded(out, registry)
	const lines = 3 * boundedLines
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
		t.Fatal("writers wait for the output")
	}
	dropped := metrics.GetOrRegisterCounter(Name("log_lines_dropped_total"), registry).Count()
	is.True(dropped >= lines-boundedLines-batchBytes/5-1) // counted, but for what waits
	close(out.release)
	b.Close()
	is.Equal(int64(bytes.Count(out.got.Bytes(), []byte("\n")))+dropped, int64(lines)) // the rest was written
}
