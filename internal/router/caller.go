package router

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/move"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
)

const (
	// requestIDHeader names the request to callers and targets.
	requestIDHeader = "X-Request-Id"
	// costHintHeader carries a caller's rough guess of the cost, in tokens or
	// units.
	costHintHeader = "X-Cost-Hint"
	// overrunBytes is how much of a body over the limit is read and thrown away.
	overrunBytes = 1 << 20
	// chatPath is the path of model requests, here and at targets.
	chatPath = "/v1/chat/completions"
	// servicesPath is the prefix of requests to plain services.
	servicesPath = "/v1/services/:service/*path"
)

// passedOn lists the headers of a caller's request that targets see.
var passedOn = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "If-Match", "If-None-Match"}

// CallerHandler returns the handler for callers and the platform's balancer.
func (r *Router) CallerHandler() http.Handler {
	mux := httprouter.New()
	mux.HandleMethodNotAllowed = false
	mux.RedirectTrailingSlash = false
	mux.RedirectFixedPath = false
	mux.POST(chatPath, r.withID(r.chat))
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"} {
		mux.Handle(method, servicesPath, r.withID(r.plain))
	}
	mux.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.WriteHeader(http.StatusOK)
	})
	mux.GET("/readyz", r.readyz)
	mux.Handler(http.MethodGet, "/metrics", telemetry.Handler(r.opts.Metrics))
	mux.NotFound = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set(requestIDHeader, newID())
		errkind.Write(w, errkind.New(errkind.NotFound, "there is nothing at %s %s", req.Method, req.URL.Path))
	})
	return mux
}

