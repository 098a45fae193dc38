package throttle

import (
	"time"

	"gypsumvale/internal/state/clock"
)

const (
	// Span is the time over which an endpoint's requests are counted.
	Span = 4 * time.Second
	// burstTime is the time for which unused admissions are saved up, one at least.
	burstTime = 500 * time.Millisecond
	// minPerSecond is the lowest rate: only the answer to a request shows that a limit has ended.
	minPerSecond = 0.25
	// namedTimeout is how long a limit is in force without being named again. The lowest rate brings several answers in that time.
	namedTimeout = 15 * time.Second
	// reportPeriod is how often a limit that is named again is reported.
	reportPeriod = 250 * time.Millisecond
	// roundingError is allowed for sums of admissions.
	roundingError = 1e-9
)

// Authority is what a process may admit to an endpoint.
type Authority struct {
	// SoleSince is since when no other process admits requests to the endpoint, or zero if others may.
	SoleSince clock.Instant
	// Share is the number of requests per Span that the process may admit although others admit some too.
	Share int
}

// Endpoint is the limit of one incarnation of an endpoint. The zero value is without a limit.
//
//	load pattern                                     response
//	an answer names a limit                          the only process that admits requests keeps to that rate; others to their shares
//	bursts while the endpoint names a limit          what was left unused for half a second goes at once, the rest at the rate
//	another process begins to admit requests         it has nothing saved up, since the one before may have used it
//	answers overtake each other                      only the answer to a request that was sent after the limit was named ends it
//	no answer for a long time                        the limit lapses
type Endpoint struct {
	perSecond float64
	// namedAt is when the limit was last named, zero without a limit, and reportedAt when that was last to be reported.
	namedAt, reportedAt clock.Instant
	// saved is the number of requests that the only process may admit at once as of savedAt, and soleSince since when it is the only one.
	saved     float64
	savedAt   clock.Instant
	soleSince clock.Instant
	// admitted holds when requests were admitted in the last Span.
	admitted []clock.Instant
}

// Name records that the endpoint has named a limit, and reports whether it was in force before with the same rate.
func (e *Endpoint) Name(now clock.Instant, perSecond float64) (known bool) {
	known = e.Limited(now) && e.perSecond == perSecond
	if !e.Limited(now) {
		e.saved, e.savedAt, e.admitted = 0, now, nil
	} else {
		e.save(now)
	}
	e.perSecond, e.namedAt = perSecond, now
	return known
}

// Lift records that the endpoint has named no limit in the answer to a request that was sent at an instant, and reports whether that ends one.
func (e *Endpoint) Lift(now, sentAt clock.Instant) bool {
	if !e.Limited(now) || !e.namedAt.Before(sentAt) {
		return false
	}
	e.namedAt = 0
	return true
}

// ReportDue reports whether it is time to report again that the limit is in force, and counts that as done.
func (e *Endpoint) ReportDue(now clock.Instant) bool {
	if e.reportedAt != 0 && now.Before(e.reportedAt.Add(reportPeriod)) {
		return false
	}
	e.reportedAt = now
	return true
}

// Limited reports whether a limit is in force.
func (e *Endpoint) Limited(now clock.Instant) bool {
	return e.namedAt != 0 && now.Before(e.namedAt.Add(namedTimeout))
}

// PerSecond returns the rate that the endpoint has named last.
func (e *Endpoint) PerSecond() float64 { return e.perSecond }

// Rate returns the number of requests per second that the endpoint gets.
func (e *Endpoint) Rate() float64 { return max(e.perSecond, minPerSecond) }

// Admissions returns the number of requests that all processes together may admit in each Span.
func (e *Endpoint) Admissions() int { return int(e.Rate() * Span.Seconds()) }

// Permits reports whether the endpoint may get a request now.
func (e *Endpoint) Permits(now clock.Instant, a Authority) bool {
	if !e.Limited(now) {
		return true
	}
	if a.SoleSince == 0 {
		return len(e.recent(now)) < a.Share
	}
	if e.soleSince != a.SoleSince {
		e.soleSince, e.saved, e.savedAt = a.SoleSince, 0, max(e.savedAt, a.SoleSince)
	}
	e.save(now)
	return e.saved >= 1-roundingError
}

// NextAt returns when the next request may be permitted at the earliest, if none is now.
func (e *Endpoint) NextAt(now clock.Instant, a Authority) clock.Instant {
	switch {
	case a.SoleSince != 0:
		e.save(now)
		return now.Add(time.Duration(max(0, 1-e.saved) / e.Rate() * float64(time.Second)))
	case a.Share > 0 && len(e.recent(now)) >= a.Share:
		return e.admitted[len(e.admitted)-a.Share].Add(Span)
	}
	return now.Add(Span)
}

// Admit records that the endpoint gets a request.
func (e *Endpoint) Admit(now clock.Instant) {
	if !e.Limited(now) {
		return
	}
	e.saved = max(0, e.saved-1)
	e.admitted = append(e.recent(now), now)
}

// save adds what was left unused since the last call.
func (e *Endpoint) save(now clock.Instant) {
	most := max(1, e.Rate()*burstTime.Seconds())
	e.saved = min(most, e.saved+e.Rate()*now.Sub(e.savedAt).Seconds())
	e.savedAt = now
}

// recent returns the admissions of the last Span.
func (e *Endpoint) recent(now clock.Instant) []clock.Instant {
	i := 0
	for i < len(e.admitted) && !now.Before(e.admitted[i].Add(Span)) {
		i++
	}
	e.admitted = e.admitted[i:]
	return e.admitted
}
