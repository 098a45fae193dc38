package gateway

import (
	"slices"

	"gypsumvale/internal/coordination/placement"
)

// regionError is returned when a request is not sent to an endpoint because its zone is in none of the regions that the request may use.
type regionError struct{ zone string }

// Error describes the reason.
func (e *regionError) Error() string {
	if e.zone == "" {
		return "zone of the endpoint is unknown, and the request may only use some regions"
	}
	return "zone " + e.zone + " is in no region that the request may use"
}

// permitZone returns an *evacuatedError or a *regionError if the request may not be sent to the zone of a choice's endpoint. A leader of an
// earlier release knows neither evacuations nor regions.
func (j *job) permitZone(choice *placement.Choice) error {
	if err := j.node.evacuations.permit(choice); err != nil {
		return err
	}
	if len(j.placementReq.AllowedRegions) == 0 {
		return nil
	}
	registered, known := j.node.discovery.zone(choice.Endpoint)
	switch {
	case choice.Zone == "" && !known:
		return &regionError{}
	case choice.Zone != "" && !j.allowsZone(choice.Zone):
		return &regionError{choice.Zone}
	case known && !j.allowsZone(registered):
		return &regionError{registered}
	}
	return nil
}

// allowsZone reports whether the request may use a zone. One without a known region is in no allowed region.
func (j *job) allowsZone(zone string) bool {
	allowed := j.placementReq.AllowedRegions
	region, known := j.node.cfg.Regions[zone]
	return len(allowed) == 0 || known && slices.Contains(allowed, region)
}

// restrictTransfers removes the sources and save targets of a choice that are in no allowed region, or unknown here.
func (j *job) restrictTransfers(choice *placement.Choice) {
	if len(j.placementReq.AllowedRegions) == 0 || choice.FetchFrom == nil && choice.SaveTo == nil {
		return
	}
	allowed := make(map[string]bool)
	for _, list := range j.node.discovery.snapshot() {
		for _, r := range list {
			allowed[r.Address] = j.allowsZone(r.Zone)
		}
	}
	for _, s := range j.node.table.Load().Stores {
		allowed[s.Address] = j.allowsZone(s.Zone)
	}
	for _, addresses := range []*[]string{&choice.FetchFrom, &choice.SaveTo} {
		left := false
		for i, address := range *addresses {
			if !allowed[address] {
				(*addresses)[i] = ""
			}
			left = left || allowed[address]
		}
		if !left {
			*addresses = nil
		}
	}
}
