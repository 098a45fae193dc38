package placement

import "slices"

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
