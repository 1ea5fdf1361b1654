package sidecar

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxEventBytes bounds one server-sent event of a model's answer.
const maxEventBytes = 1 << 20

var (
	eventEnd  = []byte("\n\n")
	dataField = []byte("data:")
	doneEvent = []byte("[DONE]")
)

// readEvents copies a model's stream of server-sent events up to the one that
// ends it. What a target sends after that is dropped. A stream that stops
// before its end is an error.
func readEvents(body io.Reader, answer *buffer, m *meter) error {
	var pending []byte
	part := make([]byte, readBytes)
	for {
		n, err := body.Read(part)
		pending = append(pending, part[:n]...)
		whole, done, bad := splitEvents(pending, m)
		if whole > 0 {
			if err := answer.add(bodyChunk(bytes.Clone(pending[:whole]))); err != nil {
				return err
			}
			pending = append(pending[:0], pending[whole:]...)
		}
		switch {
		case bad != nil:
			return bad
		case done:
			return nil
		case errors.Is(err, io.EOF):
			return &garbageError{what: "the stream stopped before its end"}
		case err != nil:
			return fmt.Errorf("read events: %w", err)
		case len(pending) > maxEventBytes:
			return &garbageError{what: "an event is too large"}
		}
	}
}

// splitEvents returns how many leading bytes are whole events, up to the event
// that ends the stream, and whether that is among them.
func splitEvents(b []byte, m *meter) (whole int, done bool, err error) {
	for {
		i := bytes.Index(b[whole:], eventEnd)
		if i < 0 {
			return whole, false, nil
		}
		event := b[whole : whole+i]
		ended, err := readEvent(event, m)
		if err != nil {
			return whole, false, err
		}
		whole += i + len(eventEnd)
		if ended {
			return whole, true, nil
		}
	}
}

// readEvent checks one event, meters it and reports whether it ends the stream.
func readEvent(event []byte, m *meter) (ended bool, err error) {
	if len(event) == 0 || event[0] == ':' {
		return false, nil
	}
	if !bytes.HasPrefix(event, dataField) {
		return false, &garbageError{what: "an event without data"}
	}
	data := bytes.TrimSpace(event[len(dataField):])
	if bytes.Equal(data, doneEvent) {
		return true, nil
	}
	if len(data) == 0 || data[0] != '{' || !json.Valid(data) {
		return false, &garbageError{what: "an event that is not JSON"}
	}
	m.event(data)
	return false, nil
}

// usageField is in the one event that carries the usage.
var usageField = []byte(`"usage":{`)

// usage is what a model reports of a request's cost, in tokens.
type usage struct {
	PromptTokens     float64 `json:"prompt_tokens"`
	CompletionTokens float64 `json:"completion_tokens"`
}

// usageBody is the part of an answer that carries the usage.
type usageBody struct {
	Usage usage `json:"usage"`
}

// meter charges service as it is generated.
type meter struct {
	charge func(float64)
	total  float64
}

// add charges some service.
func (m *meter) add(service float64) {
	m.total += service
	m.charge(service)
}

// event charges one event of a stream: a token, or what the usage says is still
// owed.
func (m *meter) event(data []byte) {
	if !bytes.Contains(data, usageField) {
		m.add(1)
		return
	}
	var body usageBody
	if json.Unmarshal(data, &body) == nil {
		m.settle(body.Usage)
	}
}

// settle charges what the usage says above what was charged already.
func (m *meter) settle(u usage) {
	if owed := u.PromptTokens + u.CompletionTokens - m.total; owed > 0 {
		m.add(owed)
	}
}
