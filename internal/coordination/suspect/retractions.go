package suspect

import (
	"time"

	"gypsumvale/internal/state/clock"
)

// retractionAge is how long a retraction may precede a report that was sent before it: messages to peers are sent beside one another, and wait
// for a connection for some seconds.
const retractionAge = 30 * time.Second

type claim struct{ witness, endpoint string }

type retraction struct {
	number uint64
	at     clock.Instant
}

// Retractions holds which reports of crashes their senders have taken back, for those that arrive later than their retractions.
type Retractions struct {
	byClaim map[claim]retraction
}

// NewRetractions returns an empty set.
func NewRetractions() *Retractions { return &Retractions{byClaim: make(map[claim]retraction)} }

// Record records that a sender has taken back its reports of an endpoint's crashes with lower numbers.
func (r *Retractions) Record(now clock.Instant, witness, endpoint string, number uint64) {
	for c, held := range r.byClaim {
		if now.Sub(held.at) >= retractionAge {
			delete(r.byClaim, c)
		}
	}
	c := claim{witness, endpoint}
	r.byClaim[c] = retraction{max(number, r.byClaim[c].number), now}
}

// Covers reports whether a report has been taken back; reports of an earlier release have no number and are never taken back.
func (r *Retractions) Covers(witness, endpoint string, number uint64) bool {
	return number != 0 && number < r.byClaim[claim{witness, endpoint}].number
}
