package group

import (
	"math/rand/v2"
	"sort"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// QueueConfig configures the queue of one group.
type QueueConfig struct {
	// MaxWaiting is the maximum number of queued requests.
	MaxWaiting int
	// Seed seeds the jitter of retry times.
	Seed uint64
}

// Queue holds a group's grant requests and active grants, and decides which requests to grant or refuse. It does no I/O; its callers pass
// in the time and receive the decisions as actions.
//
// A request waits in the queue and isn't bound to an endpoint until the grant, so a slow endpoint automatically receives less work.
type Queue struct {
	cfg       QueueConfig
	endpoints map[string]*endpointState
	// names holds the names of the endpoints, sorted.
	names   []string
	byClass [classCount]*fairQueue
	waiting map[GrantID]*waiter
	running map[GrantID]runningGrant
	// ended maps each request or grant that ended before it arrived to the time of its end.
	ended  map[GrantID]time.Time
	random *rand.Rand
	// lastEndpoints maps each conversation to the endpoint that last served it.
	lastEndpoints *lru.Cache[string, string]
}

// runningGrant is the endpoint of an active grant, and the connection over which its request came.
type runningGrant struct {
	endpoint   string
	connection uint64
}

// groupReserveDivisor sets the group's slot reserve: one of every groupReserveDivisor slots is kept free of new long work.
const groupReserveDivisor = 6

// maxConversations is the maximum number of conversations for which a queue remembers the last endpoint.
const maxConversations = 4096

// NewQueue returns a queue for a group without endpoints. SetMembers adds them.
func NewQueue(cfg QueueConfig) *Queue {
	q := &Queue{
		cfg:       cfg,
		endpoints: make(map[string]*endpointState),
		waiting:   make(map[GrantID]*waiter),
		running:   make(map[GrantID]runningGrant),
		ended:     make(map[GrantID]time.Time),
		random:    rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
	// lru.New fails only for a size below one.
	q.lastEndpoints, _ = lru.New[string, string](maxConversations)
	for c := range q.byClass {
		q.byClass[c] = newFairQueue()
	}
	return q
}

// SetMembers replaces the group's endpoints. Work on removed endpoints continues but occupies no slots.
func (q *Queue) SetMembers(now time.Time, members []Member) []Action {
	kept := make(map[string]*endpointState, len(members))
	q.names = q.names[:0]
	for _, m := range members {
		e := q.endpoints[m.Name]
		if e == nil {
			e = newEndpointState(m)
		}
		e.Member = m
		kept[m.Name] = e
		q.names = append(q.names, m.Name)
	}
	q.endpoints = kept
	sort.Strings(q.names)
	return q.dispatch(now)
}

// Add grants, queues or refuses a request.
func (q *Queue) Add(now time.Time, req GrantRequest) []Action {
	id := GrantID{Entry: req.Entry, ID: req.ID}
	if q.waiting[id] != nil || q.running[id].endpoint != "" {
		return nil
	}
	wait := q.expectedWait(now, &req)
	if q.takeEnd(id) {
		return []Action{q.refuse(now, id, wait)}
	}
	late := now.Add(wait + req.Cost).After(req.Deadline)
	if late || len(q.waiting) >= q.cfg.MaxWaiting {
		return []Action{q.refuse(now, id, wait)}
	}
	w := &waiter{request: req, since: now}
	q.waiting[id] = w
	q.byClass[req.Class].push(w)
	return q.dispatch(now)
}

// Adopt records a grant that a previous owner gave, as reported by the instance that holds it, unless the grant has ended already.
func (q *Queue) Adopt(now time.Time, req GrantRequest, endpoint string) {
	if q.takeEnd(GrantID{Entry: req.Entry, ID: req.ID}) {
		return
	}
	if e := q.endpoints[endpoint]; e != nil {
		q.startGrant(now, e, &req)
	}
}

// endRetention is how long the end of a request or grant that has not arrived is remembered. Messages of one connection are handled
// concurrently, so that the request or grant follows within the time for which a process may be delayed.
const endRetention = 5 * time.Second

// recordEnd remembers the end of an unknown request or grant, since the message of the end may overtake the one that it refers to.
func (q *Queue) recordEnd(now time.Time, id GrantID) {
	if q.running[id].endpoint == "" {
		q.ended[id] = now
	}
}

// takeEnd reports whether a request or grant that arrives has ended already, and forgets its end.
func (q *Queue) takeEnd(id GrantID) bool {
	_, ended := q.ended[id]
	delete(q.ended, id)
	return ended
}

// Withdraw removes a queued request, or ends a grant that was not used. It may overtake the request.
func (q *Queue) Withdraw(now time.Time, id GrantID) []Action {
	if q.waiting[id] == nil {
		q.recordEnd(now, id)
	}
	return q.Cancel(now, id)
}

// Cancel removes a queued request, or ends a grant that was not used. It has no effect on a request that has not arrived.
func (q *Queue) Cancel(now time.Time, id GrantID) []Action {
	if w := q.waiting[id]; w != nil {
		q.removeWaiting(w)
		return nil
	}
	return q.release(now, id)
}

// Done ends a grant. ratio is the actual service time divided by the expected one, or zero if it was not measured.
func (q *Queue) Done(now time.Time, id GrantID, ratio float64) []Action {
	if e := q.endpoints[q.running[id].endpoint]; e != nil && ratio > 0 {
		if g := e.active[id]; g != nil {
			q.recordRatio(now, e, g, ratio)
		}
	}
	q.recordEnd(now, id)
	return q.release(now, id)
}

// Progress records that a running grant has received its first token. ratio is the actual time so far divided by the expected one, or zero
// if it was not measured.
func (q *Queue) Progress(now time.Time, id GrantID, ratio float64) []Action {
	if e := q.endpoints[q.running[id].endpoint]; e != nil {
		if g := e.active[id]; g != nil {
			g.firstTokenSeen = true
			if ratio > 0 {
				q.recordRatio(now, e, g, ratio)
			}
		}
	}
	return q.dispatch(now)
}

// DropConnection removes all requests and grants that came over a connection that has closed.
//
// Those of later connections of the same process remain: the end of a connection may be noticed long after the process has connected again.
func (q *Queue) DropConnection(now time.Time, connection uint64) []Action {
	for _, w := range q.waiting {
		if w.request.Connection == connection {
			q.removeWaiting(w)
		}
	}
	for id, g := range q.running {
		if g.connection == connection {
			q.endGrant(id)
		}
	}
	return q.dispatch(now)
}

// Tick ejects slow endpoints, reclaims lost grants, and refuses requests that can no longer be served by their deadlines.
func (q *Queue) Tick(now time.Time) []Action {
	for _, name := range q.names {
		q.ejectIfSlow(now, q.endpoints[name])
	}
	q.reclaim(now)
	for id, at := range q.ended {
		if now.Sub(at) > endRetention {
			delete(q.ended, id)
		}
	}
	actions := q.dispatch(now)
	for _, id := range q.expired(now) {
		w := q.waiting[id]
		wait := q.expectedWait(now, &w.request)
		q.removeWaiting(w)
		actions = append(actions, q.refuse(now, id, wait))
	}
	for _, fair := range q.byClass {
		fair.dropIdle()
	}
	return actions
}

// reclaimAfter is how long after its request's deadline a grant is still assumed to be in use.
const reclaimAfter = 10 * time.Second

// reclaim ends the grants whose Done was lost. Their requests ended at their deadlines at the latest.
func (q *Queue) reclaim(now time.Time) {
	for _, name := range q.names {
		for id, g := range q.endpoints[name].active {
			if now.Sub(g.request.Deadline) > reclaimAfter {
				q.endGrant(id)
			}
		}
	}
}

func (q *Queue) expired(now time.Time) []GrantID {
	var ids []GrantID
	for id, w := range q.waiting {
		if now.Add(w.request.Cost).After(w.request.Deadline) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return requestLess(&q.waiting[ids[i]].request, &q.waiting[ids[j]].request) })
	return ids
}

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of active grants.
func (q *Queue) Running() int { return len(q.running) }

// dispatch grants free slots to queued requests, short work first, until no queued request fits.
func (q *Queue) dispatch(now time.Time) []Action {
	var actions []Action
	for class := range q.byClass {
		fair := q.byClass[class]
		for fair.count > 0 {
			w := fair.next(func(req *GrantRequest) bool { return q.selectEndpoint(now, req) != nil })
			if w == nil {
				break
			}
			e := q.selectEndpoint(now, &w.request)
			fair.charge(&w.request)
			q.removeWaiting(w)
			id := GrantID{Entry: w.request.Entry, ID: w.request.ID}
			warm := q.lastServed(&w.request) == e.Name
			q.startGrant(now, e, &w.request)
			actions = append(actions, Action{Kind: ActionGrant, ID: id, Endpoint: e.Name, Version: e.Version, RunID: e.RunID, Warm: warm})
		}
	}
	return actions
}

// selectEndpoint returns the best endpoint that accepts a request, or nil if none does. It prefers an ejected endpoint that is due for a
// probe and the endpoint that last served the conversation, and otherwise the least loaded one.
func (q *Queue) selectEndpoint(now time.Time, req *GrantRequest) *endpointState {
	if req.Class == ClassLong && !q.hasSlotReserve() {
		return nil
	}
	var best *endpointState
	bestLoad := 0.0
	lastServed := q.lastServed(req)
	for _, name := range q.names {
		e := q.endpoints[name]
		if !e.accepts(now, req) {
			continue
		}
		if e.ejected || e.Name == lastServed {
			// An ejected endpoint accepts only a probe that is due.
			return e
		}
		load := e.load(now)
		if best == nil || load < bestLoad {
			best, bestLoad = e, load
		}
	}
	return best
}

// hasSlotReserve reports whether enough slots would stay free for short work if one more were granted.
//
// Long work occupies a slot for many times longer than short work can wait, so it may take a slot only while others stay free:
//
//	24 slots, 4 of them reserved: long work starts while at least 5 are free, short work while at least 1 is
func (q *Queue) hasSlotReserve() bool {
	free, total := 0, 0
	for _, name := range q.names {
		e := q.endpoints[name]
		if e.Leaving || e.ejected {
			continue
		}
		total += e.Slots
		free += e.Slots - len(e.active)
	}
	return free > total/groupReserveDivisor
}

func (q *Queue) lastServed(req *GrantRequest) string {
	if req.Context == "" {
		return ""
	}
	endpoint, _ := q.lastEndpoints.Get(req.Context)
	return endpoint
}

// MarkDown takes a failed endpoint out of use until the next call of SetMembers.
func (q *Queue) MarkDown(endpoint string) {
	if e := q.endpoints[endpoint]; e != nil {
		e.Leaving = true
	}
}

// Evicted records that an endpoint no longer has a conversation's first piece cached.
func (q *Queue) Evicted(endpoint, context string) {
	if last, _ := q.lastEndpoints.Get(context); last == endpoint {
		q.lastEndpoints.Remove(context)
	}
}

// CacheEventsMissed discards all records of what an endpoint has cached, since some of its cache events were missed.
func (q *Queue) CacheEventsMissed(endpoint string) {
	for _, context := range q.lastEndpoints.Keys() {
		if last, _ := q.lastEndpoints.Peek(context); last == endpoint {
			q.lastEndpoints.Remove(context)
		}
	}
}

func (q *Queue) startGrant(now time.Time, e *endpointState, req *GrantRequest) {
	id := GrantID{Entry: req.Entry, ID: req.ID}
	g := &activeGrant{request: *req, started: now}
	e.active[id] = g
	q.running[id] = runningGrant{endpoint: e.Name, connection: req.Connection}
	if req.Context != "" {
		q.lastEndpoints.Add(req.Context, e.Name)
	}
	if e.ejected {
		e.probe = g
	}
}

func (q *Queue) removeWaiting(w *waiter) {
	delete(q.waiting, GrantID{Entry: w.request.Entry, ID: w.request.ID})
	q.byClass[w.request.Class].remove(w)
}

func (q *Queue) release(now time.Time, id GrantID) []Action {
	q.endGrant(id)
	return q.dispatch(now)
}

func (q *Queue) endGrant(id GrantID) {
	e := q.endpoints[q.running[id].endpoint]
	delete(q.running, id)
	if e == nil {
		return
	}
	if e.probe == e.active[id] {
		e.probe = nil
	}
	delete(e.active, id)
}
