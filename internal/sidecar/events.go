package sidecar

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxEventBytes is the maximum size of one server-sent event in a model's
// response.
const maxEventBytes = 1 << 20

var (
	eventSeparator = []byte("\n\n")
	dataField      = []byte("data:")
	doneEvent      = []byte("[DONE]")
)

// readEvents copies a model's stream of server-sent events up to and including
// its final event. Data after that event is dropped. A stream that stops before
// its final event is an error.
func readEvents(body io.Reader, buf *buffer, m *meter) error {
	var pending []byte
	part := make([]byte, readBytes)
	for {
		n, err := body.Read(part)
		pending = append(pending, part[:n]...)
		complete, done, parseErr := splitEvents(pending, m)
		if complete > 0 {
			if err := buf.add(bodyChunk(bytes.Clone(pending[:complete]))); err != nil {
				return err
			}
			pending = append(pending[:0], pending[complete:]...)
		}
		switch {
		case parseErr != nil:
			return parseErr
		case done:
			return nil
		case errors.Is(err, io.EOF):
			return &malformedError{reason: "the stream stopped before its end"}
		case err != nil:
			return fmt.Errorf("read events: %w", err)
		case len(pending) > maxEventBytes:
			return &malformedError{reason: "an event is too large"}
		}
	}
}

// splitEvents returns the length of the complete events at the start of b, up
// to and including the final event of the stream, and whether the final event
// is among them.
func splitEvents(b []byte, m *meter) (complete int, done bool, err error) {
	for {
		i := bytes.Index(b[complete:], eventSeparator)
		if i < 0 {
			return complete, false, nil
		}
		event := b[complete : complete+i]
		ended, err := parseEvent(event, m)
		if err != nil {
			return complete, false, err
		}
		complete += i + len(eventSeparator)
		if ended {
			return complete, true, nil
		}
	}
}

// parseEvent validates one event, charges for it and reports whether it is the
// final event of the stream.
func parseEvent(event []byte, m *meter) (ended bool, err error) {
	if len(event) == 0 || event[0] == ':' {
		return false, nil
	}
	if !bytes.HasPrefix(event, dataField) {
		return false, &malformedError{reason: "an event without data"}
	}
	data := bytes.TrimSpace(event[len(dataField):])
	if bytes.Equal(data, doneEvent) {
		return true, nil
	}
	if len(data) == 0 || data[0] != '{' || !json.Valid(data) {
		return false, &malformedError{reason: "an event that is not JSON"}
	}
	m.chargeEvent(data)
	return false, nil
}

// usageField occurs only in the event that reports the usage.
var usageField = []byte(`"usage":{`)

// usage is the cost of a request in tokens, as reported by the model.
type usage struct {
	PromptTokens     float64 `json:"prompt_tokens"`
	CompletionTokens float64 `json:"completion_tokens"`
}

// usageBody is the part of a response body that contains the usage.
type usageBody struct {
	Usage usage `json:"usage"`
}

// meter charges service as it is generated.
type meter struct {
	charge func(float64)
	total  float64
}

// add charges an amount of service.
func (m *meter) add(service float64) {
	m.total += service
	m.charge(service)
}

// chargeEvent charges for one event of a stream: one token, or the part of the
// reported usage that has not been charged yet.
func (m *meter) chargeEvent(data []byte) {
	if !bytes.Contains(data, usageField) {
		m.add(1)
		return
	}
	var body usageBody
	if json.Unmarshal(data, &body) == nil {
		m.settle(body.Usage)
	}
}

// settle charges the part of the reported usage that has not been charged yet.
func (m *meter) settle(u usage) {
	if owed := u.PromptTokens + u.CompletionTokens - m.total; owed > 0 {
		m.add(owed)
	}
}
