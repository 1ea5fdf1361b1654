// Package dispatch decides where and when requests run: it orders those that
// wait at a router, chooses a target for each, and refuses what can't be served
// in time. It answers loads under which engines, not routers, are the limit:
// long prompts that share parts, bursts, and accounts that flood the fleet.
// Nothing here does I/O, starts a goroutine or reads a clock.
package dispatch

import (
	"slices"
	"time"
)

// PromptPart is a part of a prompt.
type PromptPart struct {
	// Key identifies the part together with all parts before it.
	Key uint64
	// Tokens is the part's length.
	Tokens int
}

// Request is a request that waits for a target.
type Request struct {
	// Sequence identifies the request at this router.
	Sequence uint64
	Account  string
	Service  string
	// Priority is the rank; 0 is the highest.
	Priority int
	// Arrived is when the caller's request had been read.
	Arrived time.Time
	// Objective is the latency within which an answer is on time.
	Objective time.Duration
	// Deadline is when the caller or the route gives up.
	Deadline time.Time
	// TokensIn is the length of the prompt and TokensOut the most tokens that
	// the answer has; both 0 for plain requests.
	TokensIn, TokensOut int
	Parts               []PromptPart
	// Exclude holds targets that the request was sent to before.
	Exclude map[string]bool
	// Versions are the versions of targets that may run the request.
	Versions VersionFilter
	// Resume says that the request continues an answer that has begun.
	Resume bool

	// hash names the account in usage.
	hash uint32
	// shared is the length of the parts that other requests may share, and
	// density what the request gains for the time that it takes of an engine.
	shared  int
	density float64
	order   orderKey
	// kept holds what targets were found to keep of the parts, by their index, in
	// the generation of targets keptOf.
	kept   []keptFound
	keptOf uint64
	// preferred is the target that all routers prefer for the request's parts, in
	// the generation of targets preferredOf.
	preferred   *target
	preferredOf uint64
}

// prepare works out what does not change while the request waits.
func (r *Request) prepare() {
	r.hash = uint32(hashName(r.Account))
	r.shared = sharedTokens(r.Parts)
	if r.TokensIn > 0 {
		gain := float64(r.TokensIn + outputWorth*r.TokensOut)
		r.density = gain / (float64(r.TokensIn)/startRate + placeCost*float64(r.TokensOut))
	}
}

// keptFound is what a target was found to keep of a request's parts.
type keptFound struct {
	// change is the state of the target's parts that this was found in.
	change uint64
	tokens int
}

// keptAt returns the number of prompt tokens that a target is believed to keep.
func (r *Request) keptAt(t *target) int {
	if r.keptOf != t.generation {
		r.keptOf, r.kept = t.generation, slices.Grow(r.kept[:0], t.of)[:t.of]
		clear(r.kept)
	}
	found := &r.kept[t.index]
	if found.change != t.parts.change {
		*found = keptFound{t.parts.change, min(t.parts.kept(r.Parts), r.TokensIn)}
	}
	return found.tokens
}

// VersionFilter says which versions of targets may run a request; the zero value
// allows all.
type VersionFilter struct {
	// Only is the one version that may, unless it is empty.
	Only string
	// Except is a version that may not, unless it is empty.
	Except string
}

// allows reports whether a version may run a request.
func (v VersionFilter) allows(version string) bool {
	return (v.Only == "" || v.Only == version) && (v.Except == "" || v.Except != version)
}

// size returns the request's size as shares are counted: tokens read, and
// tokens generated twice.
func (r *Request) size() float64 {
	if r.TokensIn == 0 {
		return 1
	}
	return float64(r.TokensIn) + generatedWeight*float64(r.TokensOut)
}

// generatedWeight is how often a generated token counts beside one that is
// read, from the operator's definition of shares.
const generatedWeight = 2

// Action says what becomes of a request.
type Action int

const (
	// Send means that the request goes to the decision's target.
	Send Action = iota
	// RefuseNoTarget means that no target may serve the request.
	RefuseNoTarget
	// RefuseLate means that the request can't be served in time.
	RefuseLate
	// RefuseFull means that too many requests wait.
	RefuseFull
)

// Decision is what was decided on one request, with what decided it.
type Decision struct {
	Request *Request
	Action  Action
	// Target is the ID of the target, and Addr its address.
	Target, Addr string
	// PredictedWait is the predicted time to the first token at the target.
	PredictedWait time.Duration
	// CachedTokens is the number of prompt tokens believed to be kept there.
	CachedTokens int
	// RetryAfter is when a refused request may come back.
	RetryAfter time.Duration
	// Queued is the number of requests that waited here.
	Queued int
	// ShareRatio is what the account had beside its share, if it was over it; else 0.
	ShareRatio float64
}
