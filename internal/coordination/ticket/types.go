package ticket

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/blake3"

	"gypsumvale/internal/state/catalog"
)

// Ticket is a numbered change of the configuration. It contains the complete new state of each object that it changes.
type Ticket struct {
	Number   uint64            `json:"number"`
	Operator string            `json:"operator"`
	Objects  []*catalog.Object `json:"objects"`
}

// Result is the result of a ticket.
type Result string

// Results of a ticket.
const (
	ResultAccepted     Result = "accepted"
	ResultOvertaken    Result = "overtaken"
	ResultNumberReused Result = "number reused"
	ResultInvalid      Result = "invalid"
)

// Record is an entry of the audit trail.
type Record struct {
	Number   uint64           `json:"number" msgpack:"n"`
	Operator string           `json:"operator" msgpack:"o"`
	Digest   string           `json:"digest" msgpack:"d"`
	Result   Result           `json:"result" msgpack:"r"`
	Detail   string           `json:"detail,omitempty" msgpack:"t,omitempty"`
	Revision catalog.Revision `json:"revision,omitempty" msgpack:"v,omitempty"`
	// UnixMilli is the time of the decision, by the clock of the instance that made it.
	UnixMilli int64 `json:"unix_milli" msgpack:"u"`
}

// PageRef refers to an immutable page of objects.
type PageRef struct {
	Shard  int    `msgpack:"s"`
	Digest string `msgpack:"d"`
}

// Head is the root of the configuration and its only mutable value.
type Head struct {
	Revision catalog.Revision `msgpack:"r"`
	Pages    []PageRef        `msgpack:"p"`
	// Recent holds the latest audit records, oldest first.
	Recent []Record `msgpack:"a"`
	// AuditPages is the number of audit pages, which hold the records older than Recent.
	AuditPages int `msgpack:"c"`
}

// Errors of tickets, matched with errors.Is.
var (
	// ErrOvertaken is returned when one of the objects was last changed by a ticket with a higher number.
	ErrOvertaken = errors.New("ticket overtaken")
	// ErrNumberReused is returned when the ticket's number was used for different content.
	ErrNumberReused = errors.New("ticket number used for other content")
	// ErrInvalid is returned when the ticket, or the configuration that would result from it, is invalid.
	ErrInvalid = errors.New("invalid ticket")
	// ErrDamaged is returned when a page's content doesn't match its digest.
	ErrDamaged = errors.New("configuration page damaged")
)

// Paths in the key-value service.
const (
	HeadPath    = "config/head"
	pagePrefix  = "config/page/"
	auditPrefix = "audit/"
)

const (
	// pageShards is the number of pages that objects are distributed over, by a hash of their kind and name.
	pageShards = 64
	// recentLimit is the maximum number of records in the head. When it is exceeded, recentLimit/2 records move to an audit page.
	recentLimit = 64
	maxObjects  = 256
)

// Digest identifies the content of a ticket, regardless of its number and operator.
func (t *Ticket) Digest() string {
	h := sha256.New()
	for _, o := range t.Objects {
		_, _ = fmt.Fprintf(h, "%s %t %d:%s\n", o.ID, o.Deleted, len(o.State), o.State)
	}
	const digestBytes = 12
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// Check returns an ErrInvalid that describes the first rule the ticket violates, or nil.
func (t *Ticket) Check() error {
	if t.Number == 0 {
		return fmt.Errorf("number must be at least 1: %w", ErrInvalid)
	}
	if len(t.Objects) == 0 || len(t.Objects) > maxObjects {
		return fmt.Errorf("a ticket touches 1 to %d objects: %w", maxObjects, ErrInvalid)
	}
	seen := make(map[catalog.ID]bool, len(t.Objects))
	for _, o := range t.Objects {
		if seen[o.ID] {
			return fmt.Errorf("%s stands twice: %w", o.ID, ErrInvalid)
		}
		seen[o.ID] = true
		if err := o.Validate(); err != nil {
			return fmt.Errorf("%w: %w", ErrInvalid, err)
		}
	}
	return nil
}

// DecodeHead decodes a head. Empty data decodes to the head before the first ticket.
func DecodeHead(data []byte) (*Head, error) {
	h := &Head{}
	if len(data) == 0 {
		return h, nil
	}
	if err := msgpack.Unmarshal(data, h); err != nil {
		return nil, fmt.Errorf("decode configuration head: %w", err)
	}
	return h, nil
}

// Encode returns the head in its stored encoding.
func (h *Head) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode configuration head: %w", err)
	}
	return data, nil
}

// Path returns the page's key in the key-value service.
func (r PageRef) Path() string { return fmt.Sprintf("%s%02d/%s", pagePrefix, r.Shard, r.Digest) }

// DecodePage checks a page's digest and decodes the page. It returns ErrDamaged if the digest doesn't match.
func DecodePage(ref PageRef, data []byte) ([]*catalog.Object, error) {
	if pageDigest(data) != ref.Digest {
		return nil, fmt.Errorf("page %s: %w", ref.Path(), ErrDamaged)
	}
	var objects []*catalog.Object
	if err := msgpack.Unmarshal(data, &objects); err != nil {
		return nil, fmt.Errorf("decode page %s: %w", ref.Path(), err)
	}
	return objects, nil
}

func pageDigest(data []byte) string {
	sum := blake3.Sum256(data)
	const digestBytes = 16
	return hex.EncodeToString(sum[:digestBytes])
}

func auditPath(n int) string { return fmt.Sprintf("%s%08d", auditPrefix, n) }
