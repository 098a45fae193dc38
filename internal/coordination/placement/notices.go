package placement

import (
	"math"
	"time"

	"gypsumvale/internal/coordination/notice"
	"gypsumvale/internal/state/clock"
)

// notice returns why an endpoint gets no requests from an entry, and the end of its pause if it is paused.
func (p *Pool) notice(now clock.Instant, s *endpointState, entry string) (notice.Reason, clock.Instant) {
	if p.cfg.Notices == nil || p.cfg.Notices.Empty() {
		return notice.None, 0
	}
	return p.cfg.Notices.Check(now, entry, s.Incarnation())
}

// barred reports whether an endpoint has said that it wants no requests of the entry that asks.
func (p *Pool) barred(now clock.Instant, s *endpointState, req *Request) bool {
	reason, _ := p.notice(now, s, req.ID.Entry)
	return reason != notice.None
}

// leaves reports whether an endpoint has said that it leaves. It stays in the pool while it is registered, since others may fetch from its
// cache.
func (p *Pool) leaves(now clock.Instant, s *endpointState) bool {
	reason, _ := p.notice(now, s, "")
	return reason == notice.Leaving
}

// pausedUntil returns when the first of the endpoints that could run a request takes requests of its entry again, or zero if one takes them now
// or none could run it.
func (p *Pool) pausedUntil(now clock.Instant, req *Request) clock.Instant {
	if p.cfg.Notices == nil || p.cfg.Notices.Empty() {
		return 0
	}
	oldest := p.oldestUsableVersion(now, req.Model)
	p.checks += uint64(len(p.endpointList))
	first := clock.Instant(0)
	for _, s := range p.endpointList {
		if s.version[req.Model] < oldest || contains(req.Avoid, s.ID) || p.unfit(s, req) {
			continue
		}
		switch reason, until := p.notice(now, s, req.ID.Entry); {
		case reason == notice.None:
			return 0
		case reason == notice.Paused && (first == 0 || until.Before(first)):
			first = until
		}
	}
	return first
}

// checkPause returns an error if all endpoints that could run a request want none of its entry until it would be too late for its caller.
func (p *Pool) checkPause(now clock.Instant, req *Request) error {
	until := p.pausedUntil(now, req)
	if until == 0 || !req.FirstEventDeadline.Before(until.Add(baseLatency)) {
		return nil
	}
	return pauseError(now, until, req)
}

// pauseSpreadShare is the share of a pause by which the requests that it rejects return later at most, so that they don't all arrive when it
// ends.
const pauseSpreadShare = 0.5

// pauseError rejects a request because of a pause. Successive requests return evenly spread over a time that begins when the pause ends.
func pauseError(now, until clock.Instant, req *Request) *OverloadError {
	return &OverloadError{RetryAt: spread(now, until, req), Expected: until.Sub(now), Paused: true}
}

// limitError rejects a request because all endpoints that could run it have named limits. Successive requests return evenly spread over a time
// that begins when the first endpoint takes another one.
func limitError(now, until clock.Instant, req *Request) *OverloadError {
	return &OverloadError{RetryAt: spread(now, until, req).Add(minRetryDelay), Expected: until.Sub(now), Limited: true}
}

// spread returns when a request returns that is rejected until an instant: successive requests do so evenly spread over pauseSpreadShare of the
// time until then.
func spread(now, until clock.Instant, req *Request) clock.Instant {
	const (
		goldenRatio = 0.6180339887498949
		numbers     = 1 << 20
	)
	_, position := math.Modf(float64(req.ID.Number%numbers) * goldenRatio)
	return until.Add(time.Duration(pauseSpreadShare * position * float64(until.Sub(now))))
}
