package soak_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"gypsumvale/internal/standin/proxy"
)

const (
	// The longest cuts outlast the start of an engine and the time for which its version settles, so that its streams are taken up at cut entries.
	minCutTime = time.Second
	maxCutTime = 12 * time.Second
	// minCutGroup and maxCutGroup bound how many entries of any zones are cut off at once.
	minCutGroup = 2
	maxCutGroup = 6
)

// cut separates a group of entries from the store and from the other entries; callers and endpoints can still reach them.
type cut struct {
	members []*node
	// zone is the availability zone that is cut off as a whole, or empty.
	zone string
	// apart is true if the members don't reach each other either.
	apart    bool
	duration time.Duration
}

// separates reports whether a cut interrupts the connections between two entries.
func (c *cut) separates(a, b *node) bool {
	in, other := slices.Contains(c.members, a), slices.Contains(c.members, b)
	return in != other || in && c.apart
}

// drawCut returns a cut of one entry, of several, or of a zone.
func (s *site) drawCut(random *rand.Rand) *cut {
	c := &cut{apart: random.IntN(2) == 0, duration: minCutTime + time.Duration(random.Int64N(int64(maxCutTime-minCutTime)))}
	switch random.IntN(4) {
	case 0:
		c.members = []*node{pick(random, s.entries)}
	case 1:
		n := minCutGroup + random.IntN(maxCutGroup-minCutGroup+1)
		for _, i := range random.Perm(len(s.entries))[:n] {
			c.members = append(c.members, s.entries[i])
		}
	default:
		c.zone = pick(random, s.zones)
		for _, m := range s.entries {
			if m.zone == c.zone {
				c.members = append(c.members, m)
			}
		}
	}
	return c
}

// cutOff applies a cut for its duration. Cuts may overlap.
func (s *site) cutOff(c *cut) {
	var parts []string
	if c.zone != "" {
		parts = append(parts, "zone "+c.zone)
	}
	for _, m := range c.members {
		parts = append(parts, m.name+" store", m.name+" peers")
	}
	s.disturbAll("isolate", parts, func() {
		s.changeCuts(func() { s.cuts = append(s.cuts, c) })
		time.Sleep(c.duration)
		s.changeCuts(func() { s.cuts = slices.DeleteFunc(s.cuts, func(other *cut) bool { return other == c }) })
	})
}

// disturbAll runs do and records it as a disturbance of several parts.
func (s *site) disturbAll(kind string, parts []string, do func()) {
	if len(parts) == 0 {
		do()
		return
	}
	s.disturb(kind, parts[0], func() { s.disturbAll(kind, parts[1:], do) })
}

// changeCuts changes the list of cuts, and sets the proxies accordingly.
func (s *site) changeCuts(change func()) {
	s.cutsMu.Lock()
	defer s.cutsMu.Unlock()
	change()
	for _, m := range s.entries {
		var peers, store proxy.Fault
		for _, c := range s.cuts {
			if slices.Contains(c.members, m) {
				store = proxy.Fault{HoldUp: true, HoldDown: true}
			}
			for _, other := range s.entries {
				if other != m && c.separates(m, other) {
					peers.HoldFrom = append(peers.HoldFrom, other.name)
				}
			}
		}
		m.proxies["peers"].SetFault(peers)
		m.proxies["store"].SetFault(store)
	}
}
