package placement

import (
	"slices"

	"gypsumvale/internal/state/clock"
)

// allowed reports whether a request may use endpoints, caches and cache stores in a zone. A zone without a known region is in no allowed one.
func (p *Pool) allowed(zone string, req *Request) bool {
	if len(req.AllowedRegions) == 0 {
		return true
	}
	region, known := p.cfg.Regions[zone]
	return known && slices.Contains(req.AllowedRegions, region)
}

// unfit reports whether a request may never be sent to an endpoint as it is: its zone is excluded, or its software version didn't begin the
// request's stream.
func (p *Pool) unfit(s *endpointState, req *Request) bool {
	return req.Software != "" && s.Software != req.Software || p.excluded(s.Zone, req)
}

// excluded reports whether a request may not be sent to the endpoints in a zone: it is evacuated, or not in an allowed region.
func (p *Pool) excluded(zone string, req *Request) bool {
	return p.evacuated(zone) || !p.allowed(zone, req)
}

// settles reports whether a request would begin a stream at a version of its service that not all instances need have heard of, so that one of them
// could go on with it at another version.
func (p *Pool) settles(s *endpointState, req *Request) bool {
	if len(p.settling) == 0 || req.Stream == 0 || req.TakesUp || req.Software != "" {
		return false
	}
	_, settling := p.settling[s.Software]
	return settling
}

// SetSettling sets the software versions at which no streams begin yet that may go on elsewhere, and when that ends; nil is none.
func (p *Pool) SetSettling(versions map[string]clock.Instant) {
	if len(versions) < len(p.settling) {
		// What waits for them is considered again.
		p.lastFullScan = 0
	}
	p.settling = versions
}

// settledAt returns when the first endpoint takes a request that may run there but for its version's coming lately, or zero if there is none.
func (p *Pool) settledAt(now clock.Instant, req *Request) clock.Instant {
	first := clock.Instant(0)
	for _, s := range p.endpointList {
		if !p.settles(s, req) || !s.usable(now) || p.unfit(s, req) || contains(req.Avoid, s.ID) {
			continue
		}
		if at := p.settling[s.Software]; first == 0 || at < first {
			first = at
		}
	}
	return first
}
