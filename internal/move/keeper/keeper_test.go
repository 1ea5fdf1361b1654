package keeper

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/zinniaquay/zinniaquay/internal/move"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

var declaration = move.Declaration{Name: "m", Service: "s", From: "v1", To: "v2", SmallShare: 0.05}

// pausingStore runs a function of the test before a holder's write.
type pausingStore struct {
	*platform.Memory
	beforeWrite func()
}

// CompareAndSwap implements platform.KV.
func (p *pausingStore) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (bool, uint64, error) {
	if f := p.beforeWrite; f != nil {
		p.beforeWrite = nil
		f()
	}
	return p.Memory.CompareAndSwap(ctx, key, expected, value)
}

func stateOf(t *testing.T, store platform.KV) string {
	t.Helper()
	entry, err := store.Get(t.Context(), Key(declaration.Name))
	if err != nil {
		t.Fatal(err)
	}
	record, err := decode(entry)
	if err != nil {
		t.Fatal(err)
	}
	return record.GetState()
}

func TestPausedHolderCannotOverwriteNewerRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &pausingStore{Memory: platform.NewMemory()}
		old, next := New(store, "old", declaration), New(store.Memory, "new", declaration)
		is.NoErr(old.Commit(t.Context(), move.Progress{Missing: "x"}, time.Now()))
		store.beforeWrite = func() {
			// The old holder has decided that the move is done, holds the lease and
			// is paused. Meanwhile another holder rolls the version back.
			time.Sleep(2 * LeaseTTL)
			for range 2 {
				is.NoErr(next.Commit(t.Context(), move.Progress{Bad: "b", NewIdle: true}, time.Now()))
			}
		}
		err := old.Commit(t.Context(), move.Progress{OldIdle: true}, time.Now())
		is.True(err != nil)
		is.Equal(stateOf(t, store.Memory), string(move.RolledBack))
		is.NoErr(old.Commit(t.Context(), move.Progress{OldIdle: true}, time.Now())) // reads the record again
		is.Equal(stateOf(t, store.Memory), string(move.RolledBack))
		is.Equal(old.Committed().GetState(), string(move.RolledBack))
	})
}

func TestLostWriteAnswerIsResolvedByReadingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := platform.NewMemory()
		k := New(store, "h", declaration)
		is.NoErr(k.Commit(t.Context(), move.Progress{Missing: "x"}, time.Now()))
		done := move.Progress{OldIdle: true}
		_, err := store.Acquire(t.Context(), leasePrefix+"m", "h", LeaseTTL)
		is.NoErr(err)
		lossy := &lossyStore{Memory: store}
		k.store = lossy
		is.True(k.Commit(t.Context(), done, time.Now()) != nil)
		is.Equal(k.Committed().GetState(), string(move.Moving)) // not ahead of the known record
		k.store = store
		is.NoErr(k.Commit(t.Context(), done, time.Now()))
		is.Equal(k.Committed().GetState(), string(move.Done))
		entry, err := store.Get(t.Context(), Key("m"))
		is.NoErr(err)
		is.Equal(entry.Revision, uint64(2)) // written once
	})
}

// lossyStore loses the answers of writes only, not of reads.
type lossyStore struct{ *platform.Memory }

// CompareAndSwap implements platform.KV.
func (l *lossyStore) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (bool, uint64, error) {
	l.SetFaults(platform.Faults{LoseWriteAnswers: true})
	defer l.SetFaults(platform.Faults{})
	return l.Memory.CompareAndSwap(ctx, key, expected, value)
}

func TestStatusShowsCommittedRecordAndItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := platform.NewMemory()
		reader, k := NewReader(store), New(store, "h", declaration)
		is.Equal(reader.Status(t.Context(), declaration, time.Now()).GetState(), StateUnknown)
		is.NoErr(k.Commit(t.Context(), move.Progress{Missing: "x"}, time.Now()))
		time.Sleep(ReadInterval)
		status := reader.Status(t.Context(), declaration, time.Now())
		is.Equal(status.GetState(), string(move.Moving))
		is.Equal(status.GetRecordAgeMs(), int64(0))

		store.SetFaults(platform.Faults{Down: true})
		is.True(k.Commit(t.Context(), move.Progress{OldIdle: true}, time.Now()) != nil)
		time.Sleep(time.Minute)
		status = reader.Status(t.Context(), declaration, time.Now())
		is.Equal(status.GetState(), string(move.Moving))
		is.Equal(status.GetRecordAgeMs(), time.Minute.Milliseconds())

		store.SetFaults(platform.Faults{})
		is.NoErr(k.Commit(t.Context(), move.Progress{OldIdle: true}, time.Now()))
		time.Sleep(ReadInterval)
		is.Equal(reader.Status(t.Context(), declaration, time.Now()).GetState(), string(move.Done))
		again := declaration
		again.To = "v3"
		is.Equal(reader.Status(t.Context(), again, time.Now()).GetState(), StateUnknown)
	})
}

func TestPlatformCallsAreBoundedPerMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := platform.NewMemory()
		k := New(store, "h", declaration)
		step := func(p move.Progress, d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				if k.Due(p, time.Now()) {
					_ = k.Commit(t.Context(), p, time.Now())
				}
			}
		}
		step(move.Progress{Missing: "x"}, time.Hour)
		is.Equal(store.Calls().Total(), uint64(3)) // one read, lease and write
		store.SetFaults(platform.Faults{Down: true})
		before := store.Calls().Total()
		step(move.Progress{Bad: "b"}, time.Minute)
		is.True(store.Calls().Total()-before <= 60) // at most one per second while the platform is down
		store.SetFaults(platform.Faults{})
		step(move.Progress{Bad: "b"}, 2*time.Second)
		is.Equal(stateOf(t, store), string(move.RollingBack)) // written once the platform answers
	})
}
