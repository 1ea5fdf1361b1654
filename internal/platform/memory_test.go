package platform

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestWriteTakesEffectWhenItsResponseIsLost(t *testing.T) {
	is := is.New(t)
	m := NewMemory()
	m.SetFaults(Faults{LoseWriteAnswers: true})
	_, _, err := m.CompareAndSwap(t.Context(), "k", 0, []byte("v"))
	is.True(errors.Is(err, ErrUnavailable))
	entry, err := m.Get(t.Context(), "k")
	is.NoErr(err)
	is.Equal(string(entry.Value), "v")
}

func TestCompareAndSwapRejectsAStaleRevisionAndALargeValue(t *testing.T) {
	is := is.New(t)
	m := NewMemory()
	swapped, revision, err := m.CompareAndSwap(t.Context(), "k", 0, []byte("a"))
	is.NoErr(err)
	is.True(swapped)
	swapped, seen, err := m.CompareAndSwap(t.Context(), "k", 0, []byte("b"))
	is.NoErr(err)
	is.True(!swapped)
	is.Equal(seen, revision)
	_, _, err = m.CompareAndSwap(t.Context(), "k", revision, make([]byte, MaxValueBytes+1))
	is.True(errors.Is(err, ErrTooLarge))
}

func TestWatchReturnsOnChangeAndBlocksUnderTheSilentFault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := NewMemory()
		start := time.Now()
		go func() {
			time.Sleep(time.Second)
			_, _, _ = m.CompareAndSwap(t.Context(), "k", 0, []byte("v"))
		}()
		entry, err := m.Watch(t.Context(), "k", 0, time.Minute)
		is.NoErr(err)
		is.Equal(string(entry.Value), "v")
		is.Equal(time.Since(start), time.Second)

		m.SetFaults(Faults{SilentWatches: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		_, err = m.Watch(ctx, "k", 0, time.Second) // the watch's own timeout does not apply
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(m.Calls(), Calls{Reads: 2, Writes: 1})
	})
}

func TestReacquiringAnExpiredLeaseRaisesTheFencingNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := NewMemory()
		first, err := m.Acquire(t.Context(), "l", "a", time.Minute)
		is.NoErr(err)
		renewed, _ := m.Acquire(t.Context(), "l", "a", time.Minute)
		is.Equal(renewed.FencingNumber, first.FencingNumber)
		other, _ := m.Acquire(t.Context(), "l", "b", time.Minute)
		is.True(!other.Held)
		m.ExpireLeases()
		again, _ := m.Acquire(t.Context(), "l", "a", time.Minute)
		is.True(again.Held && again.FencingNumber > first.FencingNumber)
	})
}

func TestHostListIsAsOldAsTheConfiguredLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := NewMemory()
		m.SetHost(Host{Name: "r1"})
		time.Sleep(time.Minute)
		m.SetFaults(Faults{HostListLag: 30 * time.Second})
		m.SetHost(Host{Name: "r2"})
		hosts, err := m.Hosts(t.Context())
		is.NoErr(err)
		is.Equal(hosts, []Host{{Name: "r1"}})
		time.Sleep(31 * time.Second)
		hosts, _ = m.Hosts(t.Context())
		is.Equal(len(hosts), 2)
	})
}
