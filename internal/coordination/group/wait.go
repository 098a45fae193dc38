package group

import "time"

// expectedWait estimates when an ask would start: the work before it over the slots that may serve it.
func (q *Queue) expectedWait(now time.Time, a *GrantRequest) time.Duration {
	work := q.lines[ClassShort].cost
	if a.Class == ClassLong {
		work += q.lines[ClassLong].cost
	}
	slots, free := 0, false
	for _, name := range q.order {
		s := q.seats[name]
		if s.Leaving || s.ejected {
			continue
		}
		slots += s.Slots
		work += s.remaining(now, a.Class)
		free = free || s.hasRoom(now, a)
	}
	if free && q.lines[a.Class].count == 0 {
		return 0
	}
	if slots == 0 {
		return noSlotWait
	}
	return work / time.Duration(slots)
}

const noSlotWait = time.Second

func (s *seat) remaining(now time.Time, class Class) time.Duration {
	var sum time.Duration
	for _, u := range s.uses {
		left := u.ask.Cost - now.Sub(u.started)
		if u.ask.Class == ClassLong && class == ClassShort {
			// Long work holds its slot for longer than any short ask can wait, but never more than its share of slots.
			left = min(left, u.ask.Cost/time.Duration(max(1, s.Slots)))
		}
		sum += max(left, 0)
	}
	return sum
}

// refuse spreads the times at which callers come back over the drain time, so that they don't return as one wave.
func (q *Queue) refuse(now time.Time, id GrantID, wait time.Duration) Action {
	const minSpread = 200 * time.Millisecond
	spread := max(wait, minSpread)
	after := spread/2 + time.Duration(q.random.Int64N(int64(spread)))
	return Action{Kind: ActionRefuse, ID: id, RetryAfter: now.Add(after)}
}
