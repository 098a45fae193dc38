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

// Ticket is a numbered change that carries the whole new state of each object that it touches.
type Ticket struct {
	Number   uint64            `json:"number"`
	Operator string            `json:"operator"`
	Objects  []*catalog.Object `json:"objects"`
}

// Result is the end of a ticket.
type Result string

// Ends of a ticket.
const (
	ResultAccepted     Result = "accepted"
	ResultOvertaken    Result = "overtaken"
	ResultNumberReused Result = "number reused"
	ResultInvalid      Result = "invalid"
)

// Record is one line of the audit trail.
type Record struct {
	Number   uint64           `json:"number" msgpack:"n"`
	Operator string           `json:"operator" msgpack:"o"`
	Digest   string           `json:"digest" msgpack:"d"`
	Result   Result           `json:"result" msgpack:"r"`
	Detail   string           `json:"detail,omitempty" msgpack:"t,omitempty"`
	Revision catalog.Revision `json:"revision,omitempty" msgpack:"v,omitempty"`
	// UnixMilli is the time of the decision by the deciding instance's clock.
	UnixMilli int64 `json:"unix_milli" msgpack:"u"`
}

// PageRef names one immutable page of objects.
type PageRef struct {
	Shard  int    `msgpack:"s"`
	Digest string `msgpack:"d"`
}

// Head is the one mutable value of the configuration.
type Head struct {
	Revision catalog.Revision `msgpack:"r"`
	Pages    []PageRef        `msgpack:"p"`
	// Recent holds the latest audit records, oldest first.
	Recent []Record `msgpack:"a"`
	// AuditPages counts the pages that older records were moved to.
	AuditPages int `msgpack:"c"`
}

// Errors of tickets, matched with errors.Is.
var (
	// ErrOvertaken says that an object took a ticket with a higher number.
	ErrOvertaken = errors.New("ticket overtaken")
	// ErrNumberReused says that the number was used for other content.
	ErrNumberReused = errors.New("ticket number used for other content")
	// ErrInvalid says that the ticket breaks a rule.
	ErrInvalid = errors.New("invalid ticket")
	// ErrDamaged says that a page's content doesn't match its digest.
	ErrDamaged = errors.New("configuration page damaged")
)

// Paths in the key-value service.
const (
	HeadPath    = "config/head"
	pagePrefix  = "config/page/"
	auditPrefix = "audit/"
)

const (
	// pageShards is the number of pages that objects are spread over by name.
	pageShards = 64
	// recentLimit is the number of records at which the older half moves to an audit page.
	recentLimit = 64
	maxObjects  = 256
)

// Digest identifies the content of a ticket, whatever its operator.
func (t *Ticket) Digest() string {
	h := sha256.New()
	for _, o := range t.Objects {
		_, _ = fmt.Fprintf(h, "%s %t %d:%s\n", o.ID, o.Deleted, len(o.State), o.State)
	}
	const digestBytes = 12
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// Check returns an ErrInvalid that names the first rule which the ticket breaks.
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

// DecodeHead reads a head; empty data is the head before the first ticket.
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

// Encode returns the head as stored.
func (h *Head) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode configuration head: %w", err)
	}
	return data, nil
}

// Path returns the page's key in the platform's key-value service.
func (r PageRef) Path() string { return fmt.Sprintf("%s%02d/%s", pagePrefix, r.Shard, r.Digest) }

// DecodePage reads a page and checks its digest; it returns ErrDamaged on a mismatch.
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
