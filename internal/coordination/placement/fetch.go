package placement

import (
	"time"

	"gypsumvale/internal/state/clock"
)

// fetch is a plan for fetching the shared parts that an endpoint doesn't have.
type fetch struct {
	transfers []transfer
	tokens    int
	// transferTime is the duration of the transfers alone; total includes the wait for the links.
	transferTime time.Duration
	total        time.Duration
}

// transfer is the transfer of one part from an endpoint or a store.
type transfer struct {
	part     int
	tokens   int
	endpoint *endpointState
	store    *storeState
	// wait is the time until the source's link is free, and duration that of the transfer itself.
	wait     time.Duration
	duration time.Duration
	// evictionRisk is the cost of the risk that the source has evicted the part without having reported it yet.
	evictionRisk time.Duration
}

func (t *transfer) total() time.Duration { return t.wait + t.duration }

// planFetch plans the transfers of the parts after the cached ones, up to the first part that has no source. It returns an empty plan if
// recomputing the parts is as fast.
func (p *Pool) planFetch(now clock.Instant, s *endpointState, req *Request, c *Choice, cachedParts int, home string) fetch {
	if req.Uncoordinated {
		return p.planUncoordinatedFetch(now, s, req, c, home)
	}
	var f fetch
	wait := time.Duration(0)
	shared := req.SharedParts()
	for i := cachedParts; i < len(shared); i++ {
		t, ok := p.bestTransfer(now, s, req, cacheKey{c.CacheSpace, shared[i].ID})
		if !ok {
			break
		}
		t.part, t.tokens = i, shared[i].Tokens
		f.transfers = append(f.transfers, t)
		f.tokens += t.tokens
		f.transferTime += t.duration
		wait = max(wait, t.wait)
	}
	f.total = f.transferTime + max(wait, s.link.wait(now))
	if f.tokens < minFetchTokens || f.total.Seconds() > recomputeFactor*float64(f.tokens)/p.cfg.PrefillRate {
		return fetch{}
	}
	return f
}

// stalenessCost is the cost, in seconds, that is added to a transfer for each second since the source last used the part. Waiting times of
// copies differ by only a few ms, so among free links the most recently used copy wins: engines evict the least recently used part, and
// their updates about it arrive late.
const stalenessCost = 0.01

// cost is the value by which sources are compared.
func (t *transfer) cost() time.Duration { return t.total() + t.evictionRisk }

// bestTransfer returns the cheapest transfer of a part to an endpoint, and whether there is any source.
func (p *Pool) bestTransfer(now clock.Instant, s *endpointState, req *Request, key cacheKey) (transfer, bool) {
	var best transfer
	for _, source := range p.index.holders[key] {
		part := source.cache.find(now, key)
		if source == s || part == nil || !part.ready || source.failures > 0 || !p.allowed(source.Zone, req) ||
			p.cfg.Reachability.unreachable(now, s.Zone, source.Zone) {
			continue
		}
		duration := transferTime(part.tokens, p.engine.TokenSeconds, source.Zone != s.Zone)
		t := transfer{
			endpoint: source, wait: source.link.wait(now),
			duration: max(source.link.expectedDuration(now, duration), s.link.expectedDuration(now, duration)),
		}
		t.evictionRisk = time.Duration(stalenessCost * float64(now.Sub(part.lastUsed)))
		if best.endpoint == nil || t.cost() < best.cost() {
			best = t
		}
	}
	if p.isOwner && s.clockOffset != 0 {
		if t, ok := p.storeTransfer(now, req, key, s.Zone); ok && (best.endpoint == nil || t.total() < best.total()) {
			best = t
		}
	}
	return best, best.endpoint != nil || best.store != nil
}

