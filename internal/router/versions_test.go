package router_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/clock"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/move"
	"github.com/zinniaquay/zinniaquay/internal/router"
	"github.com/zinniaquay/zinniaquay/internal/rpc"
	"github.com/zinniaquay/zinniaquay/internal/versions"
)

// TestClaimIsRefusedOnceTargetMayNotStart claims a request after the router
// learned that the target may not start it any more. The reservation was
// returned before that.
func TestClaimIsRefusedOnceTargetMayNotStart(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(store *configstore.Store, verdicts *move.VerdictSet)
		granted bool
	}{
		{"no change", func(*configstore.Store, *move.VerdictSet) {}, true},
		{"availability zone is out", func(store *configstore.Store, _ *move.VerdictSet) {
			doc := proto.CloneOf(store.Current().Doc)
			doc.Number++
			doc.Zones["a"].State = zinniaquayv1.AvailabilityZone_out
			store.Apply(doc)
		}, false},
		{"version is bad", func(store *configstore.Store, verdicts *move.VerdictSet) {
			d, _ := versions.MoveOf(store.Current(), "planner")
			verdicts.Add(&zinniaquayv1.Verdict{MoveDigest: d.Digest(), Version: d.To, Reason: "fails"})
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store, verdicts := configstore.NewStore(), move.NewVerdictSet()
				store.Apply(movingConfiguration())
				node := &rpc.Node{Clock: &clock.Clock{}, ConfigurationNumber: store.Number, Dial: func(context.Context, string, string) (net.Conn, error) {
					return nil, errors.New("connection refused")
				}}
				r := router.New(router.Options{
					Addr: "r:1", MaxBodyBytes: 1 << 20, Store: store, Log: logr.Discard(), Pool: rpc.NewPool(node),
					Versions:        versions.NewChooser("r", verdicts, func() []string { return []string{"r"} }),
					VerdictsChanged: verdicts.VerdictsChanged,
				})
				// Run is not called, so that the request stays in its queue.
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/chat/completions", strings.NewReader(`{"model":"planner"}`))
					req.Header.Set("Authorization", "Bearer key")
					r.CallerHandler().ServeHTTP(httptest.NewRecorder(), req)
				}()
				synctest.Wait()
				sampled, err := r.Sample(t.Context(), &zinniaquayv1.SampleRequest{Target: "new", Limit: 1})
				is.NoErr(err)
				is.Equal(len(sampled.GetReservations()), 1)
				c.change(store, verdicts)
				res, err := r.Claim(t.Context(), &zinniaquayv1.ClaimRequest{
					RequestId: sampled.GetReservations()[0].GetRequestId(), Target: "new", Account: "village",
				})
				is.NoErr(err)
				is.Equal(res.GetGranted(), c.granted)
				<-ended
			})
		})
	}
}

// movingConfiguration returns a configuration with a move whose small share is
// all traffic.
func movingConfiguration() *zinniaquayv1.Configuration {
	digest := sha256.Sum256([]byte("key"))
	return &zinniaquayv1.Configuration{
		Number:   1,
		Accounts: map[string]*zinniaquayv1.ClientAccount{"village": {KeySha256: []string{hex.EncodeToString(digest[:])}}},
		Zones:    map[string]*zinniaquayv1.AvailabilityZone{"a": {}},
		Services: map[string]*zinniaquayv1.Service{"planner": {Version: "v1"}},
		Targets: map[string]*zinniaquayv1.Target{
			"old": {Service: "planner", Version: "v1", Zone: "a"},
			"new": {Service: "planner", Version: "v2", Zone: "a"},
		},
		Moves: map[string]*zinniaquayv1.Move{"m": {Service: "planner", FromVersion: "v1", ToVersion: "v2", SmallShare: 1}},
	}
}
