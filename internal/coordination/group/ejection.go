package group

import (
	"sort"
	"time"
)

// recordRatio applies a grant's ratio of actual to expected time to its endpoint.
//
// It ignores grants that started before the endpoint was restored and, while the endpoint is ejected, all grants but the probe: long work
// may end long after its endpoint has become slow or has recovered, so its ratio doesn't describe the endpoint's present speed.
func (q *Queue) recordRatio(now time.Time, e *endpointState, g *activeGrant, ratio float64) {
	if g.started.Before(e.restoredAt) || e.ejected && g != e.probe {
		return
	}
	e.observe(now, ratio)
	if e.ejected {
		q.finishProbe(now, e, ratio)
		return
	}
	q.ejectIfSlow(now, e)
}

// finishProbe restores an ejected endpoint if the probe's ratio is healthy, and schedules the next probe otherwise.
func (q *Queue) finishProbe(now time.Time, e *endpointState, ratio float64) {
	e.probe = nil
	e.nextProbeAt = now.Add(e.probeInterval(now))
	if ratio > restoreRatio*q.medianSlowdown(now) {
		return
	}
	e.ejected = false
	e.restoredAt = now
	e.smoothedRatio, e.observedAt = ratio, now
}

// ejectIfSlow ejects an endpoint that is much slower than the group's median, provided that enough others stay in use.
func (q *Queue) ejectIfSlow(now time.Time, e *endpointState) {
	if e.ejected || e.slowdown(now) < ejectRatio*q.medianSlowdown(now) {
		return
	}
	if float64(q.inUseCount()-1) < minInUseShare*float64(len(q.names)) {
		return
	}
	e.ejected = true
	e.probe = nil
	e.ejectedAt = now
	e.nextProbeAt = now.Add(e.probeInterval(now))
}

func (q *Queue) inUseCount() int {
	n := 0
	for _, e := range q.endpoints {
		if !e.ejected && !e.Leaving {
			n++
		}
	}
	return n
}

// medianSlowdown returns the group's median slowdown, but at least one. Ejection compares with the median so that an error common to all
// estimates ejects no endpoint.
func (q *Queue) medianSlowdown(now time.Time) float64 {
	slowdowns := make([]float64, 0, len(q.names))
	for _, name := range q.names {
		slowdowns = append(slowdowns, q.endpoints[name].slowdown(now))
	}
	if len(slowdowns) == 0 {
		return 1
	}
	sort.Float64s(slowdowns)
	return max(slowdowns[len(slowdowns)/2], 1)
}
