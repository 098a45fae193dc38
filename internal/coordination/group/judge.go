package group

import (
	"sort"
	"time"
)

// observe takes what a use shows of its endpoint's pace, as far as that tells how fast the endpoint is now: long work ends long after
// its endpoint has become slow, or well again.
func (q *Queue) observe(now time.Time, s *seat, u *use, ratio float64) {
	if u.started.Before(s.restoredAt) || s.ejected && u != s.probe {
		return
	}
	s.observe(now, ratio)
	if s.ejected {
		q.probed(now, s, ratio)
		return
	}
	q.judge(now, s)
}

// probed restores an ejected endpoint after a probe at a healthy pace.
func (q *Queue) probed(now time.Time, s *seat, ratio float64) {
	s.probe = nil
	s.probeAt = now.Add(s.probeWait(now))
	if ratio > restoreRatio*q.typicalPace(now) {
		return
	}
	s.ejected = false
	s.restoredAt = now
	s.ratio, s.observedAt = ratio, now
}

// judge ejects an endpoint that is much slower than the group's median, while enough others stay.
func (q *Queue) judge(now time.Time, s *seat) {
	if s.ejected || s.pace(now) < ejectRatio*q.typicalPace(now) {
		return
	}
	if float64(q.inUse()-1) < ejectFloor*float64(len(q.order)) {
		return
	}
	s.ejected = true
	s.probe = nil
	s.ejectedAt = now
	s.probeAt = now.Add(s.probeWait(now))
}

func (q *Queue) inUse() int {
	n := 0
	for _, s := range q.seats {
		if !s.ejected && !s.Leaving {
			n++
		}
	}
	return n
}

// typicalPace is the median pace, so that an error common to all estimates ejects nobody.
func (q *Queue) typicalPace(now time.Time) float64 {
	paces := make([]float64, 0, len(q.order))
	for _, name := range q.order {
		paces = append(paces, q.seats[name].pace(now))
	}
	if len(paces) == 0 {
		return 1
	}
	sort.Float64s(paces)
	return max(paces[len(paces)/2], 1)
}
