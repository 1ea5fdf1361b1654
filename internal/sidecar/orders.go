package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/order"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
)

const (
	// ordersPath is where a target takes orders and tells its versions, if it
	// does either.
	ordersPath = "/v1/orders"
	// orderTick is how often the sidecar looks whether an order is due.
	orderTick = 200 * time.Millisecond
	// orderPlatformTimeout bounds a call to the platform for an order.
	orderPlatformTimeout = 2 * time.Second
	// orderRetry is the pause after a call to the platform that failed.
	orderRetry = time.Second
)

// errNoOrders means that the target takes no orders.
var errNoOrders = errors.New("target takes no orders")

// OrderPlatform is the part of the platform that orders need.
type OrderPlatform interface {
	platform.Leases
	platform.WeightStore
}

// targetOrder is an order as targets read it.
type targetOrder struct {
	Kind          string `json:"kind"`
	Version       string `json:"version,omitempty"`
	FencingNumber uint64 `json:"fencing_number"`
}

// targetVersions is what a target says of its versions.
type targetVersions struct {
	Version string `json:"version"`
	Loading string `json:"loading"`
}

// orders gives the orders of one sidecar. It belongs to one goroutine.
type orders struct {
	sidecar *Sidecar
	guard   *order.Guard
	checks  bool
	loader  order.Loader
	retryAt time.Time
}

// giveOrders brings the target to its declared version until the context ends.
func (s *Sidecar) giveOrders(ctx context.Context) {
	o := &orders{sidecar: s, guard: order.NewGuard(false)}
	tick := time.NewTicker(orderTick)
	defer tick.Stop()
	for {
		o.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// step looks at the target once and does what is due.
func (o *orders) step(ctx context.Context) {
	s := o.sidecar
	snap := s.opts.Store.Current()
	if snap == nil {
		return
	}
	target := snap.Doc.GetTargets()[s.opts.Target]
	if target.GetChecksFencing() != o.checks {
		o.checks = target.GetChecksFencing()
		o.guard = order.NewGuard(o.checks)
	}
	state, err := s.engine.versions(ctx)
	if errors.Is(err, errNoOrders) {
		s.setLoaded(true)
		return
	}
	if isDial(err) {
		// It may come back with another version loaded.
		s.setLoaded(false)
		return
	}
	if err != nil {
		// It is slow to answer; what it told last counts.
		return
	}
	next := o.loader.Next(target.GetVersion(), order.TargetState(state), time.Now())
	s.setLoaded(next == order.Ready)
	if next == order.AskPermit || next == order.SendOrder {
		o.act(ctx, next, target.GetVersion())
	}
}

// act renews the lease, asks for a permit or gives the order.
func (o *orders) act(ctx context.Context, next order.Step, version string) {
	if time.Now().Before(o.retryAt) {
		return
	}
	if o.guard.RenewDue(time.Now()) && !o.acquire(ctx) {
		return
	}
	if next == order.AskPermit {
		o.askPermit(ctx, version)
		return
	}
	number, ok, why := o.guard.Allowed(time.Now())
	if !ok {
		o.sidecar.opts.Log.V(1).Info("order held back", "why", why)
		return
	}
	o.loader.OrderSent(time.Now())
	o.give(ctx, targetOrder{Kind: "load", Version: version, FencingNumber: number})
}

// acquire takes or renews the lease on the target.
func (o *orders) acquire(ctx context.Context) bool {
	s := o.sidecar
	ctx, cancel := context.WithTimeout(ctx, orderPlatformTimeout)
	defer cancel()
	asked := time.Now()
	holder := fmt.Sprintf("%s/%d", s.opts.Name, s.opts.Incarnation)
	lease, err := s.opts.Platform.Acquire(ctx, order.LeaseName(s.opts.Target), holder, order.LeaseTTL)
	if err != nil {
		o.failed("lease", err)
		return false
	}
	o.guard.LeaseAnswered(asked, time.Now(), lease)
	if !lease.Held {
		o.retryAt = time.Now().Add(orderRetry)
	}
	return lease.Held
}

// askPermit asks the weight store for leave to load.
func (o *orders) askPermit(ctx context.Context, version string) {
	ctx, cancel := context.WithTimeout(ctx, orderPlatformTimeout)
	defer cancel()
	wait, err := o.sidecar.opts.Platform.TakeLoadPermit(ctx, version)
	if err != nil {
		o.failed("permit", err)
		return
	}
	o.loader.PermitGranted(time.Now(), wait)
}

// failed notes that the platform did not answer.
func (o *orders) failed(what string, err error) {
	metrics.GetOrRegisterCounter("order_platform_failures_total", o.sidecar.opts.Metrics).Inc(1)
	o.sidecar.opts.Log.Info("platform did not answer for an order", "what", what, "err", err.Error())
	o.retryAt = time.Now().Add(orderRetry)
}

// give gives an order. Whether it arrived shows in the target's state.
func (o *orders) give(ctx context.Context, t targetOrder) {
	s := o.sidecar
	metrics.GetOrRegisterCounter("orders_total", s.opts.Metrics).Inc(1)
	err := s.engine.order(ctx, t, func() bool {
		_, ok, _ := o.guard.Allowed(time.Now())
		return ok
	})
	s.opts.Events.Record(timeline.TargetOrdered, "", fmt.Sprintf("%s %s under fencing number %d", t.Kind, t.Version, t.FencingNumber))
	s.opts.Log.Info("order given", "kind", t.Kind, "version", t.Version, "fencing", t.FencingNumber, "err", fmt.Sprint(err))
}

// setLoaded notes whether the target has its declared version loaded.
func (s *Sidecar) setLoaded(loaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loaded != loaded {
		s.loaded = loaded
		s.poke()
	}
}

// versions asks the target for its versions.
func (e *engine) versions(ctx context.Context) (targetVersions, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+ordersPath, nil)
	if err != nil {
		return targetVersions{}, fmt.Errorf("build request: %w", err)
	}
	res, err := e.shared.Do(req)
	if err != nil {
		return targetVersions{}, fmt.Errorf("ask for versions: %w", err)
	}
	// The answer was read; a failure to close says nothing about it.
	defer func() { _ = res.Body.Close() }()
	var v targetVersions
	if res.StatusCode == http.StatusNotFound || res.StatusCode == http.StatusMethodNotAllowed {
		return v, errNoOrders
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxLoadBytes))
	if err != nil {
		return v, fmt.Errorf("read versions: %w", err)
	}
	if res.StatusCode != http.StatusOK {
		return v, fmt.Errorf("ask for versions: status %d", res.StatusCode)
	}
	if err := json.Unmarshal(body, &v); err != nil {
		return v, fmt.Errorf("read versions: %w", err)
	}
	return v, nil
}

// order sends an order to the target, on a connection of its own that is broken
// off when the order's time is up. stillMay is asked once more when the
// connection is open: the process may have been frozen while it opened.
func (e *engine) order(ctx context.Context, o targetOrder, stillMay func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, order.OrderTimeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		if !stillMay() {
			cancel()
		}
	}})
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+ordersPath, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build order: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	// Without GetBody the transport can't send the order a second time.
	req.GetBody = nil
	res, err := e.once.Do(req)
	if err != nil {
		return fmt.Errorf("give order: %w", err)
	}
	// The status says it all.
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("give order: status %d", res.StatusCode)
	}
	return nil
}
