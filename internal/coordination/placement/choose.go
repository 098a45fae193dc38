package placement

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/coordination/rank"
	"gypsumvale/internal/state/clock"
)

const (
	// baseTime is the time to the first event of a prompt that is cached whole, on an idle engine.
	baseTime = 40 * time.Millisecond
	// minFetch is the fewest tokens worth a transfer: fewer are read as fast as they are fetched.
	minFetch = 192
	// fetchPenalty keeps a request at the holder of its context unless that holder is clearly busier.
	fetchPenalty = 8 * time.Millisecond
	// zonePenalty prefers the caller's zone among endpoints that are equally fast.
	zonePenalty = 3 * time.Millisecond
	// runningPenalty is what each running request adds to the time of all others at an engine.
	runningPenalty = 500 * time.Microsecond
	// olderPenalty prefers endpoints that already run the wanted weights, in which answers are worth more.
	olderPenalty = 60 * time.Millisecond
	// fullPenalty is the wait at an engine whose memory or slots are taken, for each time over.
	fullPenalty = 600 * time.Millisecond
	// againFactor is how many times the reading of tokens counts that another endpoint or a store has, or is about to have: what is
	// read again delays all that wait behind it.
	againFactor = 3
	// lessUrgentShare is the share of less urgent reading that still delays: a piece under way isn't interrupted.
	lessUrgentShare = 0.3
	// errorFactor multiplies the expected time at an endpoint that fails more often than others do.
	errorFactor = 8
	// homeShare is the share of the shared tokens taken to be cached at an endpoint by rank, without better knowledge.
	homeShare = 0.7
	// plainTime is the time of a plain call on a free endpoint, only to compare endpoints.
	plainTime = 20 * time.Millisecond
	// returnShare spreads the return of rejected callers over the drain of the backlog.
	returnShare = 0.75
)

// PlaceNow places an ask on the endpoint with the least expected time to its first event; the error is ErrNoEndpoint or *OverloadError.
func (p *Pool) PlaceNow(now clock.Instant, a *Request) (Choice, error) { return p.choose(now, a, nil) }

// errNoRoom says that endpoints are there, but all are busy.
var errNoRoom = errors.New("all endpoints are busy")

// choose places an ask; one that may wait, w, is taken only by an endpoint that has room.
func (p *Pool) choose(now clock.Instant, a *Request, w *waiting) (Choice, error) {
	mayWait := w != nil
	if p.uses[a.ID] != nil {
		p.Done(now, a.ID, OutcomeWithdrawn)
	}
	var best candidate
	seats, busy := p.seatsFor(now, a, w)
	if len(seats) > 0 {
		home, known := p.home(a), p.known(a, p.latest[a.Model])
		meanErrors := p.meanErrors()
		for _, s := range seats {
			c := p.rate(now, s, a, home, known, meanErrors)
			if mayWait && !p.admits(s, a, &c.choice) {
				busy = true
				continue
			}
			if best.seat == nil || c.cost < best.cost {
				best = c
			}
		}
	}
	if best.seat == nil && busy {
		return Choice{}, errNoRoom
	}
	if best.seat == nil {
		return Choice{}, ErrNoEndpoint
	}
	if late := now.Add(best.choice.Expected); a.FirstEventDeadline != 0 && a.FirstEventDeadline.Before(late) && !a.Uncoordinated && !mayWait {
		wait := time.Duration(float64(late.Sub(a.FirstEventDeadline)) * returnShare)
		return Choice{}, &OverloadError{RetryAt: now.Add(wait), Expected: best.choice.Expected}
	}
	p.commitFetch(now, a, &best)
	best.choice.SaveTo = p.savePlaces(now, best.seat, a, &best.choice)
	p.place(now, a, &best)
	p.cfg.Reachability.send(now, a.Zone, best.seat)
	return best.choice, nil
}

