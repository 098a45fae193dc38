package placement

import (
	"time"

	"gypsumvale/internal/coordination/throttle"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/registration"
)

// rejections returns what an endpoint survives that is brittle, or nil.
func (p *Pool) rejections(now clock.Instant, s *endpointState) *throttle.Rejections {
	if len(p.brittle) == 0 {
		return nil
	}
	if r := p.brittle[s.Incarnation()]; r != nil && r.InForce(now) {
		return r
	}
	return nil
}

// NameBrittle records how many requests a second an endpoint of the pool survives turning away. It returns nil for other endpoints, and whether
// that was known.
func (p *Pool) NameBrittle(now clock.Instant, endpoint registration.Incarnation, perSecond int) (r *throttle.Rejections, known bool) {
	s := p.endpoints[endpoint.ID]
	if s == nil || s.Incarnation() != endpoint {
		return nil, false
	}
	r = p.brittle[endpoint]
	if r == nil {
		r = &throttle.Rejections{}
		p.brittle[endpoint] = r
	}
	return r, r.Name(now, perSecond)
}

// EndBrittle records that an endpoint doesn't say to be brittle in the answer to a request that was sent at an instant, and reports whether it was.
func (p *Pool) EndBrittle(now clock.Instant, endpoint registration.Incarnation, sentAt clock.Instant) bool {
	r := p.brittle[endpoint]
	if r == nil || !r.End(now, sentAt) {
		return false
	}
	if s := p.endpoints[endpoint.ID]; s != nil {
		p.recordCapacityChange(s)
	}
	return true
}

// Brittle returns the brittle endpoints, with the rejections a second that they survive.
func (p *Pool) Brittle(now clock.Instant) map[registration.Incarnation]int {
	list := make(map[registration.Incarnation]int)
	for endpoint, r := range p.brittle {
		if r.InForce(now) {
			list[endpoint] = r.PerSecond()
		}
	}
	return list
}

// sweepBrittle forgets endpoints that are brittle no longer.
func (p *Pool) sweepBrittle(now clock.Instant) {
	for endpoint, r := range p.brittle {
		if !r.InForce(now) {
			delete(p.brittle, endpoint)
		}
	}
}

// lacksRoom reports whether a brittle endpoint gets no request now, since it would probably reject it: its slots are taken, or it has rejected one
// just now.
func (p *Pool) lacksRoom(now clock.Instant, s *endpointState, req *Request) bool {
	return p.rejections(now, s) != nil && now.Before(p.roomAt(now, s, req))
}

// slotWait is how soon a slot of an endpoint may be free again.
const slotWait = 50 * time.Millisecond

// roomAt returns when a brittle endpoint may get a request, which is now or earlier if it may at once.
func (p *Pool) roomAt(now clock.Instant, s *endpointState, req *Request) clock.Instant {
	r := p.rejections(now, s)
	if r == nil {
		return now
	}
	authority := p.admissionAuthority(now, s, r.Most(), req)
	at := max(s.backoffUntil, r.PermittedAt(now, authority))
	limit, since, limited := r.Unproven(now, authority)
	if s.Slots > 0 && len(s.assignments) >= s.Slots || limited && s.unproven(since) >= limit {
		at = max(at, now.Add(slotWait))
	}
	return at
}

// unproven returns the number of requests that were sent since an instant and that the endpoint hasn't begun to answer.
func (s *endpointState) unproven(since clock.Instant) int {
	count := 0
	for _, a := range s.assignments {
		if a.prefillTokens > 0 && !a.sentAt.Before(since) {
			count++
		}
	}
	return count
}

// firstRoomAt returns when the first of the brittle endpoints that lack room may get a request, or zero if there is none.
func (p *Pool) firstRoomAt(now clock.Instant, req *Request) clock.Instant {
	if len(p.brittle) == 0 {
		return 0
	}
	first := clock.Instant(0)
	oldest := p.oldestUsableVersion(now, req.Model)
	p.checks += uint64(len(p.endpointList))
	for _, s := range p.endpointList {
		if !p.lacksRoom(now, s, req) || s.version[req.Model] < oldest || contains(req.Avoid, s.ID) || p.unfit(s, req) || p.barred(now, s, req) {
			continue
		}
		if at := p.roomAt(now, s, req); first == 0 || at.Before(first) {
			first = at
		}
	}
	return first
}
