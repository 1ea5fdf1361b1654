package target

import (
	"encoding/json"
	"hash/fnv"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
)

// Booking is the stand-in for a plain service that lends things: bookings and
// confirmations must run once, stock lookups may be repeated. It is an
// http.Handler.
type Booking struct {
	options Options
	mux     *httprouter.Router
	batch   *batch
	faults  faultSwitch

	mu     sync.Mutex
	ledger Ledger
}

// Ledger counts how often each booking or confirmation ran. It forgets nothing.
type Ledger struct {
	// ByRequestID counts runs by request ID.
	ByRequestID map[string]int `json:"by_request_id"`
	// ByKey counts runs by idempotency key.
	ByKey map[string]int `json:"by_key"`
}

// bookingRequest is the body of a booking or confirmation.
type bookingRequest struct {
	Item     string `json:"item"`
	Quantity int    `json:"quantity"`
}

// bookingAnswer is the answer to a booking or confirmation.
type bookingAnswer struct {
	ID       string `json:"id"`
	Item     string `json:"item"`
	Quantity int    `json:"quantity"`
}

// stockAnswer is the answer to a stock lookup.
type stockAnswer struct {
	Item      string `json:"item"`
	Available uint32 `json:"available"`
}

// mostStock bounds the stock of an item.
const mostStock = 200

// NewBooking returns a booking service. Its requests take PerToken each.
func NewBooking(o Options) *Booking {
	b := &Booking{options: o, mux: httprouter.New(), batch: newBatch(o)}
	b.ledger = Ledger{ByRequestID: make(map[string]int), ByKey: make(map[string]int)}
	b.mux.HandlerFunc(http.MethodPost, "/bookings", b.book)
	b.mux.HandlerFunc(http.MethodPost, "/confirmations", b.book)
	b.mux.GET("/stock/:item", b.stock)
	b.mux.HandlerFunc(http.MethodGet, "/ledger", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, b.Ledger()) })
	b.mux.HandlerFunc(http.MethodGet, "/v1/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, b.batch.report()) })
	addControl(b.mux, &b.faults, b.batch)
	return b
}

// ServeHTTP implements http.Handler.
func (b *Booking) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderInstance, b.batch.snapshot().Instance)
	b.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults that are on.
func (b *Booking) SetFaults(f Faults) { b.faults.set(f) }

// State returns what the service counted.
func (b *Booking) State() State { return b.batch.snapshot() }

// Ledger returns how often each booking ran.
func (b *Booking) Ledger() Ledger {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Ledger{ByRequestID: maps.Clone(b.ledger.ByRequestID), ByKey: maps.Clone(b.ledger.ByKey)}
}

func (b *Booking) book(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	var request bookingRequest
	if err := json.Unmarshal(body, &request); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	b.serve(w, r, string(body), func() any {
		return bookingAnswer{ID: "booking-" + b.enter(r), Item: request.Item, Quantity: request.Quantity}
	})
}

// enter counts a run in the ledger and returns what names the booking.
func (b *Booking) enter(r *http.Request) string {
	id, key := r.Header.Get(HeaderRequestID), r.Header.Get(HeaderIdempotencyKey)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.ByRequestID[id]++
	if key == "" {
		return id
	}
	b.ledger.ByKey[key]++
	return key
}

func (b *Booking) stock(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	item := params.ByName("item")
	b.serve(w, r, "", func() any {
		h := fnv.New32a()
		// A hash takes everything.
		_, _ = h.Write([]byte(item))
		return stockAnswer{Item: item, Available: h.Sum32() % mostStock}
	})
}

// serve runs one request in the batch, with the faults that are on. A request
// whose answer breaks off has run all the same.
func (b *Booking) serve(w http.ResponseWriter, r *http.Request, body string, run func() any) {
	if b.faults.fails(r.URL.Path, body) {
		writeError(w, http.StatusInternalServerError, errFault)
		return
	}
	fallen, err := b.batch.admit()
	if err != nil {
		writeError(w, http.StatusInternalServerError, err)
		return
	}
	defer b.batch.leave()
	on := b.faults.get()
	perRequest, running := b.batch.tokenTime()
	answer := run()
	if !pause(r.Context(), fallen, time.Duration(float64(perRequest)*on.slowdown(running))) {
		writeError(w, http.StatusInternalServerError, errFallen)
		return
	}
	switch {
	case on.Garbage:
		writeGarbage(w, false)
	case on.StopHalfWay:
		writeHalf(w, answer)
	case on.Silent:
		<-r.Context().Done()
	default:
		writeJSON(w, http.StatusOK, answer)
	}
}

// writeHalf sends half of an answer and closes the connection.
func writeHalf(w http.ResponseWriter, answer any) {
	body, err := json.Marshal(answer)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	// The caller may have gone; there is nobody left to tell.
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
