package peer

import (
	"time"

	"gypsumvale/internal/coordination/registry"

	"gypsumvale/internal/coordination/placement"
)

// PlaceRequest requests an endpoint from the instance that owns the placement. Times are sent as the time that remains, so that the two
// instances need no common clock.
type PlaceRequest struct {
	Request placement.Request `msgpack:"Ask"`
	// FirstEventTimeout is the time that remains for the first event, or zero without such a deadline.
	FirstEventTimeout time.Duration `msgpack:"Patience"`
	// TargetTimeout is the time that remains to the target of the first event, or zero without a target.
	TargetTimeout time.Duration
	Deadline      time.Duration
	// Notices holds what endpoints have said to the requesting instance, unless it has told the receiving one before.
	Notices []EndpointNotice `msgpack:",omitempty"`
}

// EndpointNotice reports to the owner of the placement what an endpoint has said of itself in an answer to the sender.
type EndpointNotice struct {
	Endpoint string
	// StartMilli identifies the endpoint's incarnation.
	StartMilli int64
	// Leaving is true if the endpoint leaves, which concerns all instances.
	Leaving bool
	// Pause is for how much longer the endpoint wants no requests from the sender, or zero.
	Pause time.Duration
	// WarmupTime is for how much longer the endpoint is cold although the sender took it for warm, or zero.
	WarmupTime time.Duration `msgpack:",omitempty"`
	// Limit is the number of requests per second that the endpoint takes from all instances together, or nil.
	Limit *float64 `msgpack:",omitempty"`
	// Unlimited is true if the endpoint has named no limit in the answer to a request that was sent SentAge ago.
	Unlimited bool `msgpack:",omitempty"`
	// Brittle is the number of requests that the endpoint survives turning away in a second, or nil, and Sturdy is true if it hasn't said to be
	// brittle in the answer to a request that was sent SentAge ago.
	Brittle *int          `msgpack:",omitempty"`
	Sturdy  bool          `msgpack:",omitempty"`
	SentAge time.Duration `msgpack:",omitempty"`
}

// PlaceVerdict is the result of a placement request.
type PlaceVerdict uint8

// Results of placement requests.
const (
	// VerdictPlaced is sent with the chosen endpoint.
	VerdictPlaced PlaceVerdict = iota + 1
	// VerdictNoEndpoint means that no endpoint accepts new work.
	VerdictNoEndpoint
	// VerdictOverloaded means that the first event would come after its deadline, or that the queue is full.
	VerdictOverloaded
	// VerdictQueued means that the request waits in the queue. The requesting instance waits for its result with another call.
	VerdictQueued
	// VerdictNotOwner means that the receiving instance doesn't own the placement.
	VerdictNotOwner
	// VerdictBlocked means that engines crash on parts of the prompt.
	VerdictBlocked
	// VerdictOriginUnknown means that it isn't known at which software version the stream began that the request takes up.
	VerdictOriginUnknown
)

// AwaitPlacement waits for the result of a queued placement request. It has the same reply as the placement request itself.
type AwaitPlacement struct {
	Service string
	Number  uint64
}

// PlaceReply is the reply to a placement request, and to waiting for a queued one.
type PlaceReply struct {
	Verdict PlaceVerdict
	Choice  placement.Choice
	// RetryAfter is the time after which a caller that was rejected for overload should retry.
	RetryAfter time.Duration `msgpack:"Return"`
	// Expected is the expected time to the first event, or the expected wait in the queue, if the request was rejected for overload.
	Expected time.Duration
	// TargetVersions holds the model's target versions if one of them is newer than the chosen weights. Ages hold as of the reply.
	TargetVersions []TargetVersion `msgpack:",omitempty"`
	// Paused is true if the request was rejected since all endpoints want none of the requesting instance for a while.
	Paused bool `msgpack:",omitempty"`
	// Limited is true if it was rejected since all of them have named limits.
	Limited bool `msgpack:",omitempty"`
	// Settling is true if it was rejected since all of them are of versions at which no streams begin yet.
	Settling bool `msgpack:",omitempty"`
	// Limits holds the limits of endpoints that are in force, unless the requesting instance was told lately.
	Limits []EndpointNotice `msgpack:",omitempty"`
	// Held is the time from when the call arrived until the endpoint was chosen, if the placement of cold endpoints lapses. It is negative if
	// the endpoint was chosen before the call arrived.
	Held time.Duration `msgpack:",omitempty"`
	// ZonesEvacuated is true if there is no endpoint since the zones of all are evacuated.
	ZonesEvacuated bool `msgpack:",omitempty"`
	// Learning is true if the origin of a stream may soon be known.
	Learning bool `msgpack:",omitempty"`
	// Outdated is true if the origin of a stream isn't known since the replying instance's list of endpoints is old.
	Outdated bool `msgpack:",omitempty"`
	// ReportRunning is true if the replying instance doesn't know the running requests that others have placed for the requesting one.
	ReportRunning bool `msgpack:",omitempty"`
}

