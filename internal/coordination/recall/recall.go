package recall

import (
	"time"

	"gypsumvale/internal/coordination/group"
	"gypsumvale/internal/state/piece"
)

// Rates are the processing rates of a healthy endpoint.
type Rates struct {
	PrefillPerSecond float64
	TokenTime        time.Duration
}

// Work is the amount of work in a request.
type Work struct {
	PromptTokens int
	MaxTokens    int
	Pieces       int
}

// longThreshold is the service time from which a request is classified as long.
const longThreshold = 4 * time.Second

// PrefillTime returns the time to prefill a number of prompt tokens.
func (r Rates) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / r.PrefillPerSecond * float64(time.Second))
}

// DecodeTime returns the time to generate a number of tokens.
func (r Rates) DecodeTime(tokens int) time.Duration { return r.TokenTime * time.Duration(tokens) }

// RecomputeTime returns the time to recompute a number of context pieces.
func (r Rates) RecomputeTime(pieces int) time.Duration { return r.PrefillTime(pieces * piece.Tokens) }

// Cost returns the service time of a request whose first warmPieces pieces are cached at the endpoint, and its class.
func (r Rates) Cost(w Work, warmPieces int) (time.Duration, group.Class) {
	cold := max(w.PromptTokens-warmPieces*piece.Tokens, 0)
	cost := r.PrefillTime(cold) + r.DecodeTime(w.MaxTokens)
	if cost >= longThreshold {
		return cost, group.ClassLong
	}
	return cost, group.ClassShort
}
