package placement

import (
	"maps"
	"time"

	"gypsumvale/internal/state/clock"
)

const (
	// fetchSpan is how long a granted fetch may take on an idle endpoint, which throws a later one away; where a request waits, its
	// fetch may begin later, by waitFactor times the expected wait. maxFetchSpan bounds both.
	fetchSpan    = 1500 * time.Millisecond
	waitFactor   = 2
	maxFetchSpan = 7 * time.Second
	// fetchSlack covers the way of a grant and the difference between clocks read over the network.
	fetchSlack = time.Second
	// saveTime is how long a save may take before it counts as broken off.
	saveTime = 8 * time.Second
	// freshFeed is how old the news of a store may be while its parts are granted.
	freshFeed = 2500 * time.Millisecond
	// takeoverSpan is how long a new owner frees nothing, so that all that an earlier one granted has ended, and takeoverSave how
	// long it saves nothing, so that the saves of an earlier one have begun and stand in the lists.
	takeoverSpan = maxFetchSpan + fetchSlack + 500*time.Millisecond
	takeoverSave = 3 * time.Second
	// freeBatch is the most parts freed by one call.
	freeBatch = 256
	// blockTokens rounds a part's size to the blocks of a store's memory.
	blockTokens = 16
)

// CacheStore describes a store of cached context.
type CacheStore struct {
	Name    string
	Address string
	Zone    string
	// Capacity is in tokens.
	Capacity     int
	TokenSeconds float64
	FirstByte    time.Duration
}

// depotPart is a part in a store, from its reservation on.
type depotPart struct {
	key    cacheKey
	tokens int
	// whole parts were reported complete; only these are fetched.
	whole bool
	saved clock.Instant
	used  clock.Instant
	// busy is until when a granted fetch may read the part.
	busy clock.Instant
}

// depot is what the owner knows of one store; nobody else frees or saves there while the owner's lease holds.
type depot struct {
	CacheStore
	parts map[cacheKey]*depotPart
	used  int
	epoch int64
	heard clock.Instant
	// noSave and noFree are until when nothing may be saved or freed.
	noSave clock.Instant
	noFree clock.Instant
	link   link
	// clock is the difference between the store's clock and the boot clock here, in milliseconds.
	clock int64
}

