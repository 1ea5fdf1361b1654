package target

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// errFallen means that the target fell over and answers nothing for a while.
var errFallen = errors.New("the target has fallen over")

// batch is the continuous batch of a stand-in: it admits every request as it
// arrives, slows down as more run, and falls over when a cold one gets too many.
type batch struct {
	options Options

	mu        sync.Mutex
	running   int
	coldSince time.Time
	cold      bool
	downUntil time.Time
	fallen    chan struct{}
	state     State
	load      lagging
}

// State is what a stand-in counted, for tests and demonstrations.
type State struct {
	// Instance is the instance ID.
	Instance string `json:"instance"`
	// Restarts counts cold starts after the first one.
	Restarts int `json:"restarts"`
	// Crashes counts how often the target fell over.
	Crashes int `json:"falls"`
	// Cold says whether the target is cold.
	Cold bool `json:"cold"`
	// Running is the number of requests that run.
	Running int `json:"running"`
	// MaxRunning is the largest number of requests that ever ran at once.
	MaxRunning int `json:"max_running"`
	// MaxRunningCold is the same while the target was cold.
	MaxRunningCold int `json:"max_running_cold"`
	// Started counts the requests that were admitted.
	Started int `json:"started"`
}

func newBatch(o Options) *batch {
	b := &batch{options: o, fallen: make(chan struct{})}
	b.state.Restarts = -1 // the first start is none
	b.restart(time.Now())
	return b
}

// restart makes the target cold under a new instance ID. The caller holds the
// lock.
func (b *batch) restart(now time.Time) {
	b.state.Restarts++
	b.state.Instance = fmt.Sprintf("%s-%d", b.options.Name, b.state.Restarts+1)
	b.cold = b.options.ColdRunning > 0
	b.coldSince = now
}

// turnCold restarts the target without warning. Running requests go on.
func (b *batch) turnCold() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.restart(time.Now())
}

// admit takes a request in. The returned channel is closed if the target falls
// over before leave is called.
func (b *batch) admit() (fallen <-chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.warm(now)
	if now.Before(b.downUntil) {
		return nil, errFallen
	}
	if b.cold && b.running+1 > b.options.ColdRunning {
		b.fall(now)
		return nil, errFallen
	}
	b.running++
	b.state.Started++
	b.state.MaxRunning = max(b.state.MaxRunning, b.running)
	if b.cold {
		b.state.MaxRunningCold = max(b.state.MaxRunningCold, b.running)
	}
	b.load.record(now, b.running)
	return b.fallen, nil
}

func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.load.record(time.Now(), b.running)
}

// fall breaks off all that runs. The caller holds the lock.
func (b *batch) fall(now time.Time) {
	b.state.Crashes++
	// What was one too many counts as seen.
	b.state.MaxRunningCold = max(b.state.MaxRunningCold, b.running+1)
	b.downUntil = now.Add(b.options.CrashDuration)
	b.restart(b.downUntil)
	close(b.fallen)
	b.fallen = make(chan struct{})
}

// warm ends a cold start that is over. The caller holds the lock.
func (b *batch) warm(now time.Time) {
	if b.cold && now.Sub(b.coldSince) >= b.options.WarmAfter {
		b.cold = false
	}
}

// tokenTime returns the time until the next token of a running request, and how
// many run.
func (b *batch) tokenTime() (time.Duration, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	others := float64(max(b.running-1, 0))
	return time.Duration(float64(b.options.PerToken) * (1 + b.options.Slowdown*others)), b.running
}

// snapshot returns the state at this moment.
func (b *batch) snapshot() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.warm(time.Now())
	s := b.state
	s.Cold, s.Running = b.cold, b.running
	return s
}

// LoadReport is what a target says of its load, with a lag.
type LoadReport struct {
	// Instance is the instance ID.
	Instance string `json:"instance"`
	// Running is the number of requests that ran AgeMS ago.
	Running int `json:"running"`
	// AgeMS is the age of the figure in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

func (b *batch) report() LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	running := b.load.at(time.Now().Add(-b.options.LoadLag))
	return LoadReport{Instance: b.state.Instance, Running: running, AgeMS: b.options.LoadLag.Milliseconds()}
}
