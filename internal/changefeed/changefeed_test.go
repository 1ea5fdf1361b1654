package changefeed

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/directory"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

// sourceFunc is a Source.
type sourceFunc func(ctx context.Context, after platform.Position, wait time.Duration) (directory.PeerChange, error)

func (f sourceFunc) Changes(ctx context.Context, after platform.Position, wait time.Duration) (directory.PeerChange, error) {
	return f(ctx, after, wait)
}

// startServer serves a source on loopback and returns its member.
func startServer(t *testing.T, source Source) catalog.Member {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer("edge-1", source)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return catalog.Member{Name: "edge-1", Addr: l.Addr().String()}
}

func newTestClient() *Client { return NewClient(func(string) bool { return false }) }

func TestChangesArriveAsSent(t *testing.T) {
	after := platform.Position{Era: 3, Revision: 7}
	for _, tt := range []struct {
		name      string
		sent      directory.PeerChange
		confirmed time.Duration
	}{
		{"no change, confirmed before the call", directory.PeerChange{
			Change: platform.Change{Position: after}, Confirmed: -1500*time.Millisecond - time.Microsecond}, -1501 * time.Millisecond},
		{"changes, confirmed during the call", directory.PeerChange{
			Change: platform.Change{Position: platform.Position{Era: 3, Revision: 9}, Items: []platform.Item{
				{Key: "op/config", Value: []byte("{}"), Revision: 8}, {Key: "servers/1", Revision: 9, Deleted: true}}},
			Confirmed: 20*time.Millisecond + 900*time.Microsecond}, 20 * time.Millisecond},
		{"the store is down", directory.PeerChange{Change: platform.Change{Position: after}, StoreDown: true}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := startServer(t, sourceFunc(func(_ context.Context, got platform.Position, wait time.Duration) (directory.PeerChange, error) {
				is.Equal(got, after)
				is.Equal(wait, 40*time.Millisecond)
				return tt.sent, nil
			}))
			got, err := newTestClient().Changes(t.Context(), m, after, 40*time.Millisecond)
			is.NoErr(err)
			is.Equal(got.Confirmed, tt.confirmed) // never later than it was
			got.Confirmed = tt.sent.Confirmed
			is.Equal(got, tt.sent)
		})
	}
}

func TestFailedCallsNameTheirCause(t *testing.T) {
	for _, tt := range []struct {
		name       string
		err, cause error
	}{
		{"history is gone", platform.ErrCompacted, platform.ErrCompacted},
		{"no view yet", platform.ErrUnavailable, platform.ErrUnavailable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := startServer(t, sourceFunc(func(context.Context, platform.Position, time.Duration) (directory.PeerChange, error) {
				return directory.PeerChange{}, tt.err
			}))
			_, err := newTestClient().Changes(t.Context(), m, platform.Position{}, 0)
			is.True(errors.Is(err, tt.cause))
			is.Equal(errors.Is(err, platform.ErrCompacted), errors.Is(tt.cause, platform.ErrCompacted))
		})
	}
}

// Guards against a process that waits for a peer that never answers, or takes its late answer
// for that of the next call.
func TestSilentPeerIsGivenUpAndItsConnectionNotUsedAgain(t *testing.T) {
	is := is.New(t)
	silent, late := make(chan struct{}), platform.Position{Revision: 1}
	var calls atomic.Int32
	m := startServer(t, sourceFunc(func(context.Context, platform.Position, time.Duration) (directory.PeerChange, error) {
		if calls.Add(1) == 1 {
			<-silent
			return directory.PeerChange{Change: platform.Change{Position: late}}, nil
		}
		return directory.PeerChange{Change: platform.Change{Position: platform.Position{Revision: 2}}}, nil
	}))
	c := newTestClient()
	_, err := c.Changes(t.Context(), m, platform.Position{}, 10*time.Millisecond)
	is.True(errors.Is(err, platform.ErrUnavailable))
	close(silent)
	got, err := c.Changes(t.Context(), m, platform.Position{}, 10*time.Millisecond)
	is.NoErr(err)
	is.Equal(got.Position.Revision, int64(2))
}

// Guards against changes of another fleet's store, whose process has the address of a member that
// is gone.
func TestAnotherProcessAtTheAddressOfAMemberRefuses(t *testing.T) {
	is := is.New(t)
	m := startServer(t, sourceFunc(func(context.Context, platform.Position, time.Duration) (directory.PeerChange, error) {
		t.Error("the process that was not asked answered")
		return directory.PeerChange{}, nil
	}))
	m.Name = "edge-9"
	_, err := newTestClient().Changes(t.Context(), m, platform.Position{}, 0)
	is.True(errors.Is(err, platform.ErrUnavailable))
}

func TestUnreachablePeerFailsAtOnce(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	is.NoErr(l.Close())
	_, err = newTestClient().Changes(t.Context(), catalog.Member{Addr: addr}, platform.Position{}, time.Minute)
	is.True(errors.Is(err, platform.ErrUnavailable))
}
