package sidecar

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
)

// HeartbeatInterval is the interval of heartbeats while a response has no new
// data.
const HeartbeatInterval = 500 * time.Millisecond

// Errors returned by the RPCs.
var (
	errUnknownRequest   = connect.NewError(connect.CodeNotFound, errors.New("request unknown here"))
	errOtherIncarnation = connect.NewError(connect.CodeFailedPrecondition, errors.New("sidecar has restarted"))
)

// Reserve implements the RPC: it accepts reservations while there is space.
func (s *Sidecar) Reserve(_ context.Context, req *zinniaquayv1.ReserveRequest) (*zinniaquayv1.ReserveResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := &zinniaquayv1.ReserveResponse{}
	for _, r := range req.GetReservations() {
		if s.draining || !s.reservations.add(time.Now(), r) {
			break
		}
		s.knownRouters.add(r.GetRouterAddr())
		res.Accepted++
	}
	res.Leaving = s.draining
	res.Room = uint32(max(0, s.gate.Room(time.Now())))
	res.Waiting = uint32(s.reservations.len())
	s.wakeDispatcher()
	return res, nil
}

// Attach implements the RPC: it streams a response from a chunk on, with
// heartbeats while there is no new data.
func (s *Sidecar) Attach(ctx context.Context, req *zinniaquayv1.AttachRequest, stream *connect.ServerStream[zinniaquayv1.Chunk]) error {
	j, err := s.findJob(req.GetRequestId(), req.GetIncarnation())
	if err != nil {
		return err
	}
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	next := req.GetFromChunk()
	for {
		chunk, more := j.response.chunkFrom(next)
		if chunk == nil {
			chunk, err = waitOrHeartbeat(ctx, more, heartbeat.C)
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

// waitOrHeartbeat waits for new data, in which case it returns nil, or for the
// next heartbeat, which it returns.
func waitOrHeartbeat(ctx context.Context, more <-chan struct{}, heartbeat <-chan time.Time) (*zinniaquayv1.Chunk, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-more:
		return nil, nil
	case <-heartbeat:
		return &zinniaquayv1.Chunk{}, nil
	}
}

// findJob returns the job of a request that was assigned to this incarnation.
func (s *Sidecar) findJob(id string, incarnation uint64) (*job, error) {
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

// Tombstone implements the RPC: it prevents a request that has not started from
// starting.
func (s *Sidecar) Tombstone(_ context.Context, req *zinniaquayv1.TombstoneRequest) (*zinniaquayv1.TombstoneResponse, error) {
	if req.GetIncarnation() != s.opts.Incarnation {
		return &zinniaquayv1.TombstoneResponse{Outcome: zinniaquayv1.TombstoneResponse_unknown}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return &zinniaquayv1.TombstoneResponse{Outcome: s.tombstone(req.GetRequestId(), time.Now())}, nil
}

// tombstone prevents a request that has not started from starting, and returns
// the outcome. The caller holds the lock.
func (s *Sidecar) tombstone(id string, now time.Time) zinniaquayv1.TombstoneResponse_Outcome {
	j, ok := s.jobs[id]
	switch {
	case !ok:
		// Every claim has a job, so the job of this one has expired.
		return zinniaquayv1.TombstoneResponse_unknown
	case j.endUnstarted(now, "tombstoned") || !j.hasStarted():
		s.record(timeline.RequestTombstoned, id, "never started")
		return zinniaquayv1.TombstoneResponse_never_started
	}
	return zinniaquayv1.TombstoneResponse_started
}

// Cancel implements the RPC: it stops a request whose caller has disconnected.
func (s *Sidecar) Cancel(_ context.Context, req *zinniaquayv1.CancelRequest) (*zinniaquayv1.CancelResponse, error) {
	j, err := s.findJob(req.GetRequestId(), req.GetIncarnation())
	if err != nil {
		return &zinniaquayv1.CancelResponse{}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// No router waits for the response any more.
	j.granted = false
	s.record(timeline.RequestCanceled, j.id, "the caller has gone")
	if !j.endUnstarted(time.Now(), "caller has gone") && j.hasStarted() {
		j.cancel()
	}
	return &zinniaquayv1.CancelResponse{}, nil
}

// Release implements the RPC: it drops responses that were received completely.
func (s *Sidecar) Release(_ context.Context, req *zinniaquayv1.ReleaseRequest) (*zinniaquayv1.ReleaseResponse, error) {
	if req.GetIncarnation() != s.opts.Incarnation {
		return &zinniaquayv1.ReleaseResponse{}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range req.GetRequestIds() {
		if j, ok := s.jobs[id]; ok && j.state == ended {
			s.dropJob(j)
		}
	}
	s.wakeDispatcher()
	return &zinniaquayv1.ReleaseResponse{}, nil
}
