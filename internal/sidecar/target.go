package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/capacity"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/timeline"
)

const (
	// defaultColdRunning is how many requests a cold target may run.
	defaultColdRunning = 1
	// defaultMaxRunning is how many requests a warm target may run.
	defaultMaxRunning = 16
	// defaultColdTime is how long a cold start takes.
	defaultColdTime = 10 * time.Second
	// loadEvery is how often the target is asked for its load.
	loadEvery = 200 * time.Millisecond
	// loadTimeout is how long the target may take to tell its load.
	loadTimeout = 500 * time.Millisecond
	// maxLoadBytes bounds a load report.
	maxLoadBytes = 64 << 10
	// awaitLoad is how long a sidecar that starts waits for a load report.
	awaitLoad = 5 * time.Second
	// loadPath is where a target tells its load, if it does.
	loadPath = "/v1/load"
	// instanceHeader names the target's instance in its answers.
	instanceHeader = "X-Instance-Id"
)

// boundsOf returns what the configuration declares of a target.
func boundsOf(snap *configstore.Snapshot, target string) capacity.Bounds {
	b := capacity.Bounds{MaxCold: defaultColdRunning, Max: defaultMaxRunning, ColdDuration: defaultColdTime}
	if snap == nil {
		return b
	}
	t := snap.Doc.GetTargets()[target]
	if n := int(t.GetColdRunning()); n > 0 {
		b.MaxCold = n
	}
	if n := int(t.GetMaxRunning()); n > 0 {
		b.Max = n
	}
	if t.GetColdTime() != nil {
		b.ColdDuration = t.GetColdTime().AsDuration()
	}
	return b
}

// loadReport is what a target says of its load.
type loadReport struct {
	// Instance is the identity of the target's process.
	Instance string `json:"instance"`
	// Running is the number of requests that ran AgeMS ago.
	Running int `json:"running"`
	// AgeMS is the age of Running in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// errNoLoad means that the target answered, but does not tell its load.
var errNoLoad = errors.New("target tells no load")

// load asks the target for its load. With errNoLoad the report names the
// instance at most.
func (e *engine) load(ctx context.Context) (loadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+loadPath, nil)
	if err != nil {
		return loadReport{}, fmt.Errorf("build request: %w", err)
	}
	res, err := e.shared.Do(req)
	if err != nil {
		return loadReport{}, fmt.Errorf("ask for load: %w", err)
	}
	// The report was read; a failure to close says nothing about it.
	defer func() { _ = res.Body.Close() }()
	report := loadReport{Instance: res.Header.Get(instanceHeader)}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxLoadBytes))
	if err != nil {
		return loadReport{}, fmt.Errorf("read load: %w", err)
	}
	if res.StatusCode != http.StatusOK || json.Unmarshal(body, &report) != nil || report.Running < 0 || report.AgeMS < 0 {
		return loadReport{Instance: res.Header.Get(instanceHeader)}, errNoLoad
	}
	return report, nil
}

// watchTarget asks the target for its load until the context ends, so that a
// target that has turned cold or taken a new instance is known while it idles.
func (s *Sidecar) watchTarget(ctx context.Context) {
	tick := time.NewTicker(loadEvery)
	defer tick.Stop()
	for {
		s.askTarget(ctx)
		s.poke()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// askTarget asks the target for its instance and load and tells the gate. It is
// called before each start as well, because a target turns cold without
// warning.
func (s *Sidecar) askTarget(ctx context.Context) {
	asked := time.Now()
	report, err := s.engine.load(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil:
		s.gate.ObserveInstance(now, report.Instance)
		s.gate.ObserveLoad(asked.Add(-time.Duration(report.AgeMS)*time.Millisecond), report.Running)
	case errors.Is(err, errNoLoad):
		s.gate.ObserveInstance(now, report.Instance)
		s.gate.ObserveLoadUnsupported()
	case isDial(err):
		s.gate.ObserveRefused(now)
	}
	s.recordCold(now)
	metrics.GetOrRegisterGauge("capacity_window_requests", s.opts.Metrics).Update(int64(s.gate.Window()))
	metrics.GetOrRegisterGauge("capacity_running_requests", s.opts.Metrics).Update(int64(s.gate.Running()))
}

// recordCold puts a target that turned cold or warm on the time line. The caller
// holds the lock.
func (s *Sidecar) recordCold(now time.Time) {
	cold := s.gate.Cold(now)
	if cold == s.cold {
		return
	}
	s.cold = cold
	kind := timeline.TargetWarm
	if cold {
		kind = timeline.TargetCold
	}
	s.opts.Events.Record(kind, "", s.opts.Target)
}

// isDial reports whether no connection could be opened.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