// seatsFor returns the endpoints that an ask may use, and whether there are others that are busy. An endpoint on which the request
// failed, or that rests, is the last resort, and one that left is none.
func (p *Pool) seatsFor(now clock.Instant, a *Request, w *waiting) (seats []*seat, busy bool) {
	since := uint64(0)
	if w != nil {
		since = w.look(now, p.changes)
	}
	for pass := 0; pass < 2 && len(seats) == 0 && !busy; pass++ {
		list := p.list
		if pass == 0 {
			list = p.candidates(a)
		}
		for _, s := range list {
			switch {
			case s.changed < since:
				busy = true
			case pass == 0 && !p.mayUse(now, s, a), pass == 1 && now.Before(s.loading), contains(a.Avoid, s.ID), p.excluded(now, s, a):
			case w != nil && !p.mayAdmit(s, w):
				busy = true
			default:
				seats = append(seats, s)
			}
		}
	}
	return seats, busy
}

const (
	// manySeats is the number of endpoints up to which all are looked at for each ask.
	manySeats = 96
	// sampledSeats is how many of more are looked at, beside those that hold the ask's context: with 32 drawn in turn, the best of them is
	// among the best twentieth of all but one time in five, at a cost that doesn't grow with the fleet.
	sampledSeats = 32
	// maxHolders bounds the holders of a context that are looked at.
	maxHolders = 16
)

// candidates returns the endpoints that are looked at for an ask: all of a few, or of many the holders of its context and some others
// in turn.
func (p *Pool) candidates(a *Request) []*seat {
	if len(p.list) <= manySeats {
		return p.list
	}
	var seats []*seat
	if shared := a.sharedParts(); len(shared) > 0 {
		holders := p.index.holders[cacheKey{cacheSpace(p.latest[a.Model], a.IsolationKey), shared[len(shared)-1].ID}]
		seats = append(seats, holders[:min(len(holders), maxHolders)]...)
	}
	if home := p.seats[p.home(a)]; home != nil {
		seats = append(seats, home)
	}
	for range sampledSeats {
		p.turn = (p.turn + 1) % len(p.list)
		seats = append(seats, p.list[p.turn])
	}
	return seats
}

type candidate struct {
	seat   *seat
	choice Choice
	cost   time.Duration
	fetch  fetch
}

// mayUse reports whether an endpoint neither rests nor lies in a zone that seems cut off from the caller's.
func (p *Pool) mayUse(now clock.Instant, s *seat, a *Request) bool {
	return s.usable(now) && !p.cfg.Reachability.cut(now, a.Zone, s.Zone)
}

// excluded reports whether an endpoint's weights may not be used any more.
func (p *Pool) excluded(now clock.Instant, s *seat, a *Request) bool {
	if a.Model == "" {
		return false
	}
	for _, w := range p.wanted[a.Model] {
		if s.version[a.Model] < w.Version && now.Sub(w.AnnouncedAt) > p.cfg.OldWeightsGrace {
			return true
		}
	}
	return false
}

// rate works out the time to the first event at one endpoint, and the cost by which endpoints are compared.
func (p *Pool) rate(now clock.Instant, s *seat, a *Request, home string, known int, meanErrors float64) candidate {
	p.rated++
	c := Choice{Endpoint: s.ID, Address: s.Address}
	if p.engine == nil || a.Model == "" {
		return p.ratePlain(now, s, a, c, meanErrors)
	}
	c.Version = s.version[a.Model]
	c.CacheSpace = cacheSpace(c.Version, a.IsolationKey)
	held, cached := s.cache.prefix(now, c.CacheSpace, a.Parts)
	c.Cached = cached
	if a.Uncoordinated && s.ID == home && c.Cached == 0 {
		c.Cached = int(homeShare * float64(a.SharedTokens()))
	}
	f := p.fetch(now, s, a, &c, held, home)
	fetched, fetchTime := f.tokens, f.took
	c.Fetched = fetched
	miss := max(0, a.Prompt-c.Cached-c.Fetched)
	work := float64(miss) / p.cfg.PrefillRate
	queue := s.backlog(a) / p.cfg.PrefillRate
	c.Expected = baseTime + time.Duration(s.pace.current(now)*(work+queue)*float64(time.Second)) + fetchTime
	c.Expected += time.Duration(len(s.uses)) * runningPenalty
	cost := p.compare(s, a, c.Expected, meanErrors) + p.crowding(s, a)
	if again := known - c.Cached - c.Fetched; again > 0 {
		cost += time.Duration(againFactor * float64(again) / p.cfg.PrefillRate * float64(time.Second))
	}
	if fetched > 0 {
		cost += fetchPenalty
	}
	if w, ok := p.newest(a.Model); ok && c.Version < w.Version {
		cost += olderPenalty
	}
	return candidate{s, c, cost, f}
}

