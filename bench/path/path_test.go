package path_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/standin/target"
)

// Bounds of the path on loopback.
const (
	// maxAddedMedian bounds the added median of the time to the first byte.
	maxAddedMedian = time.Millisecond
	// maxAddedP99 bounds the added 99th percentile under streams at once.
	maxAddedP99 = 5 * time.Millisecond
	// minTokensPerCore bounds the relayed tokens for each second of processor
	// time that router and sidecar spend.
	minTokensPerCore = 20_000.0
	// streams is the number of streams at once.
	streams = 200
)

// tokensPerStream and tokenTime make 40,000 tokens a second over all streams.
const (
	tokensPerStream = 200
	tokenTime       = 5 * time.Millisecond
	streamsEach     = 2
)

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * streams}}

// result is what one call measured.
type result struct {
	firstByte time.Duration
	body      []byte
}

// call asks for a streamed answer and checks that it is whole.
func call(b *testing.B, url string, tokens int) result {
	body := fmt.Sprintf(`{"model":"planner","stream":true,"max_tokens":%d}`, tokens)
	req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		b.Error(err)
		return result{}
	}
	req.Header.Set("Authorization", "Bearer key")
	start := time.Now()
	res, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return result{}
	}
	defer func() { _ = res.Body.Close() }()
	first := make([]byte, 1)
	if _, err := io.ReadFull(res.Body, first); err != nil {
		b.Error(err)
	}
	r := result{firstByte: time.Since(start)}
	rest, err := io.ReadAll(res.Body)
	if err != nil || !bytes.HasSuffix(rest, []byte("data: [DONE]\n\n")) {
		b.Errorf("answer is not whole: status %d, %v", res.StatusCode, err)
	}
	r.body = rest
	return r
}

func percentile(durations []time.Duration, p float64) time.Duration {
	slices.Sort(durations)
	return durations[int(p*float64(len(durations)-1))]
}

// BenchmarkFirstByte alternates direct calls and calls over the path, one at a
// time.
func BenchmarkFirstByte(b *testing.B) {
	u := newFleet(b, target.Options{Version: "v1"})
	for range 50 { // connections open and windows grow
		call(b, u.direct, 1)
		call(b, u.path, 1)
	}
	var direct, path []time.Duration
	for b.Loop() {
		direct = append(direct, call(b, u.direct, 1).firstByte)
		path = append(path, call(b, u.path, 1).firstByte)
	}
	added := percentile(path, 0.5) - percentile(direct, 0.5)
	b.ReportMetric(micros(percentile(direct, 0.5)), "direct-p50-µs")
	b.ReportMetric(micros(added), "added-p50-µs")
	// A benchmark that fails shows no metrics.
	b.Logf("direct median %v, added median %v", percentile(direct, 0.5), added)
	if len(path) > 100 && added > maxAddedMedian {
		b.Errorf("added median %v is over %v", added, maxAddedMedian)
	}
}

// BenchmarkStreams runs 200 streams at once, directly and then over the path.
func BenchmarkStreams(b *testing.B) {
	u := newFleet(b, target.Options{Version: "v1", PerToken: tokenTime})
	loaded(b, u.direct)
	loaded(b, u.path)
	var direct, path load
	for b.Loop() {
		direct.add(loaded(b, u.direct))
		path.add(loaded(b, u.path))
	}
	added := percentile(path.firstBytes, 0.99) - percentile(direct.firstBytes, 0.99)
	perCore := float64(path.tokens) / (path.processor - direct.processor).Seconds()
	b.ReportMetric(micros(percentile(direct.firstBytes, 0.99)), "direct-p99-µs")
	b.ReportMetric(micros(added), "added-p99-µs")
	b.ReportMetric(float64(path.tokens)/path.elapsed.Seconds(), "tokens/s")
	b.ReportMetric(perCore, "tokens/core-s")
	// A benchmark that fails shows no metrics.
	b.Logf("99th percentile direct %v, added %v; %.0f tokens a core and second",
		percentile(direct.firstBytes, 0.99), added, perCore)
	if added > maxAddedP99 {
		b.Errorf("added 99th percentile %v is over %v", added, maxAddedP99)
	}
	if perCore < minTokensPerCore {
		b.Errorf("%.0f tokens a core and second are under %.0f", perCore, minTokensPerCore)
	}
}

// load is what a number of streams at once measured.
type load struct {
	firstBytes         []time.Duration
	tokens             int
	elapsed, processor time.Duration
}

func (l *load) add(o load) {
	l.firstBytes = append(l.firstBytes, o.firstBytes...)
	l.tokens += o.tokens
	l.elapsed += o.elapsed
	l.processor += o.processor
}

// loaded runs all streams at once, streamsEach after another for each caller.
// Callers start one by one over the time of one stream, so that streams begin
// and end all the time while the others run. The first byte counts once all run.
func loaded(b *testing.B, url string) load {
	l := load{firstBytes: make([]time.Duration, streams), tokens: streams * streamsEach * tokensPerStream}
	start, processor := time.Now(), processorTime(b)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			time.Sleep(tokensPerStream * tokenTime * time.Duration(i) / streams)
			for range streamsEach {
				l.firstBytes[i] = call(b, url, tokensPerStream).firstByte
			}
		})
	}
	wg.Wait()
	l.elapsed, l.processor = time.Since(start), processorTime(b)-processor
	return l
}

// processorTime returns what this process has spent, with callers and engine.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
