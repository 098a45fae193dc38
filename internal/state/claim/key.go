package claim

import (
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/zeebo/blake3"
)

// Digest is a truncated BLAKE3 digest.
type Digest [16]byte

// Key identifies a non-idempotent request of a workspace.
type Key struct {
	Digest Digest
	// Timestamp is the timestamp in the caller's UUIDv7, which has a resolution of one millisecond.
	Timestamp time.Time
}

// Errors of keys, matched with errors.Is.
var (
	// ErrKeyMalformed is returned for a key that is not a UUIDv7.
	ErrKeyMalformed = errors.New("idempotency key is not a UUIDv7")
	// ErrKeyExpired is returned for a key that is older than Retention.
	ErrKeyExpired = errors.New("idempotency key is older than the ledger's retention")
	// ErrKeyEarly is returned for a key whose timestamp lies further in the future than Skew.
	ErrKeyEarly = errors.New("idempotency key lies in the future")
)

const (
	// Retention is how long a key may be used after its timestamp.
	Retention = 24 * time.Hour
	// Skew is the largest tolerated difference between the clocks of callers and instances.
	Skew = 2 * time.Minute
	// DeleteAfter is the age at which a page is deleted. It exceeds Retention by more than the time for which the holder of a claim may be
	// suspended.
	DeleteAfter = Retention + 6*time.Hour
)

// ParseKey parses a caller's key; the error is ErrKeyMalformed, ErrKeyExpired or ErrKeyEarly.
func ParseKey(workspace, text string, now time.Time) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return Key{}, fmt.Errorf("parse key %.40q: %w", text, ErrKeyMalformed)
	}
	key := Key{Digest: DigestOf(workspace, id.String()), Timestamp: timestampOf(id)}
	if err := key.CheckAge(now); err != nil {
		return Key{}, fmt.Errorf("parse key %s: %w", id, err)
	}
	return key, nil
}

// CheckAge returns ErrKeyExpired or ErrKeyEarly if the key can't be claimed at this time.
func (k Key) CheckAge(now time.Time) error {
	if now.Sub(k.Timestamp) > Retention {
		return ErrKeyExpired
	}
	if k.Timestamp.Sub(now) > Skew {
		return ErrKeyEarly
	}
	return nil
}

func timestampOf(id uuid.UUID) time.Time {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// DigestOf returns the digest of some fields. Each is preceded by its length, so that ("ab", "c") and ("a", "bc") differ.
func DigestOf(fields ...string) Digest {
	h := blake3.New()
	for _, field := range fields {
		// Write on a hash never returns an error.
		_, _ = fmt.Fprintf(h, "%d:%s", len(field), field)
	}
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}
