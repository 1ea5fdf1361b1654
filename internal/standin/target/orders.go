package target

import (
	"errors"
	"sync"
	"time"
)

// Order asks an engine to load a version or to change its role.
type Order struct {
	// Kind is load or role.
	Kind string `json:"kind"`
	// Version to load.
	Version string `json:"version,omitempty"`
	// Role to take.
	Role string `json:"role,omitempty"`
	// FencingNumber of whoever gives the order.
	FencingNumber uint64 `json:"fencing_number"`
}

// OrderState is what an engine's orders led to.
type OrderState struct {
	// Version that is served.
	Version string `json:"version"`
	// Loading is the version that is being loaded, if any.
	Loading string `json:"loading,omitempty"`
	// Role that was taken last.
	Role string `json:"role,omitempty"`
	// Highest fencing number that an accepted order had.
	Highest uint64 `json:"highest_fencing_number"`
	// Accepted lists the accepted orders as they came.
	Accepted []Order `json:"accepted"`
}

var (
	errStaleOrder   = errors.New("fencing number is older than one seen before")
	errUnknownOrder = errors.New("unknown kind of order, expected load or role")
)

// orderBook takes orders for one engine.
type orderBook struct {
	options Options
	// loaded is called when a version has been loaded.
	loaded func()

	mu    sync.Mutex
	state OrderState
	ready time.Time
}

// give takes an order. An order to load ends any earlier one.
func (b *orderBook) give(o Order) error {
	if o.Kind != "load" && o.Kind != "role" {
		return errUnknownOrder
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.options.ChecksFencing && o.FencingNumber < b.state.Highest {
		return errStaleOrder
	}
	b.state.Highest = max(b.state.Highest, o.FencingNumber)
	b.state.Accepted = append(b.state.Accepted, o)
	if o.Kind == "role" {
		b.state.Role = o.Role
		return nil
	}
	b.state.Loading = o.Version
	b.ready = time.Now().Add(b.options.LoadTime)
	return nil
}

// snapshot returns the state at this moment. A load that is over takes effect.
func (b *orderBook) snapshot() OrderState {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state.Loading != "" && !time.Now().Before(b.ready) {
		b.state.Version, b.state.Loading = b.state.Loading, ""
		b.loaded()
	}
	s := b.state
	s.Accepted = append([]Order{}, b.state.Accepted...)
	return s
}
