package placement

import (
	"time"

	"gypsumvale/internal/state/clock"
)

const (
	// unresponsiveFactor multiplies an assignment's expected time to the first event; an endpoint that has shown no activity for longer may
	// be unresponsive.
	unresponsiveFactor = 3
	// minUnresponsive is the shortest inactivity that counts: in this time, busy engines have several first events, ends or cache updates.
	minUnresponsive = 400 * time.Millisecond
)

// LivenessChange is a change in the liveness of an endpoint.
type LivenessChange struct {
	Endpoint string
	// Unresponsive is true if the endpoint gets no new requests until it responds again.
	Unresponsive bool
	// Inactive is how long the endpoint has shown no activity.
	Inactive time.Duration
	// Pending is the number of assignments that wait for a first event.
	Pending int
}

// CheckLiveness checks which endpoints are unresponsive, and returns the changes.
//
//	load pattern                                    response
//	engines crash or lose their network             nothing new goes there after 0.4 s, long before connections or registrations time out
//	an engine prefills long prompts or is slow      it stays in use, because it still has first events, ends and cache updates
//
// Only an owner observes all first events; the few assignments of any other pool say nothing about an endpoint.
func (p *Pool) CheckLiveness(now clock.Instant) []LivenessChange {
	if p.engine == nil {
		return nil
	}
	var changes []LivenessChange
	for _, s := range p.endpointList {
		unresponsive, inactive, pending := s.checkUnresponsive(now)
		unresponsive = unresponsive && p.isOwner
		if unresponsive == (s.unresponsiveSince != 0) {
			continue
		}
		changes = append(changes, LivenessChange{Endpoint: s.ID, Unresponsive: unresponsive, Inactive: inactive, Pending: pending})
		s.unresponsiveSince = 0
		if unresponsive {
			s.unresponsiveSince = now
			continue
		}
		p.recordCapacityChange(s)
	}
	return changes
}

// checkUnresponsive reports whether an endpoint is unresponsive, how long it has shown no activity, and how many of its assignments wait
// for a first event.
func (s *endpointState) checkUnresponsive(now clock.Instant) (unresponsive bool, longest time.Duration, pending int) {
	for _, a := range s.assignments {
		if a.prefillTokens == 0 {
			continue
		}
		pending++
		inactive := now.Sub(max(a.sentAt, s.lastResponse))
		longest = max(longest, inactive)
		unresponsive = unresponsive || inactive > max(minUnresponsive, unresponsiveFactor*a.expected)
	}
	// Once no assignment waits there any more, the endpoint is tried again after maxBackoff.
	backingOff := s.unresponsiveSince != 0 && s.lastResponse < s.unresponsiveSince && pending == 0 && now.Sub(s.unresponsiveSince) < maxBackoff
	return unresponsive || backingOff, longest, pending
}

func (s *endpointState) recordResponse(now clock.Instant) { s.lastResponse = now }
