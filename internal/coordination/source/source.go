package source

import (
	"time"

	"gypsumvale/internal/state/clock"
)

const (
	// ProbeInterval is how often a relay that failed or had outdated data is queried again. After slow reads of the store, a relay needs most
	// of the bound for leaving endpoints to read it again; it must then be followed within the rest.
	ProbeInterval = 300 * time.Millisecond
	// FirstReadTimeout is how long a newly selected relay may have outdated data, to allow for its first read of all pages.
	FirstReadTimeout = 750 * time.Millisecond
	// FallbackTimeout is how long an entry waits for a relay before it reads all pages itself, on sites whose data fills many pages of the
	// store.
	FallbackTimeout = 1500 * time.Millisecond
	// OwnReadPause is how long an entry without a relay waits after each read of all pages, as a multiple of the time that the read took. If all
	// entries read without pauses, the store would have no time for the relays, and none of them would come back.
	OwnReadPause = 8
	// MaxOwnReadPause bounds that pause, also for reads that took long because they failed.
	MaxOwnReadPause = 5 * time.Second
	// MaxOutdatedRelays is how many relays may have outdated data before no other is tried: then the store is slow, and each further one that
	// reads it, the entry itself included, makes it slower.
	MaxOutdatedRelays = 3
)

const (
	// maxIdleAge is how old a relay's data may be while it replaces the entry's own reads: one read by the relay and one answer from it. If
	// maxIdleAgeShare of the bound for leaving endpoints is longer, that applies instead.
	maxIdleAge      = 1200 * time.Millisecond
	maxIdleAgeShare = 0.65
)

// Limits are how old a relay's data may be while it replaces the entry's own reads.
type Limits struct {
	// Idle applies to a relay that isn't reading the store, or whose last call failed.
	Idle time.Duration
	// Reading applies while a relay reads. It is longer, since a read that the entry began now would end later than the relay's.
	Reading time.Duration
}

// NewLimits returns the limits for a bound for leaving endpoints. While a relay reads, they leave one poll period of the bound for a read
// of the entry's own.
func NewLimits(bound, pollPeriod time.Duration) Limits {
	idle := max(maxIdleAge, time.Duration(maxIdleAgeShare*float64(bound)))
	return Limits{Idle: idle, Reading: max(idle, bound-pollPeriod)}
}

// MaxAge returns how old data may be from a relay that is reading or isn't.
func (l Limits) MaxAge(reading bool) time.Duration {
	if reading {
		return l.Reading
	}
	return l.Idle
}

// Source holds which relay an entry uses, which ones have failed, and how long the data received replaces reads of its own.
type Source struct {
	// dataReadAt is when the newest data received was read; sufficientUntil is how long it replaces reads of the entry's own.
	dataReadAt      clock.Instant
	sufficientUntil clock.Instant
	// failed holds the relays that can't be used now; others are used meanwhile.
	failed map[string]failure
	// current is the relay in use, and currentSince is when it was selected.
	current      string
	currentSince clock.Instant
	// nextOwnRead is when the entry may read all pages again without being its zone's relay.
	nextOwnRead clock.Instant
}

// failure is why a relay can't be used: it had outdated data, or else didn't answer.
type failure struct {
	outdated  bool
	nextProbe clock.Instant
}

// New returns the source of an entry that has just started.
func New(now clock.Instant) *Source {
	return &Source{failed: make(map[string]failure), sufficientUntil: now}
}

// RecordData records when the relay read the data that was received from it, and how old that data may become.
func (s *Source) RecordData(readAt clock.Instant, maxAge time.Duration) {
	s.dataReadAt = max(s.dataReadAt, readAt)
	s.sufficientUntil = s.dataReadAt.Add(maxAge)
}

// Suffices reports whether the data received is new enough that the entry need not read the store now.
func (s *Source) Suffices(now clock.Instant) bool { return now.Before(s.sufficientUntil) }

// MayReadAll reports whether an entry that isn't its zone's relay may read all pages itself: the data received has not sufficed for
// FallbackTimeout, and the pause after its last read is over.
func (s *Source) MayReadAll(now clock.Instant) bool {
	return now.Sub(s.sufficientUntil) > FallbackTimeout && !now.Before(s.nextOwnRead)
}

// RecordOwnRead records that the entry has read all pages, or failed to, in the time that the read took.
func (s *Source) RecordOwnRead(now clock.Instant, took time.Duration) {
	s.nextOwnRead = now.Add(min(OwnReadPause*took, MaxOwnReadPause))
}

// Usable returns those of the candidates that have not failed since they last had new data, in place, and none if MaxOutdatedRelays of them
// had outdated data.
func (s *Source) Usable(candidates []string) []string {
	usable, outdated := candidates[:0], 0
	for _, name := range candidates {
		f, failed := s.failed[name]
		switch {
		case !failed:
			usable = append(usable, name)
		case f.outdated:
			outdated++
		}
	}
	if outdated >= MaxOutdatedRelays {
		return nil
	}
	return usable
}

// RecordFailure schedules a probe of a relay that can't be used now, since its data is outdated or it didn't answer.
func (s *Source) RecordFailure(now clock.Instant, name string, outdated bool) {
	s.failed[name] = failure{outdated, now.Add(ProbeInterval)}
}

// Restore puts a relay back into the selection, or drops one that is no longer known.
func (s *Source) Restore(name string) { delete(s.failed, name) }

// DueProbes returns the failed relays that should be queried again now.
func (s *Source) DueProbes(now clock.Instant) []string {
	var names []string
	for name, f := range s.failed {
		if !now.Before(f.nextProbe) {
			names = append(names, name)
		}
	}
	return names
}

// Hold returns for how long the relay in use may hold a query open: up to a limit, but not past the next probe of one that has failed.
func (s *Source) Hold(now clock.Instant, limit time.Duration) time.Duration {
	for _, f := range s.failed {
		limit = min(limit, max(0, f.nextProbe.Sub(now)))
	}
	return limit
}

// RecentlySelected reports whether a relay may not have read everything yet because it has only just been selected.
func (s *Source) RecentlySelected(now clock.Instant, name string) bool {
	return s.current != name || now.Sub(s.currentSince) < FirstReadTimeout
}

// Select records which relay is in use, and returns the one before and whether the entry has to read the store at once in its place; names
// are empty while the entry reads the store itself.
func (s *Source) Select(now clock.Instant, name string) (previous string, takesOver bool) {
	previous = s.current
	if previous != name {
		s.current, s.currentSince = name, now
	}
	return previous, previous != "" && name == ""
}