// RunningReport tells a leader of the sender's running requests that other instances have placed.
type RunningReport struct {
	Runs []RunningRequest
	// Streams are those that the sender has sent to its callers, running or broken off.
	Streams []StreamOrigin `msgpack:",omitempty"`
}

// StreamOrigin tells at which software version a stream began.
type StreamOrigin struct {
	Stream            uint64
	Service, Software string
	// Left is for how much longer the stream may be taken up.
	Left time.Duration
}

// StreamOrigins tells a registrar of streams that have begun.
type StreamOrigins struct {
	Streams []StreamOrigin
}

// FindOrigin asks a registrar where a stream began.
type FindOrigin struct {
	Stream uint64
}

// FindOriginReply is the reply with an empty Software if that isn't known.
type FindOriginReply struct {
	Service, Software string `msgpack:",omitempty"`
}

// RunningRequest is a request that runs at an endpoint. Deadline is the time that remains.
type RunningRequest struct {
	Request placement.Request
	Choice  placement.Choice
	// Begun is true once the first event of the answer has arrived.
	Begun    bool `msgpack:",omitempty"`
	Deadline time.Duration
}

// RunningReply is the reply to a report of running requests.
type RunningReply struct {
	// Adopted is the number of requests that the replying instance didn't know.
	Adopted int
}

// AssignmentUpdate reports the first event of an assignment to the owner of the placement, or its end.
type AssignmentUpdate struct {
	Service string
	Number  uint64
	// Outcome is the assignment's outcome; zero reports the first event.
	Outcome placement.Outcome `msgpack:"End"`
	// Version is the weight version that the endpoint named in its answer, or zero if unknown.
	Version int `msgpack:",omitempty"`
	// Crash is the crash of the endpoint that ended the assignment, or nil. It is recorded before the end, which the report to all peers may
	// arrive after.
	Crash *CrashReport `msgpack:"Crash,omitempty"`
}

// SyncRequest requests everything that is newer than the sender's state. The receiver may delay the reply until it has something new.
type SyncRequest struct {
	// Run and Seen are copied from the last reply.
	Run  string
	Seen uint64
	// MaxDelay is the longest time for which the reply may be delayed while the receiver has completed no read of the store beyond
	// Seen.
	MaxDelay time.Duration `msgpack:"Hold"`

	// Eras is true if revisions hold the store's era; those of an earlier release are the store's numbers.
	Eras bool
	// OperatorRevision is the revision of the operator's newest write that the sender has.
	OperatorRevision uint64 `msgpack:"Operator"`
	// Deltas is true if the sender reads a configuration as a delta, and ConfigurationDigest is the digest of the one that it has, or zero.
	Deltas              bool   `msgpack:",omitempty"`
	ConfigurationDigest uint64 `msgpack:",omitempty"`
	// OperatorOnly is true if only what the operator wrote is requested.
	OperatorOnly bool `msgpack:",omitempty"`
	// RegistrationsDigest is the digest of the sender's registrations.
	RegistrationsDigest uint64 `msgpack:"Sum"`
	// WarmupDigest is the digest of the sender's registrations with whether their endpoints are cold, or zero if the sender doesn't tell.
	WarmupDigest uint64 `msgpack:",omitempty"`
	// SystemKeysDigest is the digest of the sender's copy of the system's own keys.
	SystemKeysDigest uint64 `msgpack:"Own"`
	// Source is the run of the instance whose numbered registration changes the sender has applied, and Number is the last one.
	Source string
	Number uint64
}

