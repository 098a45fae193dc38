package soak_test

import (
	"time"

	"gypsumvale/internal/standin/hosted"
)

const (
	// crossingTime is how long after an answer requests may arrive that were sent before it was read.
	crossingTime = 500 * time.Millisecond
	// maxPausedRequests is the number of requests that may arrive while an endpoint asks for none.
	maxPausedRequests = 2
)

// arrived returns the request whose arrival a record reports, or nil.
func arrived(record hosted.JournalEntry, byID map[string]*request) *request {
	switch {
	case record.Run != nil:
		return byID[record.Run.RequestID]
	case record.Rejected != nil:
		return byID[record.Rejected.RequestID]
	}
	return nil
}

// ran reports whether a node's process was neither replaced nor suspended between two times. Reloaded settings leave what it knows.
func (s *site) ran(name string, from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.disturbances {
		ends := t.kind == "kill" || t.kind == "stop" || t.kind == "freeze"
		if (t.part == machine || t.part == name && ends) && t.from.Before(to) && t.to.After(from) {
			return false
		}
	}
	return true
}

// read reports whether a request's entry has read the answer of an endpoint to it: a caller that got a whole response waited for it.
func (s *site) read(r *request, endpoint string, at time.Time) bool {
	end := at.Add(crossingTime)
	return r.complete && !r.abandoned && r.finished.After(at) && r.deadline.After(end) &&
		s.undisturbed(at, end, endpoint+" endpoint") && s.ran(r.entry.name, at, end) && s.ran(endpoint, at, end)
}

// checkSaidLeaving checks that an endpoint received no requests later than maxLeavingDelay from an entry that had read in an answer that the
// endpoint leaves. This holds under every disturbance in which the entry's process runs on.
func (s *site) checkSaidLeaving(name string, records []hosted.JournalEntry, byID map[string]*request) {
	told := make(map[*node]time.Time)
	for _, record := range records {
		if record.Started {
			clear(told)
		}
		r := arrived(record, byID)
		if r == nil {
			continue
		}
		at, ok := told[r.entry]
		ok = ok && s.ran(r.entry.name, at, record.At)
		if ok && r.sent.After(at.Add(maxLeavingDelay)) {
			s.breach("%s reached %s through %s %v after that entry had read that the endpoint leaves", r.id, name, r.entry.name, record.At.Sub(at))
		}
		if !ok && record.AnswerSaysLeaving && s.read(r, name, record.At) {
			told[r.entry] = record.At
		}
	}
}

// checkPauses checks that an endpoint received at most maxPausedRequests from an entry until the time to come back that it had given.
func (s *site) checkPauses(name string, records []hosted.JournalEntry, byID map[string]*request) {
	for i, record := range records {
		r := arrived(record, byID)
		if r == nil || record.Rejected == nil || !s.read(r, name, record.At) {
			continue
		}
		end, count := record.Rejected.RetryAt, 0
		for _, later := range records[i+1:] {
			if later.Started || later.At.After(end) {
				break
			}
			if next := arrived(later, byID); next != nil && next.entry == r.entry && later.At.After(record.At.Add(crossingTime)) {
				count++
			}
		}
		if count > maxPausedRequests && s.ran(r.entry.name, record.At, end) && s.ran(name, record.At, end) && s.undisturbed(record.At, end, name+" endpoint") {
			s.breach("%d requests reached %s through %s within %v after it had answered %s 503 and asked for none", count, name, r.entry.name, end.Sub(record.At), r.id)
		}
	}
}
