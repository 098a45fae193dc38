package placement

import (
	"cmp"

	"gypsumvale/internal/state/clock"
)

// Adopt counts a running request that another instance has placed, and reports whether it wasn't known. The caller mustn't change the request
// afterwards. One whose endpoint isn't known, or has restarted, is ignored.
func (p *Pool) Adopt(now clock.Instant, req *Request, choice *Choice, begun bool) bool {
	s := p.endpoints[choice.Endpoint]
	if s == nil || p.assignments[req.ID] != nil || choice.StartMilli != 0 && choice.StartMilli != s.StartMilli {
		return false
	}
	if _, ended := p.withdrawn[req.ID]; ended {
		delete(p.withdrawn, req.ID)
		return false
	}
	a := &assignment{
		req: req, endpoint: s, space: choice.CacheSpace, version: choice.Version, sentAt: now, saves: choice.SaveTo != nil && !begun,
		gapTarget: p.gapTarget(req),
		// An entry of an earlier release names no software version.
		software: cmp.Or(choice.Software, s.Software),
	}
	if !begun {
		a.prefillTokens = max(1, req.Prompt-choice.Cached-choice.Fetched)
		p.holds.add(a)
	}
	p.assignments[req.ID] = a
	s.add(a)
	if begun {
		// The engine holds the parts of a running request, whatever its cache events still have to tell.
		s.cache.assumeCached(now, a.space, req.Parts, 1<<40)
		s.cache.markReady(a.space, req.Parts)
	}
	return true
}