// crowding returns what speaks against an engine whose memory or slots are taken: what runs there gives way, or caches do.
func (p *Pool) crowding(s *seat, a *Request) time.Duration {
	cost := time.Duration(0)
	if over := float64(s.held+a.memory())/float64(max(1, p.engine.CacheTokens)) - 1; over > 0 {
		cost += time.Duration((1 + over) * float64(fullPenalty))
	}
	if over := float64(len(s.uses)+1)/float64(max(1, s.Slots)) - 1; over > 0 {
		cost += time.Duration((1 + over) * float64(fullPenalty))
	}
	return cost
}

func (p *Pool) ratePlain(now clock.Instant, s *seat, a *Request, c Choice, meanErrors float64) candidate {
	load := float64(len(s.uses)+1) / float64(max(1, s.Slots))
	c.Expected = time.Duration(s.pace.current(now) * float64(plainTime))
	if load > 1 {
		c.Expected = time.Duration(float64(c.Expected) * (1 + load))
	}
	cost := time.Duration(float64(c.Expected) * (1 + load))
	return candidate{seat: s, choice: c, cost: p.compare(s, a, cost, meanErrors)}
}

// compare adds what doesn't delay the first event but speaks against an endpoint.
func (p *Pool) compare(s *seat, a *Request, expected time.Duration, meanErrors float64) time.Duration {
	cost := expected
	if s.Zone != a.Zone {
		cost += zonePenalty
	}
	if excess := s.errors - 1.5*meanErrors - 0.05; excess > 0 {
		cost += time.Duration(excess * errorFactor * float64(expected+plainTime))
	}
	return cost
}

// place counts a use of an endpoint.
func (p *Pool) place(now clock.Instant, a *Request, best *candidate) {
	s, c := best.seat, &best.choice
	u := &use{ask: a, seat: s, space: c.CacheSpace, sent: now, expected: c.Expected, miss: max(1, a.Prompt-c.Cached-c.Fetched), saves: c.SaveTo != nil}
	u.from = best.fetch.slowest(s)
	p.uses[a.ID] = u
	s.begin(u)
	if p.engine == nil || a.Model == "" {
		return
	}
	capacity := max(0, p.engine.CacheTokens-s.held)
	if now.Before(s.followed) {
		// Evictions are told by events.
		capacity = 1 << 40
	}
	s.cache.expect(now, c.CacheSpace, a.Parts, capacity)
}

// home returns the endpoint that entries which don't talk to each other choose for a context.
func (p *Pool) home(a *Request) string {
	if !a.Uncoordinated || a.Model == "" || len(a.Parts) < 2 || len(p.order) == 0 {
		return ""
	}
	return rank.First(a.Parts[len(a.Parts)-2].ID, p.order)
}

func (p *Pool) meanErrors() float64 {
	if len(p.order) == 0 {
		return 0
	}
	sum := 0.0
	for _, s := range p.list {
		sum += s.errors
	}
	return sum / float64(len(p.order))
}

// known returns the tokens of the longest prefix of shared parts that some endpoint or store has, or is about to have, under a weight
// version.
func (p *Pool) known(a *Request, version int) int {
	if p.engine == nil || a.Model == "" {
		return 0
	}
	tokens := 0
	space := cacheSpace(version, a.IsolationKey)
	for _, part := range a.sharedParts() {
		key := cacheKey{space, part.ID}
		if len(p.index.holders[key]) == 0 && !p.keptAnywhere(key) {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// spaceVersion returns the weight version of a cache space, or zero if it isn't one of this system's.
func spaceVersion(space string) int {
	number, _, _ := strings.Cut(strings.TrimPrefix(space, "w"), "/")
	v, err := strconv.Atoi(number)
	if err != nil {
		return 0
	}
	return v
}

// cacheSpace separates what was read with other weights, and what is an isolated workspace's own.
func cacheSpace(version int, wall string) string {
	if wall == "" {
		return "w" + strconv.Itoa(version)
	}
	return "w" + strconv.Itoa(version) + "/" + wall
}

func contains(list []string, want string) bool {
	for _, item := range list {
		if item == want {
			return true
		}
	}
	return false
}
