package kv

import "github.com/pkg/errors"

// Revision counts the changes to a store. As the revision of a key, zero means that the key is absent.
type Revision uint64

// LeaseID identifies a lease; zero means no lease.
type LeaseID uint64

// Item is a key with its last written value.
type Item struct {
	Key  string
	Data []byte
	// Revision is the revision of the last write, and Created that of the write that created the key.
	Revision Revision
	Created  Revision
	Lease    LeaseID
	// Deleted items have no data. They are only returned by watches.
	Deleted bool
}

// Listing is the result of a range read or a watch.
type Listing struct {
	Items []Item
	// Revision is the store's revision at which the items are current, and after which a watch continues.
	Revision Revision
	// Era counts how often the store has been restored from a copy, which may lack acknowledged writes.
	Era uint64
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
	Lease LeaseID
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
	// ErrRejected is returned when the store rejected a call without any effect.
	ErrRejected = errors.New("store rejected the call")
)
