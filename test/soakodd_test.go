package test

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/zinniaquay/zinniaquay/platform/standin"
)

// oddEntries returns entries of another writer that name no target, given a sound one.
func oddEntries(sound []byte) [][]byte {
	odd := [][]byte{
		[]byte("\xff\xfe"), []byte("null"), []byte(strings.Repeat("[", 100_000)),
		[]byte(strings.Repeat(`{"slots":`, 9_000) + "1" + strings.Repeat("}", 9_000)),
	}
	for field, value := range map[string]string{
		"address": `"127.0.0.1:99999"`, "slots": "1000000000000000000", "cold_remaining_ms": "1e300", "state": `"odd"`, "born": "1e400", "version": "7",
	} {
		var entry map[string]json.RawMessage
		if json.Unmarshal(sound, &entry) != nil {
			continue // there is no sound entry
		}
		entry[field] = json.RawMessage(value)
		text := "{"
		for name, v := range entry {
			text += fmt.Sprintf("%q:%s,", name, v)
		}
		odd = append(odd, []byte(strings.TrimSuffix(text, ",")+"}"))
	}
	return odd
}

// oddEntries has another writer leave odd entries beside those of the targets, and one in the
// place of a sound one, for a while.
func (m *troublemaker) oddEntries() {
	t := m.target()
	if t == nil {
		return
	}
	m.born++
	id, d := fmt.Sprintf("%sodd-%d", m.fleet.ids, m.born), m.between(300, 1500)
	odd := oddEntries(m.fleet.Store.Value("servers/" + t.ID))
	replaced := m.rng.IntN(len(odd))
	m.group.Go(func() {
		for i, entry := range odd {
			m.fleet.Store.Put(fmt.Sprintf("servers/%s-%d", id, i), entry)
		}
		m.fleet.Store.Put("servers/"+t.ID, odd[replaced])
		time.Sleep(d)
		if !t.Crashed() {
			m.fleet.register(t, "ready")
		}
		for i := range odd {
			m.fleet.Store.Remove(fmt.Sprintf("servers/%s-%d", id, i))
		}
		m.give(t.ID)
	})
}

// soakSlow is the time for which a slow target runs a request. What comes to a gateway that
// stops outlasts its grace then.
const soakSlow = 2500 * time.Millisecond

// slowTarget has a plain target take long for its responses, which is no trouble.
func (m *troublemaker) slowTarget() {
	t := m.target()
	if t == nil {
		return
	}
	if t.Service != standin.PlainService {
		m.give(t.ID)
		return
	}
	d := m.between(2000, 4000)
	m.group.Go(func() {
		t.SetFaults(standin.TargetFaults{Slow: soakSlow, CrashingPart: soakCrashingPart})
		time.Sleep(d)
		t.SetFaults(standin.TargetFaults{CrashingPart: soakCrashingPart})
		m.give(t.ID)
	})
}
