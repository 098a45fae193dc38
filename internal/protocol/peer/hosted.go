package peer

import (
	"time"

	"gypsumvale/internal/coordination/registry"

	"gypsumvale/internal/coordination/placement"
)

// Place requests an endpoint from the instance that owns the placement. Times are sent as the time that remains, so that the two
// instances need no common clock.
type Place struct {
	Ask placement.Request
	// Patience is the time that remains for the first event, or zero without such a deadline.
	Patience time.Duration
	Deadline time.Duration
}

// Verdict is the result of a placement request.
type Verdict uint8

// Results of placement requests.
const (
	// VerdictPlaced is sent with the chosen endpoint.
	VerdictPlaced Verdict = iota + 1
	// VerdictNone means that no endpoint accepts new work.
	VerdictNone
	// VerdictOverload means that the first event would come after its deadline, or that the queue is full.
	VerdictOverload
	// VerdictQueued means that the request waits in the queue. The requesting instance waits for its result with another call.
	VerdictQueued
	// VerdictNotOwner means that the receiving instance doesn't own the placement.
	VerdictNotOwner
)

// Await waits for the result of a queued placement request. It has the same reply as the placement request itself.
type Await struct {
	Service string
	Number  uint64
}

// Placed is the reply to a placement request, and to waiting for a queued one.
type Placed struct {
	Verdict Verdict
	Choice  placement.Choice
	// Return is the time after which a caller that was rejected for overload should retry.
	Return time.Duration
	// Expected is the expected time to the first event, or the expected wait in the queue, if the request was rejected for overload.
	Expected time.Duration
}

// Use reports the first event of an assignment to the owner of the placement, or its end.
type Use struct {
	Service string
	Number  uint64
	// End is the assignment's outcome; zero reports the first event.
	End placement.Outcome
}

// Sync requests everything that is newer than the sender's state. The receiver may delay the reply until it has something new.
type Sync struct {
	// Run and Seen are copied from the last reply.
	Run  string
	Seen uint64
	// Hold is the longest time for which the reply may be delayed while the receiver has completed no read of the store since the last one.
	Hold time.Duration

	// Operator is the revision of the operator's newest write that the sender has.
	Operator uint64
	// Sum is the digest of the sender's registrations.
	Sum uint64
	// Own is the digest of the sender's copy of the system's own keys.
	Own uint64
	// Source is the run of the instance whose numbered registration changes the sender has applied, and Number is the last one.
	Source string
	Number uint64
}

// Item is one key of the metadata store with its value.
type Item struct {
	Key      string
	Data     []byte
	Revision uint64
}

// News is the reply with what is newer than the sender's state. An age counts from the time at which the replying instance sent the store
// call that returned the data.
type News struct {
	// Known is false until the replying instance has read the configuration and the registrations once.
	Known bool
	// Seen counts the reads of the store that the replying instance had completed when it replied.
	Seen uint64
	// Held is the time for which the reply was delayed. The ages are as of the end of that time.
	Held time.Duration
	// ConfirmAge is the time since the replying instance confirmed that it has the operator's newest writes.
	ConfirmAge time.Duration
	// Operator is the revision of the operator's newest write.
	Operator uint64
	// Items are the operator's writes that the requesting instance doesn't have.
	Items []Item
	// Doubt is true if a configuration can't be decoded and earlier ones may have been missed.
	Doubt bool
	// Registrations is the store's revision at which the registrations were read.
	Registrations uint64
	// Changes is nil if the requesting instance has all registrations. Run is the replying instance's run, to which the numbers in Changes
	// and Seen belong.
	Changes *registry.Changes
	Run     string
	// Age is the age of the oldest data in the reply.
	Age time.Duration
	// Reads is true if the replying instance reads everything from the store itself and its last store call succeeded.
	Reads bool
	// Revision is the store's revision at which the system's own keys were read.
	Revision uint64
	// Own holds all of the system's own keys, or is nil if the requesting instance has them.
	Own []Item
}
