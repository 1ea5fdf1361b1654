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
	// ordersPath is the path at which a target accepts orders and reports its
	// versions. A target may support neither.
	ordersPath = "/v1/orders"
	// orderPollInterval is how often the sidecar checks whether an order is
	// due.
	orderPollInterval = 200 * time.Millisecond
	// orderPlatformTimeout is the timeout of a platform call for an order.
	orderPlatformTimeout = 2 * time.Second
	// orderRetryDelay is the delay after a platform call that failed or did not
	// obtain the lease.
	orderRetryDelay = time.Second
)

// errOrdersUnsupported means that the target does not accept orders.
var errOrdersUnsupported = errors.New("target does not accept orders")

// OrderPlatform is the part of the platform that orders require.
type OrderPlatform interface {
	platform.Leases
	platform.WeightStore
}

// targetOrder is the JSON body of an order to a target.
type targetOrder struct {
	Kind          string `json:"kind"`
	Version       string `json:"version,omitempty"`
	FencingNumber uint64 `json:"fencing_number"`
}

// targetVersions is a target's report of its versions.
type targetVersions struct {
	Version string `json:"version"`
	Loading string `json:"loading"`
}

// orderSender sends the orders of one sidecar. Only one goroutine uses it.
type orderSender struct {
	sidecar       *Sidecar
	guard         *order.Guard
	checksFencing bool
	loader        order.Loader
	retryAt       time.Time
}

