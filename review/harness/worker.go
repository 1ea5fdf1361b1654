package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in for a worker.
type worker struct {
	fleet   *fleet
	service string
	zone    string
	number  int
	// firstEvent is the time to the first event of a stream, gap the pause between events,
	// and events their number.
	firstEvent, gap time.Duration
	events          int
	// crashingPart is a part of prompts on which the worker crashes instead of sending the
	// first event, and crashed is called then.
	crashingPart string
	crashed      func(w *worker)
	// spoils has the worker send part of its answers without end; nil for none.
	spoils func() bool

	mu     sync.Mutex
	boot   int
	id     string
	born   int64
	addr   string
	server *http.Server
	// runs holds, by attempt, when the worker began to run it.
	runs    map[string]time.Time
	endless atomic.Int64
}

func newWorker(f *fleet, service string, number int) *worker {
	return &worker{
		fleet: f, service: service, number: number, zone: zones[number%len(zones)], addr: "127.0.0.1:0",
		firstEvent: 250 * time.Millisecond, gap: 10 * time.Millisecond, events: 20,
		runs: make(map[string]time.Time),
	}
}

// start starts a new boot of the worker at its address and registers it.
func (w *worker) start() error {
	l, err := net.Listen("tcp4", w.addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boot++
	w.addr, w.id, w.born = l.Addr().String(), fmt.Sprintf("%s-%d-%d", w.service, w.number, w.boot), time.Now().UnixMilli()
	server := &http.Server{Handler: boot{w, w.id, w.born}, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	w.server = server
	go func() { _ = server.Serve(l) }()
	slots := 64
	if w.service == deskService {
		slots = 6
	}
	w.fleet.store.Put("servers/"+w.id, map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": w.born,
	})
	return nil
}

// Times of a worker that crashed: its entry is removed after three check-in intervals, and
// a new boot starts after some seconds.
const (
	entryLifetime = 3600 * time.Millisecond
	crashedFor    = 3 * time.Second
)

// crash ends a boot of the worker, with all its channels, and starts the next one later.
func (w *worker) crash(id string) {
	w.mu.Lock()
	server, down := w.server, w.id != id || w.server == nil
	if !down {
		w.server = nil
	}
	w.mu.Unlock()
	if down {
		return
	}
	_ = server.Close()
	w.crashed(w)
	time.AfterFunc(entryLifetime, func() { w.fleet.store.Remove("servers/" + id) })
	time.AfterFunc(crashedFor, func() {
		if err := w.start(); err != nil {
			w.fleet.record.line("%s-%d did not start again: %v", w.service, w.number, err)
		}
	})
}

// boot is one start of a worker.
type boot struct {
	*worker
	id   string
	born int64
}

// ServeHTTP implements http.Handler.
func (b boot) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	attempt, h := r.Header.Get("Attempt-Id"), rw.Header()
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.id {
		h.Set("Instance-Id", b.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/zinniaquay/report" && b.service == modelService {
		h.Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(rw, `{"phase":"hybrid","queued":0,"active":0,"born":%d}`, b.born)
		return
	}
	if attempt == "" {
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	b.mu.Lock()
	b.runs[attempt] = time.Now()
	b.mu.Unlock()
	b.fleet.record.line("%s runs %s", b.id, attempt)
	h.Set("Attempt-Id", attempt)
	h.Set("Server-Signature", "3e1b.07.5a2."+attempt)
	switch {
	case b.spoils != nil && b.spoils():
		b.sendEndlessly(rw, r, attempt)
	case b.service == deskService:
		time.Sleep(60 * time.Millisecond)
		_, _ = io.WriteString(rw, "booked "+attempt)
	default:
		b.stream(rw, r, attempt)
	}
}

// stream sends the events of a stream.
func (b boot) stream(rw http.ResponseWriter, r *http.Request, attempt string) {
	rw.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(b.firstEvent)
	if b.crashingPart != "" && strings.Contains(r.Header.Get("Prompt-Prefix"), b.crashingPart+":") {
		b.crash(b.id)
		panic(http.ErrAbortHandler)
	}
	for n := 1; n <= b.events; n++ {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, attempt); err != nil || r.Context().Err() != nil {
			return
		}
		if err := http.NewResponseController(rw).Flush(); err != nil {
			return
		}
		time.Sleep(b.gap)
	}
}

// Answers without end are sent in blocks of endlessBlock bytes, one each endlessPause.
const (
	endlessBlock = 64 << 10
	endlessPause = 30 * time.Millisecond
)

// sendEndlessly sends an answer without end, until the caller closes the channel.
func (b boot) sendEndlessly(rw http.ResponseWriter, r *http.Request, attempt string) {
	b.fleet.record.line("worker %d begins an answer without end to %s", b.number, attempt)
	rw.Header().Set("Content-Type", "application/octet-stream")
	rw.WriteHeader(http.StatusInternalServerError)
	block := []byte(strings.Repeat(strconv.Itoa(b.number%10), endlessBlock))
	for r.Context().Err() == nil {
		n, err := rw.Write(block)
		b.endless.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(endlessPause)
	}
}

// ranAt returns when the worker began to run an attempt.
func (w *worker) ranAt(attempt string) (at time.Time, ran bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ran = w.runs[attempt]
	return at, ran
}
