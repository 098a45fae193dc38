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
func (t *VersionTracker) RecordDecoded(at kv.Revision) { t.decoded = max(t.decoded, at) }

// RecordUndecodable records a version that could not be decoded.
func (t *VersionTracker) RecordUndecodable(at kv.Revision) { t.undecodable = max(t.undecodable, at) }

// Gap returns the newest decoded version and the newest one that could not be decoded. It sets open if the latter is newer and the
// versions between them are not known.
func (t *VersionTracker) Gap() (after, until kv.Revision, open bool) {
	return t.decoded, t.undecodable, t.undecodable > max(t.decoded, t.knownUntil)
}

// UndecodableIsNewest reports whether the newest version that was recorded could not be decoded.
func (t *VersionTracker) UndecodableIsNewest() bool { return t.undecodable > t.decoded }

// MarkKnown records that all versions up to the given one are known.
func (t *VersionTracker) MarkKnown(until kv.Revision) { t.knownUntil = max(t.knownUntil, until) }

// RequestAfter returns the revision after which versions must be requested: the start of the gap if there is one, and otherwise the newest
// revision.
func (t *VersionTracker) RequestAfter(newest kv.Revision) kv.Revision {
	if after, _, open := t.Gap(); open {
		return after
	}
	return newest
}
