package placement

import (
	"time"

	"gypsumvale/internal/coordination/throttle"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/registration"
)

// unregisteredLimitTime is how long the limit of an endpoint that isn't registered is kept, since it may be listed again.
const unregisteredLimitTime = 30 * time.Second

// limit returns the limit of an endpoint, or nil if it has named none.
func (p *Pool) limit(now clock.Instant, s *endpointState) *throttle.Endpoint {
	if len(p.limits) == 0 {
		return nil
	}
	if e := p.limits[s.Incarnation()]; e != nil && e.Limited(now) {
		return e
	}
	return nil
}

// NameLimit records that an endpoint of the pool has named how many requests per second it takes. It returns nil for other endpoints, and
// whether the limit was known.
func (p *Pool) NameLimit(now clock.Instant, endpoint registration.Incarnation, perSecond float64) (e *throttle.Endpoint, known bool) {
	s := p.endpoints[endpoint.ID]
	if s == nil || s.Incarnation() != endpoint {
		return nil, false
	}
	e = p.limits[endpoint]
	if e == nil {
		e = &throttle.Endpoint{}
		p.limits[endpoint] = e
	}
	p.limitListedAt[endpoint] = now
	return e, e.Name(now, perSecond)
}

// LiftLimit records that an endpoint has named no limit in the answer to a request that was sent at an instant, and reports whether that ends
// one.
func (p *Pool) LiftLimit(now clock.Instant, endpoint registration.Incarnation, sentAt clock.Instant) bool {
	e := p.limits[endpoint]
	if e == nil || !e.Lift(now, sentAt) {
		return false
	}
	if s := p.endpoints[endpoint.ID]; s != nil {
		p.recordCapacityChange(s)
	}
	return true
}

// LimitsInForce returns the endpoints that have named a limit, with their requests per second.
func (p *Pool) LimitsInForce(now clock.Instant) map[registration.Incarnation]float64 {
	list := make(map[registration.Incarnation]float64)
	for endpoint, e := range p.limits {
		if e.Limited(now) {
			list[endpoint] = e.PerSecond()
		}
	}
	return list
}

// sweepLimits forgets limits that have ended.
func (p *Pool) sweepLimits(now clock.Instant) {
	for endpoint, e := range p.limits {
		s := p.endpoints[endpoint.ID]
		if s != nil && s.Incarnation() == endpoint {
			p.limitListedAt[endpoint] = now
		}
		if !e.Limited(now) || now.Sub(p.limitListedAt[endpoint]) > unregisteredLimitTime {
			delete(p.limits, endpoint)
			delete(p.limitListedAt, endpoint)
		}
	}
}

// limitAuthority returns what this process may admit to an endpoint that has named a limit.
func (p *Pool) limitAuthority(now clock.Instant, s *endpointState, e *throttle.Endpoint, req *Request) throttle.Authority {
	return p.admissionAuthority(now, s, e.Admissions(), req)
}

// admissionAuthority returns what this process may do of a number of things that all processes together may do to an endpoint.
func (p *Pool) admissionAuthority(now clock.Instant, s *endpointState, all int, req *Request) throttle.Authority {
	if p.cfg.Admission == nil {
		return throttle.Authority{}
	}
	if !req.Uncoordinated {
		if since := p.cfg.Admission.SoleSince(now); since != 0 {
			return throttle.Authority{SoleSince: since}
		}
	}
	return throttle.Authority{Share: p.cfg.Admission.Share(s.ID, all)}
}

// exceedsLimit reports whether an endpoint gets no request now because of the limit that it has named.
func (p *Pool) exceedsLimit(now clock.Instant, s *endpointState, req *Request) bool {
	e := p.limit(now, s)
	return e != nil && !e.Permits(now, p.limitAuthority(now, s, e, req))
}

// admitLimited records that a request is sent to an endpoint.
func (p *Pool) admitLimited(now clock.Instant, best *candidate) {
	if e := p.limit(now, best.endpoint); e != nil {
		e.Admit(now)
		best.choice.Limited = true
	}
}

// underLimitAt returns when the first of the endpoints that get no request because of their limits may get one, or zero if there is none.
func (p *Pool) underLimitAt(now clock.Instant, req *Request) clock.Instant {
	if len(p.limits) == 0 {
		return 0
	}
	first := clock.Instant(0)
	oldest := p.oldestUsableVersion(now, req.Model)
	p.checks += uint64(len(p.endpointList))
	for _, s := range p.endpointList {
		e := p.limit(now, s)
		if e == nil || s.version[req.Model] < oldest || contains(req.Avoid, s.ID) || p.unfit(s, req) || p.barred(now, s, req) {
			continue
		}
		if at := e.NextAt(now, p.limitAuthority(now, s, e, req)); first == 0 || at.Before(first) {
			first = at
		}
	}
	return first
}

const (
	// sizeWeight is the weight of a new request in the mean size.
	sizeWeight = 0.01
	// smallRequestPenalty keeps requests below the mean size away from endpoints that have named limits, which count requests, not tokens.
	smallRequestPenalty = 500 * time.Millisecond
)

// observeSize records the size of a request that is placed.
func (p *Pool) observeSize(req *Request) {
	p.meanSize += (float64(req.memoryTokens()) - p.meanSize) * sizeWeight
}

// limitCost returns the cost of using up one of the few requests that an endpoint takes.
func (p *Pool) limitCost(now clock.Instant, s *endpointState, req *Request) time.Duration {
	if float64(req.memoryTokens()) >= p.meanSize || p.limit(now, s) == nil {
		return 0
	}
	return smallRequestPenalty
}
