package placement

import (
	"time"

	"gypsumvale/internal/state/clock"
)

const (
	// minHold is the shortest hold. It is half of the shortest time for which callers wait for a first event.
	minHold = time.Second
	// holdFactor multiplies the expected time to the first event. If that takes longer, its report is assumed to be lost or the engine silent.
	holdFactor = 3
)

// holds are the assignments that wait for their first events, by the shared parts of their prompts, with the ends of their holds. While a
// part is suspected, an assignment's hold keeps other requests with the part waiting.
//
// A hold ends without a first event too, since that may never be reported: the entry may be frozen, its message lost or the engine silent.
type holds map[string]map[AssignmentID]clock.Instant

// add adds an assignment that waits for its first event.
func (h holds) add(a *assignment) {
	until := a.sentAt.Add(max(minHold, holdFactor*a.expected))
	for _, part := range a.req.SharedParts() {
		if h[part.ID] == nil {
			h[part.ID] = make(map[AssignmentID]clock.Instant)
		}
		h[part.ID][a.req.ID] = until
	}
}

// remove removes an assignment that has produced its first event or has ended.
func (h holds) remove(a *assignment) {
	for _, part := range a.req.SharedParts() {
		h.removePart(part.ID, a.req.ID)
	}
}

func (h holds) removePart(part string, id AssignmentID) {
	delete(h[part], id)
	if len(h[part]) == 0 {
		delete(h, part)
	}
}

// active reports whether one of the parts is held, and removes the holds on them that have ended.
func (h holds) active(now clock.Instant, parts []string) bool {
	for _, part := range parts {
		for id, until := range h[part] {
			if now.Before(until) {
				return true
			}
			h.removePart(part, id)
		}
	}
	return false
}
