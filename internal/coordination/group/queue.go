package group

import (
	"math/rand/v2"
	"sort"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// QueueConfig bounds one group's queue.
type QueueConfig struct {
	// MaxWaiting is the most asks that wait.
	MaxWaiting int
	// Seed feeds the spread of retry times.
	Seed uint64
}

// Queue is the decision core of a group's owner: it takes asks and ends, and returns grants and refusals.
//
// It binds late: an ask waits in the queue and not at an endpoint, so that a slow endpoint takes less by itself.
type Queue struct {
	cfg     QueueConfig
	seats   map[string]*seat
	order   []string
	lines   [classCount]*fairLine
	waiting map[GrantID]*waiter
	running map[GrantID]string
	random  *rand.Rand
	// contexts remembers the endpoint that last served each conversation.
	contexts *lru.Cache[string, string]
}

// keptShare is the number of a group's slots of which one is kept free of new long work.
const keptShare = 6

// maxContexts is the most conversations whose last endpoint a queue remembers.
const maxContexts = 4096

// NewQueue returns a queue without members.
func NewQueue(cfg QueueConfig) *Queue {
	q := &Queue{
		cfg:     cfg,
		seats:   make(map[string]*seat),
		waiting: make(map[GrantID]*waiter),
		running: make(map[GrantID]string),
		random:  rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
	// New fails only for a size below one.
	q.contexts, _ = lru.New[string, string](maxContexts)
	for c := range q.lines {
		q.lines[c] = newFairLine()
	}
	return q
}

// SetMembers replaces the group's endpoints; work on those that left goes on uncounted.
func (q *Queue) SetMembers(now time.Time, members []Member) []Action {
	kept := make(map[string]*seat, len(members))
	q.order = q.order[:0]
	for _, m := range members {
		s := q.seats[m.Name]
		if s == nil {
			s = newSeat(m)
		}
		s.Member = m
		kept[m.Name] = s
		q.order = append(q.order, m.Name)
	}
	q.seats = kept
	sort.Strings(q.order)
	return q.grant(now)
}

// Add takes an ask, and grants, keeps or refuses it.
func (q *Queue) Add(now time.Time, a GrantRequest) []Action {
	id := GrantID{Entry: a.Entry, ID: a.ID}
	if q.waiting[id] != nil || q.running[id] != "" {
		return nil
	}
	wait := q.expectedWait(now, &a)
	late := now.Add(wait + a.Cost).After(a.Deadline)
	if late || len(q.waiting) >= q.cfg.MaxWaiting {
		return []Action{q.refuse(now, id, wait)}
	}
	w := &waiter{ask: a, since: now}
	q.waiting[id] = w
	q.lines[a.Class].push(w)
	return q.grant(now)
}

// Adopt takes over a grant of an earlier owner from the entry that uses it.
func (q *Queue) Adopt(now time.Time, a GrantRequest, endpoint string) {
	if s := q.seats[endpoint]; s != nil {
		q.use(now, s, &a)
	}
}

// Withdraw drops an ask that waits, or ends a grant that was not used.
func (q *Queue) Withdraw(now time.Time, id GrantID) []Action {
	if w := q.waiting[id]; w != nil {
		q.drop(w)
		return nil
	}
	return q.release(now, id)
}

// Done ends a grant and takes the quotient of real and expected service time; zero is no observation.
func (q *Queue) Done(now time.Time, id GrantID, ratio float64) []Action {
	if s := q.seats[q.running[id]]; s != nil && ratio > 0 {
		if u := s.uses[id]; u != nil {
			q.observe(now, s, u, ratio)
		}
	}
	return q.release(now, id)
}

// Progress takes an early quotient, such as that of the first token, before a grant ends.
func (q *Queue) Progress(now time.Time, id GrantID, ratio float64) []Action {
	if s := q.seats[q.running[id]]; s != nil {
		if u := s.uses[id]; u != nil {
			u.progressed = true
			if ratio > 0 {
				q.observe(now, s, u, ratio)
			}
		}
	}
	return q.grant(now)
}

// DropEntry forgets everything of an entry whose connection has closed.
func (q *Queue) DropEntry(now time.Time, entry string) []Action {
	for id, w := range q.waiting {
		if id.Entry == entry {
			q.drop(w)
		}
	}
	for id := range q.running {
		if id.Entry == entry {
			q.end(id)
		}
	}
	return q.grant(now)
}

// Tick refuses asks that can't be served in time any more and looks for slow endpoints.
func (q *Queue) Tick(now time.Time) []Action {
	for _, name := range q.order {
		q.judge(now, q.seats[name])
	}
	q.reclaim(now)
	actions := q.grant(now)
	for _, id := range q.expired(now) {
		w := q.waiting[id]
		wait := q.expectedWait(now, &w.ask)
		q.drop(w)
		actions = append(actions, q.refuse(now, id, wait))
	}
	for _, line := range q.lines {
		line.forget()
	}
	return actions
}

// reclaimAfter is how long past its request's deadline a grant is taken to be in use.
const reclaimAfter = 10 * time.Second

// reclaim ends grants whose end was lost on its way; their requests have ended with their deadlines.
func (q *Queue) reclaim(now time.Time) {
	for _, name := range q.order {
		for id, u := range q.seats[name].uses {
			if now.Sub(u.ask.Deadline) > reclaimAfter {
				q.end(id)
			}
		}
	}
}

func (q *Queue) expired(now time.Time) []GrantID {
	var ids []GrantID
	for id, w := range q.waiting {
		if now.Add(w.ask.Cost).After(w.ask.Deadline) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return before(&q.waiting[ids[i]].ask, &q.waiting[ids[j]].ask) })
	return ids
}

// Waiting returns the number of asks that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of grants that have not ended.
func (q *Queue) Running() int { return len(q.running) }

// grant gives free endpoints to waiting asks, short work first, until nothing fits.
func (q *Queue) grant(now time.Time) []Action {
	var actions []Action
	for class := range q.lines {
		line := q.lines[class]
		for line.count > 0 {
			w := line.next(func(a *GrantRequest) bool { return q.seatFor(now, a) != nil })
			if w == nil {
				break
			}
			s := q.seatFor(now, &w.ask)
			line.charge(&w.ask)
			q.drop(w)
			id := GrantID{Entry: w.ask.Entry, ID: w.ask.ID}
			warm := q.lastServed(&w.ask) == s.Name
			q.use(now, s, &w.ask)
			actions = append(actions, Action{Kind: ActionGrant, ID: id, Endpoint: s.Name, Version: s.Version, Warm: warm})
		}
	}
	return actions
}

// seatFor returns the endpoint with room that is best for an ask, or nil.
func (q *Queue) seatFor(now time.Time, a *GrantRequest) *seat {
	if a.Class == ClassLong && !q.sparesSlots() {
		return nil
	}
	var best *seat
	bestLoad := 0.0
	prefer := q.lastServed(a)
	for _, name := range q.order {
		s := q.seats[name]
		if !s.hasRoom(now, a) {
			continue
		}
		if s.ejected || s.Name == prefer {
			// An ejected endpoint has room for a due probe only.
			return s
		}
		load := s.load(now)
		if best == nil || load < bestLoad {
			best, bestLoad = s, load
		}
	}
	return best
}

// sparesSlots reports whether the group keeps enough free slots for short work after one more grant.
//
// Long work holds a slot for many times longer than short work waits, so it may take a slot only while others stay free:
//
//	24 slots, 4 kept: long work starts while 5 or more are free, short work while one is
func (q *Queue) sparesSlots() bool {
	free, all := 0, 0
	for _, name := range q.order {
		s := q.seats[name]
		if s.Leaving || s.ejected {
			continue
		}
		all += s.Slots
		free += s.Slots - len(s.uses)
	}
	return free > all/keptShare
}

func (q *Queue) lastServed(a *GrantRequest) string {
	if a.Context == "" {
		return ""
	}
	endpoint, _ := q.contexts.Get(a.Context)
	return endpoint
}

// MarkDown takes an endpoint out of use until the members are set again.
func (q *Queue) MarkDown(endpoint string) {
	if s := q.seats[endpoint]; s != nil {
		s.Leaving = true
	}
}

// Evicted forgets that an endpoint holds a conversation's first piece.
func (q *Queue) Evicted(endpoint, context string) {
	if held, _ := q.contexts.Get(context); held == endpoint {
		q.contexts.Remove(context)
	}
}

// CacheEventsMissed forgets all that an endpoint holds, after a gap in its cache events.
func (q *Queue) CacheEventsMissed(endpoint string) {
	for _, context := range q.contexts.Keys() {
		if held, _ := q.contexts.Peek(context); held == endpoint {
			q.contexts.Remove(context)
		}
	}
}

func (q *Queue) use(now time.Time, s *seat, a *GrantRequest) {
	id := GrantID{Entry: a.Entry, ID: a.ID}
	u := &use{ask: *a, started: now}
	s.uses[id] = u
	q.running[id] = s.Name
	if a.Context != "" {
		q.contexts.Add(a.Context, s.Name)
	}
	if s.ejected {
		s.probe = u
	}
}

func (q *Queue) drop(w *waiter) {
	delete(q.waiting, GrantID{Entry: w.ask.Entry, ID: w.ask.ID})
	q.lines[w.ask.Class].remove(w)
}

func (q *Queue) release(now time.Time, id GrantID) []Action {
	q.end(id)
	return q.grant(now)
}

func (q *Queue) end(id GrantID) {
	s := q.seats[q.running[id]]
	delete(q.running, id)
	if s == nil {
		return
	}
	if s.probe == s.uses[id] {
		s.probe = nil
	}
	delete(s.uses, id)
}
