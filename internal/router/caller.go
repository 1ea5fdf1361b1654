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
	"github.com/zinniaquay/zinniaquay/internal/intake"
	"github.com/zinniaquay/zinniaquay/internal/move"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
)

const (
	// requestIDHeader carries the request ID to callers and targets.
	requestIDHeader = "X-Request-Id"
	// costHintHeader carries the caller's cost estimate, in tokens or units.
	costHintHeader = "X-Cost-Hint"
	// maxDiscardBytes is how much of a body over the limit is read and
	// discarded.
	maxDiscardBytes = 1 << 20
	// chatPath is the path of model requests, on the router and on targets.
	chatPath = "/v1/chat/completions"
	// servicesPath is the prefix of requests to plain services.
	servicesPath = "/v1/services/:service/*path"
)

// forwardedHeaders lists the request headers that are forwarded to targets.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "If-Match", "If-None-Match"}

// CallerHandler returns the HTTP handler for callers and for the platform's
// load balancer.
func (r *Router) CallerHandler() http.Handler {
	mux := httprouter.New()
	mux.HandleMethodNotAllowed = false
	mux.RedirectTrailingSlash = false
	mux.RedirectFixedPath = false
	mux.POST(chatPath, r.withRequestID(r.handleChat))
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"} {
		mux.Handle(method, servicesPath, r.withRequestID(r.handlePlain))
	}
	mux.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.WriteHeader(http.StatusOK)
	})
	mux.GET("/readyz", r.readyz)
	mux.Handler(http.MethodGet, "/metrics", telemetry.Handler(r.opts.Metrics))
	mux.NotFound = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set(requestIDHeader, newRequestID())
		errkind.Write(w, errkind.New(errkind.NotFound, "there is nothing at %s %s", req.Method, req.URL.Path))
	})
	return mux
}

