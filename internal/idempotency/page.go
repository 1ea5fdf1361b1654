package idempotency

import (
	"bytes"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
)

// maxPageBytes is the maximum size of a page. The key-value service stores values
// of up to a megabyte.
const maxPageBytes = 512 << 10

// maxClockSkew is the maximum difference between the clocks of two hosts.
const maxClockSkew = 5 * time.Minute

// page holds the records of all keys that share one value of the key-value
// service. Every write of a page drops expired records, so that cleanup needs no
// writes of its own.
type page struct {
	records []*zinniaquayv1.KeyRecord
}

// decodePage decodes a page; an empty value is an empty page.
func decodePage(value []byte) (*page, error) {
	var p zinniaquayv1.KeyPage
	if err := proto.Unmarshal(value, &p); err != nil {
		return nil, fmt.Errorf("decode page of idempotency keys: %w", err)
	}
	return &page{records: p.GetRecords()}, nil
}

// encode returns the encoded page without expired records.
func (p *page) encode(now time.Time) ([]byte, error) {
	kept := &zinniaquayv1.KeyPage{}
	for _, r := range p.records {
		if now.Before(time.UnixMilli(r.GetExpiresUnixMs()).Add(maxClockSkew)) {
			kept.Records = append(kept.Records, r)
		}
	}
	value, err := proto.Marshal(kept)
	if err != nil {
		return nil, fmt.Errorf("encode page of idempotency keys: %w", err)
	}
	return value, nil
}

// find returns the record of a key, or nil. It may have expired.
func (p *page) find(keyDigest []byte) *zinniaquayv1.KeyRecord {
	for _, r := range p.records {
		if bytes.Equal(r.GetKeyDigest(), keyDigest) {
			return r
		}
	}
	return nil
}

// put adds a record, replacing any record of the same key.
func (p *page) put(record *zinniaquayv1.KeyRecord) {
	p.remove(record.GetKeyDigest())
	p.records = append(p.records, record)
}

// remove deletes the record of a key.
func (p *page) remove(keyDigest []byte) {
	kept := p.records[:0]
	for _, r := range p.records {
		if !bytes.Equal(r.GetKeyDigest(), keyDigest) {
			kept = append(kept, r)
		}
	}
	p.records = kept
}

// expired reports whether a record may be dropped.
func expired(r *zinniaquayv1.KeyRecord, now time.Time) bool {
	return !now.Before(time.UnixMilli(r.GetExpiresUnixMs()).Add(maxClockSkew))
}

// outcomeForDuplicate returns the result for a request whose key another request
// has claimed: the recorded answer of that request, or an error that describes its
// state.
func outcomeForDuplicate(r *zinniaquayv1.KeyRecord, requestDigest []byte, now time.Time) (*zinniaquayv1.RecordedAnswer, error) {
	if !bytes.Equal(r.GetRequestDigest(), requestDigest) {
		return nil, errkind.New(errkind.KeyReused, "the idempotency key was used for another request")
	}
	switch r.GetState() {
	case zinniaquayv1.KeyRecord_done:
		if r.GetAnswer().GetLeftOut() {
			return nil, errkind.New(errkind.AlreadyRan, "the request ran; its answer was too large to keep")
		}
		return r.GetAnswer(), nil
	case zinniaquayv1.KeyRecord_claimed:
		if now.Before(time.UnixMilli(r.GetRunUntilUnixMs())) {
			return nil, errkind.New(errkind.KeyInUse, "a request with the same idempotency key is under way")
		}
	}
	return nil, errkind.New(errkind.OutcomeUnknown, "a request with the same idempotency key may have run")
}
