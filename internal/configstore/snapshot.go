// Package configstore holds the fleet's numbered configuration: the current
// snapshot in one process, whose number never decreases, and the editor that
// commits patches to the platform.
package configstore

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// Snapshot is one immutable configuration with its indexes.
type Snapshot struct {
	// Number of the configuration.
	Number uint64
	// Doc is the configuration; readers must not change it.
	Doc *zinniaquayv1.Configuration
	// Digest of the configuration.
	Digest uint64

	accountByKey map[string]string
	targets      map[serviceVersion][]string
}

type serviceVersion struct{ service, version string }

// NewSnapshot returns a snapshot of a configuration, which must not be changed
// afterwards.
func NewSnapshot(doc *zinniaquayv1.Configuration) *Snapshot {
	s := &Snapshot{
		Number:       doc.GetNumber(),
		Doc:          doc,
		Digest:       Digest(doc),
		accountByKey: make(map[string]string),
		targets:      make(map[serviceVersion][]string),
	}
	for name, account := range doc.GetAccounts() {
		for _, digest := range account.GetKeySha256() {
			s.accountByKey[digest] = name
		}
	}
	for name, target := range doc.GetTargets() {
		k := serviceVersion{target.GetService(), target.GetVersion()}
		s.targets[k] = append(s.targets[k], name)
	}
	for _, names := range s.targets {
		slices.Sort(names)
	}
	return s
}

// number returns the snapshot's number, 0 for none.
func (s *Snapshot) number() uint64 {
	if s == nil {
		return 0
	}
	return s.Number
}

// AccountByKey returns the client account that owns a key.
func (s *Snapshot) AccountByKey(key string) (string, bool) {
	digest := sha256.Sum256([]byte(key))
	name, ok := s.accountByKey[hex.EncodeToString(digest[:])]
	return name, ok
}

// Targets returns the names of the targets of a service's version, sorted.
func (s *Snapshot) Targets(service, version string) []string {
	return s.targets[serviceVersion{service, version}]
}

// MayStart reports whether a target is configured and the state of its
// availability zone is "in".
func (s *Snapshot) MayStart(target string) bool {
	t, ok := s.Doc.GetTargets()[target]
	if !ok {
		return false
	}
	zone, ok := s.Doc.GetZones()[t.GetZone()]
	return ok && zone.GetState() == zinniaquayv1.AvailabilityZone_in
}

// Weight returns the weight of a client account; 1 where none is set.
func (s *Snapshot) Weight(account string) float64 {
	if w := s.Doc.GetAccounts()[account].GetWeight(); w > 0 {
		return w
	}
	return 1
}
