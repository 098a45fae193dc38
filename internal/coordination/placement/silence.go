package placement

import (
	"time"

	"gypsumvale/internal/state/clock"
)

const (
	// silenceFactor is how many times the expected time a use waits for its first event before the endpoint's silence counts.
	silenceFactor = 3
	// leastSilence is the shortest silence that counts: busy engines have a first event, an end or news several times as often.
	leastSilence = 400 * time.Millisecond
)

// LivenessChange is a change of what a pool believes of an endpoint.
type LivenessChange struct {
	Endpoint string
	// Unresponsive endpoints get nothing new until they are heard again.
	Unresponsive bool
	// Inactive is how long nothing was heard.
	Inactive time.Duration
	// Pending is the number of uses that wait for a first event.
	Pending int
}

// CheckLiveness looks which endpoints have gone silent, and returns what has changed.
//
//	load pattern                              answer
//	engines crash or lose their network       nothing new goes there after 0.4 s, long before connections or registrations end
//	an engine reads much, or is a bit slow    it has first events, ends and news meanwhile, and stays in use
//
// Only an owner hears of all first events; another's few uses tell nothing of an endpoint.
func (p *Pool) CheckLiveness(now clock.Instant) []LivenessChange {
	if p.engine == nil {
		return nil
	}
	var changes []LivenessChange
	for _, s := range p.list {
		silent, span, pending := s.isSilent(now)
		silent = silent && p.owns
		if silent == (s.silent != 0) {
			continue
		}
		changes = append(changes, LivenessChange{Endpoint: s.ID, Unresponsive: silent, Inactive: span, Pending: pending})
		s.silent = 0
		if silent {
			s.silent = now
			continue
		}
		p.noteRoom(s)
	}
	return changes
}

// isSilent reports whether an endpoint has been silent for too long, for how long, and how many of its uses wait for a first event.
func (s *seat) isSilent(now clock.Instant) (silent bool, span time.Duration, pending int) {
	for _, u := range s.uses {
		if u.miss == 0 {
			continue
		}
		pending++
		unheard := now.Sub(max(u.sent, s.alive))
		span = max(span, unheard)
		silent = silent || unheard > max(leastSilence, silenceFactor*u.expected)
	}
	// Once all that waited have left, something new is sent there after a while.
	resting := s.silent != 0 && s.alive < s.silent && pending == 0 && now.Sub(s.silent) < maxRest
	return silent || resting, span, pending
}

// hear notes a sign of life.
func (s *seat) hear(now clock.Instant) { s.alive = now }