// planUncoordinatedFetch plans a fetch from the home endpoint, which is assumed to hold most of the context because nothing is known.
func (p *Pool) planUncoordinatedFetch(now clock.Instant, s *endpointState, req *Request, c *Choice, home string) fetch {
	homeState := p.endpoints[home]
	tokens := int(homeCachedShare*float64(req.SharedTokens())) - c.Cached
	if homeState == nil || homeState == s || homeState.failures > 0 || tokens < minFetchTokens || p.engine == nil {
		return fetch{}
	}
	duration := transferTime(tokens, p.engine.TokenSeconds, homeState.Zone != s.Zone)
	return fetch{
		transfers: []transfer{{part: -1, tokens: tokens, endpoint: homeState}},
		tokens:    tokens, transferTime: duration, total: duration + s.link.wait(now),
	}
}

// fallbackTransfers returns sources for parts that the endpoint is believed to have cached. Evictions are reported late, and an endpoint
// that lacks the first part has to recompute all that follow. Parts that are cached after all are not transferred.
func (p *Pool) fallbackTransfers(now clock.Instant, req *Request, c *candidate) []transfer {
	if req.Uncoordinated || p.engine == nil || req.Model == "" {
		return nil
	}
	var list []transfer
	shared := req.SharedParts()
	cachedParts, _ := c.endpoint.cache.prefix(now, c.choice.CacheSpace, shared)
	for i, part := range shared[:cachedParts] {
		if t, ok := p.bestTransfer(now, c.endpoint, req, cacheKey{c.choice.CacheSpace, part.ID}); ok {
			t.part = i
			list = append(list, t)
		}
	}
	return list
}

// reserveFetch reserves the links for a chosen fetch, and sets the sources of its parts and of parts that may have been evicted.
func (p *Pool) reserveFetch(now clock.Instant, req *Request, c *candidate) {
	fallbacks := p.fallbackTransfers(now, req, c)
	if len(c.fetch.transfers)+len(fallbacks) == 0 {
		return
	}
	if len(c.fetch.transfers) > 0 {
		c.endpoint.link.reserve(now, c.fetch.transferTime)
	}
	if len(c.fetch.transfers) > 0 && c.fetch.transfers[0].part < 0 {
		c.choice.FetchFrom = []string{c.fetch.transfers[0].endpoint.Address}
		return
	}
	c.choice.FetchFrom = make([]string, len(req.Parts))
	for i := range c.fetch.transfers {
		c.fetch.transfers[i].reserveLink(now)
		p.setSource(now, req, c, &c.fetch.transfers[i])
	}
	for i := range fallbacks {
		p.setSource(now, req, c, &fallbacks[i])
	}
}

func (t *transfer) reserveLink(now clock.Instant) {
	t.link().reserve(now, t.duration)
}

// link returns the source's link.
func (t *transfer) link() *link {
	if t.store != nil {
		return &t.store.link
	}
	return &t.endpoint.link
}

// slowestLinks returns the links of the longest transfer: the source's and, if the source is an endpoint, also the receiver's, since both
// links are alike. A store's link is slower and is the only bottleneck.
func (f *fetch) slowestLinks(s *endpointState) []*link {
	var slowest *transfer
	for i := range f.transfers {
		if t := &f.transfers[i]; slowest == nil || t.total() > slowest.total() {
			slowest = t
		}
	}
	switch {
	case slowest == nil:
		return nil
	case slowest.store != nil:
		return []*link{slowest.link()}
	}
	return []*link{slowest.link(), &s.link}
}

// setSource sets a part's source. A store must keep the part until the fetch has ended or timed out.
func (p *Pool) setSource(now clock.Instant, req *Request, c *candidate, t *transfer) {
	if t.store == nil {
		c.choice.FetchFrom[t.part] = t.endpoint.Address
		return
	}
	c.choice.FetchFrom[t.part] = t.store.Address
	timeout := min(fetchTimeout+fetchWaitFactor*c.choice.Expected, maxFetchTimeout)
	c.choice.FetchUntil = c.endpoint.clockOffset + int64(now.Add(timeout))/int64(time.Millisecond)
	part := t.store.parts[cacheKey{c.choice.CacheSpace, req.Parts[t.part].ID}]
	part.lastUsed = now
	part.busyUntil = max(part.busyUntil, now.Add(timeout+fetchMargin))
}
