package freshness

import "time"

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
