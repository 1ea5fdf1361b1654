package order

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/zinniaquay/zinniaquay/internal/platform"
)

// leaseHolder is a sidecar's guard with its connection to the platform.
type leaseHolder struct {
	name  string
	guard *Guard
	store *platform.Memory
}

func newHolder(store *platform.Memory, name string, checksFencing bool) *leaseHolder {
	return &leaseHolder{name: name, guard: NewGuard(checksFencing), store: store}
}

func (h *leaseHolder) acquire(t *testing.T) {
	t.Helper()
	requested := time.Now()
	lease, err := h.store.Acquire(t.Context(), LeaseName("t1"), h.name, LeaseTTL)
	if err == nil {
		h.guard.LeaseAnswered(requested, time.Now(), lease)
	}
}

func (h *leaseHolder) orderAllowed() bool {
	_, ok, _ := h.guard.Allowed(time.Now())
	return ok
}

// waitUntilAllowed renews the lease until the holder may send an order, and
// returns the time at which it may.
func (h *leaseHolder) waitUntilAllowed(t *testing.T) time.Time {
	t.Helper()
	for range 1000 {
		if h.guard.RenewDue(time.Now()) {
			h.acquire(t)
		}
		if h.orderAllowed() {
			return time.Now()
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("no order was allowed within 1000 attempts")
	return time.Time{}
}

func TestSuspendedHolderMayNotSendOrdersOnceItsSuccessorMay(t *testing.T) {
	for _, c := range []struct {
		name string
		// expireEarly expires the lease on the platform before its end.
		expireEarly bool
		// suspended is how long the old sidecar sleeps after its last renewal.
		suspended time.Duration
	}{
		{"suspended past the end of its lease", false, 30 * time.Second},
		{"lease expired early, resumed before its local end", true, time.Second},
		{"lease expired early, resumed at its local end", true, LeaseTTL - OrderTimeout},
		{"resumed while the new holder waits", true, LeaseTTL - time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := platform.NewMemory()
				old, next := newHolder(store, "old", false), newHolder(store, "new", false)
				old.waitUntilAllowed(t)
				old.acquire(t)
				renewedAt := time.Now()
				if c.expireEarly {
					store.ExpireLeases()
				}
				var lastAllowed time.Time
				oldFinished := make(chan struct{})
				go func() {
					defer close(oldFinished)
					time.Sleep(c.suspended)
					for range 600 {
						if old.orderAllowed() { // it does not renew after it resumed
							lastAllowed = time.Now()
						}
						time.Sleep(100 * time.Millisecond)
					}
				}()
				firstAllowed := next.waitUntilAllowed(t)
				<-oldFinished
				is.True(firstAllowed.Sub(renewedAt) <= 2*(LeaseTTL+OrderTimeout)) // the new holder does start
				is.True(lastAllowed.IsZero() || !lastAllowed.Add(OrderTimeout).After(firstAllowed))
			})
		})
	}
}

func TestTargetThatChecksFencingNumbersNeedsNoWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := platform.NewMemory()
		old, next := newHolder(store, "old", true), newHolder(store, "new", true)
		old.acquire(t)
		is.True(old.orderAllowed())
		oldNumber, _, _ := old.guard.Allowed(time.Now())
		store.ExpireLeases()
		next.acquire(t)
		number, ok, _ := next.guard.Allowed(time.Now())
		is.True(ok)
		is.True(number > oldNumber) // the target refuses the old number
	})
}

func TestGuardAllowsOrdersOnlyUnderAValidLease(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	g := NewGuard(true)
	_, ok, _ := g.Allowed(start)
	is.True(!ok)
	is.True(g.RenewDue(start))
	g.LeaseAnswered(start, start.Add(time.Second), platform.Lease{Held: true, FencingNumber: 3})
	_, ok, _ = g.Allowed(start.Add(LeaseTTL - OrderTimeout))
	is.True(ok) // the order ends before the lease
	_, ok, _ = g.Allowed(start.Add(LeaseTTL - OrderTimeout + 1))
	is.True(!ok) // the lease counts from the request, not the response
	g.LeaseAnswered(start, start, platform.Lease{Held: false, FencingNumber: 4})
	_, ok, _ = g.Allowed(start)
	is.True(!ok)
}

func TestLoaderSendsNoOrderBeforeThePermitTime(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	other := TargetState{Version: "v1"}
	var l Loader
	is.Equal(l.Next("", other, start), Wait)
	is.Equal(l.Next("v2", other, start), AskPermit)
	l.PermitGranted(start, time.Minute)
	is.Equal(l.Next("v2", other, start.Add(time.Minute-1)), Wait)
	is.Equal(l.Next("v2", other, start.Add(time.Minute)), SendOrder)
	l.OrderSent(start.Add(time.Minute))
	is.Equal(l.Next("v2", other, start.Add(time.Minute+1)), Wait)
	is.Equal(l.Next("v2", TargetState{Version: "v1", Loading: "v2"}, start.Add(2*time.Hour)), Wait)
	is.Equal(l.Next("v2", other, start.Add(2*time.Hour)), AskPermit) // the order was lost
	is.Equal(l.Next("v2", TargetState{Version: "v2"}, start.Add(2*time.Hour)), Ready)
	is.Equal(l.Next("v3", TargetState{Version: "v2"}, start.Add(2*time.Hour)), AskPermit)
}
