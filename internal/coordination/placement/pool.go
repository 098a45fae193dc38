package placement

import (
	"time"

	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/registration"
)

// reclaimAfter is how long past its deadline a use is counted whose end was not heard of.
const reclaimAfter = time.Second

// TargetVersion is the weight version that a model shall run.
type TargetVersion struct {
	Version int
	// AnnouncedAt is when this process first heard of it.
	AnnouncedAt clock.Instant
}

// Pool is the decision core for one service: it takes asks, progress and ends, and returns choices.
//
// It counts what it has placed, exactly and now, and models each endpoint's cache from it; both are hints.
type Pool struct {
	cfg    Config
	engine *Engine
	seats  map[string]*seat
	// order holds the identifiers of the endpoints in order, and list the endpoints in the same.
	order  []string
	list   []*seat
	uses   map[AssignmentID]*use
	wanted map[string][]TargetVersion
	// latest is the newest version of each model's weights that any endpoint has been seen to run.
	latest map[string]int
	index  *index
	// queue holds the asks that wait, the most urgent first and among equals the first that came.
	queue []*waiting

	// owns says that this process alone grants, frees and saves at the stores.
	owns       bool
	depots     map[string]*depot
	depotOrder []string

	// turn is the place in the list from which endpoints of a large fleet are sampled next.
	turn int
	// changes counts what gave an endpoint room: ends of uses, prompts read, loads done.
	changes uint64
	rated   uint64
}

// NewPool returns a pool without endpoints.
func NewPool(cfg Config) *Pool {
	if cfg.Reachability == nil {
		cfg.Reachability = NewReachability()
	}
	return &Pool{
		cfg:    cfg,
		seats:  make(map[string]*seat),
		uses:   make(map[AssignmentID]*use),
		wanted: make(map[string][]TargetVersion),
		latest: make(map[string]int),
		index:  newIndex(),
		depots: make(map[string]*depot),
	}
}

// SetEngine says what the service's engines are like; nil is for plain services.
func (p *Pool) SetEngine(e *Engine) { p.engine = e }

// keptWanted is the most versions of a model whose naming is remembered.
const keptWanted = 8

// SetTargetVersion names the weight version that a model shall run; each version is remembered with the time from which it was wanted.
func (p *Pool) SetTargetVersion(model string, w TargetVersion) {
	list := append(p.wanted[model], w)
	p.wanted[model] = list[max(0, len(list)-keptWanted):]
}

// newest returns the version that a model shall run now.
func (p *Pool) newest(model string) (TargetVersion, bool) {
	list := p.wanted[model]
	if len(list) == 0 {
		return TargetVersion{}, false
	}
	return list[len(list)-1], true
}

// SetEndpoints replaces the endpoints, in order of their identifiers; uses of those that left go on uncounted.
func (p *Pool) SetEndpoints(list []*registration.Registration) {
	kept := make(map[string]*seat, len(list))
	p.order, p.list = p.order[:0], p.list[:0]
	for _, r := range list {
		s := p.seats[r.ID]
		if s == nil {
			s = newSeat(r, p.index)
		}
		s.update(r)
		for model, version := range r.Versions {
			p.latest[model] = max(p.latest[model], version)
		}
		kept[r.ID] = s
		p.order = append(p.order, r.ID)
		p.list = append(p.list, s)
	}
	for id, s := range p.seats {
		if kept[id] == nil {
			s.cache.clear()
		}
	}
	p.seats = kept
}

// CacheEvent is one piece of news of a cache: so many tokens of a part are held now.
type CacheEvent struct {
	Added  bool
	Space  string
	Part   string
	Tokens int
}

// followTime is how long after news an endpoint's cache counts as followed, so that no evictions are modelled.
const followTime = 3 * time.Second

// ApplyCacheUpdate takes an endpoint's news; lost news or a restart leaves nothing that is believed.
func (p *Pool) ApplyCacheUpdate(now clock.Instant, endpoint string, n *CacheUpdate) {
	s := p.seats[endpoint]
	if s == nil {
		return
	}
	if n.Missed {
		s.cache.clear()
	}
	s.hear(now)
	s.followed = now.Add(followTime)
	if n.ClockMillis != 0 {
		s.clock = n.ClockMillis - int64(now)/int64(time.Millisecond)
	}
	for _, e := range n.Events {
		if v := spaceVersion(e.Space); v != 0 && !s.runs(v) {
			// Read with other weights, by a request that went on while they changed.
			continue
		}
		s.cache.set(now, cacheKey{e.Space, e.Part}, e.Tokens)
	}
}

// noteRoom notes that an endpoint may have room that it didn't have.
func (p *Pool) noteRoom(s *seat) {
	p.changes++
	s.changed = p.changes
}

