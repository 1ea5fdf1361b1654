package timeline

// Kind is the type of an event, from the closed list below.
type Kind string

// The closed list of event kinds.
const (
	// ProcessStarted means that a process started to serve.
	ProcessStarted Kind = "process.started"
	// ProcessDraining means that a graceful shutdown began.
	ProcessDraining Kind = "process.draining"
	// RequestAccepted means that a router put a request in the queue of its client
	// account.
	RequestAccepted Kind = "request.accepted"
	// RequestRefused means that a router refused a request.
	RequestRefused Kind = "request.refused"
	// RequestClaimed means that a router assigned a request to a sidecar.
	RequestClaimed Kind = "request.claimed"
	// RequestStarted means that a sidecar started an attempt of a request at its
	// target.
	RequestStarted Kind = "request.started"
	// RequestResumed means that a response stream that had broken off was resumed.
	RequestResumed Kind = "request.resumed"
	// RequestEnded means that the response ended, completely or with an error.
	RequestEnded Kind = "request.ended"
	// RequestCanceled means that the caller disconnected.
	RequestCanceled Kind = "request.canceled"
	// RequestTombstoned means that a sidecar set a tombstone, which prevents the
	// request from starting.
	RequestTombstoned Kind = "request.tombstoned"
	// ConfigPatched means that a patch was accepted.
	ConfigPatched Kind = "config.patched"
	// ConfigApplied means that a configuration came into force in a process.
	ConfigApplied Kind = "config.applied"
	// PlatformLost means that the platform stopped responding to a process.
	PlatformLost Kind = "platform.lost"
	// PlatformFound means that the platform responds to a process again.
	PlatformFound Kind = "platform.found"
	// PeerJoined means that a process discovered another one.
	PeerJoined Kind = "peer.joined"
	// PeerLeaving means that a process recorded another one as leaving.
	PeerLeaving Kind = "peer.leaving"
	// PeerGone means that a process recorded another one as gone.
	PeerGone Kind = "peer.gone"
	// TargetCold means that a sidecar detected that its target is cold.
	TargetCold Kind = "target.cold"
	// TargetWarm means that a sidecar detected that its target is warm.
	TargetWarm Kind = "target.warm"
	// TargetOrdered means that a sidecar sent its target an order.
	TargetOrdered Kind = "target.ordered"
	// MoveState means that the committed state of a move changed.
	MoveState Kind = "move.state"
	// MoveVerdict means that a version was judged bad.
	MoveVerdict Kind = "move.verdict"
	// Unlisted replaces a kind that is not in the list, which is a bug in the code.
	Unlisted Kind = "unlisted"
)

var known = map[Kind]bool{
	ProcessStarted: true, ProcessDraining: true,
	RequestAccepted: true, RequestRefused: true, RequestClaimed: true,
	RequestStarted: true, RequestResumed: true, RequestEnded: true, RequestCanceled: true, RequestTombstoned: true,
	ConfigPatched: true, ConfigApplied: true,
	PlatformLost: true, PlatformFound: true,
	PeerJoined: true, PeerLeaving: true, PeerGone: true,
	TargetCold: true, TargetWarm: true, TargetOrdered: true,
	MoveState: true, MoveVerdict: true,
}

// Known reports whether the kind is in the closed list.
func (k Kind) Known() bool { return known[k] }
