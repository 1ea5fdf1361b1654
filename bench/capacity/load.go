package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/sourcegraph/conc/pool"
)

const (
	// loadSidecars is how many sidecars share the load.
	loadSidecars = 2
	// quiet is how long a fleet rests between two measurements.
	quiet = 2 * time.Second
	// heldTokens and heldPause make a stream that lasts while it is measured.
	heldTokens = 4000
	heldPause  = 50 * time.Millisecond
)

// loadSlope measures what routers and sidecars use, together, against a load.
type loadSlope struct {
	unit, per string
	claim     float64
	sizes     []int
	perToken  time.Duration
	// apply puts a load of some size on the fleet and returns what was used.
	apply func(ctx context.Context, f *fleet, n int) (float64, error)
}

// measure runs the loads, each run on a fleet of its own: memory that a process
// once took it keeps for a while.
func (l loadSlope) measure(ctx context.Context) (slope, error) {
	s := slope{unit: l.unit, per: l.per, claim: l.claim}
	for range runs {
		points, err := l.run(ctx)
		if err != nil {
			return slope{}, err
		}
		s.points = append(s.points, points...)
	}
	return s, nil
}

// run runs the loads from the smallest to the largest on one fleet.
func (l loadSlope) run(ctx context.Context) ([]point, error) {
	f, err := startFleet(ctx, size{routers: 1, sidecars: loadSidecars, accounts: 10, perToken: l.perToken})
	if err != nil {
		return nil, err
	}
	defer f.stop()
	if err := f.ask(ctx, "model-00", 1, loadSidecars*4); err != nil {
		return nil, fmt.Errorf("warm up: %w", err)
	}
	var points []point
	for _, n := range l.sizes {
		if err := sleep(ctx, quiet); err != nil {
			return nil, err
		}
		y, err := l.apply(ctx, f, n)
		if err != nil {
			return nil, fmt.Errorf("size %d: %w", n, err)
		}
		points = append(points, point{float64(n), y})
	}
	return points, nil
}

// processorOf returns the microseconds that routers and sidecars spend on work.
func (f *fleet) processorOf(work func() error) (float64, error) {
	before, err := f.total()
	if err != nil {
		return 0, err
	}
	if err := work(); err != nil {
		return 0, err
	}
	after, err := f.total()
	return float64((after.processor - before.processor).Microseconds()), err
}

// total returns what routers and sidecars have used together.
func (f *fleet) total() (usage, error) {
	var sum usage
	for _, group := range [][]*proc{f.routers, f.sidecars} {
		read, err := usages(group)
		if err != nil {
			return usage{}, err
		}
		for _, u := range read {
			sum.processor += u.processor
			sum.bytes += u.bytes
			sum.resident += u.resident
		}
	}
	return sum, nil
}

// ask sends some requests at once, each for an answer of some tokens, and checks
// that each answer is whole.
func (f *fleet) ask(ctx context.Context, model string, tokens, requests int) error {
	group := pool.New().WithErrors().WithFirstError()
	for range requests {
		group.Go(func() error { return f.askOne(ctx, model, tokens) })
	}
	return group.Wait()
}

// askOne sends one request.
func (f *fleet) askOne(ctx context.Context, model string, tokens int) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d}`, model, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.callers+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+accountKey)
	res, err := callers.Do(req)
	if err != nil {
		return fmt.Errorf("ask: %w", err)
	}
	// A body that was read to its end can't fail to close in a way that matters.
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if !bytes.HasSuffix(answer, []byte("data: [DONE]\n\n")) {
		return fmt.Errorf("answer is not whole: status %d", res.StatusCode)
	}
	return nil
}

// callers is the client that all callers share.
var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}

// requestsAtOnce is how many callers send requests one after another.
const requestsAtOnce = 16

// perRequest measures the processor time of requests with one token.
var perRequest = loadSlope{
	unit: "µs", per: "requests", claim: 1000, sizes: []int{500, 2000, 4000}, perToken: time.Millisecond,
	apply: func(ctx context.Context, f *fleet, n int) (float64, error) {
		return f.processorOf(func() error {
			group := pool.New().WithErrors().WithFirstError().WithMaxGoroutines(requestsAtOnce)
			for range n {
				group.Go(func() error { return f.askOne(ctx, "model-00", 1) })
			}
			return group.Wait()
		})
	},
}

// streamsAtOnce is how many streams run while tokens are measured.
const streamsAtOnce = 100

// perToken measures the processor time of relayed tokens.
var perToken = loadSlope{
	unit: "µs", per: "tokens", claim: 1000, sizes: []int{10_000, 40_000, 80_000}, perToken: 5 * time.Millisecond,
	apply: func(ctx context.Context, f *fleet, n int) (float64, error) {
		return f.processorOf(func() error { return f.ask(ctx, "model-00", n/streamsAtOnce, streamsAtOnce) })
	},
}

// perStream measures the memory of running streams.
var perStream = loadSlope{
	unit: "bytes", per: "streams", claim: 200, sizes: []int{50, 200, 600}, perToken: heldPause,
	apply: func(ctx context.Context, f *fleet, n int) (float64, error) { return f.held(ctx, "model-00", n) },
}

// perWaiting measures the memory of waiting requests.
var perWaiting = loadSlope{
	unit: "bytes", per: "waiting requests", claim: 1000, sizes: []int{100, 500, 2000}, perToken: time.Millisecond,
	apply: func(ctx context.Context, f *fleet, n int) (float64, error) { return f.held(ctx, "model-out", n) },
}

// held returns the resident memory while some requests run or wait.
func (f *fleet) held(ctx context.Context, model string, n int) (float64, error) {
	holding, release := context.WithCancel(ctx)
	var early error
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		early = f.ask(holding, model, heldTokens, n)
	}()
	err := sleep(ctx, quiet)
	used, readErr := f.total()
	select {
	case <-ended:
		release()
		return 0, fmt.Errorf("requests ended while they should be held: %w", early)
	default:
	}
	release()
	<-ended
	return used.resident, errors.Join(err, readErr)
}
