package exchange

import (
	"net/http"

	"github.com/pkg/errors"

	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/prompt"
)

// ErrNoID says that a request has no identifier.
var ErrNoID = errors.New("request has no identifier")

// Head is what a caller's request says of itself.
type Head struct {
	// ID is unique for each attempt of a caller.
	ID string
	// Key is the caller's credential, or empty.
	Key string
	// Deadline is when the caller stops waiting, or zero if it doesn't say.
	Deadline clock.Instant
	Model    string
	// PromptTokens and OutputTokens size a generation; output is the most that may come.
	PromptTokens int
	OutputTokens int
	// Parts lists the prompt's parts in order; the last belongs to the request or its session alone.
	Parts []prompt.Part
	// LastEvent is the number of the last event that the caller has, zero if it has none.
	LastEvent int64
	// Header holds what goes to the endpoint unchanged.
	Header http.Header
}

// SharedParts returns the parts that other requests may have too.
func (h *Head) SharedParts() []prompt.Part {
	if len(h.Parts) == 0 {
		return nil
	}
	return h.Parts[:len(h.Parts)-1]
}

// Dispatch is what the system adds to a request on its way to an endpoint.
type Dispatch struct {
	// Endpoint is the only one that may run the request.
	Endpoint string
	// Workspace is the holder of the caller's key, or empty.
	Workspace string
	// Deadline is when the endpoint stops work.
	Deadline clock.Instant
	// Priority orders requests at an endpoint, from 0, the most urgent, to 9; negative is not said.
	Priority int
	// Version is the only weight version that may run the request; zero is any.
	Version int
	// CacheSpace separates cached parts that must not be shared; empty is not said.
	CacheSpace string
	// FetchFrom holds the addresses from which the endpoint fetches cached parts first: one for all, or one for each part, empty
	// for none.
	FetchFrom []string
	// FetchUntil is on the endpoint's clock, in milliseconds; a later fetch is thrown away. Zero is not said.
	FetchUntil int64
	// SaveTo holds for each part the address of the store that shall keep it, or empty.
	SaveTo []string
	// LastEvent is the number of the last event that the caller has, zero if it has none.
	LastEvent int64
}

// Reply is what the head of an endpoint's answer says.
type Reply struct {
	// ID echoes the request's identifier; empty if the answer has none.
	ID string
	// Sealed says that the endpoint signed the answer.
	Sealed bool
	// NotRun is the endpoint's promise that it did not run the request and won't.
	NotRun bool
	// Misdirected says that another endpoint, or another weight version, is there than the request named.
	Misdirected bool
	// Endpoint names who answered, or is empty.
	Endpoint string
	// Version is the weight version that ran the request, or zero if not said.
	Version int
}
