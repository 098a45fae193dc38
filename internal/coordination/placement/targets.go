package placement

import (
	"slices"
	"time"

	"gypsumvale/internal/state/clock"
)

// TargetVersion is a weight version that a model should run, with the bounds of its announcement.
type TargetVersion struct {
	Version int
	// AnnouncedAfter is the latest instant at which the version is known not to have been announced yet. Zero is unknown: then older weights
	// are not used, since the version may have been announced long ago.
	AnnouncedAfter clock.Instant
	// SeenAt is when this process first saw the version, or zero if it has only heard of it.
	SeenAt clock.Instant
}

// maxTargetVersions is the most target versions remembered per model.
const maxTargetVersions = 8

// MergeTargetVersion adds what is known of a target version to a model's list, which is ordered by version. Of two bounds, both are true
// and the tighter one is kept.
func MergeTargetVersion(list []TargetVersion, w TargetVersion) []TargetVersion {
	i, known := slices.BinarySearchFunc(list, w.Version, func(held TargetVersion, version int) int { return held.Version - version })
	if !known {
		list = slices.Insert(list, i, w)
		return list[max(0, len(list)-maxTargetVersions):]
	}
	held := &list[i]
	held.AnnouncedAfter = max(held.AnnouncedAfter, w.AnnouncedAfter)
	if held.SeenAt == 0 || w.SeenAt != 0 && w.SeenAt.Before(held.SeenAt) {
		held.SeenAt = w.SeenAt
	}
	return list
}

// SetOldWeightsGrace changes how long older weights may be used after newer ones were announced.
func (p *Pool) SetOldWeightsGrace(d time.Duration) { p.cfg.OldWeightsGrace = d }

// SetTargetVersion records a weight version that a model should run, or more about a known one. Earlier versions are remembered.
func (p *Pool) SetTargetVersion(model string, w TargetVersion) {
	p.targets[model] = MergeTargetVersion(p.targets[model], w)
}

// target returns the version that a model should run now.
func (p *Pool) target(model string) (TargetVersion, bool) {
	list := p.targets[model]
	if len(list) == 0 {
		return TargetVersion{}, false
	}
	return list[len(list)-1], true
}

// oldestUsableVersion returns the oldest weight version of a model that may still be used: a newer target version than older ones may have
// been announced too long ago. Zero allows all.
func (p *Pool) oldestUsableVersion(now clock.Instant, model string) int {
	oldest := 0
	if model == "" {
		return oldest
	}
	for _, target := range p.targets[model] {
		if target.AnnouncedAfter == 0 || now.Sub(target.AnnouncedAfter) > p.cfg.OldWeightsGrace {
			oldest = max(oldest, target.Version)
		}
	}
	return oldest
}

// UsableUntil returns until when a weight version may be used as far as is known, or zero if no newer one has been announced.
func (p *Pool) UsableUntil(model string, version int) clock.Instant {
	var until clock.Instant
	for _, target := range p.targets[model] {
		announced := target.AnnouncedAfter
		if announced == 0 {
			announced = target.SeenAt
		}
		if target.Version <= version || announced == 0 {
			continue
		}
		if end := announced.Add(p.cfg.OldWeightsGrace); until == 0 || end.Before(until) {
			until = end
		}
	}
	return until
}

// Replaced reports whether a weight version may certainly not be used any more, whatever others know of the announcement of newer ones.
func (p *Pool) Replaced(now clock.Instant, model string, version int) bool {
	for _, target := range p.targets[model] {
		if target.Version > version && target.SeenAt != 0 && now.Sub(target.SeenAt) > p.cfg.OldWeightsGrace {
			return true
		}
	}
	return false
}
