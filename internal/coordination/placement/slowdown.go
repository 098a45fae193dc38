package placement

import (
	"time"

	"gypsumvale/internal/state/clock"
)

const (
	// slowdownWeight is the weight of a new observation.
	slowdownWeight = 0.25
	// slowdownTimeout is how long a slowdown counts without new observations.
	slowdownTimeout = 3 * time.Second
	minSlowdown     = 0.5
	maxSlowdown     = 20
	// toleratedSlowdown is the slowdown below which none is assumed, because the expected times are rough.
	toleratedSlowdown = 1.5
)

// slowdown is the recent ratio of observed to expected times; the zero value has no observations.
type slowdown struct {
	ratio      float64
	observedAt clock.Instant
}

// observe adds the ratio of an observed to an expected time.
func (s *slowdown) observe(now clock.Instant, ratio float64) {
	s.ratio = s.current(now)*(1-slowdownWeight) + min(max(ratio, minSlowdown), maxSlowdown)*slowdownWeight
	s.observedAt = now
}

// current returns the factor for estimates; it is 1 for all tolerated slowdowns.
func (s *slowdown) current(now clock.Instant) float64 {
	if s.observedAt == 0 || now.Sub(s.observedAt) > slowdownTimeout || s.ratio < toleratedSlowdown {
		return 1
	}
	return s.ratio
}

// link models the network link of an engine or a store, which carries one transfer after another.
type link struct {
	freeAt   clock.Instant
	slowdown slowdown
}

// wait returns the time until the link is free.
func (l *link) wait(now clock.Instant) time.Duration { return max(0, l.freeAt.Sub(now)) }

// reserve adds a transfer to the link's queue.
func (l *link) reserve(now clock.Instant, transfer time.Duration) {
	l.freeAt = max(now, l.freeAt).Add(transfer)
}

// expectedDuration returns how long a transfer takes at the link's current slowdown.
func (l *link) expectedDuration(now clock.Instant, transfer time.Duration) time.Duration {
	return time.Duration(l.slowdown.current(now) * float64(transfer))
}
