package group

import (
	"math"
	"time"
)

// activeGrant is a grant that has not ended.
type activeGrant struct {
	request GrantRequest
	started time.Time
	// demoted is true once short work has taken so much longer than estimated that it counts as long.
	demoted bool
	// firstTokenSeen is true once the first token has arrived.
	firstTokenSeen bool
}

// endpointState is an owner's record of one endpoint: the active grants, which are exact, and how fast the endpoint serves them.
type endpointState struct {
	Member
	active map[GrantID]*activeGrant
	// smoothedRatio is the moving average of actual divided by expected service time.
	smoothedRatio float64
	observedAt    time.Time
	ejected       bool
	ejectedAt     time.Time
	restoredAt    time.Time
	nextProbeAt   time.Time
	// probe is the grant that is testing an ejected endpoint, or nil.
	probe *activeGrant
}

const (
	ratioWeight     = 0.3
	ratioHalfLife   = 2 * time.Second
	ejectRatio      = 2.5
	minLoadSlowdown = 1.2
	restoreRatio    = 1.5
	demoteRatio     = 4.0
	// minProbeInterval and maxProbeInterval bound the time between probes. Each probe risks a slow response for one caller, while an
	// endpoint that has recovered but has not been probed yet withholds its slots from all callers.
	minProbeInterval = 2 * time.Second
	maxProbeInterval = 8 * time.Second
	// probeIntervalShare is the time until the next probe as a share of the time since the endpoint was ejected.
	probeIntervalShare = 0.5
	// minInUseShare is the minimum share of a group's endpoints that ejection leaves in use.
	minInUseShare = 0.6
	// overrunTolerance prevents small absolute delays of very short requests from counting as slowness.
	overrunTolerance = 20 * time.Millisecond
)

func newEndpointState(m Member) *endpointState {
	return &endpointState{Member: m, active: make(map[GrantID]*activeGrant), smoothedRatio: 1}
}

// observe adds one ratio of actual to expected time to the moving average.
func (e *endpointState) observe(now time.Time, ratio float64) {
	decayed := e.decayedRatio(now)
	e.smoothedRatio = decayed + ratioWeight*(ratio-decayed)
	e.observedAt = now
}

// decayedRatio returns the smoothed ratio, decayed towards one with the time since the last observation.
//
// An endpoint that appears slightly slow receives no work while others are idle. Without the decay it would appear slow forever.
func (e *endpointState) decayedRatio(now time.Time) float64 {
	if e.ejected || e.observedAt.IsZero() {
		return e.smoothedRatio
	}
	halvings := now.Sub(e.observedAt).Seconds() / ratioHalfLife.Seconds()
	return 1 + (e.smoothedRatio-1)*math.Exp2(-halvings)
}

// slowdown returns the larger of the decayed ratio and the mean overdue factor of the active grants.
//
// A stalled endpoint completes nothing and so yields no ratios. Its overdue grants are the only sign that it is slow.
func (e *endpointState) slowdown(now time.Time) float64 {
	overdue, n := 0.0, 0
	for _, g := range e.active {
		if ratio := g.overdue(now); ratio > 0 && !g.started.Before(e.restoredAt) {
			overdue += ratio
			n++
		}
	}
	if n == 0 {
		return e.decayedRatio(now)
	}
	return max(e.decayedRatio(now), overdue/float64(n))
}

// overdue returns the time that a grant has taken so far, to its first token or to its end, divided by the expected time. It returns zero
// if the grant is not overdue.
func (g *activeGrant) overdue(now time.Time) float64 {
	elapsed := now.Sub(g.started)
	switch {
	case !g.firstTokenSeen && g.request.First > 0 && elapsed > g.request.First+overrunTolerance:
		return float64(elapsed) / float64(g.request.First)
	case g.request.Class == ClassShort && elapsed > g.request.Cost+overrunTolerance:
		return float64(elapsed) / float64(g.request.Cost)
	}
	return 0
}

// probeInterval returns the time until the next probe. It grows with the time since the ejection: most endpoints are slow only briefly, and
// one that stays slow is probed less and less often.
func (e *endpointState) probeInterval(now time.Time) time.Duration {
	return min(max(minProbeInterval, time.Duration(probeIntervalShare*float64(now.Sub(e.ejectedAt)))), maxProbeInterval)
}

// load returns the number of grants per slot that the endpoint would have after one more, weighted by its slowdown.
func (e *endpointState) load(now time.Time) float64 {
	// Small differences in slowdown are noise. Without the floor the fastest endpoint would receive all work.
	return (float64(len(e.active)) + 1) / float64(e.Slots) * max(e.slowdown(now), minLoadSlowdown)
}

// longCount returns the number of grants for long work, including short work that counts as long.
func (e *endpointState) longCount(now time.Time) int {
	n := 0
	for _, g := range e.active {
		if g.request.Class == ClassLong || g.countsAsLong(now) {
			n++
		}
	}
	return n
}

// countsAsLong reports whether a grant has taken much longer than its estimate. Once true, it stays true.
func (g *activeGrant) countsAsLong(now time.Time) bool {
	if g.demoted {
		return true
	}
	limit := time.Duration(demoteRatio * float64(g.request.Cost))
	g.demoted = now.Sub(g.started) > limit+overrunTolerance
	return g.demoted
}

// reservedSlots returns the number of the endpoint's slots that long work may not occupy.
func (e *endpointState) reservedSlots() int {
	const reserveDivisor = 4
	if e.Slots == 1 {
		return 0
	}
	return max(1, e.Slots/reserveDivisor)
}

// accepts reports whether the endpoint may be granted to a request now.
func (e *endpointState) accepts(now time.Time, req *GrantRequest) bool {
	if e.Leaving || len(e.active) >= e.Slots {
		return false
	}
	if req.Suspect && e.hasSuspect() {
		return false
	}
	if req.Version != "" && e.Version != "" && req.Version != e.Version {
		return false
	}
	if avoids(req, e.Name) {
		return false
	}
	if req.Class == ClassLong && e.longCount(now) >= e.Slots-e.reservedSlots() {
		return false
	}
	return !e.ejected || e.mayProbe(now, req)
}

// hasSuspect reports whether the endpoint is serving a suspect request. Suspect requests are kept on separate endpoints so that a second
// crash can be attributed to one of them.
func (e *endpointState) hasSuspect() bool {
	for _, g := range e.active {
		if g.request.Suspect {
			return true
		}
	}
	return false
}

// mayProbe reports whether a request may probe an ejected endpoint. Probes are short requests, one at a time.
func (e *endpointState) mayProbe(now time.Time, req *GrantRequest) bool {
	return req.Class == ClassShort && e.probe == nil && !now.Before(e.nextProbeAt)
}
