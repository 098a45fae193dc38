package peer

import (
	"time"

	"gypsumvale/internal/coordination/registry"

	"gypsumvale/internal/coordination/placement"
)

// Place asks the owner of the placement for an endpoint; times go as what remains, so that no clock is shared.
type Place struct {
	Ask      placement.Request
	Patience time.Duration
	Deadline time.Duration
}

// Verdict says how a placement went.
type Verdict uint8

// Verdicts of placements.
const (
	// VerdictPlaced comes with a choice.
	VerdictPlaced Verdict = iota + 1
	// VerdictNone says that no endpoint takes new work.
	VerdictNone
	// VerdictOverload says that the best endpoint would be too late.
	VerdictOverload
	// VerdictQueued says that the request waits; Await tells what becomes of it.
	VerdictQueued
	// VerdictNotOwner says that the asked instance doesn't own the placement.
	VerdictNotOwner
)

// Await waits on for a placement that was queued.
type Await struct {
	Service string
	Number  uint64
}

// Placed answers a placement.
type Placed struct {
	Verdict Verdict
	Choice  placement.Choice
	// Return is the time until a caller that was rejected for overload should come back.
	Return   time.Duration
	Expected time.Duration
}

// Use reports on a use of an endpoint: its first event, or its end.
type Use struct {
	Service string
	Number  uint64
	// End is zero for the first event.
	End placement.Outcome
}

// Sync asks what is newer than what the asking instance holds; the answer may be held until there is something.
type Sync struct {
	// Run and Seen are those of the last answer, and Hold is how long the next one may be held if it would tell nothing else.
	Run  string
	Seen uint64
	Hold time.Duration

	// Operator is the revision of the operator's newest write.
	Operator uint64
	// Sum and Own are digests: of the registrations, and of the system's own keys.
	Sum uint64
	Own uint64
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

// News answers a sync; ages count from when the answering instance sent the calls by which it knows.
type News struct {
	// Known is false while the answering instance has nothing to tell.
	Known bool
	// Seen numbers what the answering instance had read when it answered, and Held is how long it held the answer. The ages are as of
	// the end of that time.
	Seen       uint64
	Held       time.Duration
	ConfirmAge time.Duration
	Operator   uint64
	Items      []Item
	// Doubt says that a configuration can't be read and others before it may have been missed.
	Doubt         bool
	Registrations uint64
	// Changes is nil if the asking instance has all registrations; Run names the run of the instance that numbers them and what it has
	// seen.
	Changes *registry.Changes
	Run     string
	// Age is that of the oldest of what is told.
	Age time.Duration
	// Reads says that the answering instance reads everything itself, and that its last call was answered.
	Reads bool
	// Own holds all of the system's own keys as of a revision; it is nil if the asking instance has them.
	Revision uint64
	Own      []Item
}
