package target

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// reply is what a caller saw of an answer.
type reply struct {
	*httptest.ResponseRecorder
	aborted bool
}

// call sends a request to a handler without a network.
func call(ctx context.Context, h http.Handler, method, path, id, body string) reply {
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	r.Header.Set(HeaderRequestID, id)
	out := reply{ResponseRecorder: httptest.NewRecorder()}
	func() {
		defer func() { out.aborted = recover() != nil }()
		h.ServeHTTP(out, r)
	}()
	return out
}

func chatBody(stream bool, tokens int, prompt string) (string, ChatRequest) {
	r := ChatRequest{Model: "m", Messages: []Message{{"user", prompt}}, Stream: stream, MaxTokens: tokens}
	body, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return string(body), r
}

const chatPath = "/v1/chat/completions"

func TestAnswersAreFunctionsOfTheRequest(t *testing.T) {
	is := is.New(t)
	e := NewEngine(Options{Version: "v1"})
	defer e.Close()
	body, request := chatBody(true, 20, "plan a route")
	streamed := call(t.Context(), e, "POST", chatPath, "a", body)
	is.Equal(streamed.Body.String(), string(NewAnswer(request, "a", "v1").Stream()))
	is.True(strings.HasSuffix(streamed.Body.String(), "data: [DONE]\n\n"))
	body, request = chatBody(false, 20, "plan a route")
	whole := call(t.Context(), e, "POST", chatPath, "b", body)
	is.Equal(whole.Body.String(), string(NewAnswer(request, "b", "v1").JSON()))
	var parsed struct {
		Choices []struct{ Message Message }
		Usage   Usage
	}
	is.NoErr(json.Unmarshal(whole.Body.Bytes(), &parsed))
	is.Equal(parsed.Usage, Usage{PromptTokens: 3, CompletionTokens: 20, TotalTokens: 23})
	is.Equal(parsed.Choices[0].Message.Content, NewAnswer(request, "", "").Text())
	is.Equal(call(t.Context(), e, "POST", chatPath, "b", body).Body.String(), whole.Body.String()) // once more
	is.Equal(call(t.Context(), e, "POST", chatPath, "c", "{").Code, http.StatusBadRequest)
}

func TestTokensSlowDownUnderLoadAndReportsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := NewEngine(Options{PerToken: 10 * time.Millisecond, Slowdown: 0.5, FirstToken: 40 * time.Millisecond, LoadLag: time.Second})
		defer e.Close()
		body, _ := chatBody(true, 10, "p")
		start := time.Now()
		call(t.Context(), e, "POST", chatPath, "alone", body)
		is.Equal(time.Since(start), 140*time.Millisecond)
		start = time.Now()
		done := make(chan bool)
		for i := range 3 {
			go func() { call(t.Context(), e, "POST", chatPath, fmt.Sprint(i), body); done <- true }()
		}
		for range 3 {
			<-done
		}
		is.Equal(time.Since(start), 240*time.Millisecond) // 10 tokens of 20 ms
		is.Equal(e.State().MaxRunning, 3)
		is.Equal(e.batch.report().Running, 0) // a second ago nothing ran
		time.Sleep(800 * time.Millisecond)
		is.Equal(e.batch.report().Running, 3)
	})
}

func TestColdTargetFallsOverAboveItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := NewEngine(Options{Name: "t", PerToken: time.Millisecond, ColdRunning: 1, WarmAfter: 10 * time.Second, CrashDuration: time.Second})
		defer e.Close()
		body, _ := chatBody(true, 100, "p")
		first := make(chan reply)
		go func() { first <- call(t.Context(), e, "POST", chatPath, "1", body) }()
		synctest.Wait()
		second := call(t.Context(), e, "POST", chatPath, "2", body)
		is.Equal(second.Code, http.StatusInternalServerError)
		is.True((<-first).aborted) // what ran is broken off
		is.Equal(e.State().Crashes, 1)
		is.Equal(e.State().MaxRunningCold, 2)
		is.Equal(e.State().Instance, "t-2")
		is.Equal(call(t.Context(), e, "POST", chatPath, "3", body).Code, http.StatusInternalServerError) // still down
		time.Sleep(11 * time.Second)
		is.True(!e.State().Cold) // warm again
		e.TurnCold()
		is.True(e.State().Cold)
		is.Equal(call(t.Context(), e, "POST", chatPath, "4", body).Header().Get(HeaderInstance), "t-3")
	})
}