// FirstEvent notes that a use has had its first event.
func (p *Pool) FirstEvent(now clock.Instant, id AssignmentID) {
	u := p.uses[id]
	if u == nil || u.miss == 0 {
		return
	}
	u.seat.hear(now)
	p.cfg.Reachability.hear(u.ask.Zone, u.seat)
	u.seat.read(u)
	p.noteRoom(u.seat)
	u.seat.cache.ready(u.space, u.ask.Parts)
	if u.expected > 0 {
		u.observeFirst(now)
	}
	u.seat.failures = 0
}

// Outcome is how a use ended.
type Outcome uint8

// Ends of uses.
const (
	// OutcomeAnswered uses were answered whole.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeFailed uses were answered with a failure, or spoilt.
	OutcomeFailed
	// OutcomeUnreachable uses found no endpoint, or lost it on the way.
	OutcomeUnreachable
	// OutcomeRejected uses were turned away as not run.
	OutcomeRejected
	// OutcomeMisdirected uses met another endpoint.
	OutcomeMisdirected
	// OutcomeStale uses met another weight version.
	OutcomeStale
	// OutcomeWithdrawn uses were given up by the caller.
	OutcomeWithdrawn
)

// Done ends a use.
func (p *Pool) Done(now clock.Instant, id AssignmentID, end Outcome) {
	u := p.uses[id]
	if u == nil {
		return
	}
	delete(p.uses, id)
	s := u.seat
	s.end(u)
	p.noteRoom(s)
	switch end {
	case OutcomeAnswered:
		s.hear(now)
		p.cfg.Reachability.hear(u.ask.Zone, s)
		s.failures = 0
		s.observeError(false)
	case OutcomeFailed:
		s.observeError(true)
	case OutcomeUnreachable:
		s.failed(now)
		p.cfg.Reachability.fail(now, u.ask.Zone, s)
	case OutcomeRejected:
		s.hear(now)
		p.cfg.Reachability.hear(u.ask.Zone, s)
		s.restUntil = now.Add(fullRest)
	case OutcomeMisdirected:
		s.restUntil = now.Add(maxRest)
	case OutcomeStale:
		if w, ok := p.newest(u.ask.Model); ok {
			s.learn(u.ask.Model, w.Version)
		}
	case OutcomeWithdrawn:
	}
}

// WeightsLoading notes that an endpoint loads weights until an instant; the zero instant says that it is done.
func (p *Pool) WeightsLoading(endpoint string, until clock.Instant) {
	if s := p.seats[endpoint]; s != nil {
		s.loading = until
	}
}

// WeightsLoaded notes an endpoint's weight version.
func (p *Pool) WeightsLoaded(endpoint, model string, version int) {
	if s := p.seats[endpoint]; s != nil {
		s.loading = 0
		s.learn(model, version)
		p.latest[model] = max(p.latest[model], version)
		p.noteRoom(s)
	}
}

// DropEntry forgets the uses of an entry that is gone.
func (p *Pool) DropEntry(entry string) {
	for id, u := range p.uses {
		if id.Entry == entry {
			delete(p.uses, id)
			u.seat.end(u)
			p.noteRoom(u.seat)
		}
	}
	kept := p.queue[:0]
	for _, w := range p.queue {
		if w.ask.ID.Entry != entry {
			kept = append(kept, w)
		}
	}
	clear(p.queue[len(kept):])
	p.queue = kept
}

// RemoveExpired ends uses whose ends were lost.
func (p *Pool) RemoveExpired(now clock.Instant) {
	for id, u := range p.uses {
		if now.Sub(u.ask.Deadline) > reclaimAfter {
			delete(p.uses, id)
			u.seat.end(u)
			p.noteRoom(u.seat)
		}
	}
}

// Running returns the number of uses.
func (p *Pool) Running() int { return len(p.uses) }

// Evaluations returns how many times an endpoint was rated for an ask so far, which is most of the pool's processor time.
func (p *Pool) Evaluations() uint64 { return p.rated }

// Endpoints returns the number of endpoints.
func (p *Pool) Endpoints() int { return len(p.order) }

// Load is how busy an endpoint is.
type Load struct {
	Running int
	// PendingPrefill is the number of prompt tokens that it still has to read.
	PendingPrefill int
	// PendingSaves is the number of requests whose prompts are still being read and then sent to a store.
	PendingSaves int
}

// EndpointLoad returns how busy an endpoint is, by what this pool has placed.
func (p *Pool) EndpointLoad(endpoint string) Load {
	s := p.seats[endpoint]
	if s == nil {
		return Load{}
	}
	l := Load{Running: len(s.uses), PendingPrefill: s.reading}
	for _, u := range s.uses {
		if u.saves && u.miss > 0 {
			l.PendingSaves++
		}
	}
	return l
}