// readyz answers the platform's balancer.
func (r *Router) readyz(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if err := r.Ready(); err != nil {
		errkind.Write(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// callerHandler handles one caller's request under an ID of its own.
type callerHandler func(w http.ResponseWriter, req *http.Request, id string, params httprouter.Params) error

// withID gives each request an ID and sends the refusal if there is one.
func (r *Router) withID(h callerHandler) httprouter.Handle {
	return func(w http.ResponseWriter, req *http.Request, params httprouter.Params) {
		id := newID()
		w.Header().Set(requestIDHeader, id)
		err := h(w, req, id, params)
		if err == nil {
			return
		}
		r.refusals.add(errkind.Of(err))
		r.opts.Events.Record(timeline.RequestRefused, id, err.Error())
		r.opts.Log.Info("request refused", telemetry.KeyRequest, id, "kind", errkind.Of(err), "err", err.Error())
		if errors.Is(err, errAnswerBegun) {
			// An answer that was begun must not look complete.
			panic(http.ErrAbortHandler)
		}
		errkind.Write(w, err)
	}
}

// newID returns a request ID: a version 7 UUID, so that IDs sort by time.
func newID() string { return uuid.Must(uuid.NewV7()).String() }

// chatBody is the part of a model request that the router reads.
type chatBody struct {
	Model string `json:"model"`
}

// chat handles a model request.
func (r *Router) chat(w http.ResponseWriter, req *http.Request, id string, _ httprouter.Params) error {
	snap, account, err := r.admit(req)
	if err != nil {
		return err
	}
	body, err := r.readBody(req)
	if err != nil {
		return err
	}
	var chat chatBody
	if err := json.Unmarshal(body, &chat); err != nil {
		return errkind.Wrap(errkind.Malformed, err, "the body is not the JSON of a chat completion")
	}
	service, ok := snap.Doc.GetServices()[chat.Model]
	if !ok || service.GetKind() != zinniaquayv1.Service_model {
		return errkind.New(errkind.UnknownService, "there is no model %q", chat.Model)
	}
	return r.serve(w, req, snap, r.newRequest(req, id, account, chat.Model, service, &zinniaquayv1.WorkRequest{
		Method: http.MethodPost,
		Path:   chatPath,
		Body:   body,
	}))
}

// plain handles a request to a plain service.
func (r *Router) plain(w http.ResponseWriter, req *http.Request, id string, params httprouter.Params) error {
	snap, account, err := r.admit(req)
	if err != nil {
		return err
	}
	name := params.ByName("service")
	service, ok := snap.Doc.GetServices()[name]
	if !ok || service.GetKind() != zinniaquayv1.Service_plain {
		return errkind.New(errkind.UnknownService, "there is no plain service %q", name)
	}
	body, err := r.readBody(req)
	if err != nil {
		return err
	}
	clean, target := targetPath(params.ByName("path"), req.URL.RawQuery)
	return r.serve(w, req, snap, r.newRequest(req, id, account, name, service, &zinniaquayv1.WorkRequest{
		Method:        req.Method,
		Path:          target,
		Body:          body,
		NotRepeatable: notRepeatable(service, req.Method, clean),
		Units:         units(service),
	}))
}

// targetPath returns the path by which a request is judged, and the path and
// query that are sent. They are one path, escaped again, or a target could read
// a request as one that must not be repeated where the router did not.
func targetPath(decoded, rawQuery string) (clean, sent string) {
	clean = path.Clean("/" + decoded)
	return clean, (&url.URL{Path: clean, RawQuery: rawQuery}).RequestURI()
}

// units returns what a request to a plain service is charged.
func units(s *zinniaquayv1.Service) float64 {
	if u := s.GetUnitsPerRequest(); u > 0 {
		return u
	}
	return defaultUnits
}

// notRepeatable reports whether a service's request must not be repeated. Where
// a pattern and a path differ only in how they are written, it errs on the side
// of not repeating.
func notRepeatable(s *zinniaquayv1.Service, method, cleanPath string) bool {
	for _, p := range s.GetNotRepeatable() {
		sameMethod := p.GetMethod() == "" || strings.EqualFold(p.GetMethod(), method)
		prefix := path.Clean("/" + p.GetPathPrefix())
		if sameMethod && len(cleanPath) >= len(prefix) && strings.EqualFold(cleanPath[:len(prefix)], prefix) {
			return true
		}
	}
	return false
}

// admit finds the client account that a caller speaks for.
func (r *Router) admit(req *http.Request) (*configstore.Snapshot, string, error) {
	if err := r.takes(); err != nil {
		return nil, "", err
	}
	snap := r.opts.Store.Current()
	bearer, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, "", errkind.New(errkind.Unauthenticated, "send a client account's key as Authorization: Bearer KEY")
	}
	account, ok := snap.AccountByKey(bearer)
	if !ok {
		return nil, "", errkind.New(errkind.Unauthenticated, "no client account owns this key")
	}
	return snap, account, nil
}

// readBody reads a caller's body up to the limit.
func (r *Router) readBody(req *http.Request) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(req.Body, r.opts.MaxBodyBytes+1))
	switch {
	case err != nil:
		return nil, errkind.Wrap(errkind.Malformed, err, "the body broke off")
	case int64(len(body)) > r.opts.MaxBodyBytes:
		// A connection that closes with bytes unread is reset, and the caller may
		// never see why. What is longer still is left.
		_, _ = io.CopyN(io.Discard, req.Body, overrunBytes)
		return nil, errkind.New(errkind.TooLarge, "the body is over %d bytes", r.opts.MaxBodyBytes)
	}
	return body, nil
}

// newRequest returns a waiting request.
func (r *Router) newRequest(req *http.Request, id, account, name string, s *zinniaquayv1.Service, work *zinniaquayv1.WorkRequest) *request {
	timeout := s.GetTimeout().AsDuration()
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	work.Account = account
	work.Service = name
	work.Headers = []*zinniaquayv1.Header{{Name: requestIDHeader, Value: id}}
	for _, h := range passedOn {
		for _, v := range req.Header.Values(h) {
			work.Headers = append(work.Headers, &zinniaquayv1.Header{Name: h, Value: v})
		}
	}
	// A hint that is no number is no hint.
	hint, _ := strconv.ParseUint(req.Header.Get(costHintHeader), 10, 32)
	now := time.Now()
	return &request{
		id:       id,
		account:  account,
		service:  name,
		version:  s.GetVersion(),
		route:    move.RouteOf(work.GetMethod(), work.GetPath()),
		work:     work,
		hint:     hint,
		deadline: now.Add(timeout),
		evicted:  make(chan struct{}),
		granted:  make(chan holder, 1),
	}
}
