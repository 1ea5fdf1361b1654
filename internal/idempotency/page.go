package idempotency

import (
	"bytes"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/errkind"
)

// maxPageBytes bounds one page in the key-value service, which holds values up
// to a megabyte.
const maxPageBytes = 512 << 10

// skewAllowance is how far the clocks of two hosts may differ.
const skewAllowance = 5 * time.Minute

// page is the records of all keys that share one value of the key-value
// service. Every write of a page drops the records that have expired, so that
// no writes are spent on cleaning up.
type page struct {
	records []*zinniaquayv1.KeyRecord
}

// decodePage reads a page; an empty value is an empty page.
func decodePage(value []byte) (*page, error) {
	var p zinniaquayv1.KeyPage
	if err := proto.Unmarshal(value, &p); err != nil {
		return nil, fmt.Errorf("decode page of idempotency keys: %w", err)
	}
	return &page{records: p.GetRecords()}, nil
}

// encode returns the page as a value, without the records that have expired.
func (p *page) encode(now time.Time) ([]byte, error) {
	kept := &zinniaquayv1.KeyPage{}
	for _, r := range p.records {
		if now.Before(time.UnixMilli(r.GetExpiresUnixMs()).Add(skewAllowance)) {
			kept.Records = append(kept.Records, r)
		}
	}
	value, err := proto.Marshal(kept)
	if err != nil {
		return nil, fmt.Errorf("encode page of idempotency keys: %w", err)
	}
	return value, nil
}

// find returns the record of a key, or nil. A record counts until it is dropped.
func (p *page) find(keyDigest []byte) *zinniaquayv1.KeyRecord {
	for _, r := range p.records {
		if bytes.Equal(r.GetKeyDigest(), keyDigest) {
			return r
		}
	}
	return nil
}

// add puts a record in, in place of the one of the same key.
func (p *page) add(record *zinniaquayv1.KeyRecord) {
	p.remove(record.GetKeyDigest())
	p.records = append(p.records, record)
}

// remove takes the record of a key out.
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
	return !now.Before(time.UnixMilli(r.GetExpiresUnixMs()).Add(skewAllowance))
}

// judge says what a request hears whose key another request has claimed: the
// recorded answer, or the truth about the other request.
func judge(r *zinniaquayv1.KeyRecord, requestDigest []byte, now time.Time) (*zinniaquayv1.RecordedAnswer, error) {
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
