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
)

// Source holds which relay an entry uses, which ones have failed, and how long the data received replaces reads of its own.
type Source struct {
	// sufficientUntil is how long the data received replaces reads of the entry's own.
	sufficientUntil clock.Instant
	// nextProbe holds the relays that failed or had outdated data, with the time of their next probe; other relays are used meanwhile.
	nextProbe map[string]clock.Instant
	// current is the relay in use, and currentSince is when it was selected.
	current      string
	currentSince clock.Instant
}

// New returns the source of an entry that has just started.
func New(now clock.Instant) *Source {
	return &Source{nextProbe: make(map[string]clock.Instant), sufficientUntil: now}
}

// RecordData records when the relay read the data that was received from it, and how old that data may become.
func (s *Source) RecordData(readAt clock.Instant, maxAge time.Duration) {
	s.sufficientUntil = max(s.sufficientUntil, readAt.Add(maxAge))
}

// Suffices reports whether the data received is new enough that the entry need not read the store now.
func (s *Source) Suffices(now clock.Instant) bool { return now.Before(s.sufficientUntil) }

// TimedOut reports whether the data received has not sufficed for so long that the entry reads all pages itself.
func (s *Source) TimedOut(now clock.Instant) bool {
	return now.Sub(s.sufficientUntil) > FallbackTimeout
}

// Usable returns those of the candidates that have not failed since they last had new data, in place.
func (s *Source) Usable(candidates []string) []string {
	usable := candidates[:0]
	for _, name := range candidates {
		if _, failed := s.nextProbe[name]; !failed {
			usable = append(usable, name)
		}
	}
	return usable
}

// RecordFailure schedules a probe of a relay that can't be used now.
func (s *Source) RecordFailure(now clock.Instant, name string) {
	s.nextProbe[name] = now.Add(ProbeInterval)
}

// Restore puts a relay back into the selection, or drops one that is no longer known.
func (s *Source) Restore(name string) { delete(s.nextProbe, name) }

// DueProbes returns the failed relays that should be queried again now.
func (s *Source) DueProbes(now clock.Instant) []string {
	var names []string
	for name, next := range s.nextProbe {
		if !now.Before(next) {
			names = append(names, name)
		}
	}
	return names
}

// Hold returns for how long the relay in use may hold a query open.
func (s *Source) Hold(_ clock.Instant, limit time.Duration) time.Duration { return limit }

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
