package sidecar

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
)

// HeartbeatEvery is how often an answer without news sends a heartbeat.
const HeartbeatEvery = 500 * time.Millisecond

// Errors of the service.
var (
	errUnknownRequest   = connect.NewError(connect.CodeNotFound, errors.New("request unknown here"))
	errOtherIncarnation = connect.NewError(connect.CodeFailedPrecondition, errors.New("sidecar has restarted"))
)

// Reserve implements the RPC: it takes reservations while there is space.
func (s *Sidecar) Reserve(_ context.Context, req *zinniaquayv1.ReserveRequest) (*zinniaquayv1.ReserveResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := &zinniaquayv1.ReserveResponse{}
	for _, r := range req.GetReservations() {
		if s.draining || !s.waiting.add(time.Now(), r) {
			break
		}
		s.routers.note(r.GetRouterAddr())
		res.Accepted++
	}
	res.Leaving = s.draining
	res.Room = uint32(max(0, s.gate.Room(time.Now())))
	res.Waiting = uint32(s.waiting.len())
	s.poke()
	return res, nil
}

// Attach implements the RPC: it streams an answer from a chunk on, with
// heartbeats while there is no news.
func (s *Sidecar) Attach(ctx context.Context, req *zinniaquayv1.AttachRequest, stream *connect.ServerStream[zinniaquayv1.Chunk]) error {
	j, err := s.find(req.GetRequestId(), req.GetIncarnation())
	if err != nil {
		return err
	}
	beat := time.NewTicker(HeartbeatEvery)
	defer beat.Stop()
	next := req.GetFromChunk()
	for {
		chunk, more := j.answer.next(next)
		if chunk == nil {
			chunk, err = waitOrBeat(ctx, more, beat.C)
			if err != nil {
				return err
			}
			if chunk == nil {
				continue
			}
		} else {
			next += 1 + uint64(chunk.GetMerged())
		}
		if err := stream.Send(chunk); err != nil {
			return err
		}
		if chunk.GetEnd() != nil {
			return nil
		}
	}
}

// waitOrBeat waits for news, in which case it returns nil, or returns a
// heartbeat.
func waitOrBeat(ctx context.Context, more <-chan struct{}, beat <-chan time.Time) (*zinniaquayv1.Chunk, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-more:
		return nil, nil
	case <-beat:
		return &zinniaquayv1.Chunk{}, nil
	}
}

// find returns the job of a request that was handed to this incarnation.
func (s *Sidecar) find(id string, incarnation uint64) (*job, error) {
	if incarnation != s.opts.Incarnation {
		return nil, errOtherIncarnation
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if j, ok := s.jobs[id]; ok {
		return j, nil
	}
	return nil, errUnknownRequest
}

// Tombstone implements the RPC: it bars a request that has not started.
func (s *Sidecar) Tombstone(_ context.Context, req *zinniaquayv1.TombstoneRequest) (*zinniaquayv1.TombstoneResponse, error) {
	if req.GetIncarnation() != s.opts.Incarnation {
		return &zinniaquayv1.TombstoneResponse{Outcome: zinniaquayv1.TombstoneResponse_unknown}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return &zinniaquayv1.TombstoneResponse{Outcome: s.tombstone(req.GetRequestId(), time.Now())}, nil
}

// tombstone bars a request and says what became of it. The caller holds the
// lock.
func (s *Sidecar) tombstone(id string, now time.Time) zinniaquayv1.TombstoneResponse_Outcome {
	j, ok := s.jobs[id]
	switch {
	case !ok:
		// Every claim has a job, so this one was dropped after its time.
		return zinniaquayv1.TombstoneResponse_unknown
	case j.bar(now, "tombstoned") || !j.ran():
		s.record(timeline.RequestTombstoned, id, "never started")
		return zinniaquayv1.TombstoneResponse_never_started
	}
	return zinniaquayv1.TombstoneResponse_started
}

// Cancel implements the RPC: it stops a request whose caller has gone.
func (s *Sidecar) Cancel(_ context.Context, req *zinniaquayv1.CancelRequest) (*zinniaquayv1.CancelResponse, error) {
	j, err := s.find(req.GetRequestId(), req.GetIncarnation())
	if err != nil {
		return &zinniaquayv1.CancelResponse{}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// No router waits for the answer any more.
	j.granted = false
	s.record(timeline.RequestCanceled, j.id, "the caller has gone")
	if !j.bar(time.Now(), "caller has gone") && j.ran() {
		j.stop()
	}
	return &zinniaquayv1.CancelResponse{}, nil
}

// Release implements the RPC: it drops answers that have arrived whole.
func (s *Sidecar) Release(_ context.Context, req *zinniaquayv1.ReleaseRequest) (*zinniaquayv1.ReleaseResponse, error) {
	if req.GetIncarnation() != s.opts.Incarnation {
		return &zinniaquayv1.ReleaseResponse{}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range req.GetRequestIds() {
		if j, ok := s.jobs[id]; ok && j.state == ended {
			s.drop(j)
		}
	}
	s.poke()
	return &zinniaquayv1.ReleaseResponse{}, nil
}
