package sidecar

import (
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

const (
	token = `data: {"choices":[]}` + "\n\n"
	done  = "data: [DONE]\n\n"
)

func TestOnlyAWholeStreamOfEventsEndsWell(t *testing.T) {
	for name, c := range map[string]struct {
		stream  string
		passed  string
		garbage bool
	}{
		"whole":                  {stream: token + token + done, passed: token + token + done},
		"events after the end":   {stream: token + done + token, passed: token + done},
		"comments":               {stream: ": ping\n\n" + token + done, passed: ": ping\n\n" + token + done},
		"ends without its end":   {stream: token + token, passed: token + token, garbage: true},
		"ends within an event":   {stream: token + `data: {"cho`, passed: token, garbage: true},
		"an event without JSON":  {stream: token + "data: {\"id\":\x00\n\n", passed: token, garbage: true},
		"an event without data":  {stream: token + "hello\n\n" + done, passed: token, garbage: true},
		"an event without bound": {stream: token + "data: {" + strings.Repeat(" ", maxEventBytes+readBytes), passed: token, garbage: true},
		"nothing":                {garbage: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answer := newBuffer(newBudget(0, metrics.NewRegistry()))
			// A connection gives bytes in any portions.
			err := readEvents(iotest.HalfReader(strings.NewReader(c.stream)), answer, &meter{charge: func(float64) {}})
			var garbage *garbageError
			is.Equal(errors.As(err, &garbage), c.garbage)
			is.Equal(err != nil, c.garbage)
			passed := ""
			for _, chunk := range answer.chunks {
				passed += string(chunk.GetBody())
			}
			is.Equal(passed, c.passed)
		})
	}
}
