package quarantine

import "time"

// run is a request that was sent to a target and may still matter as evidence.
type run struct {
	sequence uint64
	target   uint32
	parts    []uint64
	sent     time.Time
	// began is when the response began and ended when the request ended; zero if it
	// did not.
	began, ended time.Time
	// survived is set once its target was seen alive for survivalTime after began.
	survived bool
	// crashed is set once its target crashed during the run.
	crashed bool
	// tries are the parts of which the run is a trial.
	tries []uint64
}

const (
	// survivalTime is how long a target that began a response must stay alive for
	// that response to count as harmless. A part that crashes targets does so with
	// the first tokens.
	survivalTime = time.Second
	// maxRunAge is the time after its end at which a run no longer matters, although
	// its target gave no later sign of life.
	maxRunAge = 10 * time.Second
)

// runs holds the runs of one router by sequence and by target.
type runs struct {
	bySequence map[uint64]*run
	byTarget   map[uint32]map[uint64]*run
}

func newRuns() *runs {
	return &runs{bySequence: make(map[uint64]*run), byTarget: make(map[uint32]map[uint64]*run)}
}

func (s *runs) add(r *run) {
	s.bySequence[r.sequence] = r
	if s.byTarget[r.target] == nil {
		s.byTarget[r.target] = make(map[uint64]*run)
	}
	s.byTarget[r.target][r.sequence] = r
}

func (s *runs) remove(r *run) {
	delete(s.bySequence, r.sequence)
	delete(s.byTarget[r.target], r.sequence)
	if len(s.byTarget[r.target]) == 0 {
		delete(s.byTarget, r.target)
	}
}

// targetAlive records a sign of life of a target: its runs that began survivalTime
// earlier have survived. It calls survived for each of them once.
func (s *runs) targetAlive(target uint32, now time.Time, survived func(r *run)) {
	for _, r := range s.byTarget[target] {
		if !r.survived && !r.crashed && !r.began.IsZero() && now.Sub(r.began) >= survivalTime {
			r.survived = true
			survived(r)
		}
		if r.survived && !r.ended.IsZero() {
			s.remove(r)
		}
	}
}

// expire removes the runs at a target that ended maxRunAge ago.
func (s *runs) expire(target uint32, now time.Time) {
	for _, r := range s.byTarget[target] {
		if !r.ended.IsZero() && now.Sub(r.ended) >= maxRunAge {
			s.remove(r)
		}
	}
}

// onCrash removes the ended runs of a target that crashed at a time and returns the
// suspects: those during which the target may have begun a response, and not longer
// before than survivalTime.
func (s *runs) onCrash(target uint32, at time.Time) []*run {
	var suspects []*run
	for _, r := range s.byTarget[target] {
		if r.sent.After(at) || r.began.After(at) {
			continue
		}
		switch {
		case r.crashed, r.survived, !r.began.IsZero() && at.Sub(r.began) >= survivalTime:
		case r.began.IsZero() && !r.ended.IsZero() && at.Sub(r.ended) >= survivalTime:
		default:
			suspects = append(suspects, r)
		}
		r.crashed = true
		if !r.ended.IsZero() {
			s.remove(r)
		}
	}
	return suspects
}
