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

func TestIncompleteOrInvalidEventStreamIsRejected(t *testing.T) {
	for name, c := range map[string]struct {
		stream    string
		forwarded string
		invalid   bool
	}{
		"whole":                        {stream: token + token + done, forwarded: token + token + done},
		"events after the final event": {stream: token + done + token, forwarded: token + done},
		"comments":                     {stream: ": ping\n\n" + token + done, forwarded: ": ping\n\n" + token + done},
		"without a final event":        {stream: token + token, forwarded: token + token, invalid: true},
		"ends within an event":         {stream: token + `data: {"cho`, forwarded: token, invalid: true},
		"event with invalid JSON":      {stream: token + "data: {\"id\":\x00\n\n", forwarded: token, invalid: true},
		"event without data":           {stream: token + "hello\n\n" + done, forwarded: token, invalid: true},
		"oversized event":              {stream: token + "data: {" + strings.Repeat(" ", maxEventBytes+readBytes), forwarded: token, invalid: true},
		"nothing":                      {invalid: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			buf := newBuffer(newBudget(0, metrics.NewRegistry()))
			// A connection delivers bytes in arbitrary portions.
			err := readEvents(iotest.HalfReader(strings.NewReader(c.stream)), buf, &meter{charge: func(float64) {}})
			var invalid *malformedError
			is.Equal(errors.As(err, &invalid), c.invalid)
			is.Equal(err != nil, c.invalid)
			forwarded := ""
			for _, chunk := range buf.chunks {
				forwarded += string(chunk.GetBody())
			}
			is.Equal(forwarded, c.forwarded)
		})
	}
}
