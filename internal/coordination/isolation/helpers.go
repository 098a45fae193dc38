package isolation

import (
	"time"

	"gypsumvale/internal/state/clock"
)

const (
	// unableTime is how long a peer isn't asked again that could not help.
	unableTime = time.Second
	// zoneAttempts is how many peers of the own zone must have been unable to help for those of other zones to be asked, unless one has helped
	// within helpfulTime.
	zoneAttempts = 2
	helpfulTime  = 2 * time.Second
	// maxUnreachable is how many peers may be unreachable one after the other before none is asked for noneTime: this instance is then cut off
	// from its peers as well.
	maxUnreachable = 3
	noneTime       = 500 * time.Millisecond
)

// Helper is a peer that may serve requests of an instance that is isolated.
type Helper struct {
	Name, Address, Zone string
	// Weight is the peer's share of the requests.
	Weight float64
}

// Outcome is what came of handing a request over to a peer.
type Outcome uint8

// Outcomes of handing a request over.
const (
	// Helped means that the peer has taken the request over.
	Helped Outcome = iota
	// Unable means that the peer can't help at the moment, as when it is isolated itself.
	Unable
	// Unreachable means that the peer could not be reached.
	Unreachable
)

// Helpers remembers which peers can't help, and selects one that may.
type Helpers struct {
	zone string
	// unable holds until when peers aren't asked, and helped when they last helped.
	unable, helped map[string]clock.Instant
	// unreachable counts the peers that could not be reached since one was; none is asked before noneUntil.
	unreachable int
	noneUntil   clock.Instant
}

// NewHelpers returns the helpers of an instance in a zone.
func NewHelpers(zone string) *Helpers {
	return &Helpers{zone: zone, unable: make(map[string]clock.Instant), helped: make(map[string]clock.Instant)}
}

// Record records what came of handing a request over to a peer.
func (h *Helpers) Record(now clock.Instant, name string, o Outcome) {
	if o != Unreachable {
		h.unreachable = 0
	}
	if o == Helped {
		h.helped[name] = now
		return
	}
	h.unable[name] = now.Add(unableTime)
	delete(h.helped, name)
	if o != Unreachable {
		return
	}
	if h.unreachable++; h.unreachable >= maxUnreachable {
		h.unreachable, h.noneUntil = 0, now.Add(noneTime)
	}
}

// Select returns one of the peers, or false if none of them can help. A draw from zero to one selects among them by their weights. Peers of the
// own zone come first, as long as fewer than two of them have been unable to help lately or another one has helped.
//
//	load pattern                          decision
//	some entries of the zone are isolated the others of the zone serve, each by its weight
//	most of the zone is                   the same; those that can't help aren't asked again for a second
//	no peer can be reached                after three no other is tried for half a second, and requests are rejected at once
//	the whole zone is                     after two that can't help, the others of the site serve, each by its weight
func (h *Helpers) Select(now clock.Instant, peers []Helper, draw float64) (Helper, bool) {
	if now.Before(h.noneUntil) {
		return Helper{}, false
	}
	var able, near []Helper
	unableNear, helpedNear := 0, false
	for _, p := range peers {
		switch until, recorded := h.unable[p.Name]; {
		case recorded && now.Before(until):
			if p.Zone == h.zone {
				unableNear++
			}
			continue
		case recorded:
			delete(h.unable, p.Name)
		}
		able = append(able, p)
		if p.Zone == h.zone {
			near = append(near, p)
			at, helped := h.helped[p.Name]
			helpedNear = helpedNear || helped && now.Sub(at) < helpfulTime
		}
	}
	if len(near) > 0 && (unableNear < zoneAttempts || helpedNear) {
		able = near
	}
	return byWeight(able, draw)
}

// byWeight returns the peer that a draw selects.
func byWeight(peers []Helper, draw float64) (Helper, bool) {
	var total float64
	for _, p := range peers {
		total += p.Weight
	}
	for _, p := range peers {
		if draw -= p.Weight / total; draw < 0 {
			return p, true
		}
	}
	if len(peers) == 0 {
		return Helper{}, false
	}
	return peers[len(peers)-1], true
}
