package lab

import (
	"fmt"
	"time"
)

// HostLimit is the processor time of a gateway's host.
type HostLimit struct {
	Gateway int `yaml:"gateway"`
	// PerSecond is how many requests the gateway can read in a second. It sheds a part of
	// what comes beyond that before it reads it.
	PerSecond float64 `yaml:"per_second"`
}

// AccountRoute names the gateways that an account's callers reach, in place of all.
type AccountRoute struct {
	// Account is the account by size from 1.
	Account int `yaml:"account"`
	// Gateways are those that its callers reach in turn, another one with each attempt.
	Gateways []int `yaml:"gateways"`
	// MovedTo are those that they reach from second MovedAt on; if it is empty, they stay.
	MovedAt float64 `yaml:"moved_at"`
	MovedTo []int   `yaml:"moved_to"`
}

func (d *Workload) checkHosts() error {
	known := func(gateway int) bool { return gateway >= 0 && gateway < d.Gateways }
	for _, l := range d.HostLimits {
		if !known(l.Gateway) || l.PerSecond <= 0 {
			return fmt.Errorf("field host_limits: there is no gateway %d, or per_second %v is not above 0", l.Gateway, l.PerSecond)
		}
	}
	for _, r := range d.Routes {
		if r.Account < 1 || r.Account > d.Accounts || len(r.Gateways) == 0 {
			return fmt.Errorf("field routes: there is no account %d, or it has no gateways", r.Account)
		}
		for _, gateways := range [][]int{r.Gateways, r.MovedTo} {
			for _, gateway := range gateways {
				if !known(gateway) {
					return fmt.Errorf("field routes: account %d: there is no gateway %d", r.Account, gateway)
				}
			}
		}
	}
	if d.ReportSpreadMS < 0 {
		return fmt.Errorf("field report_spread_ms: %v is below 0", d.ReportSpreadMS)
	}
	return nil
}

// route returns the route of an account, or nil if its callers reach all gateways.
func (d *Workload) route(account string) *AccountRoute {
	for i := range d.Routes {
		if accountName(d.Routes[i].Account) == account {
			return &d.Routes[i]
		}
	}
	return nil
}

// routed returns the gateway that a caller's next attempt reaches on its account's
// route: one that takes connections, if there is one.
func (w *world) routed(c *caller, r *AccountRoute) *gateway {
	gateways := r.Gateways
	if len(r.MovedTo) > 0 && w.now >= ms(r.MovedAt*1000) {
		gateways = r.MovedTo
	}
	first := c.id + uint64(c.left)
	for i := range gateways {
		g := w.gateways[gateways[(first+uint64(i))%uint64(len(gateways))]]
		if g.host == nil || w.now >= g.host.notReadyUntil {
			return g
		}
	}
	return w.gateways[gateways[first%uint64(len(gateways))]]
}

// host is the processor of a gateway whose host is limited. It sheds load as the
// product does: a part of the requests, drawn for each, while its work is late.
type host struct {
	perSecond float64
	// busyUntil is when the work that it has is done.
	busyUntil time.Duration
	// lag is the smoothed time for which work waits, and shed the part of the requests
	// that is shed.
	lag, shed float64
	// notReadyUntil is when it takes connections again, and notReadyFor the length of the
	// present time without them.
	notReadyUntil, notReadyFor time.Duration
}

// Figures of shedding, as in the product.
const (
	lagProbeInterval  = 50 * time.Millisecond
	lagSmoothing      = 0.3
	maxLag            = 20 * time.Millisecond
	recoveredLag      = 8 * time.Millisecond
	shedStepUp        = 0.08
	shedStepDown      = 0.025
	maxShed           = 0.95
	notReadyShed      = 0.2
	minNotReady       = 4 * time.Second
	maxNotReady       = 16 * time.Second
	loadReturnsWithin = 5 * time.Second
)

const (
	// shedCost is the work for a request that is shed beside that for one that is read.
	shedCost = 0.15
	// shedRetry is when callers come back that were shed.
	shedRetry = 100 * time.Millisecond
)

// shedReason is why requests are refused that a host shed.
const shedReason = "shed"

// work adds work, in requests, and returns when it is done from now.
func (h *host) work(requests float64, now time.Duration) time.Duration {
	h.busyUntil = max(h.busyUntil, now) + time.Duration(requests/h.perSecond*float64(time.Second))
	return h.busyUntil - now
}

// probeHost measures the lag of a host, until callers stop coming.
func (w *world) probeHost(h *host) {
	h.lag += lagSmoothing * (float64(max(0, h.busyUntil-w.now)) - h.lag)
	switch {
	case h.lag > float64(maxLag):
		h.shed = min(maxShed, h.shed+shedStepUp)
	case h.lag < float64(recoveredLag):
		h.shed = max(0, h.shed-shedStepDown)
	}
	if h.shed >= notReadyShed && w.now >= h.notReadyUntil {
		if h.notReadyUntil > 0 && w.now-h.notReadyUntil < loadReturnsWithin {
			h.notReadyFor = min(2*h.notReadyFor, maxNotReady)
		} else {
			h.notReadyFor = minNotReady
		}
		h.notReadyUntil = w.now + h.notReadyFor
	}
	if w.now < ms(w.day.Seconds*1000) {
		w.after(lagProbeInterval, func() { w.probeHost(h) })
	}
}

// reach brings a caller to a gateway, whose host reads the request or sheds it.
func (w *world) reach(c *caller, g *gateway) {
	h := g.host
	if h == nil {
		w.enqueue(c, g, w.time())
		return
	}
	if w.rng.Float64() < h.shed {
		w.after(h.work(shedCost, w.now), func() { w.refuse(&call{caller: c}, shedReason, shedRetry) })
		return
	}
	w.after(h.work(1, w.now), func() {
		if w.now >= c.at+ms(c.kind.DeadlineMS) {
			c.ended = gaveUp
			return
		}
		w.enqueue(c, g, w.time())
	})
}
