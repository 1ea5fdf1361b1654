// Package target holds small stand-ins for the back ends behind a sidecar: a
// model engine that batches continuously, and a plain service that takes
// bookings. Their answers are functions of the request, so that every byte can
// be checked, and faults can be switched on while they run.
package target

import "time"

// Options are the properties of a stand-in. The zero value answers at once and
// is never cold.
type Options struct {
	// Name begins the instance ID.
	Name string
	// Version that the engine serves at its start.
	Version string
	// FirstToken is the time from the start of a request to its first token.
	FirstToken time.Duration
	// PerToken is the time between tokens of a request that runs alone.
	PerToken time.Duration
	// Slowdown is the share of PerToken that each further running request adds.
	Slowdown float64
	// ColdRunning is the number of requests that a cold target bears; one more
	// and it falls over. 0 means that it is never cold.
	ColdRunning int
	// WarmAfter is the time from a cold start until the target is warm.
	WarmAfter time.Duration
	// CrashDuration is the time for which a target that fell over answers 500.
	CrashDuration time.Duration
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// LoadTime is the time that an order to load a version takes.
	LoadTime time.Duration
	// ChecksFencing says whether an order with an old fencing number is refused.
	ChecksFencing bool
	// ResumeGrace is the time for which a stream goes on without a reader.
	ResumeGrace time.Duration
}

// Names of the headers that the stand-ins read and write.
const (
	// HeaderRequestID names the request.
	HeaderRequestID = "X-Request-Id"
	// HeaderInstance names the instance that answered; it changes at a restart.
	HeaderInstance = "X-Instance-Id"
	// HeaderIdempotencyKey names a booking that must run once.
	HeaderIdempotencyKey = "Idempotency-Key"
)
