package order

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/zinniaquay/zinniaquay/internal/platform"
)

// holder is a sidecar's guard with its way to the platform.
type holder struct {
	name  string
	guard *Guard
	store *platform.Memory
}

func newHolder(store *platform.Memory, name string, checks bool) *holder {
	return &holder{name: name, guard: NewGuard(checks), store: store}
}

func (h *holder) acquire(t *testing.T) {
	t.Helper()
	asked := time.Now()
	lease, err := h.store.Acquire(t.Context(), LeaseName("t1"), h.name, LeaseTTL)
	if err == nil {
		h.guard.LeaseAnswered(asked, time.Now(), lease)
	}
}

func (h *holder) may() bool {
	_, ok, _ := h.guard.Allowed(time.Now())
	return ok
}

// firstOrder renews and waits until the holder may give an order.
func (h *holder) firstOrder(t *testing.T) time.Time {
	t.Helper()
	for range 1000 {
		if h.guard.RenewDue(time.Now()) {
			h.acquire(t)
		}
		if h.may() {
			return time.Now()
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("no order was ever allowed")
	return time.Time{}
}

func TestFrozenSidecarGivesNoOrderAfterANewOneStarted(t *testing.T) {
	for _, c := range []struct {
		name string
		// lapse lets the lease lapse on the platform before its time.
		lapse bool
		// freeze is how long the old sidecar is frozen after its last renewal.
		freeze time.Duration
	}{
		{"frozen past its lease", false, 30 * time.Second},
		{"lease lapsed early, woken before its own end", true, time.Second},
		{"lease lapsed early, woken at its own end", true, LeaseTTL - OrderTimeout},
		{"woken in the middle of the new one's wait", true, LeaseTTL - time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := platform.NewMemory()
				old, next := newHolder(store, "old", false), newHolder(store, "new", false)
				old.firstOrder(t)
				old.acquire(t)
				renewed := time.Now()
				if c.lapse {
					store.ExpireLeases()
				}
				var lastOld time.Time
				woken := make(chan struct{})
				go func() {
					defer close(woken)
					time.Sleep(c.freeze)
					for range 600 {
						if old.may() { // woken, it does not renew
							lastOld = time.Now()
						}
						time.Sleep(100 * time.Millisecond)
					}
				}()
				first := next.firstOrder(t)
				<-woken
				is.True(first.Sub(renewed) <= 2*(LeaseTTL+OrderTimeout)) // the new one does start
				is.True(lastOld.IsZero() || !lastOld.Add(OrderTimeout).After(first))
			})
		})
	}
}

func TestTargetThatChecksNeedsNoWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := platform.NewMemory()
		old, next := newHolder(store, "old", true), newHolder(store, "new", true)
		old.acquire(t)
		is.True(old.may())
		oldNumber, _, _ := old.guard.Allowed(time.Now())
		store.ExpireLeases()
		next.acquire(t)
		number, ok, _ := next.guard.Allowed(time.Now())
		is.True(ok)
		is.True(number > oldNumber) // the target refuses the old one
	})
}

func TestGuardRefusesWithoutALease(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	g := NewGuard(true)
	_, ok, _ := g.Allowed(start)
	is.True(!ok)
	is.True(g.RenewDue(start))
	g.LeaseAnswered(start, start.Add(time.Second), platform.Lease{Held: true, FencingNumber: 3})
	_, ok, _ = g.Allowed(start.Add(LeaseTTL - OrderTimeout))
	is.True(ok) // the order fits before the end
	_, ok, _ = g.Allowed(start.Add(LeaseTTL - OrderTimeout + 1))
	is.True(!ok) // counted from the asking, not the answer
	g.LeaseAnswered(start, start, platform.Lease{Held: false, FencingNumber: 4})
	_, ok, _ = g.Allowed(start)
	is.True(!ok)
}

func TestLoaderRespectsThePermit(t *testing.T) {
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
	is.Equal(l.Next("v2", other, start.Add(2*time.Hour)), AskPermit) // the load was lost
	is.Equal(l.Next("v2", TargetState{Version: "v2"}, start.Add(2*time.Hour)), Ready)
	is.Equal(l.Next("v3", TargetState{Version: "v2"}, start.Add(2*time.Hour)), AskPermit)
}
