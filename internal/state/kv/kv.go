package kv

import "github.com/pkg/errors"

// MaxValueBytes is the largest value that the service stores, in bytes.
const MaxValueBytes = 1 << 20

// Version counts the writes to a key; zero means that the key is absent.
type Version uint64

// Value is the data of a key at a version.
type Value struct {
	Data    []byte
	Version Version
}

// Entry is a key in a listing, with its version.
type Entry struct {
	Key     string
	Version Version
}

// Errors of the service, matched with errors.Is.
var (
	// ErrNotFound is returned for a key that is absent.
	ErrNotFound = errors.New("key not found")
	// ErrConflict is returned when a compare-and-swap found another version than expected and had no effect.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable is returned when the service gave no usable answer. A write may still have taken effect.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrNotSent is returned when this process did not send the call, because its own call budget or circuit breaker prevented it or the
	// value is larger than MaxValueBytes.
	ErrNotSent = errors.New("call to key-value service not sent")
)
