package placement_test

import (
	"cmp"
	"slices"
	"time"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/state/clock"
)

const (
	mixedSlots      = 24
	mixedMemory     = 133853
	mixedStride     = 9
	mixedChunk      = 2048
	mixedPrefill    = 81900.0
	mixedStep       = 3740 * time.Microsecond
	mixedStepPerRun = 100 * time.Microsecond
)

// mixedRun is one request on a steppingEngine.
type mixedRun struct {
	call *mixedCall
	// shared and unique are prompt tokens that remain to be prefilled, and held is the memory that the request occupies besides its context.
	shared, unique, held int
	started, usesContext bool
	chunk                int
}

// steppingEngine models an engine: each step decodes one token for each running request and prefills up to mixedChunk prompt tokens, the
// most urgent first. When memory runs out, it evicts idle contexts, then it preempts the newest of the least urgent requests.
type steppingEngine struct {
	load             *mixedLoad
	id               string
	slowdown         float64
	waiting, running []*mixedRun
	stepping         bool
	used             int
	// idleSince holds the cached contexts and when they were last used; users counts the running requests that use them.
	idleSince map[string]clock.Instant
	users     map[string]int
	changes   []placement.CacheEvent
}

func (e *steppingEngine) enqueue(now clock.Instant, c *mixedCall) {
	e.waiting = append(e.waiting, &mixedRun{call: c})
	e.stepNext(now)
}

func byUrgency(a, b *mixedRun) int {
	return cmp.Or(cmp.Compare(a.call.req.Priority, b.call.req.Priority), cmp.Compare(a.call.req.ID.Number, b.call.req.ID.Number))
}

// stepNext begins a step if none is in progress and there are requests.
func (e *steppingEngine) stepNext(now clock.Instant) {
	if e.stepping || len(e.waiting)+len(e.running) == 0 {
		return
	}
	slices.SortFunc(e.waiting, byUrgency)
	for len(e.waiting) > 0 && len(e.running) < mixedSlots && e.reserve(now, 1, nil) {
		e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
	}
	slices.SortFunc(e.running, byUrgency)
	budget, decoding := mixedChunk, 0
	for _, r := range slices.Clone(e.running) {
		if !slices.Contains(e.running, r) {
			continue
		}
		if r.started && r.shared+r.unique == 0 {
			if e.reserve(now, 1, r) {
				e.used, r.held = e.used+1, r.held+1
				decoding++
			}
			continue
		}
		e.begin(r)
		if r.chunk = min(budget, r.shared+r.unique); r.chunk == 0 || !e.reserve(now, r.chunk, r) {
			r.chunk = 0
			continue
		}
		e.used, r.held = e.used+r.chunk, r.held+r.chunk
		budget -= r.chunk
	}
	took := mixedStep + time.Duration(decoding)*mixedStepPerRun + time.Duration(float64(mixedChunk-budget)/mixedPrefill*float64(time.Second))
	e.stepping = true
	e.load.at(now.Add(time.Duration(e.slowdown*float64(took))), e.stepped)
}

// begin determines what a request has to prefill.
func (e *steppingEngine) begin(r *mixedRun) {
	if r.started {
		return
	}
	r.started, r.unique = true, r.call.req.Prompt-r.call.class.shared+r.call.produced
	if _, cached := e.idleSince[r.call.context]; cached {
		e.users[r.call.context]++
		r.usesContext = true
		return
	}
	r.shared = r.call.class.shared
	e.load.recomputed += r.shared
}

// stepped ends a step: prompts have been prefilled by their chunks, and each other running request has one more token.
func (e *steppingEngine) stepped(now clock.Instant) {
	e.stepping = false
	for _, r := range slices.Clone(e.running) {
		switch {
		case !r.started:
			continue
		case r.shared+r.unique > 0:
			shared := min(r.shared, r.chunk)
			r.unique -= r.chunk - shared
			if r.shared -= shared; r.shared == 0 && !r.usesContext {
				e.share(now, r)
			}
			r.chunk = 0
			if r.shared+r.unique > 0 {
				continue
			}
		}
		if r.call.produce(now) {
			e.leave(now, r)
			e.load.answered(now, r.call)
		}
	}
	e.stepNext(now)
}

// share makes a context that a request has prefilled available to others.
func (e *steppingEngine) share(now clock.Instant, r *mixedRun) {
	r.usesContext = true
	r.held -= r.call.class.shared
	e.users[r.call.context]++
	if _, cached := e.idleSince[r.call.context]; cached {
		e.used -= r.call.class.shared
		return
	}
	e.idleSince[r.call.context] = now
	e.changes = append(e.changes, placement.CacheEvent{Added: true, Space: "w1", Part: r.call.context, Tokens: r.call.class.shared})
}

func (e *steppingEngine) leave(now clock.Instant, r *mixedRun) {
	e.running = slices.DeleteFunc(e.running, func(other *mixedRun) bool { return other == r })
	e.used -= r.held
	if r.usesContext {
		e.users[r.call.context]--
		e.idleSince[r.call.context] = now
	}
}

// fetch adds a context that was transferred from another engine, if there is memory for it.
func (e *steppingEngine) fetch(now clock.Instant, context string, tokens int) {
	if _, cached := e.idleSince[context]; cached || !e.evictFor(tokens) {
		return
	}
	e.used += tokens
	e.idleSince[context] = now
	e.changes = append(e.changes, placement.CacheEvent{Added: true, Space: "w1", Part: context, Tokens: tokens})
}

// evictFor evicts idle contexts, the least recently used first, until some tokens fit.
func (e *steppingEngine) evictFor(tokens int) bool {
	for e.used+tokens > mixedMemory {
		oldest := ""
		for name, at := range e.idleSince {
			if e.users[name] == 0 && (oldest == "" || at < e.idleSince[oldest] || at == e.idleSince[oldest] && name < oldest) {
				oldest = name
			}
		}
		if oldest == "" {
			return false
		}
		e.used -= e.load.contextTokens[oldest]
		delete(e.idleSince, oldest)
		e.changes = append(e.changes, placement.CacheEvent{Space: "w1", Part: oldest})
	}
	return true
}

// reserve makes room for some tokens of a running request; without a request nothing is preempted.
func (e *steppingEngine) reserve(now clock.Instant, tokens int, r *mixedRun) bool {
	for !e.evictFor(tokens) {
		if r == nil {
			return false
		}
		last := slices.MaxFunc(e.running, byUrgency)
		e.leave(now, last)
		e.load.results[last.call.class.name].preempted++
		e.waiting = append(e.waiting, &mixedRun{call: last.call})
		if last == r {
			return false
		}
	}
	return true
}