// readyz handles readiness checks of the platform's load balancer.
func (r *Router) readyz(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if err := r.Ready(); err != nil {
		errkind.Write(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// requestHandler handles one caller's request, which has the given ID.
type requestHandler func(w http.ResponseWriter, req *http.Request, id string, params httprouter.Params) error

// withRequestID assigns each request an ID and writes the error response if
// the handler fails.
func (r *Router) withRequestID(h requestHandler) httprouter.Handle {
	return func(w http.ResponseWriter, req *http.Request, params httprouter.Params) {
		id := newRequestID()
		w.Header().Set(requestIDHeader, id)
		err := h(w, req, id, params)
		if err == nil {
			return
		}
		r.refusals.add(errkind.Of(err))
		r.opts.Events.Record(timeline.RequestRefused, id, err.Error())
		r.opts.Log.Info("request refused", telemetry.KeyRequest, id, "kind", errkind.Of(err), "err", err.Error())
		if errors.Is(err, errResponseStarted) {
			// A truncated response must not look complete, so the connection is
			// aborted.
			panic(http.ErrAbortHandler)
		}
		errkind.Write(w, err)
	}
}

// newRequestID returns a version 7 UUID, so that request IDs sort by time.
func newRequestID() string { return uuid.Must(uuid.NewV7()).String() }

// chatBody holds the fields of a model request that the router reads.
type chatBody struct {
	Model string `json:"model"`
}

// handleChat serves a model request.
func (r *Router) handleChat(w http.ResponseWriter, req *http.Request, id string, _ httprouter.Params) error {
	snap, account, err := r.authenticate(req)
	if err != nil {
		return err
	}
	body, err := r.readBody(w, req)
	if err != nil {
		return err
	}
	defer body.Release()
	var chat chatBody
	if err := json.Unmarshal(body.Bytes(), &chat); err != nil {
		return errkind.Wrap(errkind.Malformed, err, "the body is not the JSON of a chat completion")
	}
	service, ok := snap.Doc.GetServices()[chat.Model]
	if !ok || service.GetKind() != zinniaquayv1.Service_model {
		return errkind.New(errkind.UnknownService, "there is no model %q", chat.Model)
	}
	return r.serve(w, req, snap, r.newRequest(req, id, account, chat.Model, service, &zinniaquayv1.WorkRequest{
		Method: http.MethodPost,
		Path:   chatPath,
		Body:   body.Bytes(),
	}))
}

// handlePlain serves a request to a plain service.
func (r *Router) handlePlain(w http.ResponseWriter, req *http.Request, id string, params httprouter.Params) error {
	snap, account, err := r.authenticate(req)
	if err != nil {
		return err
	}
	name := params.ByName("service")
	service, ok := snap.Doc.GetServices()[name]
	if !ok || service.GetKind() != zinniaquayv1.Service_plain {
		return errkind.New(errkind.UnknownService, "there is no plain service %q", name)
	}
	body, err := r.readBody(w, req)
	if err != nil {
		return err
	}
	defer body.Release()
	clean, target := targetPath(params.ByName("path"), req.URL.RawQuery)
	return r.serve(w, req, snap, r.newRequest(req, id, account, name, service, &zinniaquayv1.WorkRequest{
		Method:        req.Method,
		Path:          target,
		Body:          body.Bytes(),
		NotRepeatable: notRepeatable(service, req.Method, clean),
		Units:         requestUnits(service),
	}))
}

// targetPath returns the cleaned path that patterns are matched against, and
// the path and query that are sent to the target. Both are the same path, the
// second one escaped again. Otherwise a target could read a request as one
// that must not be repeated where the router did not.
func targetPath(decoded, rawQuery string) (clean, sent string) {
	clean = path.Clean("/" + decoded)
	return clean, (&url.URL{Path: clean, RawQuery: rawQuery}).RequestURI()
}

// requestUnits returns the units that a request to a plain service is charged.
func requestUnits(s *zinniaquayv1.Service) float64 {
	if u := s.GetUnitsPerRequest(); u > 0 {
		return u
	}
	return defaultUnits
}

// notRepeatable reports whether a request to a service must not be repeated.
// The match ignores case and slashes at either end, since a target may treat
// such paths as equal. A request for which a match is uncertain is not
// repeated.
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

// authenticate returns the current configuration and the client account that
// owns the caller's API key. It fails if the router does not accept requests.
func (r *Router) authenticate(req *http.Request) (*configstore.Snapshot, string, error) {
	if err := r.checkAccepting(); err != nil {
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

// readBody reads the body of a caller's request up to the limit. The body is to be released.
func (r *Router) readBody(w http.ResponseWriter, req *http.Request) (*intake.Body, error) {
	body, err := r.bodies.Read(req.Body, http.NewResponseController(w), req.ContentLength, r.opts.MaxBodyBytes)
	if err != nil {
		// What is left of the body can't be told from a next request.
		w.Header().Set("Connection", "close")
	}
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		// Closing a connection with unread bytes resets it, and the caller may
		// never receive the error response. Bytes beyond the limit and
		// maxDiscardBytes stay unread. None of them takes memory.
		unread := int64(maxDiscardBytes)
		if req.ContentLength > r.opts.MaxBodyBytes {
			unread += r.opts.MaxBodyBytes // nothing of it was read
		}
		_, _ = io.CopyN(io.Discard, req.Body, unread)
		return nil, errkind.New(errkind.TooLarge, "the body is over %d bytes", r.opts.MaxBodyBytes)
	case errors.Is(err, intake.ErrMemory):
		return nil, errkind.Wrap(errkind.QueueFull, err, "too many bytes of requests wait")
	case err != nil:
		return nil, errkind.Wrap(errkind.Malformed, err, "the body broke off")
	}
	return body, nil
}

// newRequest returns a request in state waiting.
func (r *Router) newRequest(req *http.Request, id, account, name string, s *zinniaquayv1.Service, work *zinniaquayv1.WorkRequest) *request {
	timeout := s.GetTimeout().AsDuration()
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	work.Account = account
	work.Service = name
	work.Headers = []*zinniaquayv1.Header{{Name: requestIDHeader, Value: id}}
	for _, h := range forwardedHeaders {
		for _, v := range req.Header.Values(h) {
			work.Headers = append(work.Headers, &zinniaquayv1.Header{Name: h, Value: v})
		}
	}
	// A cost hint that is not a number is ignored.
	hint, _ := strconv.ParseUint(req.Header.Get(costHintHeader), 10, 32)
	now := time.Now()
	return &request{
		id:       id,
		account:  account,
		service:  name,
		version:  s.GetVersion(),
		route:    move.RouteOf(work.GetMethod(), work.GetPath()),
		work:     work,
		costHint: hint,
		deadline: now.Add(timeout),
		evicted:  make(chan struct{}),
		granted:  make(chan assignment, 1),
	}
}
