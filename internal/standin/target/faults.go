package target

import (
	"strings"
	"sync"
)

// Faults are what can be switched on while a stand-in runs.
type Faults struct {
	// Garbage answers with bytes that make no sense.
	Garbage bool `json:"garbage"`
	// StopHalfWay gives an answer up after half of it, for good.
	StopHalfWay bool `json:"stop_half_way"`
	// DropHalfWay closes a stream's first connection half way; a new connection
	// can resume it.
	DropHalfWay bool `json:"drop_half_way"`
	// ExtraAfterEnd is the number of events that follow the end of a stream.
	ExtraAfterEnd int `json:"extra_after_end"`
	// Silent lets a stream's first connection fall silent half way; a new
	// connection can resume it.
	Silent bool `json:"silent"`
	// Slow multiplies the time of every token, if above 1.
	Slow float64 `json:"slow"`
	// SlowAbove limits Slow to times when more requests than this run.
	SlowAbove int `json:"slow_above"`
	// FailShare is the share of requests, between 0 and 1, answered with 500.
	FailShare float64 `json:"fail_share"`
	// FailRoute answers 500 to requests whose path begins so.
	FailRoute string `json:"fail_route"`
	// FailPrompt answers 500 to requests whose body holds this text.
	FailPrompt string `json:"fail_prompt"`
}

// faultSwitch holds the faults that are on.
type faultSwitch struct {
	mu   sync.Mutex
	on   Faults
	owed float64
}

func (s *faultSwitch) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.on, s.owed = f, 0
}

func (s *faultSwitch) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.on
}

// fails reports whether a request is to be answered with 500. The share is
// spread evenly over requests and not drawn, so that runs repeat.
func (s *faultSwitch) fails(path, body string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.on
	if f.FailRoute != "" && strings.HasPrefix(path, f.FailRoute) {
		return true
	}
	if f.FailPrompt != "" && strings.Contains(body, f.FailPrompt) {
		return true
	}
	s.owed += f.FailShare
	if s.owed >= 1 {
		s.owed--
		return true
	}
	return false
}

// slowdown returns the factor on the time of a token.
func (f Faults) slowdown(running int) float64 {
	if f.Slow > 1 && running > f.SlowAbove {
		return f.Slow
	}
	return 1
}
