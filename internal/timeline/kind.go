package timeline

// Kind names what happened, from the closed list below.
type Kind string

// The closed list of kinds of events.
const (
	// ProcessStarted means that a process began to answer.
	ProcessStarted Kind = "process.started"
	// ProcessDraining means that a graceful shutdown began.
	ProcessDraining Kind = "process.draining"
	// RequestAccepted means that a router put a request in its account's queue.
	RequestAccepted Kind = "request.accepted"
	// RequestRefused means that a router refused a request.
	RequestRefused Kind = "request.refused"
	// RequestClaimed means that a router handed a request out to a sidecar.
	RequestClaimed Kind = "request.claimed"
	// RequestStarted means that a sidecar offered a request to its target.
	RequestStarted Kind = "request.started"
	// RequestResumed means that a broken stream was taken up again.
	RequestResumed Kind = "request.resumed"
	// RequestEnded means that an answer ended, whole or with an error.
	RequestEnded Kind = "request.ended"
	// RequestCanceled means that the caller had gone.
	RequestCanceled Kind = "request.canceled"
	// RequestTombstoned means that a sidecar barred a request from starting.
	RequestTombstoned Kind = "request.tombstoned"
	// ConfigPatched means that a patch was accepted.
	ConfigPatched Kind = "config.patched"
	// ConfigApplied means that a process put a configuration in force.
	ConfigApplied Kind = "config.applied"
	// PlatformLost means that the platform stopped answering a process.
	PlatformLost Kind = "platform.lost"
	// PlatformFound means that the platform answers a process again.
	PlatformFound Kind = "platform.found"
	// PeerJoined means that a process learned of another one.
	PeerJoined Kind = "peer.joined"
	// PeerLeaving means that a process learned that another one leaves.
	PeerLeaving Kind = "peer.leaving"
	// PeerGone means that a process gave another one up.
	PeerGone Kind = "peer.gone"
	// TargetCold means that a sidecar found its target cold.
	TargetCold Kind = "target.cold"
	// TargetWarm means that a sidecar found its target warm.
	TargetWarm Kind = "target.warm"
	// TargetOrdered means that a sidecar gave its target an order.
	TargetOrdered Kind = "target.ordered"
	// MoveState means that the committed state of a move changed.
	MoveState Kind = "move.state"
	// MoveVerdict means that a version was found bad.
	MoveVerdict Kind = "move.verdict"
	// Unlisted stands for a kind outside the list, which is a fault in the code.
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
