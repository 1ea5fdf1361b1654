package target

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
)

var (
	errFault       = errors.New("the target failed as it was told to")
	errDuplicateID = errors.New("a request with this ID is running")
)

// run is one request in the engine.
type run struct {
	answer *Answer
	stream *stream
	fallen <-chan struct{}
	faults Faults
}

// chat answers POST /v1/chat/completions.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	var request ChatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	id := e.requestID(r)
	started, status, err := e.start(id, request, r.URL.Path, string(body))
	if err != nil {
		writeError(w, status, err)
		return
	}
	e.answer(w, r, request.Stream, started)
}

func (e *Engine) requestID(r *http.Request) string {
	if id := r.Header.Get(HeaderRequestID); id != "" {
		return id
	}
	return fmt.Sprintf("anonymous-%d", e.anon.Add(1))
}

// start admits a request and begins to generate its answer.
func (e *Engine) start(id string, request ChatRequest, path, body string) (*run, int, error) {
	if e.faults.fails(path, body) {
		return nil, http.StatusInternalServerError, errFault
	}
	ctx, cancel := context.WithCancel(e.ctx)
	st := newStream(cancel, e.options.ResumeGrace)
	if !e.streams.add(id, st) {
		cancel()
		return nil, http.StatusConflict, errDuplicateID
	}
	fallen, err := e.batch.admit()
	if err != nil {
		cancel()
		st.end(true)
		e.streams.retire(id, st)
		return nil, http.StatusInternalServerError, err
	}
	started := &run{NewAnswer(request, id, e.orders.snapshot().Version), st, fallen, e.faults.get()}
	e.runs.Go(func() {
		defer cancel()
		defer e.batch.leave()
		defer e.streams.retire(id, st)
		e.generate(ctx, started)
	})
	return started, http.StatusOK, nil
}

// generate fills the stream token by token.
func (e *Engine) generate(ctx context.Context, r *run) {
	wait := e.options.FirstToken
	for i := range r.answer.Tokens() {
		if r.faults.StopHalfWay && i == r.answer.Tokens()/2 {
			r.stream.end(true)
			return
		}
		perToken, running := e.batch.tokenTime()
		factor := r.faults.slowdown(running)
		if !pause(ctx, r.fallen, time.Duration(float64(wait+perToken)*factor)) {
			r.stream.end(true)
			return
		}
		wait = 0
		r.stream.append(r.answer.Event(i))
	}
	r.stream.append(r.answer.Last())
	for range r.faults.ExtraAfterEnd {
		r.stream.append(r.answer.Event(0))
	}
	r.stream.end(false)
}

// pause waits. It reports whether the request goes on.
func pause(ctx context.Context, fallen <-chan struct{}, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-fallen:
		return false
	}
}

// answer writes the answer in the form that the request asked for.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, streamed bool, started *run) {
	switch {
	case started.faults.Garbage:
		writeGarbage(w, streamed)
		started.stream.cancel()
	case streamed:
		follow(w, r, started.stream, 0, limitOf(started))
	default:
		e.answerWhole(w, r, started)
	}
}

// limitOf returns the byte after which a stream's first connection breaks off
// or falls silent.
func limitOf(started *run) limit {
	if !started.faults.DropHalfWay && !started.faults.Silent {
		return noLimit
	}
	return limit{bytes: len(started.answer.Stream()) / 2, abort: started.faults.DropHalfWay}
}

func writeGarbage(w http.ResponseWriter, streamed bool) {
	w.Header().Set("Content-Type", "application/json")
	if streamed {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	// The caller may have gone; there is nobody left to tell.
	_, _ = io.WriteString(w, "data: {\"id\":\x00\xff<<<\n\n}}garbage")
}

// answerWhole waits for the whole answer and sends it with its length.
func (e *Engine) answerWhole(w http.ResponseWriter, r *http.Request, started *run) {
	st := started.stream
	st.attach()
	defer st.detach()
	for {
		p := st.from(0)
		if p.ended && p.broken && !started.faults.StopHalfWay {
			writeError(w, http.StatusInternalServerError, errFallen)
			return
		}
		if p.ended {
			break
		}
		select {
		case <-p.changed:
		case <-r.Context().Done():
			return
		}
	}
	body := started.answer.JSON()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if started.faults.StopHalfWay {
		body = body[:len(body)/2]
	}
	// The caller may have gone; there is nobody left to tell.
	_, _ = w.Write(body)
	if started.faults.StopHalfWay {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// resume answers GET /v1/streams/{id}?from=N with the answer's bytes from N on.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	st, ok := e.streams.find(params.ByName("id"))
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	switch {
	case !ok:
		writeError(w, http.StatusNotFound, errors.New("no such stream"))
	case err != nil || from < 0:
		writeError(w, http.StatusBadRequest, errors.New("from is not a number of bytes"))
	default:
		follow(w, r, st, from, noLimit)
	}
}

// cancelStream answers DELETE /v1/streams/{id}.
func (e *Engine) cancelStream(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	if st, ok := e.streams.find(params.ByName("id")); ok {
		st.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}
