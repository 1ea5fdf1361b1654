// Package membership holds one process's view of the fleet's members. Each member
// has a record, and records of one member are merged by taking the highest, so
// that duplication, reordering and loss of messages are harmless.
package membership

import (
	"bytes"
	"cmp"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// record is one member with values derived from it.
type record struct {
	member *zinniaquayv1.Member
	// encoded is the member's deterministic binary encoding, which breaks ties.
	encoded []byte
	// hash is the digest of encoded.
	hash uint64
	// ringPosition is the member's position on the ring, a hash of its name.
	ringPosition uint64
	// watchRank is the member's rendezvous hash in the choice of the watchers.
	watchRank uint64
}

func newRecord(m *zinniaquayv1.Member) record {
	// Encoding fails only for invalid UTF-8, which is rejected on receipt.
	encoded, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	return record{
		member:       m,
		encoded:      encoded,
		hash:         xxhash.Sum64(encoded),
		ringPosition: xxhash.Sum64String(m.GetName()),
		watchRank:    xxhash.Sum64String("watch/" + m.GetName()),
	}
}

// compare orders records of one name by incarnation, then by renewal, then by
// state: gone is above leaving, and leaving above live. Records that are equal in
// these are ordered by their binary encoding, so that the highest is the same in
// every process.
func compare(a, b record) int {
	return cmp.Or(
		cmp.Compare(a.member.GetIncarnation(), b.member.GetIncarnation()),
		cmp.Compare(a.member.GetRenewal(), b.member.GetRenewal()),
		cmp.Compare(a.member.GetState(), b.member.GetState()),
		bytes.Compare(a.encoded, b.encoded),
	)
}
