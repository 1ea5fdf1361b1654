package router

import (
	"math/rand/v2"
	"time"
)

const (
	// reservableRequests is the number of requests at the head of a queue that
	// may be reserved.
	reservableRequests = 64
	// reservationsPerTarget is the number of a queue's reservations that a
	// target holds, if that many requests wait. Several slots of a target can
	// become free at the same time, and a reservation whose claim is in flight
	// is not available for another slot.
	reservationsPerTarget = 4
	// minNewTargets is the minimum number of targets that receive reservations
	// of a queue in one round, if that many are left.
	minNewTargets = 2
	// fanOutInterval is the delay until more targets receive reservations of a
	// queue that still has waiting requests.
	fanOutInterval = 10 * time.Millisecond
	// fanOutFactor is the number of further targets in each round, as a multiple
	// of the targets that hold reservations already. With 18 eligible targets,
	// all of them are reached after 3 rounds.
	fanOutFactor = 2
	// placementTTL is how long a target is assumed to hold reservations of a
	// queue after it last received some. Sidecars keep reservations for longer.
	placementTTL = 10 * time.Second
	// rejectedRetryDelay is the delay until a target that rejected a reservation
	// receives another one.
	rejectedRetryDelay = 200 * time.Millisecond
	// recheckInterval is how often a queue is checked again once all eligible
	// targets hold reservations of it.
	recheckInterval = time.Second
)

// queuePlacement tracks the targets that hold reservations of a queue. Each of
// them holds reservations of requests at the head of the queue and receives
// further ones in the response to a claim. It is guarded by Router.mu.
type queuePlacement struct {
	// placedAt is when each target last received reservations, either from the
	// placer or in the response to a claim or sample. If the target did not accept
	// them, it is the time from which the target may receive others, minus
	// placementTTL.
	placedAt map[string]time.Time
	// nextPlaceAt is when further targets are due to receive reservations.
	nextPlaceAt time.Time
}

// placements tracks the placement of all queues. It is guarded by Router.mu.
type placements struct {
	byQueue map[queueKey]*queuePlacement
	// configurationNumber is the number of the configuration at the last prune.
	configurationNumber uint64
}

func newPlacements() *placements {
	return &placements{byQueue: make(map[queueKey]*queuePlacement)}
}

// get returns the placement of a queue and creates it if there is none.
func (p *placements) get(k queueKey) *queuePlacement {
	qp, ok := p.byQueue[k]
	if !ok {
		qp = &queuePlacement{placedAt: make(map[string]time.Time)}
		p.byQueue[k] = qp
	}
	return qp
}

// markPlaced records that a target holds reservations of a queue.
func (p *placements) markPlaced(k queueKey, target string, now time.Time) {
	p.get(k).placedAt[target] = now
}

// markNotPlaced records that a target did not accept reservations of a queue,
// and may receive others from the given time on.
func (p *placements) markNotPlaced(k queueKey, target string, from time.Time) {
	if qp, ok := p.byQueue[k]; ok {
		qp.placedAt[target] = from.Add(-placementTTL)
		qp.nextPlaceAt = time.Time{}
	}
}

// prune removes the placement of empty queues, and makes all other queues
// due for placement if the configuration has changed.
func (p *placements) prune(q *queues, configurationNumber uint64) {
	for k, qp := range p.byQueue {
		if len(q.byKey[k]) == 0 {
			delete(p.byQueue, k)
		}
		if configurationNumber != p.configurationNumber {
			qp.nextPlaceAt = time.Time{}
		}
	}
	p.configurationNumber = configurationNumber
}

// nextTargets returns the eligible targets that are to receive reservations of
// the queue now: fanOutFactor times as many as hold some already, but at least
// minNewTargets, chosen at random from the remaining ones.
func (qp *queuePlacement) nextTargets(eligible func() []string, now time.Time) []string {
	if now.Before(qp.nextPlaceAt) {
		return nil
	}
	var candidates []string
	placed := 0
	for _, name := range eligible() {
		if at, ok := qp.placedAt[name]; ok && now.Sub(at) < placementTTL {
			placed++
			continue
		}
		candidates = append(candidates, name)
	}
	qp.nextPlaceAt = now.Add(fanOutInterval)
	if len(candidates) == 0 {
		qp.nextPlaceAt = now.Add(recheckInterval)
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(len(candidates), max(minNewTargets, fanOutFactor*placed))]
}

// reservedPenalty is the number of positions in the queue by which each existing
// reservation of a request defers it in nextToReserve.
const reservedPenalty = 4

// nextToReserve returns the index in heads, the requests at the head of a queue,
// of the request that the next reservation is for, or -1 if heads is empty.
// It prefers requests near the head, but spreads reservations over several
// requests, so that sidecars rarely claim the same one.
func nextToReserve(heads []*request) int {
	best := -1
	for i, req := range heads {
		if best < 0 || i+reservedPenalty*req.reserved < best+reservedPenalty*heads[best].reserved {
			best = i
		}
	}
	return best
}
