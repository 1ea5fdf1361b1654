package gateway

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/intake"
)

const (
	// bodyMemoryDivisor divides the memory of the process; the result bounds
	// the memory of request bodies.
	bodyMemoryDivisor = 4
	// responseMemoryDivisor divides the memory of the process; the result bounds the memory
	// of targets' responses.
	responseMemoryDivisor = 8
	// defaultMaxBodyBytes bounds a body until a configuration sets a limit.
	defaultMaxBodyBytes = 4 << 20
	// revocationMargin is subtracted from MaxRevocationDelay: it is the time
	// for a request to reach its target and start.
	revocationMargin = 500 * time.Millisecond
	// applyMargin is subtracted from MaxApplyDelay, for the same reason.
	applyMargin = 150 * time.Millisecond
	// defaultTimeout is the timeout of a route that sets none.
	defaultTimeout = 30 * time.Second
)

// readRequest reads the headers and the complete body of a request.
func (g *Gateway) readRequest(x *call) error {
	attempt, err := g.codec.DecodeRequest(x.r.Header)
	x.attempt = attempt
	if err != nil {
		return errkind.Wrap(errkind.Malformed, err, "the request's headers can't be read")
	}
	if hasConflictingFraming(x.r.Context()) {
		x.w.Header().Set("Connection", "close")
		return errkind.New(errkind.Malformed, "the request has both a length and chunks")
	}
	limit := int64(defaultMaxBodyBytes)
	if c := g.views.View().Config; c != nil && c.Limits.BodyBytes > 0 {
		limit = c.Limits.BodyBytes
	}
	if x.r.ContentLength > limit {
		return errkind.New(errkind.TooLarge, "the body is over %d bytes", limit)
	}
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	x.body, err = g.bodies.Read(x.r.Body, http.NewResponseController(x.w), x.r.ContentLength, limit)
	if err != nil {
		// What is left of the body can't be told from a next request.
		x.w.Header().Set("Connection", "close")
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, intake.ErrTooLarge):
		return errkind.New(errkind.TooLarge, "the body is over %d bytes", limit)
	case errors.Is(err, intake.ErrMemory):
		return errkind.Wrap(errkind.QueueFull, err, "too many bytes of requests wait")
	}
	return errkind.Wrap(errkind.Malformed, err, "the body ended early")
}

// maxBodySilence returns how long a caller may send nothing of a body: the time for which the
// configuration lets callers be idle.
func (g *Gateway) maxBodySilence() time.Duration {
	if c := g.views.View().Config; c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout
	}
	return maxUnreadTime
}

// admit selects the route and the client account of a request from the newest
// configuration.
func (g *Gateway) admit(x *call) error {
	if g.shutdown.refusing.Load() && len(x.tried) == 0 {
		return errkind.New(errkind.Draining, "the process is stopping")
	}
	if err := g.checkStarted(); err != nil {
		return err
	}
	config := g.views.View().Config
	x.configVersion = config.Version
	route := config.Route(hostOf(x.r), x.r.URL.EscapedPath())
	if route == nil {
		return errkind.New(errkind.UnknownService, "no route for %s%s", x.r.Host, x.r.URL.Path)
	}
	x.route = route
	x.setDeadline()
	x.deadline = g.shutdown.limit(x.deadline)
	x.account = &catalog.Account{}
	if config.APIKeysRequired && !route.Public {
		if err := g.checkKeysConfirmed(); err != nil {
			return err
		}
		account := config.Accounts[x.attempt.APIKey]
		if account == nil {
			return errkind.New(errkind.Unauthenticated, "the API key is unknown")
		}
		x.account = account
	}
	if x.service == "" || len(x.tried) == 0 {
		x.service = route.Pick(rand.Float64())
	}
	return nil
}

// checkViewCurrent returns an error if the view was never confirmed, or is stale
// although the store responds. A view is stale when the process was suspended or
// gets too little processor time; a target in the view may have left.
func (g *Gateway) checkViewCurrent() error {
	age, confirmed := g.views.Age()
	if !confirmed || !g.views.StoreDown() && age > g.settings.Bounds.MaxApplyDelay-applyMargin {
		return errkind.New(errkind.PlatformUnavailable, "the view of the deployment is %d ms old", age.Milliseconds())
	}
	return nil
}

// checkKeysConfirmed returns an error if the view was never confirmed, or was
// last confirmed too long ago: it may lack the revocation of an API key.
func (g *Gateway) checkKeysConfirmed() error {
	age, confirmed := g.views.Age()
	if !confirmed || age > g.settings.Bounds.MaxRevocationDelay-revocationMargin {
		return errkind.New(errkind.PlatformUnavailable, "API keys could not be confirmed for %d ms", age.Milliseconds())
	}
	return nil
}

// setDeadline sets when the caller or the route stops waiting, counted from the
// start of the request.
func (x *call) setDeadline() {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if d := x.attempt.Deadline; d > 0 {
		timeout = min(timeout, d)
	}
	x.deadline = x.started.Add(timeout)
}

// hostOf returns the host of a request without the port.
func hostOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		var addrErr *net.AddrError
		if errors.As(err, &addrErr) {
			return r.Host
		}
	}
	return host
}
