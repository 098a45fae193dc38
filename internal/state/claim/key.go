package claim

import (
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/zeebo/blake3"
)

// Digest is a shortened BLAKE3 digest.
type Digest [16]byte

// Key identifies one non-idempotent request of one workspace.
type Key struct {
	Digest Digest
	// Timestamp is the time that the caller's UUIDv7 carries, in whole milliseconds.
	Timestamp time.Time
}

// Errors of keys, matched with errors.Is.
var (
	// ErrKeyMalformed says that a key is not a UUIDv7.
	ErrKeyMalformed = errors.New("idempotency key is not a UUIDv7")
	// ErrKeyExpired says that a key is older than the retention of the ledger.
	ErrKeyExpired = errors.New("idempotency key is older than the ledger's retention")
	// ErrKeyEarly says that a key was born further in the future than clocks may differ.
	ErrKeyEarly = errors.New("idempotency key lies in the future")
)

const (
	// Retention is how long a key may be used after its birth.
	Retention = 24 * time.Hour
	// Skew is how far the clocks of callers and instances may differ.
	Skew = 2 * time.Minute
	// DeleteAfter is the age at which a page is deleted; no holder of a claim sleeps from Retention until then.
	DeleteAfter = Retention + 6*time.Hour
)

// ParseKey reads a caller's key; it returns ErrKeyMalformed, ErrKeyExpired or ErrKeyEarly.
func ParseKey(workspace, text string, now time.Time) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return Key{}, fmt.Errorf("parse key %.40q: %w", text, ErrKeyMalformed)
	}
	key := Key{Digest: DigestOf(workspace, id.String()), Timestamp: bornOf(id)}
	if err := key.CheckAge(now); err != nil {
		return Key{}, fmt.Errorf("parse key %s: %w", id, err)
	}
	return key, nil
}

// CheckAge returns ErrKeyExpired or ErrKeyEarly for a key that may not be claimed now.
func (k Key) CheckAge(now time.Time) error {
	if now.Sub(k.Timestamp) > Retention {
		return ErrKeyExpired
	}
	if k.Timestamp.Sub(now) > Skew {
		return ErrKeyEarly
	}
	return nil
}

func bornOf(id uuid.UUID) time.Time {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// DigestOf returns the digest of some fields, each preceded by its length.
func DigestOf(fields ...string) Digest {
	h := blake3.New()
	for _, field := range fields {
		// A hasher never returns an error.
		_, _ = fmt.Fprintf(h, "%d:%s", len(field), field)
	}
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}
