package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/standin/target"
)

const (
	chatPath  = "/v1/chat/completions"
	stockPath = "/v1/services/kits/stock/gloves"
	// doneEvent ends every whole stream.
	doneEvent = "data: [DONE]\n\n"
)

// answerFleet is a fleet with one router and one engine (t1) that streams 20
// tokens a second.
func answerFleet(t *testing.T, bufferBytes int64) *fleet {
	return newFleet(t, fleetOptions{
		routers: 1, targets: 2, maxRunning: 8, bufferBytes: bufferBytes,
		target: target.Options{Version: "v1", PerToken: 50 * time.Millisecond, ResumeGrace: 10 * time.Second},
	})
}

// chat returns a chat request whose answer has some tokens.
func chat(prompt string, tokens int, stream bool) target.ChatRequest {
	return target.ChatRequest{
		Model: "planner", Stream: stream, MaxTokens: tokens,
		Messages: []target.Message{{Role: "user", Content: prompt}},
	}
}

func bodyOf(r target.ChatRequest) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		r.Model, r.Stream, r.MaxTokens, r.Messages[0].Content)
}

// made returns the bytes that a target makes for a request, for the hand-out
// that an answer came from.
func made(r target.ChatRequest, a answer) string {
	id := a.id
	for i := 1; i < 20 && !strings.Contains(a.body, `"chatcmpl-`+id+`"`); i++ {
		id = fmt.Sprintf("%s.%d", a.id, i)
	}
	whole := target.NewAnswer(r, id, "v1")
	if r.Stream {
		return string(whole.Stream())
	}
	return string(whole.JSON())
}

// fault in the middle of a stream, and what the caller then gets.
func TestAStreamUnderOneFault(t *testing.T) {
	for name, c := range map[string]struct {
		bufferBytes int64
		faults      target.Faults
		fault       func(*fleet)
		whole       bool
	}{
		"none":                                        {whole: true},
		"router to sidecar goes silent for good":      {whole: true, fault: func(f *fleet) { f.net.silence(routerHost(0), sidecarHost(1)) }},
		"router to sidecar is cut":                    {whole: true, fault: func(f *fleet) { f.net.cut(routerHost(0), sidecarHost(1)) }},
		"sidecar to target goes silent for good":      {whole: true, fault: func(f *fleet) { f.net.silence(sidecarHost(1), targetHost(1)) }},
		"sidecar to target is cut":                    {whole: true, fault: func(f *fleet) { f.net.cut(sidecarHost(1), targetHost(1)) }},
		"all connections go silent for good":          {whole: true, fault: silenceAll},
		"sidecar freezes for 4s":                      {whole: true, fault: func(f *fleet) { f.net.hold(sidecarHost(1), 4*time.Second) }},
		"router freezes for 4s":                       {whole: true, fault: func(f *fleet) { f.net.hold(routerHost(0), 4*time.Second) }},
		"sidecar freezes for longer than is waited":   {fault: func(f *fleet) { f.net.hold(sidecarHost(1), 30*time.Second) }},
		"sidecar restarts":                            {fault: func(f *fleet) { f.restart(sidecarHost(1), func() { f.startSidecar(1, 0) }) }},
		"router restarts":                             {fault: func(f *fleet) { f.restart(routerHost(0), func() { f.startRouter(0) }) }},
		"target is gone":                              {fault: func(f *fleet) { f.net.kill(targetHost(1)) }},
		"target drops the connection and resumes":     {whole: true, faults: target.Faults{DropHalfWay: true}},
		"target stops half way for good":              {faults: target.Faults{StopHalfWay: true}},
		"target goes silent half way and resumes":     {whole: true, faults: target.Faults{Silent: true}},
		"target sends events after the end":           {whole: true, faults: target.Faults{ExtraAfterEnd: 3}},
		"target sends garbage":                        {faults: target.Faults{Garbage: true}},
		"the answer is larger than the sidecar keeps": {bufferBytes: 4096},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := answerFleet(t, c.bufferBytes)
				defer f.close()
				f.engines[1].SetFaults(c.faults)
				if c.fault != nil {
					time.AfterFunc(time.Second, func() { c.fault(f) })
				}
				request := chat("a plan", 60, true)
				a := f.call(t.Context(), 0, http.MethodPost, chatPath, "", bodyOf(request))
				whole := made(request, a)
				if c.whole {
					is.NoErr(a.err)
					is.Equal(a.body, whole)
					return
				}
				is.True(a.err != nil || a.kind == errkind.TargetFailed) // it says that it is not whole
				is.True(!strings.Contains(a.body, "[DONE]"))
				prefix, event, _ := strings.Cut(a.body, `data: {"error":`)
				is.True(a.kind != "" || strings.HasPrefix(whole, prefix))
				is.True(!strings.Contains(event, `"not_run":true`))
			})
		})
	}
}

func silenceAll(f *fleet) {
	f.net.silence(routerHost(0), sidecarHost(1))
	f.net.silence(sidecarHost(1), routerHost(0))
	f.net.silence(sidecarHost(1), targetHost(1))
}

