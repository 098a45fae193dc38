package soak_test

import (
	"bufio"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"time"

	"gypsumvale/internal/standin/hosted"
)

const (
	// deadlineTolerance is how long after its deadline a response may arrive on a busy machine.
	deadlineTolerance = time.Second
	// settleTime is how long a part must have been undisturbed before time bounds apply to it.
	settleTime = 2 * time.Second
	// lateOrderGrace is how long after a freeze or a network fault delayed orders are allowed.
	lateOrderGrace = time.Second
)

// journal holds the records that the endpoints wrote.
type journal struct {
	// runs are the executions by request identifier.
	runs map[string][]hosted.JournalEntry
	// records are all records by endpoint, in the order written.
	records map[string][]hosted.JournalEntry
}

func (s *site) readJournal() *journal {
	j := &journal{runs: make(map[string][]hosted.JournalEntry), records: make(map[string][]hosted.JournalEntry)}
	for _, m := range s.endpoints {
		if m.process() == nil {
			continue
		}
		f, err := os.Open(s.logPath(m.name))
		if err != nil {
			s.breach("open journal: %v", err)
			continue
		}
		lines := bufio.NewScanner(f)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var record hosted.JournalEntry
			if err := json.Unmarshal(lines.Bytes(), &record); err != nil {
				s.breach("%s wrote a line that is not a journal record: %q", m.name, lines.Text())
				continue
			}
			j.records[m.name] = append(j.records[m.name], record)
			if record.Run != nil {
				j.runs[record.Run.RequestID] = append(j.runs[record.Run.RequestID], record)
			}
		}
		if err := lines.Err(); err != nil {
			s.breach("read journal of %s: %v", m.name, err)
		}
		_ = f.Close()
	}
	return j
}

// checkResults checks all requests and journal records against the system's guarantees.
func (s *site) checkResults(o *operator) {
	j := s.readJournal()
	byID := make(map[string]*request)
	for _, r := range s.requests() {
		byID[r.id] = r
		s.checkResponse(r, j.runs[r.id])
		s.checkDeadline(r)
		s.checkRevokedKey(o, r, j.runs[r.id])
		s.checkAllowed(o, r)
		s.checkVersions(r, j)
	}
	for id, runs := range j.runs {
		r := byID[id]
		if r == nil {
			s.breach("%s ran, but no caller sent it", id)
			continue
		}
		s.checkExecutions(o, r, runs)
	}
	s.checkRetryBudget(byID, j)
	for name, records := range j.records {
		s.checkLeaving(name, records, byID)
		s.checkSaidLeaving(name, records, byID)
		s.checkPauses(name, records, byID)
		s.checkLimits(name, records, byID)
		s.checkOrders(name, records)
	}
}

// checkResponse checks that a response belongs to its request, that its content is correct, and that an incomplete one is a prefix of
// the correct content.
func (s *site) checkResponse(r *request, runs []hosted.JournalEntry) {
	want := hosted.Body(r.id)
	if r.stream() {
		want = r.wantedStream()
	}
	signed := false
	for _, run := range runs {
		signed = signed || r.seal == hosted.Seal(run.Endpoint, r.id)
	}
	switch {
	case r.status == 0:
	case r.seal != "" && !signed:
		s.breach("%s has signature %q, which is not that of an endpoint that ran it", r.id, r.seal)
	case r.status == http.StatusOK && r.seal == "":
		s.breach("%s succeeded without a signature", r.id)
	case r.status == http.StatusOK && r.complete && r.received != want:
		s.breach("%s ended as complete with wrong content: got %d bytes, expected %d", r.id, len(r.received), len(want))
	case r.status == http.StatusOK && !strings.HasPrefix(want, r.received):
		s.breach("%s has bytes that its endpoint did not send: %q", r.id, r.received)
	case r.status != http.StatusOK && r.seal != "" && r.status != http.StatusInternalServerError:
		s.breach("%s has a signature with status %d", r.id, r.status)
	case refused(r.status) && !idempotent(r.path) && len(runs) > 0:
		s.breach("%s was rejected as not run with status %d, but ran at %s", r.id, r.status, runs[0].Endpoint)
	}
}

func idempotent(path string) bool { return path == readPath || isRedraft(path) }

