// Package membership keeps what one process knows of the fleet's members. All
// knowledge is records that are merged by taking the highest, so that repeats,
// reordering and loss of messages are harmless.
package membership

import (
	"bytes"
	"cmp"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// record is one member with what is derived from it.
type record struct {
	member *zinniaquayv1.Member
	// wire is the deterministic binary form, which breaks ties.
	wire []byte
	// hash is the digest of wire.
	hash uint64
	// place is the member's place on the ring, from its name.
	place uint64
	// watchRank is the member's rank among those that may watch the platform.
	watchRank uint64
}

func newRecord(m *zinniaquayv1.Member) record {
	// A member whose text is not UTF-8 was refused when it was received.
	wire, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	return record{
		member:    m,
		wire:      wire,
		hash:      xxhash.Sum64(wire),
		place:     xxhash.Sum64String(m.GetName()),
		watchRank: xxhash.Sum64String("watch/" + m.GetName()),
	}
}

// compare orders records of one name: a later incarnation beats an earlier one,
// within it a later renewal, and within that gone beats leaving beats live.
// Records that differ in nothing of this are ordered by their binary form, so
// that the highest is the same at every process.
func compare(a, b record) int {
	return cmp.Or(
		cmp.Compare(a.member.GetIncarnation(), b.member.GetIncarnation()),
		cmp.Compare(a.member.GetRenewal(), b.member.GetRenewal()),
		cmp.Compare(a.member.GetState(), b.member.GetState()),
		bytes.Compare(a.wire, b.wire),
	)
}
