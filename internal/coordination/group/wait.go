package group

import "time"

// expectedWait estimates how long a request would wait: the work ahead of it divided by the slots that can serve it.
func (q *Queue) expectedWait(now time.Time, req *GrantRequest) time.Duration {
	work := q.byClass[ClassShort].waitingCost
	if req.Class == ClassLong {
		work += q.byClass[ClassLong].waitingCost
	}
	slots, hasFreeSlot := 0, false
	for _, name := range q.names {
		e := q.endpoints[name]
		if e.Leaving || e.ejected {
			continue
		}
		slots += e.Slots
		work += e.remainingWork(now, req.Class)
		hasFreeSlot = hasFreeSlot || e.accepts(now, req)
	}
	if hasFreeSlot && q.byClass[req.Class].count == 0 {
		return 0
	}
	if slots == 0 {
		return noSlotWait
	}
	return work / time.Duration(slots)
}

// noSlotWait is the assumed wait while no endpoint is in use.
const noSlotWait = time.Second

// remainingWork estimates the endpoint's remaining work that delays a request of the given class.
func (e *endpointState) remainingWork(now time.Time, class Class) time.Duration {
	var sum time.Duration
	for _, g := range e.active {
		left := g.request.Cost - now.Sub(g.started)
		if g.request.Class == ClassLong && class == ClassShort {
			// Long work occupies its slot for longer than any short request can wait, but never more than its share of the slots.
			left = min(left, g.request.Cost/time.Duration(max(1, e.Slots)))
		}
		sum += max(left, 0)
	}
	return sum
}

// refuse returns a refusal whose retry time is randomized over the queue's drain time, so that refused callers don't all retry at once.
func (q *Queue) refuse(now time.Time, id GrantID, wait time.Duration) Action {
	const minSpread = 200 * time.Millisecond
	spread := max(wait, minSpread)
	delay := spread/2 + time.Duration(q.random.Int64N(int64(spread)))
	return Action{Kind: ActionRefuse, ID: id, RetryAfter: now.Add(delay)}
}
