package throttle

import (
	"time"

	"gypsumvale/internal/state/clock"
)

const (
	// rejectionSpan is the time over which an endpoint's rejections are counted.
	rejectionSpan = time.Second
	// rejectionShare is the share of the rejections that an endpoint survives that may come of this system's own requests: what is under way
	// when the last one arrives may be rejected too.
	rejectionShare = 0.5
	// loneSpan is the time in which a process that has no share of the rejections may cause one.
	loneSpan = 20 * time.Second
	// cautionTime is for how long after a rejection an endpoint gets no more requests at a time than it may reject.
	cautionTime = 2 * time.Second
)

// Rejections is what one incarnation of a brittle endpoint survives: it falls over if it has to turn away more requests in a second, for want of
// room, than it names. The zero value is an endpoint that isn't brittle.
//
//	load pattern                                     response
//	an endpoint that is full rejects requests        after half of the rejections that it survives in a second it gets no more for the rest of
//	                                                 that second
//	many wait until it takes requests again          for two seconds it gets no more of them at a time than it may still reject
//	there is no leader, everyone places alone        each process may cause its share; without one, a single rejection in 20 s
//	answers overtake each other                      only the answer to a request that was sent after the naming ends it
//	no answer for a long time                        what was named lapses
type Rejections struct {
	perSecond           int
	namedAt, reportedAt clock.Instant
	// recent holds when the endpoint has rejected requests, the newest last.
	recent []clock.Instant
}

// Name records how many requests a second the endpoint survives turning away, and reports whether that was known.
func (r *Rejections) Name(now clock.Instant, perSecond int) (known bool) {
	known = r.InForce(now) && r.perSecond == perSecond
	r.perSecond, r.namedAt = perSecond, now
	return known
}

// End records that the endpoint doesn't say to be brittle in the answer to a request that was sent at an instant, and reports whether it was.
func (r *Rejections) End(now, sentAt clock.Instant) bool {
	if !r.InForce(now) || !r.namedAt.Before(sentAt) {
		return false
	}
	r.namedAt = 0
	return true
}

// ReportDue reports whether it is time to report again that the endpoint is brittle, and counts that as done.
func (r *Rejections) ReportDue(now clock.Instant) bool {
	if r.reportedAt != 0 && now.Before(r.reportedAt.Add(reportPeriod)) {
		return false
	}
	r.reportedAt = now
	return true
}

// InForce reports whether the endpoint is brittle.
func (r *Rejections) InForce(now clock.Instant) bool {
	return r.namedAt != 0 && now.Before(r.namedAt.Add(namedTimeout))
}

// PerSecond returns the number that the endpoint has named last.
func (r *Rejections) PerSecond() int { return r.perSecond }

// Most returns how many rejections in a second all processes together may cause.
func (r *Rejections) Most() int { return max(1, int(rejectionShare*float64(r.perSecond))) }

// Record records that the endpoint has rejected a request.
func (r *Rejections) Record(now clock.Instant) {
	kept := r.recent[:0]
	for _, at := range r.recent {
		if now.Sub(at) < loneSpan {
			kept = append(kept, at)
		}
	}
	r.recent = append(kept, now)
}

// allowance returns how many rejections in a span the process may cause.
func (r *Rejections) allowance(a Authority) (most int, span time.Duration) {
	switch {
	case a.SoleSince != 0:
		return r.Most(), rejectionSpan
	case a.Share <= 0:
		return 1, loneSpan
	}
	return a.Share, rejectionSpan
}

// PermittedAt returns when the endpoint may get a request that it may reject, which is now or earlier if it may at once.
func (r *Rejections) PermittedAt(now clock.Instant, a Authority) clock.Instant {
	most, span := r.allowance(a)
	if !r.InForce(now) || len(r.recent) < most {
		return now
	}
	return r.recent[len(r.recent)-most].Add(span)
}

// Unproven returns how many requests the endpoint may have that it hasn't begun to answer and that were sent after an instant, which is that of
// its last rejection. It returns false if that is so long ago that the endpoint counts as having room.
func (r *Rejections) Unproven(now clock.Instant, a Authority) (limit int, since clock.Instant, limited bool) {
	if len(r.recent) == 0 {
		return 0, 0, false
	}
	since = r.recent[len(r.recent)-1]
	if !r.InForce(now) || now.Sub(since) >= cautionTime {
		return 0, 0, false
	}
	most, span := r.allowance(a)
	for _, at := range r.recent {
		if now.Sub(at) < span {
			most--
		}
	}
	return max(0, most), since, true
}
