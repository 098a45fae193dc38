package freshness

import (
	"time"

	"gypsumvale/internal/state/clock"
)

const (
	// relayShare and ownShare are the shares of a bound after which a zone's relay, and then every other instance, reads the operator's keys
	// apart from its other reads. They exceed the age at which the next regular read arrives. The relay comes first, since its read saves
	// those of its followers.
	relayShare = 0.4
	ownShare   = 0.5
	// readShare bounds such a read, and pauseShare is the pause after it, so that two of them may fail within the rest of the bound.
	readShare  = 0.12
	pauseShare = 0.02
	// promptReads is the number of reads that follow each other quickly. After them the bound has passed, and more of them would only be a
	// load on a store that is slow.
	promptReads = 3
	slowShare   = 0.25
	// spreadShare is the share over which the reads of the instances that have lost the same relay are spread, and askShare how much earlier each
	// of them asks the relay of another zone, whose answer is shorter than a read.
	spreadShare = 0.07
	askShare    = 0.1
	// quietShare is for how long a source may be silent that has begun to send, and patientShare is until when it is waited for nonetheless.
	quietShare   = 0.1
	patientShare = 0.7
)

// Budget divides the time within which a configuration must be in force among the steps until it is.
type Budget struct{ bound time.Duration }

// NewBudget returns the budget for a bound.
func NewBudget(bound time.Duration) Budget { return Budget{bound} }

func (b Budget) share(s float64) time.Duration { return time.Duration(s * float64(b.bound)) }

// MaxAge returns how old the confirmation of a configuration may become before the operator's keys are read apart from other reads.
func (b Budget) MaxAge(relay bool) time.Duration {
	if relay {
		return b.share(relayShare)
	}
	return b.share(ownShare)
}

// Source is what an instance knows of the one from which it hears what the operator has written: a relay, or the store if it is a relay itself.
type Source struct {
	// IsRelay is true for an instance that is a relay.
	IsRelay bool
	// ProgressAt is when bytes of a reply last arrived, or when a configuration was being adopted, and Adopting is true while one is.
	ProgressAt clock.Instant
	Adopting   bool
	// Position is the place of the instance, from 0 to 1, among those that follow the same relay.
	Position float64
}

// ReadAt returns when an instance reads the operator's keys apart from what its source sends. While that sends, a read would take longer than waiting,
// over the same link.
func (b Budget) ReadAt(confirmedAt clock.Instant, s Source) clock.Instant {
	due := confirmedAt.Add(b.MaxAge(s.IsRelay))
	if !s.IsRelay {
		due = due.Add(b.share(spreadShare * s.Position))
	}
	return max(due, min(s.ProgressAt.Add(b.share(quietShare)), confirmedAt.Add(b.share(patientShare))))
}

// Behind reports whether requests may no longer be handled by a configuration: it hasn't been confirmed within the bound, and a newer one is being
// adopted. An instance that knows of no newer one may be cut off, or have the newest, and goes on.
func (b Budget) Behind(now, confirmedAt clock.Instant, s Source) bool {
	return s.Adopting && now.Sub(confirmedAt) >= b.bound
}

// AskAt returns when it asks the relay of another zone, before it would read at an instant.
func (b Budget) AskAt(readAt clock.Instant) clock.Instant { return readAt.Add(-b.share(askShare)) }

// ReadTimeout returns how long such a read may take until its answer begins, and without progress from then on, after some reads have failed to confirm the configuration.
func (b Budget) ReadTimeout(failed int) time.Duration {
	if failed < promptReads {
		return b.share(readShare)
	}
	return b.share(slowShare)
}

// Pause returns how long to wait after a read before the next one, after some reads have failed to confirm the configuration.
func (b Budget) Pause(failed int) time.Duration {
	if failed < promptReads {
		return b.share(pauseShare)
	}
	return b.share(slowShare)
}
