package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// at returns a moment of a test, in ms after its start.
func at(ms int) time.Time { return time.UnixMilli(1_700_000_000_000 + int64(ms)) }

func TestOnlyRequestsThatACrashedTargetMayJustHaveBegunAreSuspect(t *testing.T) {
	const target, other = 1, 2
	for _, c := range []struct {
		name    string
		play    func(t *Tracker)
		suspect bool
	}{
		{"not begun", func(*Tracker) {}, true},
		{"begun just before", func(t *Tracker) { t.Began(1, at(4900)) }, true},
		{"begun long before", func(t *Tracker) { t.Began(1, at(1000)) }, false},
		{"connection lost before the crash was known", func(t *Tracker) { t.Ended(1, false, true, at(4990)) }, true},
		{"failed long before", func(t *Tracker) { t.Ended(1, false, true, at(1000)) }, false},
		{"not run", func(t *Tracker) { t.Ended(1, false, false, at(4990)) }, false},
		{"answered just before", func(t *Tracker) { t.Began(1, at(4700)); t.Ended(1, true, true, at(4800)) }, true},
		{"answered, and the target lived on", func(t *Tracker) {
			t.Began(1, at(1000))
			t.Ended(1, true, true, at(1100))
			t.Sent(9, target, []uint64{5}, at(1500))
			t.Began(9, at(2100))
			t.Ended(9, true, true, at(2200))
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tracker := New("edge-1")
			tracker.Sent(1, target, []uint64{7, 8}, at(0))
			tracker.Sent(2, other, []uint64{9}, at(0))
			c.play(tracker)
			crash := tracker.Crashed(target, at(5000))
			is.Equal(crash.Suspects == 1, c.suspect)
			if c.suspect {
				is.Equal(crash.Parts, []uint64{7, 8})
			}
		})
	}
}

func TestEndedRequestsAreForgotten(t *testing.T) {
	is := is.New(t)
	tracker := New("edge-1")
	for i := range 1000 {
		sequence := uint64(i + 1)
		tracker.Sent(sequence, 1, []uint64{sequence}, at(100*i))
		tracker.Ended(sequence, false, true, at(100*i)) // a target that never responds
	}
	is.True(len(tracker.runs.bySequence) <= 1+int(maxRunAge/(100*time.Millisecond)))
	tracker.Retain(func(uint32) bool { return false })
	is.Equal(len(tracker.runs.bySequence), 0)
	is.Equal(len(tracker.runs.byTarget), 0)
}
