package order

import "time"

// Step is what a loader does next.
type Step int

// The steps.
const (
	// Wait means that there is nothing to do yet.
	Wait Step = iota
	// AskPermit means that the weight store is to be asked for leave to load.
	AskPermit
	// SendOrder means that the order to load is to be given, if the guard allows.
	SendOrder
	// Ready means that the target has its version loaded.
	Ready
)

// reorderAfter is how long a target may go on with another version after it took
// an order, before the order counts as lost.
const reorderAfter = 10 * time.Second

// TargetState is what a target says of its versions.
type TargetState struct {
	// Version that the target serves.
	Version string
	// Loading is the version that it loads, or empty.
	Loading string
}

// Loader brings one target to the version that the configuration declares. It
// takes a permit of the rate-limited weight store for each load that it orders,
// and never orders before the time that the permit names. It is not safe for
// concurrent use.
//
//	Wait      no version declared, or the target loads it already
//	AskPermit another version is loaded and no permit is held
//	Wait      the permit's time has not come
//	SendOrder it has come, and the order was not given or is lost
//	Ready     the declared version is loaded
type Loader struct {
	version  string
	permitAt time.Time
	ordered  time.Time
}

// Next returns what to do for a declared version, given the target's state.
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
	case l.permitAt.IsZero():
		return AskPermit
	case now.Before(l.permitAt):
		return Wait
	case !l.ordered.IsZero() && now.Sub(l.ordered) < reorderAfter:
		return Wait
	case !l.ordered.IsZero():
		// A lost load needs a permit of its own.
		*l = Loader{version: version}
		return AskPermit
	}
	return SendOrder
}

// PermitGranted enters the weight store's answer: the load may begin after wait.
func (l *Loader) PermitGranted(answered time.Time, wait time.Duration) {
	l.permitAt = answered.Add(max(0, wait))
}

// OrderSent notes that the order was given, whatever its answer was.
func (l *Loader) OrderSent(now time.Time) { l.ordered = now }
