package placement

import (
	"time"

	"gypsumvale/internal/state/clock"
)

const (
	// firstOwnerBackoff and maxOwnerBackoff bound the time for which an owner that did not answer gets no requests: the first is short,
	// because a new owner to which all entries connect at once is slow for a moment only.
	firstOwnerBackoff = 150 * time.Millisecond
	maxOwnerBackoff   = time.Second
)

// OwnerBackoff decides when an entry sends placement requests to the owner again after it did not answer.
//
//	load pattern                               response
//	the owner has just changed                 it is tried again after 150 ms, so that few requests are placed without coordination
//	the owner is gone, its successor unknown   the pauses double up to 1 s, so that few requests wait for it in vain
type OwnerBackoff struct {
	owner    string
	failures int
	until    clock.Instant
}

// Active reports whether no request should be sent to an owner now.
func (b *OwnerBackoff) Active(now clock.Instant, owner string) bool {
	return b.owner == owner && now.Before(b.until)
}

// RecordFailure records that an owner did not answer a request that was sent at an instant. Requests that were under way together count once.
func (b *OwnerBackoff) RecordFailure(now clock.Instant, owner string, sentAt clock.Instant) {
	if b.owner != owner {
		*b = OwnerBackoff{owner: owner}
	}
	if sentAt.Before(b.until) {
		return
	}
	b.until = now.Add(min(firstOwnerBackoff<<min(b.failures, maxOwnerDoublings), maxOwnerBackoff))
	b.failures++
}

// maxOwnerDoublings keeps the shift within range; by then the backoff has reached its maximum.
const maxOwnerDoublings = 8

// RecordAnswer records that an owner answered.
func (b *OwnerBackoff) RecordAnswer(owner string) {
	if b.owner == owner {
		*b = OwnerBackoff{}
	}
}
