package recall

import (
	"time"

	"gypsumvale/internal/coordination/group"
	"gypsumvale/internal/state/piece"
)

// Rates are the speeds of a healthy endpoint.
type Rates struct {
	PrefillPerSecond float64
	TokenTime        time.Duration
}

// Work is what a request asks of an endpoint.
type Work struct {
	PromptTokens int
	MaxTokens    int
	Pieces       int
}

// longCost is the service time from which work is long.
const longCost = 4 * time.Second

// PrefillTime returns the time to recompute some tokens.
func (r Rates) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / r.PrefillPerSecond * float64(time.Second))
}

// DecodeTime returns the time to make some tokens.
func (r Rates) DecodeTime(tokens int) time.Duration { return r.TokenTime * time.Duration(tokens) }

// RecomputeTime returns the time to recompute the pieces of a context.
func (r Rates) RecomputeTime(pieces int) time.Duration { return r.PrefillTime(pieces * piece.Tokens) }

// Cost returns the service time of work whose first pieces are warm, and its class.
func (r Rates) Cost(w Work, warmPieces int) (time.Duration, group.Class) {
	cold := max(w.PromptTokens-warmPieces*piece.Tokens, 0)
	cost := r.PrefillTime(cold) + r.DecodeTime(w.MaxTokens)
	if cost >= longCost {
		return cost, group.ClassLong
	}
	return cost, group.ClassShort
}
