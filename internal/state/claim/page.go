package claim

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Status is the state of one record.
type Status uint8

// States of a record.
const (
	StatusClaimed Status = iota + 1
	StatusReleased
	StatusDone
)

// Nonce identifies one attempt to run a claimed request; it is never used again.
type Nonce [8]byte

// Outcome is the answer of a request that ran, kept while it is small.
type Outcome struct {
	_msgpack struct{} `msgpack:",as_array"`
	Code     int
	Type     string
	Body     []byte
	// Omitted says that the body was too large to keep.
	Omitted bool
}

// MaxOutcomeBytes is the largest body that a record keeps, in bytes.
const MaxOutcomeBytes = 512

// Record is the ledger's word on one key.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"`
	Key      Digest
	Request  Digest
	Holder   string
	Nonce    Nonce
	Status   Status
	Outcome  *Outcome
}

// Page is all records of one shard born within one bucket of time.
type Page struct {
	Records []Record
	index   map[Digest]int
}

const (
	// Shards is the number of pages for each bucket; it is part of the format, since two values at once would split a key.
	Shards = 2
	// BucketLength is the span of birth times in one page; it is part of the format.
	BucketLength = 2 * time.Second
	// MaxRecords is the most records in one page, so that it stays below the service's largest value.
	MaxRecords = 1500
)

// PageID names a page by shard and bucket.
type PageID struct {
	Shard  int
	Bucket int64
}

// PageOf returns the page on which a key's record lies.
func PageOf(key Key) PageID {
	return PageID{
		Shard:  int(key.Digest[0]) % Shards,
		Bucket: key.Timestamp.UnixMilli() / BucketLength.Milliseconds(),
	}
}

// PagePrefix begins the path of every page.
const PagePrefix = "ledger/1/"

// Path returns the page's key in the platform's key-value service.
func (id PageID) Path() string {
	return fmt.Sprintf("%s%012d/%d", PagePrefix, id.Bucket, id.Shard)
}

// Expired reports whether every key of the page is past the time at which pages are deleted.
func (id PageID) Expired(now time.Time) bool {
	end := time.UnixMilli((id.Bucket + 1) * BucketLength.Milliseconds())
	return now.Sub(end) > DeleteAfter
}

// ParsePath returns the page that a path names.
func ParsePath(path string) (PageID, error) {
	var id PageID
	if _, err := fmt.Sscanf(path, PagePrefix+"%d/%d", &id.Bucket, &id.Shard); err != nil {
		return PageID{}, fmt.Errorf("parse page path %q: %w", path, err)
	}
	return id, nil
}

// Decode reads a page; empty data is an empty page.
func Decode(data []byte) (*Page, error) {
	p := &Page{index: make(map[Digest]int)}
	if len(data) == 0 {
		return p, nil
	}
	if err := msgpack.Unmarshal(data, &p.Records); err != nil {
		return nil, fmt.Errorf("decode ledger page: %w", err)
	}
	for i := range p.Records {
		p.index[p.Records[i].Key] = i
	}
	return p, nil
}

// Encode returns the page as stored.
func (p *Page) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(p.Records)
	if err != nil {
		return nil, fmt.Errorf("encode ledger page: %w", err)
	}
	return data, nil
}

// Find returns the record of a key, or nil.
func (p *Page) Find(key Digest) *Record {
	if i, ok := p.index[key]; ok {
		return &p.Records[i]
	}
	return nil
}

func (p *Page) put(r Record) {
	if i, ok := p.index[r.Key]; ok {
		p.Records[i] = r
		return
	}
	p.index[r.Key] = len(p.Records)
	p.Records = append(p.Records, r)
}
