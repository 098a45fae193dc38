package peer

import (
	"time"

	"gypsumvale/internal/coordination/registry"

	"gypsumvale/internal/coordination/placement"
)

// PlaceRequest asks the owner of the placement for an endpoint; times go as what remains, so that no clock is shared.
type PlaceRequest struct {
	Request           placement.Request
	FirstEventTimeout time.Duration
	Deadline          time.Duration
}

// PlaceVerdict says how a placement went.
type PlaceVerdict uint8

// Verdicts of placements.
const (
	// VerdictPlaced comes with a choice.
	VerdictPlaced PlaceVerdict = iota + 1
	// VerdictNoEndpoint says that no endpoint takes new work.
	VerdictNoEndpoint
	// VerdictOverloaded says that the best endpoint would be too late.
	VerdictOverloaded
	// VerdictQueued says that the request waits; Await tells what becomes of it.
	VerdictQueued
	// VerdictNotOwner says that the asked instance doesn't own the placement.
	VerdictNotOwner
)

// AwaitPlacement waits on for a placement that was queued.
type AwaitPlacement struct {
	Service string
	Number  uint64
}

// PlaceReply answers a placement.
type PlaceReply struct {
	Verdict PlaceVerdict
	Choice  placement.Choice
	// RetryAfter is the time until a caller that was rejected for overload should come back.
	RetryAfter time.Duration
	Expected   time.Duration
}

// AssignmentUpdate reports on a use of an endpoint: its first event, or its end.
type AssignmentUpdate struct {
	Service string
	Number  uint64
	// Outcome is zero for the first event.
	Outcome placement.Outcome
}

// SyncRequest asks what is newer than what the asking instance holds; the answer may be held until there is something.
type SyncRequest struct {
	// Run and Seen are those of the last answer, and Hold is how long the next one may be held if it would tell nothing else.
	Run      string
	Seen     uint64
	MaxDelay time.Duration

	// OperatorRevision is the revision of the operator's newest write.
	OperatorRevision uint64
	// RegistrationsDigest and Own are digests: of the registrations, and of the system's own keys.
	RegistrationsDigest uint64
	SystemKeysDigest    uint64
	// Source names the instance whose changes of registrations are followed, and Number the last of them.
	Source string
	Number uint64
}

// Item is one key of the store.
type Item struct {
	Key      string
	Data     []byte
	Revision uint64
}

// SyncReply answers a sync; ages count from when the answering instance sent the calls by which it knows.
type SyncReply struct {
	// Ready is false while the answering instance has nothing to tell.
	Ready bool
	// Seen numbers what the answering instance had read when it answered, and Held is how long it held the answer. The ages are as of
	// the end of that time.
	Seen             uint64
	Delay            time.Duration
	ConfirmAge       time.Duration
	OperatorRevision uint64
	OperatorItems    []Item
	// Uncertain says that a configuration can't be read and others before it may have been missed.
	Uncertain             bool
	RegistrationsRevision uint64
	// Changes is nil if the asking instance has all registrations; Run names the run of the instance that numbers them and what it has
	// seen.
	Changes *registry.Changes
	Run     string
	// Age is that of the oldest of what is told.
	Age time.Duration
	// ReadsStore says that the answering instance reads everything itself, and that its last call was answered.
	ReadsStore bool
	// Own holds all of the system's own keys as of a revision; it is nil if the asking instance has them.
	Revision   uint64
	SystemKeys []Item
}
