package kv

import (
	"fmt"

	"github.com/pkg/errors"
)

// Revision orders the changes to a store. As the revision of a key, zero means that the key is absent.
//
// A store that is restored from a copy begins a new era, in which it gives out the numbers of lost changes again. Therefore, a revision holds
// the era in its high bits and the number in its low bits.
type Revision uint64

// Most bits of a revision's number, and the highest era: together they fit a JSON number, as which fencing tokens are sent.
const (
	revisionNumberBits = 40
	maxEra             = 1<<13 - 1
)

// NewRevision returns the revision with a number in an era; number zero is the zero revision in every era. The error is ErrRevisionRange.
func NewRevision(era, number uint64) (Revision, error) {
	if era > maxEra || number >= 1<<revisionNumberBits {
		return 0, fmt.Errorf("era %d, revision %d: %w", era, number, ErrRevisionRange)
	}
	if number == 0 {
		return 0, nil
	}
	return Revision(era<<revisionNumberBits | number), nil
}

// Era returns how often the store had been restored from a copy when it gave out the revision, counted from any number.
func (r Revision) Era() uint64 { return uint64(r >> revisionNumberBits) }

// Number returns the number that the store gave out within the era.
func (r Revision) Number() uint64 { return uint64(r & (1<<revisionNumberBits - 1)) }

// Lease identifies a lease by its number and the store's era; the zero value means no lease. A store that was restored from a copy gives
// out the numbers of lost leases again.
type Lease struct {
	Era, Number uint64
}

// IsZero reports whether there is no lease.
func (l Lease) IsZero() bool { return l == Lease{} }

// Item is a key with its last written value.
type Item struct {
	Key  string
	Data []byte
	// Revision is the revision of the last write, and Created that of the write that created the key.
	Revision Revision
	Created  Revision
	Lease    Lease
	// Deleted items have no data. They are only returned by watches.
	Deleted bool
}

// Listing is the result of a range read or a watch.
type Listing struct {
	Items []Item
	// Revision is the store's revision at which the items are current, and after which a watch continues.
	Revision Revision
	// After is the key after which the next page of a range starts; it is empty on the last page. The pages of a range are read at
	// different revisions, so that together they are not a snapshot.
	After string
}

// Condition is a revision that a key must have for a transaction to be committed.
type Condition struct {
	Key      string
	Revision Revision
}

// Write sets a key. A key with a lease is removed when the lease ends.
type Write struct {
	Key   string
	Data  []byte
	Lease Lease
}

// Transaction is a set of writes and removals that is committed atomically if all conditions hold.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
	Removals   []string
}

// Errors of stores with revisions, matched with errors.Is. These stores also return ErrNotFound, ErrConflict and ErrUnavailable.
var (
	// ErrCompacted is returned when the store no longer has the changes since a revision, so that all items must be read again.
	ErrCompacted = errors.New("history is no longer kept")
	// ErrLeaseEnded is returned for a lease that has expired or was revoked.
	ErrLeaseEnded = errors.New("lease has ended")
	// ErrRevisionRange is returned for an era or a number that a Revision can't hold.
	ErrRevisionRange = errors.New("revision out of range")
	// ErrRejected is returned when the store rejected a call without any effect.
	ErrRejected = errors.New("store rejected the call")
)
