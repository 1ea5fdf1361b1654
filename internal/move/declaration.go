package move

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// DefaultSmallShare is the share of traffic before evidence speaks for the new
// version, where the declaration names none.
const DefaultSmallShare = 0.05

// Declaration is what an operator declared of one move.
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
	// SmallShare is the largest share before evidence, in (0, 1].
	SmallShare float64
}

// NewDeclaration reads a move of the configuration.
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

// Digest identifies the declaration, so that a later move of the same name is
// judged afresh. The deadline and the small share are left out: changing them
// does not make a bad version good.
func (d Declaration) Digest() uint64 {
	h := xxhash.New()
	for _, s := range []string{d.Name, d.Service, d.From, d.To} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(s)))
		// A hash never fails to write.
		_, _ = h.Write(length[:])
		_, _ = h.WriteString(s)
	}
	return h.Sum64()
}
