// Package dispatch decides where and when requests run: it orders the queue of a
// router, chooses a target for each request, and refuses those that can't be
// served in time. It is designed for loads that are limited by engines, not by
// routers: long prompts with shared prefixes, bursts, and accounts that flood the
// fleet. The package does no I/O, starts no goroutine and reads no clock.
package dispatch

import (
	"slices"
	"time"
)

// PromptPart is a part of a prompt.
type PromptPart struct {
	// ID identifies the part, whatever precedes it.
	ID uint64
	// Key identifies the prefix that ends with this part.
	Key uint64
	// Tokens is the length of the part.
	Tokens int
}

// Request is a request to be sent to a target.
type Request struct {
	// Sequence identifies the request at this router.
	Sequence uint64
	Account  string
	Service  string
	// Priority is the request's priority; 0 is the highest.
	Priority int
	// Arrived is when the caller's request had been received in full.
	Arrived time.Time
	// Objective is the latency within which a response is on time.
	Objective time.Duration
	// Deadline is when the timeout of the caller or the route ends.
	Deadline time.Time
	// TokensIn is the length of the prompt and TokensOut the largest number of
	// tokens of the response; both are 0 for requests without a prompt.
	TokensIn, TokensOut int
	Parts               []PromptPart
	// Exclude holds the IDs of targets that the request was sent to before.
	Exclude map[string]bool
	// Versions selects the versions of targets that may run the request.
	Versions VersionFilter
	// Resume reports whether the request continues a response that has started.
	Resume bool

	// accountHash identifies the account in usage.
	accountHash uint32
	// sharedParts are the IDs of the parts that other requests may share.
	sharedParts []uint64
	// sharedTokens is the length of the prefix that other requests may share, and
	// valuePerMS the value of the request per ms of engine time.
	sharedTokens int
	valuePerMS   float64
	order        orderKey
	// cacheLookups holds the latest cache lookup for each target, by the target's
	// index in the generation cacheLookupsGeneration.
	cacheLookups           []cacheLookup
	cacheLookupsGeneration uint64
	// preferred is the target that all routers prefer for the shared prefix, in the
	// generation preferredGeneration.
	preferred           *target
	preferredGeneration uint64
}

// SharedParts returns the IDs of the parts of a prompt that other requests may share:
// all but the last.
func SharedParts(parts []PromptPart) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	ids := make([]uint64, len(parts)-1)
	for i := range ids {
		ids[i] = parts[i].ID
	}
	return ids
}

// prepare computes the fields that don't change while the request is queued.
func (r *Request) prepare() {
	r.accountHash = AccountHash(r.Account)
	r.sharedTokens = sharedTokens(r.Parts)
	if r.sharedParts == nil {
		r.sharedParts = SharedParts(r.Parts)
	}
	if r.TokensIn > 0 {
		value := float64(r.TokensIn + outputTokenValue*r.TokensOut)
		r.valuePerMS = value / (float64(r.TokensIn)/initialTokensPerMS + slotMSPerToken*float64(r.TokensOut))
	}
}

// cacheLookup is the memoized result of a lookup in a target's prefix cache.
type cacheLookup struct {
	// cacheRevision is the revision of the cache at the lookup.
	cacheRevision uint64
	tokens        int
}

// cachedTokensAt returns the estimated number of prompt tokens in a target's cache.
func (r *Request) cachedTokensAt(t *target) int {
	if r.cacheLookupsGeneration != t.generation {
		r.cacheLookupsGeneration, r.cacheLookups = t.generation, slices.Grow(r.cacheLookups[:0], t.serviceSize)[:t.serviceSize]
		clear(r.cacheLookups)
	}
	lookup := &r.cacheLookups[t.index]
	if lookup.cacheRevision != t.cache.revision {
		*lookup = cacheLookup{t.cache.revision, min(t.cache.cachedTokens(r.Parts), r.TokensIn)}
	}
	return lookup.tokens
}

// VersionFilter selects the versions of targets that may run a request. The zero
// value allows all.
type VersionFilter struct {
	// Only is the one version that is allowed, unless it is empty.
	Only string
	// Except is a version that is not allowed, unless it is empty.
	Except string
}

// allows reports whether a version may run a request.
func (v VersionFilter) allows(version string) bool {
	return (v.Only == "" || v.Only == version) && (v.Except == "" || v.Except != version)
}

// Size returns the size by which the request counts in account shares: its weighted
// tokens, or 1 for a request without a prompt.
func (r *Request) Size() float64 { return RequestSize(r.TokensIn, r.TokensOut) }

// RequestSize is Request.Size for a prompt of tokensIn tokens and a response of up to
// tokensOut.
func RequestSize(tokensIn, tokensOut int) float64 {
	if tokensIn == 0 {
		return 1
	}
	return float64(tokensIn) + outputTokenSize*float64(tokensOut)
}

// outputTokenSize is the size of a generated token relative to a prompt token, from
// the operator's definition of shares.
const outputTokenSize = 2

// Action is the result of a decision.
type Action int

const (
	// Send means that the request is to be sent to the decision's target.
	Send Action = iota
	// RefuseNoTarget means that no target may serve the request.
	RefuseNoTarget
	// RefuseLate means that the request can't be served in time.
	RefuseLate
	// RefuseFull means that the queue is full.
	RefuseFull
	// RefuseQuarantined means that a part of the prompt crashes targets.
	RefuseQuarantined
	// RefuseHeld means that a part of the prompt may crash targets and is being tried.
	RefuseHeld
)

// Decision is the decision on one request, with the values that it is based on.
type Decision struct {
	Request *Request
	Action  Action
	// Target is the ID of the target, and Addr its address.
	Target, Addr string
	// StartedUnixMilli is the target's start as a Unix time in ms; 0 if unknown.
	StartedUnixMilli int64
	// PredictedWait is the predicted time to the first token at the target.
	PredictedWait time.Duration
	// CachedTokens is the estimated number of prompt tokens in the target's cache.
	CachedTokens int
	// RetryAfter is the time after which a refused request may be retried.
	RetryAfter time.Duration
	// Queued is the number of requests that stayed in the queue.
	Queued int
	// ShareRatio is the ratio of the account's usage to its share if it is over its
	// share; otherwise 0.
	ShareRatio float64
	// Part is the ID of the part of the prompt that a request is refused for.
	Part uint64
	// Obstacle is what kept a request with RefuseLate from the best target, and Overdue by
	// how much it had exceeded its maximum wait when it was refused.
	Obstacle Obstacle
	Overdue  time.Duration
}

// Obstacle is what keeps a request from a target.
type Obstacle string

const (
	// NoRoom means that the target has no room.
	NoRoom Obstacle = "no_room"
	// OnlyLate means that the request could only be late at the target, which has other work.
	OnlyLate Obstacle = "only_late"
	// OverShare means that the target has no spare capacity for an account over its share.
	OverShare Obstacle = "over_share"
	// Unavailable means that the targets may get no request now by the rates that they name,
	// or as they are closed.
	Unavailable Obstacle = "unavailable"
)
