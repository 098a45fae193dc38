package placement

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/coordination/notice"
	"gypsumvale/internal/coordination/origin"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/prompt"
	"gypsumvale/internal/state/registration"
)

// AssignmentID identifies an assignment across all entries, from its placement request until its end.
type AssignmentID struct {
	Entry  string
	Number uint64
}

// Request is a placement request: it asks for an endpoint to run one request.
type Request struct {
	ID      AssignmentID
	Service string
	Zone    string
	// Model is empty for plain services.
	Model string
	Parts []prompt.Part
	// Prompt and Output are numbers of tokens.
	Prompt int
	Output int
	// IsolationKey is the cache isolation key of an isolated workspace; workspaces with an empty key share cached context.
	IsolationKey string `msgpack:"Wall"`
	// Priority orders requests; lower is more urgent.
	Priority int
	// AllowedRegions lists the regions whose endpoints, caches and cache stores the request may use; if it is empty, all.
	AllowedRegions []string `msgpack:",omitempty"`
	// Avoid lists endpoints on which the request has failed.
	Avoid []string
	// FirstEventDeadline is the deadline for the first event, after which the caller gives up.
	FirstEventDeadline clock.Instant `msgpack:"Patience"`
	// TargetDeadline is until when the first event should come for full credit; zero is no target.
	TargetDeadline clock.Instant
	// TargetEventGap is the target for the longest gap between two events of the stream; zero is no target.
	TargetEventGap time.Duration `msgpack:",omitempty"`
	// LengthHint is an estimate of the output in tokens that is accurate at the median only; zero is none.
	LengthHint int `msgpack:",omitempty"`
	// Deadline is the latest end of the assignment.
	Deadline clock.Instant
	// Uncoordinated is true if this pool sees only part of the load, so that entries have to make consistent choices without coordination.
	Uncoordinated bool `msgpack:"Alone"`
	// Stream identifies the stream that the request begins or takes up, if another endpoint may go on with it, or is zero. TakesUp is true if the
	// caller has events of it already.
	Stream  uint64 `msgpack:",omitempty"`
	TakesUp bool   `msgpack:",omitempty"`
	// Software is the only software version whose endpoints may run the request, since they have begun its stream, or empty.
	Software string `msgpack:",omitempty"`
	// Origin is how Software is known, if the request takes a stream up. It isn't sent; replies name it.
	Origin StreamOrigin `msgpack:"-"`
	// WarmOnly is true if the request must not be placed on a cold endpoint, since its entry is too slow to use such placements in time.
	WarmOnly bool `msgpack:",omitempty"`
}

// SharedTokens returns the number of prompt tokens that may be shared with other requests.
func (req *Request) SharedTokens() int {
	tokens := 0
	for _, part := range req.SharedParts() {
		tokens += part.Tokens
	}
	return tokens
}

// SharedParts returns all parts but the last, which belongs to this request alone.
func (req *Request) SharedParts() []prompt.Part {
	if len(req.Parts) == 0 {
		return nil
	}
	return req.Parts[:len(req.Parts)-1]
}

// StreamOrigin is how the instance that chose an endpoint knew at which software version a stream began.
type StreamOrigin struct {
	Source origin.Source
	// Placed is true if the only record of the stream says where it was placed.
	Placed bool `msgpack:",omitempty"`
	// Age is for how long it had known that; for origin.Sole, it is the age of the list of endpoints.
	Age time.Duration
}

// Choice is the placement of a request.
type Choice struct {
	Endpoint string
	Address  string
	// Zone is the endpoint's zone; empty if the instance that chose doesn't tell.
	Zone string `msgpack:",omitempty"`
	// StartMilli identifies the endpoint's incarnation; zero if the instance that chose doesn't tell.
	StartMilli int64 `msgpack:",omitempty"`
	// Software is the endpoint's software version; empty if the instance that chose doesn't tell.
	Software string `msgpack:",omitempty"`
	// Origin tells how the version is known that began the stream, if the request takes one up; nil if the instance that chose doesn't tell.
	Origin *StreamOrigin `msgpack:",omitempty"`
	// Version is the weight version that the endpoint is believed to run; zero for plain services.
	Version int
	// CacheSpace names the cache space that the request may use.
	CacheSpace string
	// FetchFrom holds, for each part, the address from which the endpoint tries to fetch it before recomputing it, or an empty string. If
	// it is nil, nothing is fetched.
	FetchFrom []string
	// FetchUntil is a time in milliseconds on the endpoint's clock: a fetch that isn't complete by then is discarded. Zero sets no limit.
	FetchUntil int64
	// SaveTo holds, for each part, the address of the store to save it to, or an empty string. If it is nil, nothing is saved.
	SaveTo []string
	// Cached is the number of tokens expected in the endpoint's cache, and Fetched the number expected to be fetched.
	Cached  int
	Fetched int
	// Expected is the estimated time to the first event.
	Expected time.Duration
	// Cold is true if the endpoint is cold or may be. The placement may then be used only for warmup.GrantTimeout.
	Cold bool `msgpack:",omitempty"`
	// Limited is true if the endpoint is known to have named a limit.
	Limited bool `msgpack:",omitempty"`
	// GrantedAt is no later than when the endpoint was chosen, if its service limits the requests to cold endpoints, or else zero. It isn't sent,
	// since instances have no common clock.
	GrantedAt clock.Instant `msgpack:"-"`
}

