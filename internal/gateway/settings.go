// Package gateway forwards callers' requests directly to targets, which use
// HTTP and have queues of their own. A request passes through these stages: it
// is read, admitted, queued until package dispatch decides on it, and sent;
// then its response is relayed.
package gateway

import "time"

// Settings are the settings of one gateway process.
type Settings struct {
	// Name is the name of the process, unique in the fleet.
	Name string
	// Zone is the process's availability zone.
	Zone string
	// CallerAddr is where callers connect, IP:port.
	CallerAddr string
	// ReadyAddr is where the platform checks whether the process takes
	// connections.
	ReadyAddr string
	// ReadyPath is the path of that readiness check.
	ReadyPath string
	// PeerAddr is where peers send reports over UDP, IP:port.
	PeerAddr string
	// MetricsAddr is where metrics are served, IP:port.
	MetricsAddr string
	// StoreAddr is the address of the platform's store, IP:port.
	StoreAddr string
	// MemoryBytes is the memory of the process, and MaxDescriptors the number
	// of connections that it may have open.
	MemoryBytes    int64
	MaxDescriptors int
	// MaxTimerLag is the timer delay above which the process refuses requests
	// for lack of processor time; 0 means DefaultMaxTimerLag.
	MaxTimerLag time.Duration
	Bounds      Bounds
	Duties      DutySettings
}

// Bounds are the limits that the fleet must keep.
type Bounds struct {
	// GracePeriod is the time between SIGTERM and the end of the process.
	GracePeriod time.Duration
	// MaxRevocationDelay is the time after which a revoked API key no longer
	// grants access.
	MaxRevocationDelay time.Duration
	// MaxApplyDelay is the time after which a leaving target gets no new
	// requests, and a new configuration is in force.
	MaxApplyDelay time.Duration
	// RetryRatio and RetrySlack bound the retries to a service over the whole
	// fleet, in any time span: RetryRatio times its requests, plus RetrySlack.
	RetryRatio float64
	RetrySlack float64
	// ExposureFraction is the fraction of a service's requests that a canary
	// version may get.
	ExposureFraction float64
	// ColdOverage and ColdTolerance bound the requests to a cold target in any
	// second: ColdOverage times its rate, plus ColdTolerance.
	ColdOverage, ColdTolerance float64
	// ShareWindow is the time window over which the shares of client accounts
	// are measured.
	ShareWindow time.Duration
}
