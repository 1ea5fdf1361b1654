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
	// defaultColdRunning is the default maximum of running requests at a cold
	// target.
	defaultColdRunning = 1
	// defaultMaxRunning is the default maximum of running requests at a warm
	// target.
	defaultMaxRunning = 16
	// defaultColdDuration is the default duration of a cold start.
	defaultColdDuration = 10 * time.Second
	// loadPollInterval is how often the target's load is polled.
	loadPollInterval = 200 * time.Millisecond
	// loadTimeout is how long the target may take to report its load.
	loadTimeout = 500 * time.Millisecond
	// maxLoadBytes is the maximum size of a load report.
	maxLoadBytes = 64 << 10
	// startupLoadTimeout is how long a starting sidecar waits for a load
	// report.
	startupLoadTimeout = 5 * time.Second
	// loadPath is the path at which a target reports its load, if it supports
	// that.
	loadPath = "/v1/load"
	// instanceHeader identifies the target's instance in its responses.
	instanceHeader = "X-Instance-Id"
)

// boundsOf returns the capacity bounds that the configuration declares for a
// target.
func boundsOf(snap *configstore.Snapshot, target string) capacity.Bounds {
	b := capacity.Bounds{MaxCold: defaultColdRunning, Max: defaultMaxRunning, ColdDuration: defaultColdDuration}
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

// loadReport is a target's report of its load.
type loadReport struct {
	// Instance is the identity of the target's process.
	Instance string `json:"instance"`
	// Running is the number of requests that were running AgeMS ago.
	Running int `json:"running"`
	// AgeMS is the age of Running in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// errLoadUnsupported means that the target responded but does not report its
// load.
var errLoadUnsupported = errors.New("target does not report its load")

// fetchLoad requests the target's load. With errLoadUnsupported, the report
// contains at most the instance.
func (c *targetClient) fetchLoad(ctx context.Context) (loadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+loadPath, nil)
	if err != nil {
		return loadReport{}, fmt.Errorf("build request: %w", err)
	}
	res, err := c.pooled.Do(req)
	if err != nil {
		return loadReport{}, fmt.Errorf("request load: %w", err)
	}
	// The report has been read; an error on close does not affect it.
	defer func() { _ = res.Body.Close() }()
	report := loadReport{Instance: res.Header.Get(instanceHeader)}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxLoadBytes))
	if err != nil {
		return loadReport{}, fmt.Errorf("read load: %w", err)
	}
	if res.StatusCode != http.StatusOK || json.Unmarshal(body, &report) != nil || report.Running < 0 || report.AgeMS < 0 {
		return loadReport{Instance: res.Header.Get(instanceHeader)}, errLoadUnsupported
	}
	return report, nil
}

// pollTarget polls the target's load until the context ends, so that a cold
// start or a new instance is detected while the target is idle.
func (s *Sidecar) pollTarget(ctx context.Context) {
	tick := time.NewTicker(loadPollInterval)
	defer tick.Stop()
	for {
		s.probeTarget(ctx)
		s.wakeDispatcher()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// probeTarget requests the target's instance and load and updates the gate. It
// is also called before a request starts above the cold limit, because a target
// turns cold without warning.
func (s *Sidecar) probeTarget(ctx context.Context) {
	requestedAt := time.Now()
	report, err := s.client.fetchLoad(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil:
		s.gate.ObserveInstance(now, report.Instance)
		s.gate.ObserveLoad(requestedAt.Add(-time.Duration(report.AgeMS)*time.Millisecond), report.Running)
	case errors.Is(err, errLoadUnsupported):
		s.gate.ObserveInstance(now, report.Instance)
		s.gate.ObserveLoadUnsupported()
	case isDialError(err):
		s.gate.ObserveRefused(now)
	}
	s.recordCold(now)
	metrics.GetOrRegisterGauge("capacity_window_requests", s.opts.Metrics).Update(int64(s.gate.Window()))
	metrics.GetOrRegisterGauge("capacity_running_requests", s.opts.Metrics).Update(int64(s.gate.Running()))
}

// recordCold records in the timeline that the target turned cold or warm. The
// caller holds the lock.
func (s *Sidecar) recordCold(now time.Time) {
	cold := s.gate.Cold(now)
	if cold == s.recordedCold {
		return
	}
	s.recordedCold = cold
	kind := timeline.TargetWarm
	if cold {
		kind = timeline.TargetCold
	}
	s.opts.Events.Record(kind, "", s.opts.Target)
}

// isDialError reports whether err means that no connection could be opened.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
