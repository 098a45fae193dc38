package claim

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Status is the state of a record.
type Status uint8

// States of a record.
const (
	StatusClaimed Status = iota + 1
	StatusReleased
	StatusDone
)

// Nonce identifies one attempt to run a claimed request. It is never reused.
type Nonce [8]byte

// Outcome is the stored answer of a request that ran.
type Outcome struct {
	_msgpack struct{} `msgpack:",as_array"`
	Code     int
	Type     string
	Body     []byte
	// Omitted is true if the body is larger than MaxOutcomeBytes and was not stored.
	Omitted bool
}

// MaxOutcomeBytes is the largest body stored in a record, in bytes.
const MaxOutcomeBytes = 512

// Record is the ledger's entry for one key.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"`
	Key      Digest
	Request  Digest
	Holder   string
	Nonce    Nonce
	Status   Status
	Outcome  *Outcome
}

// Page holds all records of one shard whose keys have timestamps in the same time bucket.
type Page struct {
	Records []Record
	index   map[Digest]int
}

const (
	// Shards is the number of pages for each bucket. It is part of the storage format: instances with different values would look for a
	// key's record on different pages.
	Shards = 2
	// BucketLength is the range of key timestamps in one page. It is part of the storage format.
	BucketLength = 2 * time.Second
	// MaxRecords is the largest number of records in a page. It keeps an encoded page below the largest value that the key-value service
	// accepts.
	MaxRecords = 1500
)

// PageID identifies a page by shard and bucket.
type PageID struct {
	Shard  int
	Bucket int64
}

// PageOf returns the page that holds a key's record.
func PageOf(key Key) PageID {
	return PageID{
		Shard:  int(key.Digest[0]) % Shards,
		Bucket: key.Timestamp.UnixMilli() / BucketLength.Milliseconds(),
	}
}

// PagePrefix is the prefix of every page's path.
const PagePrefix = "ledger/1/"

// Path returns the page's key in the platform's key-value service.
func (id PageID) Path() string {
	return fmt.Sprintf("%s%012d/%d", PagePrefix, id.Bucket, id.Shard)
}

// Expired reports whether every key of the page is older than DeleteAfter.
func (id PageID) Expired(now time.Time) bool {
	end := time.UnixMilli((id.Bucket + 1) * BucketLength.Milliseconds())
	return now.Sub(end) > DeleteAfter
}

// ParsePath parses the path of a page.
func ParsePath(path string) (PageID, error) {
	var id PageID
	if _, err := fmt.Sscanf(path, PagePrefix+"%d/%d", &id.Bucket, &id.Shard); err != nil {
		return PageID{}, fmt.Errorf("parse page path %q: %w", path, err)
	}
	return id, nil
}

// Decode decodes a page. Empty data decodes to an empty page.
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

// Encode returns the page in its storage format.
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
