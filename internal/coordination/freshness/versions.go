package freshness

import "gypsumvale/internal/state/kv"

// Sequence tracks the versions of a configuration, some of which can't be decoded.
//
// Between the newest decoded version and a later one that can't be decoded, there may be other versions that were in force but have not
// been received. Until they are known, the newest decoded version may grant what a later one has revoked.
type Sequence struct {
	decoded     kv.Revision
	undecodable kv.Revision
	knownUntil  kv.Revision
}

// Read records a version that could be decoded.
func (s *Sequence) Read(at kv.Revision) { s.decoded = max(s.decoded, at) }

// Unreadable records a version that could not be decoded.
func (s *Sequence) Unreadable(at kv.Revision) { s.undecodable = max(s.undecodable, at) }

// Gap returns the newest decoded version and the newest one that could not be decoded. It sets open if the latter is newer and the
// versions between them are not known.
func (s *Sequence) Gap() (after, until kv.Revision, open bool) {
	return s.decoded, s.undecodable, s.undecodable > max(s.decoded, s.knownUntil)
}

// Bridge records that all versions up to the given one are known.
func (s *Sequence) Bridge(until kv.Revision) { s.knownUntil = max(s.knownUntil, until) }

// Asks returns the revision after which versions must be requested: the start of the gap if there is one, and otherwise the newest
// revision.
func (s *Sequence) Asks(newest kv.Revision) kv.Revision {
	if after, _, open := s.Gap(); open {
		return after
	}
	return newest
}
