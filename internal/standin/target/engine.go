package target

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"
)

// maxBodyBytes is the largest body that a stand-in reads.
const maxBodyBytes = 16 << 20

// Engine is the stand-in for a model engine. It is an http.Handler.
type Engine struct {
	options Options
	mux     *httprouter.Router
	batch   *batch
	faults  faultSwitch
	orders  *orderBook
	streams streams

	ctx  context.Context
	stop context.CancelFunc
	runs conc.WaitGroup
	anon atomic.Int64
}

// NewEngine returns an engine; Close ends it.
func NewEngine(o Options) *Engine {
	e := &Engine{options: o, mux: httprouter.New(), batch: newBatch(o), streams: streams{byID: make(map[string]*stream)}}
	e.orders = &orderBook{options: o, loaded: e.batch.turnCold, state: OrderState{Version: o.Version}}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.mux.HandlerFunc(http.MethodPost, "/v1/chat/completions", e.chat)
	e.mux.GET("/v1/streams/:id", e.resume)
	e.mux.DELETE("/v1/streams/:id", e.cancelStream)
	e.mux.HandlerFunc(http.MethodGet, "/v1/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.batch.report()) })
	e.mux.HandlerFunc(http.MethodPost, "/v1/orders", e.order)
	e.mux.HandlerFunc(http.MethodGet, "/v1/orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.orders.snapshot()) })
	addControl(e.mux, &e.faults, e.batch)
	return e
}

// Close breaks off all that runs and waits for it.
func (e *Engine) Close() {
	e.stop()
	e.runs.Wait()
}

// SetFaults replaces the faults that are on.
func (e *Engine) SetFaults(f Faults) { e.faults.set(f) }

// State returns what the engine counted.
func (e *Engine) State() State { return e.batch.snapshot() }

// Orders returns what the engine's orders led to.
func (e *Engine) Orders() OrderState { return e.orders.snapshot() }

// TurnCold restarts the engine without warning.
func (e *Engine) TurnCold() { e.batch.turnCold() }

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderInstance, e.batch.snapshot().Instance)
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	switch err := e.orders.give(o); {
	case errors.Is(err, errStaleOrder):
		writeError(w, http.StatusConflict, err)
	case err != nil:
		writeError(w, http.StatusBadRequest, err)
	default:
		writeJSON(w, http.StatusAccepted, e.orders.snapshot())
	}
}

// addControl adds the paths by which tests and demonstrations steer a stand-in.
func addControl(mux *httprouter.Router, faults *faultSwitch, b *batch) {
	mux.HandlerFunc(http.MethodPut, "/control/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&f); err != nil {
			writeError(w, http.StatusBadRequest, err)
			return
		}
		faults.set(f)
		writeJSON(w, http.StatusOK, f)
	})
	mux.HandlerFunc(http.MethodPost, "/control/cold", func(w http.ResponseWriter, _ *http.Request) {
		b.turnCold()
		writeJSON(w, http.StatusOK, b.snapshot())
	})
	mux.HandlerFunc(http.MethodGet, "/control/state", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, b.snapshot())
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		writeError(w, http.StatusInternalServerError, err)
		return
	}
	body = append(body, '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// The caller may have gone; there is nobody left to tell.
	_, _ = w.Write(body)
}

func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, map[string]any{"error": map[string]string{"message": err.Error()}})
}
