package order

import "time"

// Step is the next action of a loader.
type Step int

const (
	// Wait means that there is nothing to do yet.
	Wait Step = iota
	// AskPermit means that a permit must be requested from the weight store.
	AskPermit
	// SendOrder means that the order to load must be sent, if the guard allows it.
	SendOrder
	// Ready means that the target has its version loaded.
	Ready
)

// orderLostAfter is the time after which an order counts as lost if the target
// does not load the version.
const orderLostAfter = 10 * time.Second

// TargetState is a target's report of its versions.
type TargetState struct {
	// Version is the version that the target serves.
	Version string
	// Loading is the version that the target loads, or empty.
	Loading string
}

// Loader brings one target to the version that the configuration declares. It
// gets a permit from the rate-limited weight store for each load that it orders,
// and never sends the order before the permit's start time. It is not safe for
// concurrent use.
//
//	Wait      no version is declared, or the target already loads it
//	AskPermit another version is loaded, and no permit is held or the order is lost
//	Wait      the permit's start time has not been reached
//	SendOrder the start time has been reached and no order was sent
//	Wait      the order was sent and does not count as lost yet
//	Ready     the declared version is loaded
type Loader struct {
	version       string
	loadNotBefore time.Time
	orderedAt     time.Time
}

// Next returns the next step for a declared version, given the target's state.
func (l *Loader) Next(version string, t TargetState, now time.Time) Step {
	if version != l.version {
		*l = Loader{version: version}
	}
	switch {
	case version == "":
		return Wait
	case t.Version == version && t.Loading == "":
		*l = Loader{version: version}
		return Ready
	case t.Loading == version:
		return Wait
	case l.loadNotBefore.IsZero():
		return AskPermit
	case now.Before(l.loadNotBefore):
		return Wait
	case !l.orderedAt.IsZero() && now.Sub(l.orderedAt) < orderLostAfter:
		return Wait
	case !l.orderedAt.IsZero():
		// An order that replaces a lost one needs its own permit.
		*l = Loader{version: version}
		return AskPermit
	}
	return SendOrder
}

// PermitGranted records the weight store's response: the load may begin after
// wait.
func (l *Loader) PermitGranted(answered time.Time, wait time.Duration) {
	l.loadNotBefore = answered.Add(max(0, wait))
}

// OrderSent records the time at which an order is sent, regardless of its
// response.
func (l *Loader) OrderSent(now time.Time) { l.orderedAt = now }
