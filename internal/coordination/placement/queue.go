package placement

import (
	"math"
	"sort"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/state/clock"
)

// ErrQueued says that an ask waits; Pump tells when it is placed or refused.
var ErrQueued = errors.New("request waits for an endpoint")

const (
	// readLimit is the reading that an engine is sent ahead: enough to keep it busy, little enough that an urgent request which
	// comes next waits for few others.
	readLimit = 600 * time.Millisecond
	// heldShare is the share of an engine's memory that running requests may take; the rest keeps contexts. Above it, each request
	// would evict what the next ones need, and an overload would feed itself.
	heldShare = 1.2
	// maxQueue is the most asks that wait.
	maxQueue = 4096
)

// waiting is an ask that no endpoint had room for.
type waiting struct {
	ask   *Request
	since clock.Instant
	// looked is when all engines were looked at last, and seen the number of changes that there had been at the last look.
	looked clock.Instant
	seen   uint64
	// known holds, by weight version, the shared tokens that are kept anywhere, as of the last look at all engines.
	known map[int]int
}

// lookPeriod is how often an ask that waits is held against all engines again: links become free and caches fill unnoticed. Between,
// only engines that have ended or read something are looked at.
const lookPeriod = 40 * time.Millisecond

// due reports whether a look at the engines may find one that has room now.
func (w *waiting) due(now clock.Instant, changes uint64) bool {
	return w.seen < changes || now.Sub(w.looked) >= lookPeriod
}

// look notes a look at the engines, and returns the change since which they are looked at.
func (w *waiting) look(now clock.Instant, changes uint64) (since uint64) {
	since, w.seen = w.seen+1, changes
	if now.Sub(w.looked) >= lookPeriod {
		w.looked, w.known, since = now, nil, 0
	}
	return since
}

// Grant ends the waiting of an ask: with a choice, or with the reason why there is none.
type Grant struct {
	Request *Request
	Choice  Choice
	Err     error
}

// Place places an ask, lets it wait, or refuses it. The error is ErrQueued, ErrNoEndpoint or *OverloadError.
//
//	load pattern                     answer
//	room at an engine                placed at once, by the least expected time
//	crest, all engines busy          waits here, the most urgent first, so that engines keep their contexts
//	more than callers will wait for  refused at once, to come back when the backlog has shrunk
func (p *Pool) Place(now clock.Instant, a *Request) (Choice, error) {
	if a.Uncoordinated || a.Model == "" || p.engine == nil {
		return p.PlaceNow(now, a)
	}
	w := &waiting{ask: a, since: now}
	if !p.anyAhead(a) {
		c, err := p.choose(now, a, w)
		if !errors.Is(err, errNoRoom) {
			return c, err
		}
	}
	wait := p.expectedWait(now, a)
	if late := now.Add(wait); a.FirstEventDeadline.Before(late) || len(p.queue) >= maxQueue {
		return Choice{}, &OverloadError{RetryAt: now.Add(time.Duration(float64(late.Sub(a.FirstEventDeadline))*returnShare) + minReturn), Expected: wait}
	}
	i := sort.Search(len(p.queue), func(i int) bool { return p.queue[i].ask.Priority > a.Priority })
	p.queue = append(p.queue, nil)
	copy(p.queue[i+1:], p.queue[i:])
	p.queue[i] = w
	return Choice{}, ErrQueued
}

// minReturn keeps refused callers from coming back into the same crest.
const minReturn = 300 * time.Millisecond

// anyAhead reports whether an ask that is as urgent already waits.
func (p *Pool) anyAhead(a *Request) bool {
	return len(p.queue) > 0 && p.queue[0].ask.Priority <= a.Priority
}

// expectedWait returns how long an ask would wait behind those that are as urgent.
func (p *Pool) expectedWait(now clock.Instant, a *Request) time.Duration {
	tokens, rate := p.backlog(now, a)
	for _, w := range p.queue {
		if w.ask.Priority > a.Priority {
			break
		}
		tokens += w.ask.own()
	}
	return spanOf(tokens, rate)
}

// backlog returns the tokens that the endpoints which an ask may use still have to read, and how many they read in a second.
func (p *Pool) backlog(now clock.Instant, a *Request) (tokens int, rate float64) {
	for _, s := range p.list {
		if s.usable(now) && !p.excluded(now, s, a) {
			tokens += s.reading
			rate += p.cfg.PrefillRate * workingShare
		}
	}
	return tokens, rate
}

