package placement

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/prompt"
)

// AssignmentID names one use of an endpoint across entries.
type AssignmentID struct {
	Entry  string
	Number uint64
}

// Request is one request's wish for an endpoint.
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
	// IsolationKey separates the cached context of an isolated workspace; empty is shared by all others.
	IsolationKey string
	// Priority orders requests; lower is more urgent.
	Priority int
	// Avoid names endpoints on which the request has failed.
	Avoid []string
	// FirstEventDeadline is when the caller gives up on a first event.
	FirstEventDeadline clock.Instant
	// Deadline is when the use ends at the latest.
	Deadline clock.Instant
	// Uncoordinated says that this pool sees a part of the load only, so that entries have to agree without talking.
	Uncoordinated bool
}

// SharedTokens returns the number of prompt tokens that other requests may have too.
func (a *Request) SharedTokens() int {
	tokens := 0
	for _, part := range a.sharedParts() {
		tokens += part.Tokens
	}
	return tokens
}

// sharedParts returns all parts but the last, which is the request's own.
func (a *Request) sharedParts() []prompt.Part {
	if len(a.Parts) == 0 {
		return nil
	}
	return a.Parts[:len(a.Parts)-1]
}

// Choice is the answer to an ask.
type Choice struct {
	Endpoint string
	Address  string
	// Version is the weight version that the endpoint is taken to run; zero for plain services.
	Version int
	// CacheSpace names the cached context that the request may use.
	CacheSpace string
	// FetchFrom holds for each part the address from which the endpoint fetches it first, or empty; nil fetches nothing.
	FetchFrom []string
	// FetchUntil is on the endpoints' clock, in milliseconds: a fetch that isn't done by then is thrown away. Zero is not said.
	FetchUntil int64
	// SaveTo holds for each part the address of the store that shall keep it, or empty; nil saves nothing.
	SaveTo []string
	// Cached and Fetched are the tokens expected to be found there and fetched.
	Cached  int
	Fetched int
	// Expected is the time to the first event.
	Expected time.Duration
}

// ErrNoEndpoint says that no endpoint of a service takes new work.
var ErrNoEndpoint = errors.New("no endpoint takes new work")

// OverloadError says that the best endpoint would be too late for the caller.
type OverloadError struct {
	// RetryAt is when the backlog will have shrunk enough.
	RetryAt clock.Instant
	// Expected is the time to the first event at the best endpoint.
	Expected time.Duration
}

// Error describes the overload.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("first event expected in %s, later than the caller waits", e.Expected)
}

// Engine sizes the engines of a service.
type Engine struct {
	Slots       int
	CacheTokens int
	// TokenSeconds is the time that the link takes for one token's KV cache.
	TokenSeconds float64
}

// Config sets what a pool expects of healthy endpoints.
type Config struct {
	// PrefillRate is the prompt tokens that an engine reads in a second.
	PrefillRate float64
	// OldWeightsGrace is how long after newer weights were named older ones are used.
	OldWeightsGrace time.Duration
	// Reachability is shared by the pools of all services; nil is one of its own.
	Reachability *Reachability
}

// CacheUpdate is what a cache said behind an event's number.
type CacheUpdate struct {
	// Epoch changes when the cache's process restarts.
	Epoch int64
	// Next is the number from which the next call goes on.
	Next int64
	// Missed says that events between were dropped.
	Missed bool
	Events []CacheEvent
	// ClockMillis is the cache's clock, or zero if it isn't said.
	ClockMillis int64
}

// StoreListing is all that a store keeps.
type StoreListing struct {
	Epoch       int64
	Next        int64
	ClockMillis int64
	Complete    []ListedPart
	// Incomplete parts aren't complete but keep their space.
	Incomplete []ListedPart
}
