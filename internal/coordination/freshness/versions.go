package freshness

import "gypsumvale/internal/state/kv"

// VersionTracker tracks the versions of a configuration, some of which can't be decoded.
//
// Between the newest decoded version and a later one that can't be decoded, there may be other versions that were in force but have not
// been received. Until they are known, the newest decoded version may grant what a later one has revoked.
type VersionTracker struct {
	decoded     kv.Revision
	undecodable kv.Revision
	knownUntil  kv.Revision
}

// RecordDecoded records a version that could be decoded.
func (s *VersionTracker) RecordDecoded(at kv.Revision) { s.decoded = max(s.decoded, at) }

// RecordUndecodable records a version that could not be decoded.
func (s *VersionTracker) RecordUndecodable(at kv.Revision) { s.undecodable = max(s.undecodable, at) }

// Gap returns the newest decoded version and the newest one that could not be decoded. It sets open if the latter is newer and the
// versions between them are not known.
func (s *VersionTracker) Gap() (after, until kv.Revision, open bool) {
	return s.decoded, s.undecodable, s.undecodable > max(s.decoded, s.knownUntil)
}

// MarkKnown records that all versions up to the given one are known.
func (s *VersionTracker) MarkKnown(until kv.Revision) { s.knownUntil = max(s.knownUntil, until) }

// RequestAfter returns the revision after which versions must be requested: the start of the gap if there is one, and otherwise the newest
// revision.
func (s *VersionTracker) RequestAfter(newest kv.Revision) kv.Revision {
	if after, _, open := s.Gap(); open {
		return after
	}
	return newest
}