func rounded(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

// usable reports whether parts may be fetched: the store was heard of lately.
func (d *depot) usable(now clock.Instant) bool {
	return d.epoch != 0 && now.Sub(d.heard) < freshFeed
}

// clear forgets all parts, as after a restart; fetches granted before may read what is written anew, so nothing is until they end.
func (d *depot) clear(epoch int64) {
	for _, part := range d.parts {
		d.noSave = max(d.noSave, part.busy)
	}
	clear(d.parts)
	d.used = 0
	d.epoch = epoch
}

func (d *depot) reserve(now clock.Instant, key cacheKey, tokens int) {
	d.parts[key] = &depotPart{key: key, tokens: tokens, saved: now, used: now}
	d.used += rounded(tokens)
}

func (d *depot) drop(p *depotPart) {
	delete(d.parts, p.key)
	d.used -= rounded(p.tokens)
}

// SetStores replaces the stores; what is known of those that stay is kept.
func (p *Pool) SetStores(now clock.Instant, list []CacheStore) {
	kept := make(map[string]*depot, len(list))
	p.depotOrder = p.depotOrder[:0]
	for _, d := range list {
		held := p.depots[d.Name]
		if held == nil || held.Address != d.Address {
			held = &depot{parts: make(map[cacheKey]*depotPart), noSave: now.Add(takeoverSave), noFree: now.Add(takeoverSpan)}
		}
		held.CacheStore = d
		kept[d.Name] = held
		p.depotOrder = append(p.depotOrder, d.Name)
	}
	p.depots = kept
}

// SetOwner says that this pool's process has become the only one that grants, frees and saves, or no longer is.
//
// A new owner knows nothing: the stores are listed again, and nothing is freed or saved until earlier grants have ended.
func (p *Pool) SetOwner(now clock.Instant, owns bool) {
	if owns && !p.owns {
		for _, d := range p.depots {
			d.clear(0)
			d.noSave, d.noFree = now.Add(takeoverSave), now.Add(takeoverSpan)
		}
	}
	p.owns = owns
}

// ListedPart is one line of a store's list.
type ListedPart struct {
	Space  string
	Part   string
	Tokens int
}

// ApplyStoreListing takes a store's whole list; parts that aren't complete keep their space until the store restarts.
func (p *Pool) ApplyStoreListing(now clock.Instant, name string, l *StoreListing) {
	d := p.depots[name]
	if d == nil {
		return
	}
	saving := make(map[cacheKey]*depotPart)
	for key, part := range d.parts {
		if !part.whole && now.Sub(part.saved) < saveTime && d.epoch == l.Epoch {
			saving[key] = part
		}
	}
	busy, noSave, same := d.parts, d.noSave, d.epoch == l.Epoch
	d.parts = maps.Clone(busy)
	d.clear(l.Epoch)
	if same {
		d.noSave = noSave
	}
	d.hear(now, l.ClockMillis)
	for _, held := range l.Complete {
		key := cacheKey{held.Space, held.Part}
		d.reserve(now, key, held.Tokens)
		d.parts[key].whole = true
		if old := busy[key]; old != nil && same {
			d.parts[key].busy = old.busy
		}
	}
	for _, held := range l.Incomplete {
		d.reserve(now, cacheKey{held.Space, held.Part}, held.Tokens)
	}
	for key, part := range saving {
		if d.parts[key] == nil {
			d.parts[key] = part
			d.used += rounded(part.tokens)
		}
	}
}

func (d *depot) hear(now clock.Instant, clockMillis int64) {
	d.heard = now
	if clockMillis != 0 {
		d.clock = clockMillis - int64(now)/int64(time.Millisecond)
	}
}

// ApplyStoreUpdate takes a store's news; it reports whether the list has to be read, since news was lost or the store restarted.
func (p *Pool) ApplyStoreUpdate(now clock.Instant, name string, n *CacheUpdate) (list bool) {
	d := p.depots[name]
	if d == nil {
		return false
	}
	if d.epoch != n.Epoch {
		d.clear(0)
		return true
	}
	d.hear(now, n.ClockMillis)
	for _, e := range n.Events {
		key := cacheKey{e.Space, e.Part}
		part := d.parts[key]
		switch {
		case !e.Added:
			if part != nil {
				d.drop(part)
			}
		case part == nil:
			// A save of an earlier owner; its size is as reported.
			d.reserve(now, key, e.Tokens)
			d.parts[key].whole = true
		default:
			part.whole = true
		}
	}
	return n.Missed
}

// depotLeg returns the transfer by which a part comes soonest from a store to an endpoint in a zone.
func (p *Pool) depotLeg(now clock.Instant, key cacheKey, zone string) (leg, bool) {
	var best leg
	for _, name := range p.depotOrder {
		d := p.depots[name]
		part := d.parts[key]
		if part == nil || !part.whole || !d.usable(now) {
			continue
		}
		transfer := transferTime(part.tokens, d.TokenSeconds, d.Zone != zone) + d.FirstByte
		l := leg{depot: d, wait: d.link.wait(now), transfer: d.link.stretch(now, transfer)}
		if l.took() < fetchSpan && (best.depot == nil || l.took() < best.took()) {
			best = l
		}
	}
	return best, best.depot != nil
}

// transferTime returns how long a link takes for some tokens; between zones it takes twice as long.
func transferTime(tokens int, tokenSeconds float64, across bool) time.Duration {
	took := time.Duration(float64(tokens) * tokenSeconds * float64(time.Second))
	if across {
		took *= 2
	}
	return took
}
