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

// TestClaimNeedsTheRoutersConsent claims over a reservation that was placed
// before the router heard why the target may not start any more.
func TestClaimNeedsTheRoutersConsent(t *testing.T) {
	for _, c := range []struct {
		name    string
		happens func(store *configstore.Store, know *move.VerdictSet)
		granted bool
	}{
		{"nothing happens", func(*configstore.Store, *move.VerdictSet) {}, true},
		{"zone goes out", func(store *configstore.Store, _ *move.VerdictSet) {
			doc := proto.CloneOf(store.Current().Doc)
			doc.Number++
			doc.Zones["a"].State = zinniaquayv1.AvailabilityZone_out
			store.Apply(doc)
		}, false},
		{"version turns out bad", func(store *configstore.Store, know *move.VerdictSet) {
			d, _ := versions.MoveOf(store.Current(), "planner")
			know.Add(&zinniaquayv1.Verdict{MoveDigest: d.Digest(), Version: d.To, Reason: "fails"})
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store, know := configstore.NewStore(), move.NewVerdictSet()
				store.Apply(movingConfiguration())
				node := &rpc.Node{Clock: &clock.Clock{}, ConfigurationNumber: store.Number, Dial: func(context.Context, string, string) (net.Conn, error) {
					return nil, errors.New("nobody there")
				}}
				r := router.New(router.Options{
					Addr: "r:1", MaxBodyBytes: 1 << 20, Store: store, Log: logr.Discard(), Pool: rpc.NewPool(node),
					Versions:        versions.NewChooser("r", know, func() []string { return []string{"r"} }),
					VerdictsChanged: know.VerdictsChanged,
				})
				// The router does no duties, so that the request stays where it is.
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
				c.happens(store, know)
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

// movingConfiguration declares a move whose small share is all traffic.
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
