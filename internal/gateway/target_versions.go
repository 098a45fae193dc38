package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
)

const (
	// maxSharedVersions is the most target versions that one message to a peer carries.
	maxSharedVersions = 512
	// loggedGain is by how much more recent than known a peer must know an announcement to be for that to be logged.
	loggedGain = 250 * time.Millisecond
)

// modelTarget is a target weight version of a model.
type modelTarget struct {
	model  string
	target placement.TargetVersion
}

// maxAgeMillis returns the most time in milliseconds that may have passed since a target version was announced, or -1 if it is unknown.
func maxAgeMillis(target placement.TargetVersion) int64 {
	if target.AnnouncedAfter == 0 {
		return -1
	}
	return clock.Now().Sub(target.AnnouncedAfter).Milliseconds()
}

// addTargetVersions records target versions, all at once: the announcement of one says nothing of the versions between it and those of
// engines. It returns those whose announcement is now known to be clearly more recent than before.
func (p *placer) addTargetVersions(list []modelTarget) []modelTarget {
	p.mu.Lock()
	defer p.mu.Unlock()
	var improved []modelTarget
	for _, t := range list {
		if t.target.AnnouncedAfter.Sub(p.announcedAfter(t.model, t.target.Version)) > loggedGain {
			improved = append(improved, t)
		}
		p.targets[t.model] = placement.MergeTargetVersion(p.targets[t.model], t.target)
		for _, pool := range p.pools {
			pool.SetTargetVersion(t.model, t.target)
		}
	}
	return improved
}

// announcedAfter returns the latest instant at which a version is known not to have been announced; the caller holds the lock.
func (p *placer) announcedAfter(model string, version int) clock.Instant {
	for _, target := range p.targets[model] {
		if target.Version == version {
			return target.AnnouncedAfter
		}
	}
	return 0
}

// hasUnknownAge reports whether the announcement of some target version may be recent without that being known here.
func (p *placer) hasUnknownAge(now clock.Instant) bool {
	grace := p.node.bounds.Load().OldWeightsGrace
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.targets {
		for _, target := range list {
			if target.AnnouncedAfter == 0 && now.Sub(target.SeenAt) < grace {
				return true
			}
		}
	}
	return false
}

// sharedTargets returns the target versions known here with their ages, for a peer; if recent is true, only those of models for which older
// weights may still be used.
func (p *placer) sharedTargets(now clock.Instant, recent bool) []peer.TargetVersion {
	grace := p.node.bounds.Load().OldWeightsGrace
	isRecent := func(target placement.TargetVersion) bool {
		return target.AnnouncedAfter != 0 && now.Sub(target.AnnouncedAfter) < grace
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var shared []peer.TargetVersion
	for model, list := range p.targets {
		if len(shared)+len(list) > maxSharedVersions || recent && !slices.ContainsFunc(list, isRecent) {
			continue
		}
		shared = appendTargets(shared, now, model, list)
	}
	return shared
}

// targetsBeyond returns the target versions of a model with their ages, for a peer; none unless one of them is newer than the given version,
// which is zero for a plain service.
func (p *placer) targetsBeyond(now clock.Instant, model string, version int) []peer.TargetVersion {
	if version == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.targets[model]
	if len(list) == 0 || list[len(list)-1].Version <= version {
		return nil
	}
	return appendTargets(nil, now, model, list)
}

// appendTargets appends a model's target versions with their ages to those for a peer.
func appendTargets(shared []peer.TargetVersion, now clock.Instant, model string, list []placement.TargetVersion) []peer.TargetVersion {
	for _, target := range list {
		t := peer.TargetVersion{Model: model, Version: target.Version}
		if target.AnnouncedAfter != 0 {
			t.MaxAge = max(1, now.Sub(target.AnnouncedAfter))
		}
		shared = append(shared, t)
	}
	return shared
}

// learnTargetVersions records what a peer knows of the announcement of target versions; its ages hold as of the given instant or later.
func (n *Node) learnTargetVersions(asOf clock.Instant, from string, shared []peer.TargetVersion) {
	list := make([]modelTarget, 0, len(shared))
	for _, s := range shared {
		target := placement.TargetVersion{Version: s.Version}
		if s.MaxAge > 0 {
			target.AnnouncedAfter = asOf.Add(-s.MaxAge)
		}
		list = append(list, modelTarget{s.Model, target})
	}
	for _, t := range n.placer.addTargetVersions(list) {
		n.log.Info(event.WeightsAnnounced, "target weight version is newer than known", zap.String("model", t.model),
			zap.Int("version", t.target.Version), zap.Int64("age_ms", maxAgeMillis(t.target)), zap.String("age_from", from))
	}
}
