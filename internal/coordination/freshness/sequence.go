package freshness

import "gypsumvale/internal/state/kv"

// VersionTracker follows the versions of a configuration, some of which can't be read.
//
// Behind a version that can't be read may lie others that were in force, unseen. Until it is known what lies between, the newest
// version that was read may allow what a later one took away.
type VersionTracker struct {
	readable   kv.Revision
	unreadable kv.Revision
	bridged    kv.Revision
}

// RecordDecoded notes a version that could be read.
func (s *VersionTracker) RecordDecoded(at kv.Revision) { s.readable = max(s.readable, at) }

// RecordUndecodable notes a version that could not be read.
func (s *VersionTracker) RecordUndecodable(at kv.Revision) { s.unreadable = max(s.unreadable, at) }

// Gap returns the newest version that was read and a newer one that could not be, if it is not known what lies between.
func (s *VersionTracker) Gap() (after, until kv.Revision, open bool) {
	return s.readable, s.unreadable, s.unreadable > max(s.readable, s.bridged)
}

// MarkKnown notes that all versions up to one are known.
func (s *VersionTracker) MarkKnown(until kv.Revision) { s.bridged = max(s.bridged, until) }

// RequestAfter returns the revision from which on versions are to be asked for.
func (s *VersionTracker) RequestAfter(newest kv.Revision) kv.Revision {
	if after, _, open := s.Gap(); open {
		return after
	}
	return newest
}
