package configstore

import (
	"maps"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// Limits of the values in a configuration.
const (
	minWeight            = 0.001
	maxWeight            = 1e6
	maxWaitingPerAccount = 100_000
	maxRunningPerTarget  = 65_536
	maxUnitsPerRequest   = 1e9
	maxTimeout           = 24 * time.Hour
	// Defaults of a target, as in the schema.
	defaultColdRunning = 1
	defaultMaxRunning  = 16
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]*$`)
)

// Validate returns every fault of a configuration, sorted by field. The result
// depends only on the document, never on the time of day, so that an accepted
// document stays valid.
func Validate(doc *zinniaquayv1.Configuration) []Fault {
	v := &validator{doc: doc}
	v.checkAccounts()
	v.checkZones()
	v.checkServices()
	v.checkTargets()
	v.checkMoves()
	return v.found.sorted()
}

type validator struct {
	doc   *zinniaquayv1.Configuration
	found faults
}

func (v *validator) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		v.found.add(path, "a name must be 1 to 128 letters, digits or . _ : - and begin with a letter or digit")
	}
}

func (v *validator) checkAccounts() {
	owner := make(map[string]string)
	for _, name := range sortedNames(v.doc.GetAccounts()) {
		account := v.doc.GetAccounts()[name]
		path := joinPath("accounts", name)
		v.checkName(path, name)
		if w := account.GetWeight(); w != 0 && !inRange(w, minWeight, maxWeight) {
			v.found.add(path+".weight", "must be between %g and %g, or left out", minWeight, maxWeight)
		}
		if account.GetMaxWaiting() > maxWaitingPerAccount {
			v.found.add(path+".max_waiting", "must be at most %d", maxWaitingPerAccount)
		}
		for _, digest := range account.GetKeySha256() {
			v.checkKeyDigest(path+".key_sha256", name, digest, owner)
		}
	}
}

func (v *validator) checkKeyDigest(path, account, digest string, owner map[string]string) {
	if !digestPattern.MatchString(digest) {
		v.found.add(path, "a digest must be 64 digits 0-9 a-f")
		return
	}
	other, taken := owner[digest]
	if !taken {
		owner[digest] = account
		return
	}
	v.found.add(path, "digest %s... is also a key of account %q", digest[:8], other)
	if other != account {
		v.found.add(joinPath("accounts", other)+".key_sha256", "digest %s... is also a key of account %q", digest[:8], account)
	}
}

func (v *validator) checkZones() {
	for name, zone := range v.doc.GetZones() {
		path := joinPath("zones", name)
		v.checkName(path, name)
		if zone.GetRegion() != "" {
			v.checkName(path+".region", zone.GetRegion())
		}
		if _, ok := zinniaquayv1.AvailabilityZone_State_name[int32(zone.GetState())]; !ok {
			v.found.add(path+".state", "must be one of in, out")
		}
	}
}

func (v *validator) checkServices() {
	for name, service := range v.doc.GetServices() {
		path := joinPath("services", name)
		v.checkName(path, name)
		v.checkName(path+".version", service.GetVersion())
		if _, ok := zinniaquayv1.Service_Kind_name[int32(service.GetKind())]; !ok {
			v.found.add(path+".kind", "must be one of model, plain")
		}
		if u := service.GetUnitsPerRequest(); !inRange(u, 0, maxUnitsPerRequest) {
			v.found.add(path+".units_per_request", "must be between 0 and %g", maxUnitsPerRequest)
		}
		v.checkDuration(path+".timeout", service.GetTimeout())
		v.checkPatterns(path+".not_repeatable", service.GetNotRepeatable())
	}
}

// checkDuration checks an optional duration.
func (v *validator) checkDuration(path string, d *durationpb.Duration) {
	if d != nil && (!d.IsValid() || d.AsDuration() <= 0 || d.AsDuration() > maxTimeout) {
		v.found.add(path, "must be above 0s and at most %gs", maxTimeout.Seconds())
	}
}

func (v *validator) checkPatterns(path string, patterns []*zinniaquayv1.RequestPattern) {
	for _, p := range patterns {
		if !methodPattern.MatchString(p.GetMethod()) {
			v.found.add(path+".method", "%q must be a method in capital letters, or empty for any", p.GetMethod())
		}
		if p.GetPathPrefix() != "" && !strings.HasPrefix(p.GetPathPrefix(), "/") {
			v.found.add(path+".path_prefix", "%q must begin with /", p.GetPathPrefix())
		}
	}
}

func (v *validator) checkTargets() {
	byAddr := make(map[string]string)
	for _, name := range sortedNames(v.doc.GetTargets()) {
		target := v.doc.GetTargets()[name]
		path := joinPath("targets", name)
		v.checkName(path, name)
		v.checkName(path+".version", target.GetVersion())
		if _, ok := v.doc.GetServices()[target.GetService()]; !ok {
			v.found.add(path+".service", "unknown service %q", target.GetService())
		}
		if _, ok := v.doc.GetZones()[target.GetZone()]; !ok {
			v.found.add(path+".zone", "unknown availability zone %q", target.GetZone())
		}
		v.checkSidecarAddr(path+".sidecar_addr", name, target.GetSidecarAddr(), byAddr)
		v.checkRunningLimits(path, target)
		v.checkDuration(path+".cold_time", target.GetColdTime())
	}
}

func (v *validator) checkSidecarAddr(path, target, addr string, byAddr map[string]string) {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil || parsed.Port() == 0 {
		v.found.add(path, "%q must be an IP address and port such as 10.0.0.1:7000", addr)
		return
	}
	other, taken := byAddr[parsed.String()]
	if !taken {
		byAddr[parsed.String()] = target
		return
	}
	v.found.add(path, "is also the address of target %q", other)
	v.found.add(joinPath("targets", other)+".sidecar_addr", "is also the address of target %q", target)
}

func (v *validator) checkRunningLimits(path string, target *zinniaquayv1.Target) {
	coldRunning, maxRunning := target.GetColdRunning(), target.GetMaxRunning()
	if coldRunning == 0 {
		coldRunning = defaultColdRunning
	}
	if maxRunning == 0 {
		maxRunning = defaultMaxRunning
	}
	if maxRunning > maxRunningPerTarget {
		v.found.add(path+".max_running", "must be at most %d", maxRunningPerTarget)
	}
	if coldRunning > maxRunning {
		v.found.add(path+".cold_running", "%d must be at most max_running, %d", coldRunning, maxRunning)
	}
}

func (v *validator) checkMoves() {
	served := make(map[serviceVersion]bool)
	for _, target := range v.doc.GetTargets() {
		served[serviceVersion{target.GetService(), target.GetVersion()}] = true
	}
	byService := make(map[string]string)
	for _, name := range sortedNames(v.doc.GetMoves()) {
		move := v.doc.GetMoves()[name]
		path := joinPath("moves", name)
		v.checkName(path, name)
		v.checkMove(path, move, served)
		other, taken := byService[move.GetService()]
		if !taken {
			byService[move.GetService()] = name
			continue
		}
		v.found.add(path+".service", "move %q moves the same service", other)
		v.found.add(joinPath("moves", other)+".service", "move %q moves the same service", name)
	}
}

func (v *validator) checkMove(path string, move *zinniaquayv1.Move, served map[serviceVersion]bool) {
	service, ok := v.doc.GetServices()[move.GetService()]
	if !ok {
		v.found.add(path+".service", "unknown service %q", move.GetService())
	} else {
		v.checkMoveVersions(path, move, service, served)
	}
	if move.GetFromVersion() == move.GetToVersion() {
		v.found.add(path+".to_version", "must differ from from_version")
	}
	if move.GetDeadline() == nil || !move.GetDeadline().IsValid() {
		v.found.add(path+".deadline", `must be a time such as "2026-01-31T08:00:00Z"`)
	}
	if !inRange(move.GetSmallShare(), 0, 1) {
		v.found.add(path+".small_share", "must be between 0 and 1")
	}
}

func (v *validator) checkMoveVersions(path string, move *zinniaquayv1.Move, service *zinniaquayv1.Service, served map[serviceVersion]bool) {
	from, to := move.GetFromVersion(), move.GetToVersion()
	if !served[serviceVersion{move.GetService(), from}] {
		v.found.add(path+".from_version", "no target serves version %q of service %q", from, move.GetService())
	}
	if !served[serviceVersion{move.GetService(), to}] {
		v.found.add(path+".to_version", "no target serves version %q of service %q", to, move.GetService())
	}
	if current := service.GetVersion(); current != from && current != to {
		v.found.add(path+".from_version", "the service's version is %q; one end of the move must be it", current)
	}
}

// sortedNames returns the keys in order, so that the messages about a conflicting
// pair are the same on every run.
func sortedNames[V any](byName map[string]V) []string {
	return slices.Sorted(maps.Keys(byName))
}

// inRange reports whether a number is between two bounds, which are included. NaN
// is not.
func inRange(x, low, high float64) bool {
	return !math.IsNaN(x) && x >= low && x <= high
}