// refused reports whether a status states that the request has not run.
func refused(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkDeadline checks that an undisturbed entry answered a request by its deadline.
func (s *site) checkDeadline(r *request) {
	if r.status == 0 && !r.abandoned && r.finished.After(r.deadline.Add(deadlineTolerance)) &&
		s.undisturbed(r.sent.Add(-settleTime), r.finished, machine, r.entry.name, r.entry.name+" callers") {
		s.breach("%s got no response from %s within %v after its deadline: %v", r.id, r.entry.name, deadlineTolerance, r.err)
	}
}

// checkRevokedKey checks that no request ran with a key revoked more than maxRevocationDelay before it was sent. This holds under every
// disturbance.
func (s *site) checkRevokedKey(o *operator, r *request, runs []hosted.JournalEntry) {
	at, revoked := o.revokedAt[r.key]
	if revoked && r.sent.After(at.Add(maxRevocationDelay)) && len(runs) > 0 {
		s.breach("%s ran at %s, though sent through %s %v after its key was revoked", r.id, runs[0].Endpoint, r.entry.name, r.sent.Sub(at))
	}
}

// checkAllowed checks that no undisturbed entry answered as if a valid request weren't allowed, later than maxRevocationDelay after its key
// was issued.
func (s *site) checkAllowed(o *operator, r *request) {
	replaced, ok := o.replacedAt[r.key]
	denied := r.status == http.StatusUnauthorized || r.status == http.StatusForbidden || r.status == http.StatusNotFound
	if !denied || ok && replaced.Before(r.finished) || r.sent.Before(o.issuedAt[r.key].Add(maxRevocationDelay)) {
		return
	}
	if s.undisturbed(r.sent.Add(-maxRevocationDelay), r.finished, machine, "store", r.entry.name, r.entry.name+" store", r.entry.name+" peers") {
		s.breach("%s was answered by %s with status %d, %v after its key was issued", r.id, r.entry.name, r.status, r.sent.Sub(o.issuedAt[r.key]))
	}
}

// checkExecutions checks that only an idempotent request ran more than once, and that each run had the caller's workspace, body and path.
func (s *site) checkExecutions(o *operator, r *request, runs []hosted.JournalEntry) {
	if len(runs) > 1 && !idempotent(r.path) {
		s.breach("%s ran %d times, at %s and %s", r.id, len(runs), runs[0].Endpoint, runs[1].Endpoint)
	}
	for _, run := range runs {
		if run.Run.Workspace != o.keyWorkspaces[r.key] {
			s.breach("%s ran for workspace %q, but its key belongs to %q", r.id, run.Run.Workspace, o.keyWorkspaces[r.key])
		}
		if run.Run.Body != r.body || run.Run.Target != r.path {
			s.breach("%s ran at %s with a different body, or with path %s", r.id, run.Endpoint, run.Run.Target)
		}
	}
}

// checkRetryBudget checks that the retries to each service are within the shared retry budget.
func (s *site) checkRetryBudget(byID map[string]*request, j *journal) {
	requests, retries := make(map[string]int), make(map[string]int)
	service := func(path string) string {
		if path == readPath || path == bookPath {
			return "calendar"
		}
		return "engines"
	}
	for id, r := range byID {
		requests[service(r.path)]++
		retries[service(r.path)] += max(0, len(j.runs[id])-1)
	}
	for name, n := range requests {
		if limit := retryReserve + retryShare*float64(n); float64(retries[name]) > limit {
			s.breach("%s received %d retries for %d requests", name, retries[name], n)
		}
	}
}

// checkLeaving checks that a leaving endpoint received no new requests after maxLeavingDelay from entries that were undisturbed, and whose
// connections and store were until then. An entry that knows of the leaving is bound while the store is disturbed too.
func (s *site) checkLeaving(name string, records []hosted.JournalEntry, byID map[string]*request) {
	var since time.Time
	for _, record := range records {
		switch {
		case record.Started:
			since = time.Time{}
		case record.Leaving:
			since = record.At
		case record.Run != nil && !since.IsZero():
			r := byID[record.Run.RequestID]
			if r == nil || r.sent.Before(since.Add(maxLeavingDelay)) {
				continue
			}
			known := since.Add(maxLeavingDelay)
			if s.undisturbed(since.Add(-settleTime), known, "store", r.entry.name+" store", r.entry.name+" peers") &&
				s.undisturbed(since.Add(-settleTime), record.At, machine, r.entry.name) {
				s.breach("%s reached %s %v after that endpoint began to leave, through %s", r.id, name, record.At.Sub(since), r.entry.name)
			}
		}
	}
}

// checkOrders checks that an endpoint received weight orders from one lease holder at a time, and with fencing tokens that rise, also while
// the store is disturbed.
func (s *site) checkOrders(name string, records []hosted.JournalEntry) {
	var last *hosted.JournalEntry
	for i, record := range records {
		if record.Order == nil {
			continue
		}
		if last != nil {
			owner, since := record.Order.Owner, record.At.Add(-lateOrderGrace)
			onTime := s.undisturbed(since, record.At, machine, owner, owner+" store", name, name+" endpoint")
			switch {
			case last.Order.Fence > record.Order.Fence:
				if onTime {
					s.breach("%s received an order of %s with an older fencing token than that of %s", name, owner, last.Order.Owner)
				}
			case last.Order.Owner == owner:
			case last.Order.Fence == record.Order.Fence:
				s.breach("%s received orders of %s and %s with the same fencing token", name, last.Order.Owner, owner)
			case onTime && s.undisturbed(since, record.At, "store") && record.At.Sub(last.At) < lease:
				s.breach("%s received orders of %s and %s only %v apart", name, last.Order.Owner, owner, record.At.Sub(last.At))
			}
		}
		last = &records[i]
	}
}