// A caller of a stream that was begun hears why it ended.
func TestABrokenStreamSaysWhy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := answerFleet(t, 0)
		defer f.close()
		time.AfterFunc(time.Second, func() { f.net.kill(targetHost(1)) })
		a := f.call(t.Context(), 0, http.MethodPost, chatPath, "", bodyOf(chat("a plan", 60, true)))
		is.True(a.err != nil)
		is.True(strings.HasSuffix(a.body, `"not_run":false,"retry_after_ms":0}}`+"\n\n"))
	})
}

// An answer with a known length that breaks off is never closed with success.
func TestAPlainAnswerUnderOneFault(t *testing.T) {
	for name, c := range map[string]struct {
		faults target.Faults
		whole  bool
	}{
		"none":           {whole: true},
		"stops half way": {faults: target.Faults{StopHalfWay: true}},
		"goes silent":    {faults: target.Faults{Silent: true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := answerFleet(t, 0)
				defer f.close()
				f.bookings[0].SetFaults(c.faults)
				a := f.call(t.Context(), 0, http.MethodGet, stockPath, "", "")
				is.Equal(a.err == nil && a.status == http.StatusOK, c.whole)
				is.True(!a.notRun)
			})
		})
	}
}

// A caller that reads slowly gets its whole answer, and its sidecar's connection
// is not taken for a silent one.
func TestASlowCallerGetsItsWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := answerFleet(t, 0)
		defer f.close()
		time.AfterFunc(time.Second, func() { f.net.hold(callerHost, 6*time.Second) })
		request := chat("a plan", 60, true)
		a := f.call(t.Context(), 0, http.MethodPost, chatPath, "", bodyOf(request))
		is.NoErr(a.err)
		is.Equal(a.body, made(request, a))
		is.Equal(len(f.net.between(routerHost(0), sidecarHost(1))), 1) // no other connection was needed
	})
}

// A caller that goes stops its work at the engine.
func TestACallerThatGoesStopsItsWork(t *testing.T) {
	for name, fault := range map[string]func(*fleet){
		"sound connections":        func(*fleet) {},
		"silent router to sidecar": func(f *fleet) { f.net.silence(routerHost(0), sidecarHost(1)) },
		"silent sidecar to target": func(f *fleet) { f.net.silence(sidecarHost(1), targetHost(1)) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := answerFleet(t, 0)
				defer f.close()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				time.AfterFunc(900*time.Millisecond, func() { fault(f) })
				a := f.call(ctx, 0, http.MethodPost, chatPath, "", bodyOf(chat("a plan", 250, true)))
				is.True(a.err != nil)
				time.Sleep(3 * time.Second)
				is.Equal(f.engines[1].State().Running, 0)
				is.Equal(f.sidecars[1].Running(), 0)
			})
		})
	}
}

// Whatever fails, in whatever order: an answer that looks whole is what the
// target made for that request, byte for byte.
func TestEveryWholeAnswerIsItsOwn(t *testing.T) {
	total := &tally{}
	t.Run("schedules", func(t *testing.T) {
		for shard := range shards {
			t.Run(fmt.Sprint(shard), func(t *testing.T) {
				t.Parallel()
				for seed := shard; seed < answerSchedules && !t.Failed(); seed += shards {
					synctest.Test(t, func(t *testing.T) { chatUnderFaults(t, uint64(seed), total) })
				}
			})
		}
	})
	total.report(t, "OK", "broken off", "run_timeout")
}

// answerSchedules is how many schedules of faults are tried with streams.
const answerSchedules = 500

func chatUnderFaults(t *testing.T, seed uint64, total *tally) {
	rng := rand.New(rand.NewPCG(seed, 6))
	f := newFleet(t, fleetOptions{
		routers: 2, targets: 4, only: engines, maxRunning: 4,
		target: target.Options{Version: "v1", PerToken: 50 * time.Millisecond, ResumeGrace: 10 * time.Second},
	})
	defer f.close()
	var callers sync.WaitGroup
	for i := range 10 {
		source := rand.New(rand.NewPCG(seed, uint64(100+i)))
		callers.Go(func() {
			time.Sleep(time.Duration(source.IntN(2000)) * time.Millisecond)
			request := chat(fmt.Sprintf("plan %d of %d", i, seed), 1+source.IntN(50), source.IntN(4) > 0)
			a := f.call(context.Background(), i%2, http.MethodPost, chatPath, "", bodyOf(request))
			total.add(a)
			f.checkAnswer(t, seed, request, a)
		})
	}
	for range 3 + rng.IntN(4) {
		time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
		f.fault(rng, 1+2*rng.IntN(2))
	}
	callers.Wait()
}

func (f *fleet) checkAnswer(t *testing.T, seed uint64, r target.ChatRequest, a answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	whole := made(r, a)
	prefix, _, _ := strings.Cut(a.body, `data: {"error":`)
	switch {
	case a.notRun && f.offers[a.id] > 0:
		t.Errorf("seed %d: %s was offered to a target and answered %s, not run", seed, a.id, a.kind)
	case a.kind != "" || a.id == "":
		return
	case a.err == nil && a.body != whole:
		t.Errorf("seed %d: %s got %q, made was %q", seed, a.id, a.body, whole)
	case a.err != nil && strings.Contains(a.body, doneEvent) && a.body != whole:
		t.Errorf("seed %d: %s looks complete and is not", seed, a.id)
	case !strings.HasPrefix(whole, prefix):
		t.Errorf("seed %d: %s got bytes of another answer: %q", seed, a.id, prefix)
	}
}
