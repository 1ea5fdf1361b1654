package versions

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
	"github.com/zinniaquay/zinniaquay/internal/move"
)

// snapshot returns a configuration with ten targets of each version: the old
// version in availability zone a, the new one in b.
func snapshot(serviceVersion string, newZone zinniaquayv1.AvailabilityZone_State) *configstore.Snapshot {
	doc := &zinniaquayv1.Configuration{
		Number:   1,
		Zones:    map[string]*zinniaquayv1.AvailabilityZone{"a": {}, "b": {State: newZone}},
		Services: map[string]*zinniaquayv1.Service{"s": {Version: serviceVersion}},
		Targets:  map[string]*zinniaquayv1.Target{},
		Moves:    map[string]*zinniaquayv1.Move{"m": {Service: "s", FromVersion: "v1", ToVersion: "v2"}},
	}
	for i := range 10 {
		doc.Targets[fmt.Sprint("old", i)] = &zinniaquayv1.Target{Service: "s", Version: "v1", Zone: "a"}
		doc.Targets[fmt.Sprint("new", i)] = &zinniaquayv1.Target{Service: "s", Version: "v2", Zone: "b"}
	}
	return configstore.NewSnapshot(doc)
}

const (
	zoneIn  = zinniaquayv1.AvailabilityZone_in
	zoneOut = zinniaquayv1.AvailabilityZone_out
)

// chooser returns the chooser of the only router, with the given verdict, if any.
func chooser(snap *configstore.Snapshot, v *zinniaquayv1.Verdict) *Chooser {
	verdicts := move.NewVerdictSet()
	if v != nil {
		d, _ := MoveOf(snap, "s")
		v.MoveDigest = d.Digest()
		verdicts.Add(v)
	}
	return NewChooser("r", verdicts, func() []string { return []string{"r"} })
}

func fullyCleared() *zinniaquayv1.Verdict {
	return &zinniaquayv1.Verdict{Cleared: true, Level: move.FullLevel, Routes: []string{move.AllRoutes}}
}

func TestVersionForRequest(t *testing.T) {
	for _, c := range []struct {
		name    string
		service string
		zone    zinniaquayv1.AvailabilityZone_State
		v       *zinniaquayv1.Verdict
		// onNew is the number of requests out of 100 that go to the new version.
		onNew int
	}{
		{"no verdict", "v1", zoneIn, nil, 5},
		{"cleared", "v1", zoneIn, fullyCleared(), 100},
		{"bad", "v1", zoneIn, &zinniaquayv1.Verdict{}, 0},
		{"no new target may start", "v1", zoneOut, fullyCleared(), 0},
		{"service declared at the new version", "v2", zoneIn, nil, 100},
		{"service declared at the new version, which is bad", "v2", zoneIn, &zinniaquayv1.Verdict{}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			snap := snapshot(c.service, c.zone)
			choose := chooser(snap, c.v)
			onNew := 0
			for range 100 {
				if choose.Version(snap, "s", "r") == "v2" {
					onNew++
				}
			}
			is.Equal(onNew, c.onNew)
		})
	}
}

func TestFallbackForWaitingRequest(t *testing.T) {
	for _, c := range []struct {
		name      string
		version   string
		v         *zinniaquayv1.Verdict
		unclaimed bool
		ok        bool
	}{
		{"waits", "v2", nil, false, false},
		{"unclaimed requests", "v2", nil, true, true},
		{"unclaimed requests, all traffic on the new version", "v2", fullyCleared(), true, false},
		{"bad", "v2", &zinniaquayv1.Verdict{}, false, true},
		{"old version", "v1", &zinniaquayv1.Verdict{}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			snap := snapshot("v1", zoneIn)
			_, ok := chooser(snap, c.v).Fallback(snap, "s", c.version, "r", c.unclaimed)
			is.Equal(ok, c.ok)
		})
	}
}

func TestSmallShareGoesToFewTargets(t *testing.T) {
	is := is.New(t)
	snap := snapshot("v1", zoneIn)
	is.Equal(len(chooser(snap, nil).Targets(snap, "s", "v2")), 2)
	is.Equal(chooser(snap, nil).Targets(snap, "s", "v2"), chooser(snap, nil).Targets(snap, "s", "v2"))
	is.Equal(len(chooser(snap, fullyCleared()).Targets(snap, "s", "v2")), 10)
	is.Equal(len(chooser(snap, nil).Targets(snap, "s", "v1")), 10)
	is.Equal(len(chooser(snapshot("v1", zoneOut), nil).Targets(snapshot("v1", zoneOut), "s", "v2")), 0)
}