// spanOf returns how long the reading of tokens takes; nothing is expected of endpoints that all rest.
func spanOf(tokens int, rate float64) time.Duration {
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// own returns the prompt tokens that have to be read even if all shared ones are found.
func (a *Request) own() int { return a.Prompt - a.SharedTokens() }

// memory returns the tokens that a request takes of an engine's memory until it ends.
func (a *Request) memory() int { return a.Prompt + a.Output }

// workingShare is the share of an engine's reading rate that is left beside its other work.
const workingShare = 0.6

// ProcessQueue places what waits, as far as there is room now, and refuses what can't be served any more while its caller waits: those
// before it in the queue take too long. An ask that no engine has memory for doesn't keep smaller ones behind it waiting.
func (p *Pool) ProcessQueue(now clock.Instant) []Grant {
	if len(p.queue) == 0 {
		return nil
	}
	var grants []Grant
	kept := p.queue[:0]
	ahead, rate := p.backlog(now, p.queue[0].ask)
	room := p.mostRoom(now)
	for _, w := range p.queue {
		wait := spanOf(ahead, rate)
		if late := now.Add(wait + baseTime); w.ask.FirstEventDeadline.Before(late) {
			back := time.Duration(float64(late.Sub(w.ask.FirstEventDeadline))*returnShare) + minReturn
			grants = append(grants, Grant{Request: w.ask, Err: &OverloadError{RetryAt: now.Add(back), Expected: wait}})
			continue
		}
		ahead += w.ask.own()
		if w.ask.memory() > room || !w.due(now, p.changes) {
			kept = append(kept, w)
			continue
		}
		c, err := p.choose(now, w.ask, w)
		if errors.Is(err, errNoRoom) {
			kept = append(kept, w)
			continue
		}
		grants = append(grants, Grant{Request: w.ask, Choice: c, Err: err})
		room = p.mostRoom(now)
	}
	clear(p.queue[len(kept):])
	p.queue = kept
	return grants
}

// mostRoom returns the tokens of the largest ask that an engine may have memory for; all are worth a try if none is usable.
func (p *Pool) mostRoom(now clock.Instant) int {
	most, found := 0, false
	for _, s := range p.list {
		if s.usable(now) {
			found = true
			most = max(most, p.roomAt(s))
		}
	}
	if !found {
		return math.MaxInt
	}
	return most
}

// roomAt returns the tokens of the largest ask that an engine may have memory for.
func (p *Pool) roomAt(s *seat) int {
	switch {
	case len(s.uses) == 0:
		return math.MaxInt
	case len(s.uses) >= s.Slots || s.reading > 0 && !p.fits(s.reading):
		return 0
	}
	return int(heldShare*float64(p.engine.CacheTokens)) - s.held
}

// Withdraw drops an ask that waits.
func (p *Pool) Withdraw(id AssignmentID) {
	for i, w := range p.queue {
		if w.ask.ID == id {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			return
		}
	}
}

// Waiting returns the number of asks that wait.
func (p *Pool) Waiting() int { return len(p.queue) }

// mayAdmit reports whether an engine may have room for an ask that waits: it reads at least what no cache has. At a crest most engines
// have none, and rating them for each ask would take the leader's processor.
func (p *Pool) mayAdmit(s *seat, w *waiting) bool {
	if w.ask.memory() > p.roomAt(s) {
		return false
	}
	if s.reading == 0 {
		return true
	}
	version := s.version[w.ask.Model]
	known, ok := w.known[version]
	if !ok {
		known = p.known(w.ask, version)
		if w.known == nil {
			w.known = make(map[int]int, 1)
		}
		w.known[version] = known
	}
	return p.fits(s.reading + w.ask.Prompt - known)
}

// admits reports whether an engine that may have room takes a request with what it has to read.
func (p *Pool) admits(s *seat, a *Request, c *Choice) bool {
	return s.reading == 0 || p.fits(s.reading+max(0, a.Prompt-c.Cached-c.Fetched))
}

// fits reports whether an engine may be sent so many tokens to read.
func (p *Pool) fits(tokens int) bool { return float64(tokens) <= readLimit.Seconds()*p.cfg.PrefillRate }
