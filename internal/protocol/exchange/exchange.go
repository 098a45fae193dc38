package exchange

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/prompt"
)

// ErrNoID is returned for a request without an identifier.
var ErrNoID = errors.New("request has no identifier")

// Head is the head of a caller's request.
type Head struct {
	// ID identifies the request; each attempt of a caller has its own.
	ID string
	// Key is the caller's credential, or empty.
	Key string
	// Deadline is the instant at which the caller stops waiting, or zero if it sent none.
	Deadline clock.Instant
	Model    string
	// PromptTokens is the length of the prompt, and OutputTokens the largest length of the output.
	PromptTokens int
	OutputTokens int
	// LengthHint is the caller's estimate of the length of the output in tokens, or zero.
	LengthHint int
	// Parts lists the prompt's parts in order. The last part belongs to this request or its session only.
	Parts []prompt.Part
	// LastEvent is the number of the last event that the caller has received, or zero.
	LastEvent int64
	// Resumes is the identifier of the attempt that brought the first event of the stream that this request goes on with, or empty.
	Resumes string
	// Header holds the headers that are forwarded to the endpoint unchanged.
	Header http.Header
}

// SharedParts returns the parts that other requests may have in common with this one.
func (h *Head) SharedParts() []prompt.Part {
	if len(h.Parts) == 0 {
		return nil
	}
	return h.Parts[:len(h.Parts)-1]
}

// Dispatch holds the headers that the system adds to a request for an endpoint.
type Dispatch struct {
	// Endpoint is the ID of the only endpoint that may run the request.
	Endpoint string
	// Workspace is the workspace of the caller's key, or empty.
	Workspace string
	// Deadline is the instant at which the endpoint must stop working on the request.
	Deadline clock.Instant
	// Priority orders requests at an endpoint, from 0, the most urgent, to 9. It is not sent if negative.
	Priority int
	// Version is the only weight version that may run the request; zero allows any.
	Version int
	// CacheSpace separates cached parts that must not be shared. It is not sent if empty.
	CacheSpace string
	// FetchFrom holds the addresses from which the endpoint fetches cached parts before it runs the request: one address for all parts,
	// or one for each part, which is empty for a part that isn't fetched.
	FetchFrom []string
	// FetchUntil is the time on the endpoint's clock, in milliseconds, after which a fetched part is discarded. It is not sent if zero.
	FetchUntil int64
	// SaveTo holds for each part the address of the store to which the endpoint saves it, or an empty string.
	SaveTo []string
	// LastEvent is the number of the last event that the caller has received, or zero.
	LastEvent int64
}

// Forward holds what the system adds to a request that it hands over to a peer.
type Forward struct {
	// Key is the caller's credential, or empty.
	Key string
	// Deadline is the instant at which the request ends.
	Deadline clock.Instant
	// LastEvent is the number of the last event that the caller has received, or zero.
	LastEvent int64
}

// Reply is the head of an endpoint's answer.
type Reply struct {
	// ID is the request's identifier as echoed in the answer, or empty.
	ID string
	// Sealed is true if the endpoint signed the answer.
	Sealed bool
	// NotRun is true if the endpoint guarantees that it did not run the request and never will.
	NotRun bool
	// Misdirected is true if the address has another endpoint or weight version than the request named.
	Misdirected bool
	// Endpoint is the ID of the endpoint that answered, or empty.
	Endpoint string
	// Version is the weight version that ran the request, or zero if unknown.
	Version int
	// Leaving is true if the endpoint states that it leaves and takes no new requests.
	Leaving bool
	// Pause is for how long the endpoint wants no requests from this entry, or zero.
	Pause time.Duration
	// InvalidPause is the text in which the endpoint stated a pause that can't be read, or that is longer than allowed; empty if it is valid.
	InvalidPause string
	// WarmupTime is for how long the endpoint is still cold, zero if it is warm, or nil if the answer doesn't tell.
	WarmupTime *time.Duration
	// Limit is the number of requests per second that the endpoint takes from all entries together, or nil if it names no limit.
	Limit *float64
	// InvalidLimit is the text in which the endpoint named a limit that can't be read; empty if it is valid.
	InvalidLimit string
	// Brittle is the number of requests a second that the endpoint survives turning away for want of room, or nil if it isn't brittle.
	Brittle *int
}
