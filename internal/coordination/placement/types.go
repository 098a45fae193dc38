package placement

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/prompt"
)

// UseID identifies an assignment across all entries, from its placement request until its end.
type UseID struct {
	Entry  string
	Number uint64
}

// Ask is a placement request: it asks for an endpoint to run one request.
type Ask struct {
	ID      UseID
	Service string
	Zone    string
	// Model is empty for plain services.
	Model string
	Parts []prompt.Part
	// Prompt and Output are numbers of tokens.
	Prompt int
	Output int
	// Wall is the cache isolation key of an isolated workspace; workspaces with an empty key share cached context.
	Wall string
	// Priority orders requests; lower is more urgent.
	Priority int
	// Avoid lists endpoints on which the request has failed.
	Avoid []string
	// Patience is the deadline for the first event, after which the caller gives up.
	Patience clock.Instant
	// Deadline is the latest end of the assignment.
	Deadline clock.Instant
	// Alone is true if this pool sees only part of the load, so that entries have to make consistent choices without coordination.
	Alone bool
}

// Shared returns the number of prompt tokens that may be shared with other requests.
func (req *Ask) Shared() int {
	tokens := 0
	for _, part := range req.sharedParts() {
		tokens += part.Tokens
	}
	return tokens
}

// sharedParts returns all parts but the last, which belongs to this request alone.
func (req *Ask) sharedParts() []prompt.Part {
	if len(req.Parts) == 0 {
		return nil
	}
	return req.Parts[:len(req.Parts)-1]
}

// Choice is the placement of a request.
type Choice struct {
	Endpoint string
	Address  string
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
}

// ErrNoEndpoint is returned when no endpoint of a service takes new requests.
var ErrNoEndpoint = errors.New("no endpoint takes new work")

// OverloadError is returned when even the best endpoint would miss the caller's first-event deadline.
type OverloadError struct {
	// Return is when the backlog will have shrunk enough for a retry.
	Return clock.Instant
	// Expected is the estimated time to the first event on the best endpoint.
	Expected time.Duration
}

// Error describes the overload.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("first event expected in %s, later than the caller waits", e.Expected)
}

// Engine holds the properties of a service's engines.
type Engine struct {
	Slots       int
	CacheTokens int
	// TokenSeconds is the time in seconds that the link takes to transfer one token's KV cache.
	TokenSeconds float64
}

// Config sets the expected performance of healthy endpoints, and limits.
type Config struct {
	// ReadRate is the number of prompt tokens that an engine prefills per second.
	ReadRate float64
	// OldWeights is how long older weights may be used after newer ones were announced.
	OldWeights time.Duration
	// Reach is shared by the pools of all services; nil creates a separate one.
	Reach *Reach
}

// News is an update from a cache: its changes after a given event number.
type News struct {
	// Epoch changes when the cache's process restarts.
	Epoch int64
	// Next is the event number from which the next call continues.
	Next int64
	// Lost is true if events in between were dropped.
	Lost   bool
	Events []CacheEvent
	// ClockMillis is the time on the cache's clock, or zero if it isn't reported.
	ClockMillis int64
}

// List is a full listing of a store.
type List struct {
	Epoch       int64
	Next        int64
	ClockMillis int64
	Whole       []DepotPart
	// Broken parts aren't complete but still take up space.
	Broken []DepotPart
}
