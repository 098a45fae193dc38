package placement

import (
	"time"

	"gypsumvale/internal/state/clock"
)

// fetch is how an endpoint would get the shared parts that it doesn't hold.
type fetch struct {
	legs   []leg
	tokens int
	// transfer is the time of the transfers, and took that until they are done.
	transfer time.Duration
	took     time.Duration
}

// leg is the transfer of one part from an endpoint or a store.
type leg struct {
	part     int
	tokens   int
	endpoint *seat
	depot    *depot
	// wait is the time until the source's link is free, and transfer that of the transfer itself.
	wait     time.Duration
	transfer time.Duration
	// risk stands for that the source may have evicted the part unheard.
	risk time.Duration
}

func (l *leg) took() time.Duration { return l.wait + l.transfer }

// fetch returns the transfers of the parts behind the first held ones, up to the first that nobody has; none if reading is as fast.
func (p *Pool) fetch(now clock.Instant, s *seat, a *Request, c *Choice, held int, home string) fetch {
	if a.Uncoordinated {
		return p.fetchAlone(now, s, a, c, home)
	}
	var f fetch
	wait := time.Duration(0)
	shared := a.sharedParts()
	for i := held; i < len(shared); i++ {
		l, ok := p.bestLeg(now, s, a, cacheKey{c.CacheSpace, shared[i].ID})
		if !ok {
			break
		}
		l.part, l.tokens = i, shared[i].Tokens
		f.legs = append(f.legs, l)
		f.tokens += l.tokens
		f.transfer += l.transfer
		wait = max(wait, l.wait)
	}
	f.took = f.transfer + max(wait, s.link.wait(now))
	if f.tokens < minFetch || f.took.Seconds() > againFactor*float64(f.tokens)/p.cfg.PrefillRate {
		return fetch{}
	}
	return f
}

// staleCost is what each second since a part's last use adds to its transfer, in seconds. Copies differ by a few ms of waiting, so
// the one used last is taken of those on free links: engines evict what was used longest ago, and news of it comes late.
const staleCost = 0.01

// cost compares sources.
func (l *leg) cost() time.Duration { return l.took() + l.risk }

// bestLeg returns the best source of a part for an endpoint.
func (p *Pool) bestLeg(now clock.Instant, s *seat, a *Request, key cacheKey) (leg, bool) {
	var best leg
	for _, o := range p.index.holders[key] {
		part := o.cache.find(now, key)
		if o == s || part == nil || !part.ready || o.failures > 0 || p.cfg.Reachability.cut(now, s.Zone, o.Zone) {
			continue
		}
		transfer := transferTime(part.tokens, p.engine.TokenSeconds, o.Zone != s.Zone)
		l := leg{endpoint: o, wait: o.link.wait(now), transfer: max(o.link.stretch(now, transfer), s.link.stretch(now, transfer))}
		l.risk = time.Duration(staleCost * float64(now.Sub(part.used)))
		if best.endpoint == nil || l.cost() < best.cost() {
			best = l
		}
	}
	if p.owns && s.clock != 0 {
		if l, ok := p.depotLeg(now, key, s.Zone); ok && (best.endpoint == nil || l.took() < best.took()) {
			best = l
		}
	}
	return best, best.endpoint != nil || best.depot != nil
}

// fetchAlone takes the endpoint by rank to hold what nothing is known of.
func (p *Pool) fetchAlone(now clock.Instant, s *seat, a *Request, c *Choice, home string) fetch {
	h := p.seats[home]
	tokens := int(homeShare*float64(a.SharedTokens())) - c.Cached
	if h == nil || h == s || h.failures > 0 || tokens < minFetch || p.engine == nil {
		return fetch{}
	}
	transfer := transferTime(tokens, p.engine.TokenSeconds, h.Zone != s.Zone)
	return fetch{legs: []leg{{part: -1, tokens: tokens, endpoint: h}}, tokens: tokens, transfer: transfer, took: transfer + s.link.wait(now)}
}

// spares returns sources of the parts that an endpoint is believed to hold. News of evictions comes late, and an endpoint that lacks
// the first part reads all that follow. What it holds after all is not transferred.
func (p *Pool) spares(now clock.Instant, a *Request, c *candidate) []leg {
	if a.Uncoordinated || p.engine == nil || a.Model == "" {
		return nil
	}
	var list []leg
	shared := a.sharedParts()
	held, _ := c.seat.cache.prefix(now, c.choice.CacheSpace, shared)
	for i, part := range shared[:held] {
		if l, ok := p.bestLeg(now, c.seat, a, cacheKey{c.choice.CacheSpace, part.ID}); ok {
			l.part = i
			list = append(list, l)
		}
	}
	return list
}

// commitFetch takes the links for a chosen fetch, and names its sources and those of parts that may be missing.
func (p *Pool) commitFetch(now clock.Instant, a *Request, c *candidate) {
	spares := p.spares(now, a, c)
	if len(c.fetch.legs)+len(spares) == 0 {
		return
	}
	if len(c.fetch.legs) > 0 {
		c.seat.link.occupy(now, c.fetch.transfer)
	}
	if len(c.fetch.legs) > 0 && c.fetch.legs[0].part < 0 {
		c.choice.FetchFrom = []string{c.fetch.legs[0].endpoint.Address}
		return
	}
	c.choice.FetchFrom = make([]string, len(a.Parts))
	for i := range c.fetch.legs {
		c.fetch.legs[i].occupy(now)
		p.nameSource(now, a, c, &c.fetch.legs[i])
	}
	for i := range spares {
		p.nameSource(now, a, c, &spares[i])
	}
}

// occupy takes the source's link for a transfer.
func (l *leg) occupy(now clock.Instant) {
	l.link().occupy(now, l.transfer)
}

// link returns the source's link.
func (l *leg) link() *link {
	if l.depot != nil {
		return &l.depot.link
	}
	return &l.endpoint.link
}

// slowest returns the links of the transfer that takes longest: the source's, and the endpoint's own if the source is an endpoint too,
// whose links are alike. Stores have slower ones, which decide alone.
func (f *fetch) slowest(s *seat) []*link {
	var slow *leg
	for i := range f.legs {
		if l := &f.legs[i]; slow == nil || l.took() > slow.took() {
			slow = l
		}
	}
	switch {
	case slow == nil:
		return nil
	case slow.depot != nil:
		return []*link{slow.link()}
	}
	return []*link{slow.link(), &s.link}
}

// nameSource names a part's source; a store keeps the part until the fetch has ended or is thrown away.
func (p *Pool) nameSource(now clock.Instant, a *Request, c *candidate, l *leg) {
	if l.depot == nil {
		c.choice.FetchFrom[l.part] = l.endpoint.Address
		return
	}
	c.choice.FetchFrom[l.part] = l.depot.Address
	span := min(fetchSpan+waitFactor*c.choice.Expected, maxFetchSpan)
	c.choice.FetchUntil = c.seat.clock + int64(now.Add(span))/int64(time.Millisecond)
	part := l.depot.parts[cacheKey{c.choice.CacheSpace, a.Parts[l.part].ID}]
	part.used = now
	part.busy = max(part.busy, now.Add(span+fetchSlack))
}
