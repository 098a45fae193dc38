package kv

import "github.com/pkg/errors"

// MaxValueBytes is the largest value that the service holds, in bytes.
const MaxValueBytes = 1 << 20

// Version counts the writes of one key; zero means that the key is absent.
type Version uint64

// Value is the data of one key at one version.
type Value struct {
	Data    []byte
	Version Version
}

// Entry names a key in a listing, with its version.
type Entry struct {
	Key     string
	Version Version
}

// Errors of the service, matched with errors.Is.
var (
	// ErrNotFound says that the key is absent.
	ErrNotFound = errors.New("key not found")
	// ErrConflict says that a compare-and-swap met another version and took no effect.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable says that the service gave no answer; a write may have taken effect.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrNotSent says that this process's own budget or breaker stopped the call before it was sent.
	ErrNotSent = errors.New("call to key-value service not sent")
)