func TestStreamsResumeFromAByteAndEndWithoutReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := NewEngine(Options{PerToken: 10 * time.Millisecond, ResumeGrace: time.Second})
		defer e.Close()
		body, request := chatBody(true, 50, "p")
		want := string(NewAnswer(request, "r", "").Stream())
		e.SetFaults(Faults{Silent: true})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		got := call(ctx, e, "POST", chatPath, "r", body).Body.String()
		is.Equal(got, want[:len(want)/2]) // silent half way
		rest := call(t.Context(), e, "GET", fmt.Sprintf("/v1/streams/r?from=%d", len(got)), "", "")
		is.Equal(got+rest.Body.String(), want)
		is.Equal(call(t.Context(), e, "GET", "/v1/streams/none?from=0", "", "").Code, http.StatusNotFound)

		e.SetFaults(Faults{})
		ctx, cancel = context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		body, _ = chatBody(true, 1000, "p")
		call(ctx, e, "POST", chatPath, "left", body)
		is.Equal(e.State().Running, 1) // goes on for the grace
		time.Sleep(2 * time.Second)
		is.Equal(e.State().Running, 0)
		go call(t.Context(), e, "POST", chatPath, "deleted", body)
		synctest.Wait()
		is.Equal(call(t.Context(), e, "POST", chatPath, "deleted", body).Code, http.StatusConflict) // still runs
		call(t.Context(), e, "DELETE", "/v1/streams/deleted", "", "")
		synctest.Wait()
		is.Equal(e.State().Running, 0)
	})
}

func TestFaults(t *testing.T) {
	is := is.New(t)
	e := NewEngine(Options{})
	defer e.Close()
	body, request := chatBody(true, 10, "village")
	codes := func(n int) (failed int) {
		for range n {
			if call(t.Context(), e, "POST", chatPath, "", body).Code == http.StatusInternalServerError {
				failed++
			}
		}
		return failed
	}
	e.SetFaults(Faults{FailShare: 0.25})
	is.Equal(codes(8), 2)
	e.SetFaults(Faults{FailPrompt: "village"})
	is.Equal(codes(3), 3)
	e.SetFaults(Faults{FailRoute: "/v1/other"})
	is.Equal(codes(3), 0)
	e.SetFaults(Faults{StopHalfWay: true})
	half := call(t.Context(), e, "POST", chatPath, "h", body)
	is.True(half.aborted)
	is.True(!strings.Contains(half.Body.String(), "[DONE]"))
	is.True(call(t.Context(), e, "GET", "/v1/streams/h?from=0", "", "").aborted) // for good
	e.SetFaults(Faults{DropHalfWay: true})
	is.True(call(t.Context(), e, "POST", chatPath, "d", body).aborted)
	is.Equal(call(t.Context(), e, "GET", "/v1/streams/d?from=0", "", "").Body.String(), string(NewAnswer(request, "d", "").Stream()))
	e.SetFaults(Faults{ExtraAfterEnd: 2})
	extra := call(t.Context(), e, "POST", chatPath, "x", body).Body.String()
	is.True(strings.HasPrefix(extra, string(NewAnswer(request, "x", "").Stream())))
	is.True(!strings.HasSuffix(extra, "[DONE]\n\n"))
	e.SetFaults(Faults{Garbage: true})
	is.True(strings.Contains(call(t.Context(), e, "POST", chatPath, "g", body).Body.String(), "garbage"))
	is.Equal(call(t.Context(), e, "PUT", "/control/faults", "", `{"colour":1}`).Code, http.StatusBadRequest)
}

func TestOrdersAndFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%v", checks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := NewEngine(Options{Version: "v1", LoadTime: time.Minute, ChecksFencing: checks})
				defer e.Close()
				order := func(body string) int { return call(t.Context(), e, "POST", "/v1/orders", "", body).Code }
				is.Equal(order(`{"kind":"load","version":"v2","fencing_number":7}`), http.StatusAccepted)
				is.Equal(e.Orders().Version, "v1")
				time.Sleep(time.Minute)
				is.Equal(e.Orders().Version, "v2")
				is.Equal(e.State().Restarts, 1)
				stale := order(`{"kind":"role","role":"prefill","fencing_number":6}`)
				is.Equal(stale == http.StatusConflict, checks)
				is.Equal(order(`{"kind":"dance"}`), http.StatusBadRequest)
			})
		})
	}
}

func TestBookingLedgerCountsEveryRun(t *testing.T) {
	is := is.New(t)
	b := NewBooking(Options{Name: "b"})
	is.Equal(call(t.Context(), b, "POST", "/bookings", "r1", `{"item":"vest","quantity":3}`).Body.String(),
		`{"id":"booking-r1","item":"vest","quantity":3}`+"\n")
	b.SetFaults(Faults{StopHalfWay: true})
	is.True(call(t.Context(), b, "POST", "/confirmations", "r1", `{}`).aborted)
	is.Equal(b.Ledger().ByRequestID["r1"], 2) // broken off, and run all the same
	b.SetFaults(Faults{FailShare: 1})
	is.Equal(call(t.Context(), b, "POST", "/bookings", "r2", `{}`).Code, http.StatusInternalServerError)
	is.Equal(b.Ledger().ByRequestID["r2"], 0)
	b.SetFaults(Faults{})
	is.Equal(call(t.Context(), b, "GET", "/stock/vest", "", "").Body, call(t.Context(), b, "GET", "/stock/vest", "", "").Body)
}
