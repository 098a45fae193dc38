package placement

import (
	"fmt"

	"gypsumvale/internal/state/clock"
)

// ErrZonesEvacuated is returned when the zones of all endpoints of a service are evacuated.
var ErrZonesEvacuated = fmt.Errorf("all zones with endpoints are evacuated: %w", ErrNoEndpoint)

// Evacuations knows which zones are evacuated.
type Evacuations interface {
	// Empty reports whether no zone is evacuated.
	Empty() bool
	// Evacuated reports whether the endpoints of a zone get no requests.
	Evacuated(zone string) bool
}

// evacuated reports whether the endpoints of a zone get no requests, and its cache stores no new parts. Both stay in the pool, since their
// caches remain sources.
func (p *Pool) evacuated(zone string) bool {
	return p.cfg.Evacuations != nil && p.cfg.Evacuations.Evacuated(zone)
}

// takesNone reports whether an endpoint gets no requests of any entry, since it leaves or its zone is evacuated.
func (p *Pool) takesNone(now clock.Instant, s *endpointState) bool {
	return p.evacuated(s.Zone) || p.leaves(now, s)
}

// allEvacuated reports whether there are endpoints in the regions that a request may use, and the zones of all of them are evacuated.
func (p *Pool) allEvacuated(req *Request) bool {
	if p.cfg.Evacuations == nil || p.cfg.Evacuations.Empty() {
		return false
	}
	found := false
	for _, s := range p.endpointList {
		if !p.allowed(s.Zone, req) {
			continue
		}
		if !p.evacuated(s.Zone) {
			return false
		}
		found = true
	}
	return found
}

// homeCandidates returns the identifiers of the endpoints of which one is the home of a request's context.
func (p *Pool) homeCandidates(req *Request) []string {
	if len(req.AllowedRegions) == 0 && (p.cfg.Evacuations == nil || p.cfg.Evacuations.Empty()) {
		return p.endpointIDs
	}
	var ids []string
	for _, s := range p.endpointList {
		if !p.excluded(s.Zone, req) {
			ids = append(ids, s.ID)
		}
	}
	return ids
}