// runOrders keeps the target at its declared version until the context ends.
func (s *Sidecar) runOrders(ctx context.Context) {
	o := &orderSender{sidecar: s, guard: order.NewGuard(false)}
	tick := time.NewTicker(orderPollInterval)
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

// step checks the target once and takes the step that is due.
func (o *orderSender) step(ctx context.Context) {
	s := o.sidecar
	snap := s.opts.Store.Current()
	if snap == nil {
		return
	}
	target := snap.Doc.GetTargets()[s.opts.Target]
	if target.GetChecksFencing() != o.checksFencing {
		o.checksFencing = target.GetChecksFencing()
		o.guard = order.NewGuard(o.checksFencing)
	}
	state, err := s.client.fetchVersions(ctx)
	if errors.Is(err, errOrdersUnsupported) {
		s.setLoaded(true)
		return
	}
	if isDialError(err) {
		// The target may come back with another version loaded.
		s.setLoaded(false)
		return
	}
	if err != nil {
		// The target is slow to respond; its last report remains valid.
		return
	}
	step := o.loader.Next(target.GetVersion(), order.TargetState(state), time.Now())
	s.setLoaded(step == order.Ready)
	if step == order.AskPermit || step == order.SendOrder {
		o.execute(ctx, step, target.GetVersion())
	}
}

// execute renews the lease if due, and requests a permit or sends the order.
func (o *orderSender) execute(ctx context.Context, step order.Step, version string) {
	if time.Now().Before(o.retryAt) {
		return
	}
	if o.guard.RenewDue(time.Now()) && !o.acquireLease(ctx) {
		return
	}
	if step == order.AskPermit {
		o.requestPermit(ctx, version)
		return
	}
	number, ok, reason := o.guard.Allowed(time.Now())
	if !ok {
		o.sidecar.opts.Log.V(1).Info("order not allowed yet", "why", reason)
		return
	}
	o.loader.OrderSent(time.Now())
	o.send(ctx, targetOrder{Kind: "load", Version: version, FencingNumber: number})
}

// acquireLease acquires or renews the lease on the target.
func (o *orderSender) acquireLease(ctx context.Context) bool {
	s := o.sidecar
	ctx, cancel := context.WithTimeout(ctx, orderPlatformTimeout)
	defer cancel()
	requestedAt := time.Now()
	holder := fmt.Sprintf("%s/%d", s.opts.Name, s.opts.Incarnation)
	lease, err := s.opts.Platform.Acquire(ctx, order.LeaseName(s.opts.Target), holder, order.LeaseTTL)
	if err != nil {
		o.platformFailed("lease", err)
		return false
	}
	o.guard.LeaseAnswered(requestedAt, time.Now(), lease)
	if !lease.Held {
		o.retryAt = time.Now().Add(orderRetryDelay)
	}
	return lease.Held
}

// requestPermit requests a permit from the weight store to load a version.
func (o *orderSender) requestPermit(ctx context.Context, version string) {
	ctx, cancel := context.WithTimeout(ctx, orderPlatformTimeout)
	defer cancel()
	wait, err := o.sidecar.opts.Platform.TakeLoadPermit(ctx, version)
	if err != nil {
		o.platformFailed("permit", err)
		return
	}
	o.loader.PermitGranted(time.Now(), wait)
}

// platformFailed records a failed platform call and delays the next one.
func (o *orderSender) platformFailed(what string, err error) {
	metrics.GetOrRegisterCounter("order_platform_failures_total", o.sidecar.opts.Metrics).Inc(1)
	o.sidecar.opts.Log.Info("platform call for an order failed", "what", what, "err", err.Error())
	o.retryAt = time.Now().Add(orderRetryDelay)
}

// send sends an order. The target's reported state shows whether it arrived.
func (o *orderSender) send(ctx context.Context, t targetOrder) {
	s := o.sidecar
	metrics.GetOrRegisterCounter("orders_total", s.opts.Metrics).Inc(1)
	err := s.client.sendOrder(ctx, t, func() bool {
		_, ok, _ := o.guard.Allowed(time.Now())
		return ok
	})
	s.opts.Events.Record(timeline.TargetOrdered, "", fmt.Sprintf("%s %s under fencing number %d", t.Kind, t.Version, t.FencingNumber))
	s.opts.Log.Info("order sent", "kind", t.Kind, "version", t.Version, "fencing", t.FencingNumber, "err", fmt.Sprint(err))
}

// setLoaded records whether the target has its declared version loaded.
func (s *Sidecar) setLoaded(loaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loaded != loaded {
		s.loaded = loaded
		s.wakeDispatcher()
	}
}

// fetchVersions requests the target's versions.
func (c *targetClient) fetchVersions(ctx context.Context) (targetVersions, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+ordersPath, nil)
	if err != nil {
		return targetVersions{}, fmt.Errorf("build request: %w", err)
	}
	res, err := c.pooled.Do(req)
	if err != nil {
		return targetVersions{}, fmt.Errorf("request versions: %w", err)
	}
	// The body has been read; an error on close does not affect it.
	defer func() { _ = res.Body.Close() }()
	var v targetVersions
	if res.StatusCode == http.StatusNotFound || res.StatusCode == http.StatusMethodNotAllowed {
		return v, errOrdersUnsupported
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxLoadBytes))
	if err != nil {
		return v, fmt.Errorf("read versions: %w", err)
	}
	if res.StatusCode != http.StatusOK {
		return v, fmt.Errorf("request versions: status %d", res.StatusCode)
	}
	if err := json.Unmarshal(body, &v); err != nil {
		return v, fmt.Errorf("read versions: %w", err)
	}
	return v, nil
}

// sendOrder sends an order to the target on a connection of its own, which is
// aborted when the order times out. stillAllowed checks the permission again
// once the connection is open: the process may have been paused while it
// opened.
func (c *targetClient) sendOrder(ctx context.Context, o targetOrder, stillAllowed func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, order.OrderTimeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		if !stillAllowed() {
			cancel()
		}
	}})
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+ordersPath, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build order: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	// Without GetBody the transport can't send the order a second time.
	req.GetBody = nil
	res, err := c.singleUse.Do(req)
	if err != nil {
		return fmt.Errorf("send order: %w", err)
	}
	// Only the status matters; an error on close does not affect it.
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("send order: status %d", res.StatusCode)
	}
	return nil
}