// SyncReply is the reply with what is newer than the sender's state. An age counts from the time at which the replying instance sent the
// store call that returned the data.
type SyncReply struct {
	// Ready is false until the replying instance has read the configuration and the registrations once.
	Ready bool `msgpack:"Known"`
	// Seen counts the reads of the store that the replying instance had completed when it replied.
	Seen uint64
	// Delay is the time for which the reply was delayed. The ages are as of the end of that time.
	Delay time.Duration `msgpack:"Held"`
	// ConfirmAge is the time since the replying instance confirmed that it has the operator's newest writes.
	ConfirmAge time.Duration
	// OperatorRevision is the revision of the operator's newest write.
	OperatorRevision uint64 `msgpack:"Operator"`
	// OperatorItems are the operator's writes that the requesting instance doesn't have.
	OperatorItems []Item `msgpack:"Items"`
	// Uncertain is true if a configuration can't be decoded and earlier ones may have been missed.
	Uncertain bool `msgpack:"Doubt"`
	// RegistrationsRevision is the store's revision at which the registrations were read.
	RegistrationsRevision uint64 `msgpack:"Registrations"`
	// Changes is nil if the requesting instance has all registrations. Run is the replying instance's run, to which the numbers in Changes
	// and Seen belong.
	Changes *registry.Changes
	Run     string
	// NamesSoftware is true if registrations are sent with the endpoints' software versions, which those of an earlier release lack.
	NamesSoftware bool `msgpack:",omitempty"`
	// Age is the age of the oldest data in the reply.
	Age time.Duration
	// ReadsStore is true if the replying instance reads everything from the store itself and its last store call succeeded.
	ReadsStore bool `msgpack:"Reads"`
	// Revision is the store's revision at which the system's own keys were read.
	Revision uint64
	// SystemKeys holds all of the system's own keys, or is nil if the requesting instance has them.
	SystemKeys []Item `msgpack:"Own"`
	// TargetVersions holds the target versions of models for which older weights may still be used.
	TargetVersions []TargetVersion
	// Evacuated is nil if the replying instance doesn't know the set, or is of an earlier release.
	Evacuated *EvacuatedZones `msgpack:",omitempty"`
}

// EvacuatedZones is the set of evacuated zones that is in force at the sender. It is sent whole, since a removed key leaves no trace in a
// listing of the store. Ages hold as of the reply.
type EvacuatedZones struct {
	// Revision is the store's revision at which the set was read, and Age is the time since that read was sent.
	Revision uint64
	Age      time.Duration
	Zones    []EvacuatedZone `msgpack:",omitempty"`
}

// EvacuatedZone is one evacuated zone.
type EvacuatedZone struct {
	Name string
	// Age is for how long the zone has been known to be evacuated.
	Age time.Duration
	// Remaining is for how much longer the zone stays evacuated though the store, which was restored from a copy, doesn't list it; zero if
	// the store lists it.
	Remaining time.Duration `msgpack:",omitempty"`
}

// TargetVersion is a weight version that a model should run.
type TargetVersion struct {
	Model   string
	Version int
	// MaxAge is the most time that may have passed since the version was announced, or zero if it is unknown.
	MaxAge time.Duration
}

// CatchUpRequest requests what the metadata store doesn't hold and a process therefore doesn't know after its start.
type CatchUpRequest struct {
	// TableVersion is the version of the configuration in force at the requesting instance, or zero.
	TableVersion uint64 `msgpack:"Table"`
}

// CatchUpReply is the reply with what the replying instance knows of it. Ages hold as of the reply.
type CatchUpReply struct {
	// TargetVersions holds target versions, also those that have been followed by newer ones.
	TargetVersions []TargetVersion
	// Configuration is the replying instance's configuration if it is newer than the requesting instance's, which a store that was restored
	// from a copy may have lost.
	Configuration *Item `msgpack:"Config"`
	// Evacuated is nil if the replying instance doesn't know the set, or is of an earlier release.
	Evacuated *EvacuatedZones `msgpack:",omitempty"`
}

// SuccessorQuery asks whether the receiving instance would take over the lease of the sender, which leads.
type SuccessorQuery struct{}

// SuccessorReply is the reply to a query for a successor.
type SuccessorReply struct {
	Willing bool
	// Delay is the mean time that arrived data waits until the replying instance reads it.
	Delay time.Duration
}

// HandOver tells an instance that the sender has ended its lease as leader in its favor.
type HandOver struct {
	// Count is the number of hand-overs in a row, this one included.
	Count int
}
