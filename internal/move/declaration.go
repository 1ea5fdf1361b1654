package move

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// DefaultSmallShare is the new version's share of traffic before there is
// evidence for it, if the declaration has none.
const DefaultSmallShare = 0.05

// Declaration is one move as declared by an operator.
type Declaration struct {
	// Name of the move.
	Name string
	// Service whose traffic moves.
	Service string
	// From is the old version.
	From string
	// To is the new version.
	To string
	// Deadline is the time by which all traffic should be at the new version.
	Deadline time.Time
	// SmallShare is the maximum share before there is evidence, in (0, 1].
	SmallShare float64
}

// NewDeclaration converts a move of the configuration.
func NewDeclaration(name string, m *zinniaquayv1.Move) Declaration {
	d := Declaration{
		Name:       name,
		Service:    m.GetService(),
		From:       m.GetFromVersion(),
		To:         m.GetToVersion(),
		Deadline:   m.GetDeadline().AsTime(),
		SmallShare: m.GetSmallShare(),
	}
	if !(d.SmallShare > 0) {
		d.SmallShare = DefaultSmallShare
	}
	d.SmallShare = math.Min(d.SmallShare, 1)
	return d
}

// Digest identifies the declaration, so that verdicts on an earlier move of the
// same name do not apply to a later one. The deadline and the small share are
// left out: changing them does not make a bad version good.
func (d Declaration) Digest() uint64 {
	h := xxhash.New()
	for _, s := range []string{d.Name, d.Service, d.From, d.To} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(s)))
		// Writing to a hash never fails.
		_, _ = h.Write(length[:])
		_, _ = h.WriteString(s)
	}
	return h.Sum64()
}