// ErrNoEndpoint is returned when no endpoint of a service takes new requests.
var ErrNoEndpoint = errors.New("no endpoint takes new work")

// ErrBlocked is returned for a request with parts on which engines crash.
var ErrBlocked = errors.New("engines crash on parts of the prompt")

// ErrSuspected is returned for a request that can't wait while another one shows whether engines crash on a part that both have.
var ErrSuspected = errors.New("another request with a suspected part is being tried")

// OriginError is returned for a request that takes up a stream of which it isn't known at which software version it began.
type OriginError struct {
	// Learning is true if that may soon be known.
	Learning bool
	// Outdated is true if the instance can't tell since its list of endpoints is old. Others may know.
	Outdated bool
}

// Error describes the reason.
func (e *OriginError) Error() string {
	if e.Learning {
		return "the software version that began the stream isn't known yet"
	}
	return "the software version that began the stream isn't known"
}

// Suspicions knows on which parts of prompts engines crash.
type Suspicions interface {
	// Check reports whether a request with some shared parts must not run, and otherwise which of the parts are suspected.
	Check(now clock.Instant, service string, shared []prompt.Part) (blocked bool, suspected []string)
}

// Notices knows what endpoints have said of themselves.
type Notices interface {
	// Empty reports whether no endpoint has said anything that is in force.
	Empty() bool
	// Check returns why an endpoint gets no requests from an entry, and the end of its pause if it is paused.
	Check(now clock.Instant, entry string, endpoint registration.Incarnation) (notice.Reason, clock.Instant)
}

// OverloadError is returned when even the best endpoint would miss the caller's first-event deadline.
type OverloadError struct {
	// RetryAt is when the backlog will have shrunk enough for a retry.
	RetryAt clock.Instant
	// Expected is the estimated time to the first event on the best endpoint.
	Expected time.Duration
	// Paused is true if all endpoints that could run the request want none of its entry for a while.
	Paused bool
	// Limited is true if all of them have named limits that the request would exceed.
	Limited bool
	// Settling is true if all of them are of versions at which no streams begin yet.
	Settling bool
}

// Error describes the overload.
func (e *OverloadError) Error() string {
	if e.Paused {
		return fmt.Sprintf("all endpoints want no requests of this entry for at least %s", e.Expected)
	}
	return fmt.Sprintf("first event expected in %s, later than the caller waits", e.Expected)
}

// Engine holds the properties of a service's engines.
type Engine struct {
	Slots       int
	CacheTokens int
	// TokenSeconds is the time in seconds that the link takes to transfer one token's KV cache.
	TokenSeconds float64
	// Stride is the number of tokens in an event of a stream. Zero is unknown: then the gaps between events aren't predicted.
	Stride int
}

// Config sets the expected performance of healthy endpoints, and limits.
type Config struct {
	// PrefillRate is the number of prompt tokens that an engine prefills per second.
	PrefillRate float64
	// OldWeightsGrace is how long older weights may be used after newer ones were announced.
	OldWeightsGrace time.Duration
	// Reachability is shared by the pools of all services; nil creates a separate one.
	Reachability *Reachability
	// Suspicions is nil if no parts are suspected.
	Suspicions Suspicions
	// Notices is nil if endpoints say nothing of themselves.
	Notices Notices
	// Evacuations is nil if no zones are evacuated.
	Evacuations Evacuations
	// Regions maps zones to their regions; a zone that it lacks is in no region.
	Regions map[string]string
	// Admission is nil if this process may admit nothing to endpoints whose requests are limited for all processes together.
	Admission Admission
}

// CacheUpdate is an update from a cache: its changes after a given event number.
type CacheUpdate struct {
	// Epoch changes when the cache's process restarts.
	Epoch int64
	// Next is the event number from which the next call continues.
	Next int64
	// Missed is true if events in between were dropped.
	Missed bool
	Events []CacheEvent
	// ClockMillis is the time on the cache's clock, or zero if it isn't reported.
	ClockMillis int64
	// StartMilli identifies the incarnation of the engine, or is zero if it isn't reported.
	// StartMilli is the start time of the cache's process, in Unix milliseconds, or zero if it isn't reported.
	StartMilli int64
}

// StoreListing is a full listing of a store.
type StoreListing struct {
	Epoch       int64
	Next        int64
	ClockMillis int64
	Complete    []ListedPart
	// Incomplete lists parts that are still being saved or whose save was aborted. They take up space.
	Incomplete []ListedPart
}
