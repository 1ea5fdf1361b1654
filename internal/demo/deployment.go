// Package demo runs a whole fleet in one process on loopback: routers, sidecars
// and stand-ins of the targets and the platform, for either deployment that the
// project is built for.
package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// Account is a client account of a deployment.
type Account struct {
	// Name of the account.
	Name string
	// Weight is the account's share relative to others.
	Weight float64
}

// Key returns the key that the demo's callers of the account present.
func (a Account) Key() string { return "demo-" + a.Name }

// Model is a model of a deployment and the text that its callers send.
type Model struct {
	// Name of the service.
	Name string
	// PerZone is the number of targets in each availability zone.
	PerZone int
	// Prompt is an example of a request.
	Prompt string
}

//go:generate go run ./examplegen -out ../../examples

// Deployment is one organisation's fleet.
type Deployment struct {
	// Name as the command line gives it.
	Name string
	// Region of all availability zones.
	Region string
	// Zones are the names of the availability zones.
	Zones []string
	// Accounts are the client accounts; the first ones are large.
	Accounts []Account
	// Models are the model services.
	Models []Model
	// Plain is the plain service, with one target in each zone.
	Plain string
	// Item is something that the plain service books.
	Item string
	// Confirms says whether bookings are confirmed.
	Confirms bool
}

// Version is the version of all services of a demo.
const Version = "v1"

// plainUnits are charged for a request to the plain service.
const plainUnits = 20

// Bounds of a demo's targets, in requests.
const (
	coldRunning = 2
	maxRunning  = 16
)

// coldTime is how long a demo's model engine takes to warm up.
const coldTime = 3 * time.Second

// deployments are the deployments by name.
var deployments = map[string]Deployment{
	"zilina": {
		Name: "zilina", Region: "zilina", Zones: []string{"zilina-1", "zilina-2", "zilina-3"},
		Accounts: accounts([]string{"mesto-zilina", "skoly-zilina", "povodie-vahu"},
			"obec-terchova", "obec-strecno", "obec-varin", "obec-rajec", "obec-gbelany", "obec-teplicka", "obec-krasno",
			"obec-divina", "obec-lietava", "obec-visnove", "depo-sever", "depo-juh", "skola-hajik"),
		Models: []Model{
			{"route-planner", 2, "Plan the cleanup route for 120 volunteers along the river."},
			{"clerk-chat", 1, "Which depot lends grabbers on Saturday?"},
			{"damage-label", 1, "Label: handle of the grabber is torn."},
		},
		Plain: "kits", Item: "vest",
	},
	"lankaroute": {
		Name: "lankaroute", Region: "western", Zones: []string{"colombo", "negombo", "kalutara"},
		Accounts: accounts([]string{"colombo-junctions", "southern-expressway", "signal-crews"},
			"depot-fort", "depot-maradana", "depot-moratuwa", "depot-panadura", "depot-gampaha", "depot-kaduwela", "depot-kottawa",
			"depot-homagama", "lanes-galle-road", "lanes-kandy-road", "lanes-marine-drive", "marshals-pettah", "marshals-borella"),
		Models: []Model{
			{"roster-draft", 2, "Draft next week's roster for 40 marshals at 12 junctions."},
			{"swap-explainer", 1, "Why was the swap of Tuesday's shift refused?"},
			{"fatigue-flag", 1, "Flag: three night shifts in a row."},
		},
		Plain: "shifts", Item: "night-shift", Confirms: true,
	},
}

// largeWeight is the weight of a large account; others have 1.
const largeWeight = 4

func accounts(large []string, small ...string) []Account {
	var list []Account
	for _, name := range large {
		list = append(list, Account{name, largeWeight})
	}
	for _, name := range small {
		list = append(list, Account{name, 1})
	}
	return list
}

// Names returns the names of all deployments, sorted.
func Names() []string { return slices.Sorted(maps.Keys(deployments)) }

// Find returns a deployment by its name.
func Find(name string) (Deployment, error) {
	if d, ok := deployments[name]; ok {
		return d, nil
	}
	return Deployment{}, fmt.Errorf("unknown deployment %q, expected one of %s", name, strings.Join(Names(), ", "))
}

// Target is a target of a deployment.
type Target struct {
	// Name of the target.
	Name string
	// Service that it serves.
	Service string
	// Zone is its availability zone.
	Zone string
	// Plain says whether the service is a plain one.
	Plain bool
}

// Targets returns the targets of a deployment in the order of its zones.
func (d Deployment) Targets() []Target {
	var list []Target
	for _, zone := range d.Zones {
		for _, model := range d.Models {
			for i := range model.PerZone {
				list = append(list, Target{fmt.Sprintf("%s-%s-%d", model.Name, zone, i+1), model.Name, zone, false})
			}
		}
		list = append(list, Target{d.Plain + "-" + zone, d.Plain, zone, true})
	}
	return list
}

// Configuration returns the configuration of a deployment; addr returns the
// address (IP:port) of the sidecar beside a target.
func (d Deployment) Configuration(addr func(target string) string) *zinniaquayv1.Configuration {
	c := &zinniaquayv1.Configuration{
		Accounts: make(map[string]*zinniaquayv1.ClientAccount),
		Zones:    make(map[string]*zinniaquayv1.AvailabilityZone),
		Services: make(map[string]*zinniaquayv1.Service),
		Targets:  make(map[string]*zinniaquayv1.Target),
	}
	for _, a := range d.Accounts {
		digest := sha256.Sum256([]byte(a.Key()))
		c.Accounts[a.Name] = &zinniaquayv1.ClientAccount{Weight: a.Weight, KeySha256: []string{hex.EncodeToString(digest[:])}}
	}
	for _, zone := range d.Zones {
		c.Zones[zone] = &zinniaquayv1.AvailabilityZone{Region: d.Region}
	}
	for _, m := range d.Models {
		c.Services[m.Name] = &zinniaquayv1.Service{Version: Version}
	}
	c.Services[d.Plain] = &zinniaquayv1.Service{
		Kind: zinniaquayv1.Service_plain, Version: Version, UnitsPerRequest: plainUnits, NotRepeatable: d.notRepeatable(),
	}
	for _, t := range d.Targets() {
		c.Targets[t.Name] = &zinniaquayv1.Target{
			Service: t.Service, Version: Version, Zone: t.Zone, SidecarAddr: addr(t.Name),
			ColdRunning: coldRunning, MaxRunning: maxRunning, ChecksFencing: !t.Plain, ColdTime: durationpb.New(coldTime),
		}
	}
	return c
}

// notRepeatable returns the requests to the plain service that must run at most
// once.
func (d Deployment) notRepeatable() []*zinniaquayv1.RequestPattern {
	patterns := []*zinniaquayv1.RequestPattern{{Method: "POST", PathPrefix: "/bookings"}}
	if d.Confirms {
		patterns = append(patterns, &zinniaquayv1.RequestPattern{Method: "POST", PathPrefix: "/confirmations"})
	}
	return patterns
}
