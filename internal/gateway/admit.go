package gateway

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
)

const (
	// bodyShare is the part of a process's memory, as a divisor, that bodies of
	// requests may hold.
	bodyShare = 4
	// defaultBodyBytes bounds a body until a configuration states a limit.
	defaultBodyBytes = 4 << 20
	// revokeMargin is kept from the time within which a withdrawn key must be
	// known: a request travels and starts in it.
	revokeMargin = 500 * time.Millisecond
	// leaveMargin is kept from the time within which a leaving target must be
	// known, for the same reason.
	leaveMargin = 150 * time.Millisecond
	// defaultDeadline is that of a request whose caller and route state none.
	defaultDeadline = 30 * time.Second
)

// bodyBudget bounds the bytes of bodies in memory.
type bodyBudget struct {
	mu   sync.Mutex
	left int64
}

func (b *bodyBudget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < n {
		return false
	}
	b.left -= n
	return true
}

func (b *bodyBudget) give(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += n
}

// read reads the headers and the whole body of a request.
func (g *Gateway) read(x *call) error {
	attempt, err := g.dialect.DecodeRequest(x.r.Header)
	x.attempt = attempt
	if err != nil {
		return errkind.Wrap(errkind.Malformed, err, "the request's headers can't be read")
	}
	if framedTwice(x.r.Context()) {
		x.w.Header().Set("Connection", "close")
		return errkind.New(errkind.Malformed, "the request has both a length and chunks")
	}
	limit := int64(defaultBodyBytes)
	if c := g.knowledge.View().Config; c != nil && c.Limits.BodyBytes > 0 {
		limit = c.Limits.BodyBytes
	}
	if x.r.ContentLength > limit {
		return errkind.New(errkind.TooLarge, "the body is over %d bytes", limit)
	}
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	body, err := readBody(x.r, limit)
	if err != nil {
		return err
	}
	if !g.bodies.take(int64(len(body))) {
		return errkind.New(errkind.QueueFull, "too many bytes of requests wait")
	}
	x.body = body
	return nil
}

func readBody(r *http.Request, limit int64) ([]byte, error) {
	if n := r.ContentLength; n >= 0 {
		body := make([]byte, n)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			return nil, errkind.Wrap(errkind.Malformed, err, "the body ended early")
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, errkind.Wrap(errkind.Malformed, err, "the body ended early")
	}
	if int64(len(body)) > limit {
		return nil, errkind.New(errkind.TooLarge, "the body is over %d bytes", limit)
	}
	return body, nil
}

// admit finds the route and the client account of a request under the newest
// configuration.
func (g *Gateway) admit(x *call) error {
	if g.stopping.refuses.Load() && len(x.tried) == 0 {
		return errkind.New(errkind.Draining, "the process is stopping")
	}
	config := g.knowledge.View().Config
	if config == nil {
		return errkind.New(errkind.NoConfiguration, "no configuration is known yet")
	}
	x.config = config.Version
	route := config.Route(hostOf(x.r), x.r.URL.EscapedPath())
	if route == nil {
		return errkind.New(errkind.UnknownService, "no route for %s%s", x.r.Host, x.r.URL.Path)
	}
	x.route = route
	x.setDeadline()
	x.account = &catalog.Account{}
	if config.APIKeysRequired && !route.Public {
		if err := g.fresh(); err != nil {
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

// current reports an error if the process has not kept up with a store that
// answers, as happens when it gets too little processor time or stood still: a
// target that it thinks of may have left.
func (g *Gateway) current() error {
	age, known := g.knowledge.Age()
	if !known || !g.knowledge.StoreDown() && age > g.settings.Bounds.MaxApplyDelay-leaveMargin {
		return errkind.New(errkind.PlatformUnavailable, "the view of the deployment is %d ms old", age.Milliseconds())
	}
	return nil
}

// fresh reports an error if the configuration may be older than withdrawn keys
// allow.
func (g *Gateway) fresh() error {
	age, known := g.knowledge.Age()
	if !known || age > g.settings.Bounds.MaxRevocationDelay-revokeMargin {
		return errkind.New(errkind.PlatformUnavailable, "API keys could not be confirmed for %d ms", age.Milliseconds())
	}
	return nil
}

// setDeadline sets when the caller or the route gives up, from the start on.
func (x *call) setDeadline() {
	left := x.route.Timeout
	if left <= 0 {
		left = defaultDeadline
	}
	if d := x.attempt.Deadline; d > 0 {
		left = min(left, d)
	}
	x.deadline = x.started.Add(left)
}

// hostOf returns the host that a request names, without a port.
func hostOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		var missing *net.AddrError
		if errors.As(err, &missing) {
			return r.Host
		}
	}
	return host
}
