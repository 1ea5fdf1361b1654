// Package gateway serves callers straight from targets that speak HTTP and
// queue by themselves. A request passes through a line of stages: it is read,
// admitted, waits for a decision of package dispatch, is sent, and its answer is
// relayed.
package gateway

import "time"

// Settings are those of one gateway process.
type Settings struct {
	// Name of the process, unique in the fleet.
	Name string
	// Zone is the process's availability zone.
	Zone string
	// CallerAddr is where callers connect, IP:port.
	CallerAddr string
	// ReadyAddr is where the platform asks whether the process takes connections.
	ReadyAddr string
	// ReadyPath is the path of that question.
	ReadyPath string
	// PeerAddr is where peers send reports over UDP, IP:port.
	PeerAddr string
	// MetricsAddr is where metrics are shown, IP:port.
	MetricsAddr string
	// StoreAddr is the platform's store, IP:port.
	StoreAddr string
	// MemoryBytes is the process's memory, and MaxDescriptors the number of
	// connections that it may have open.
	MemoryBytes    int64
	MaxDescriptors int
	// MaxTimerLag is the delay of timers from which the process refuses requests for
	// want of processor time; 0 stands for DefaultMaxTimerLag.
	MaxTimerLag time.Duration
	Bounds      Bounds
}

// Bounds are the figures of the rules that the fleet keeps.
type Bounds struct {
	// GracePeriod is the time between SIGTERM and the end of the process.
	GracePeriod time.Duration
	// MaxRevocationDelay is the time after which a withdrawn API key opens nothing.
	MaxRevocationDelay time.Duration
	// MaxApplyDelay is the time after which a leaving target gets nothing new, and a
	// configuration is in force.
	MaxApplyDelay time.Duration
	// RetryRatio and RetrySlack bound the second sends to a service over the whole
	// fleet, in any span of time: its requests times the one plus the other.
	RetryRatio float64
	RetrySlack float64
	// ExposureFraction is the part of a service's requests that a version under
	// trial may get.
	ExposureFraction float64
	// ColdOverage and ColdTolerance bound the requests to a cold target in any
	// second: its rate times the one plus the other.
	ColdOverage, ColdTolerance float64
	// ShareWindow is the time over which shares of accounts are counted.
	ShareWindow time.Duration
}
