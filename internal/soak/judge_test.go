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
	// lateSlack is how much later than its deadline an answer may come on a busy machine.
	lateSlack = time.Second
	// contact is how long a part must have been undisturbed before bounds on time hold for it.
	contact = 2 * time.Second
	// thaw is how long after a freeze or a cut late orders are excused.
	thaw = time.Second
)

// journal is what the endpoints wrote.
type journal struct {
	runs map[string][]hosted.JournalEntry
	// records are those of each endpoint in the order in which it wrote them.
	records map[string][]hosted.JournalEntry
}

func (s *site) readJournal() *journal {
	j := &journal{runs: make(map[string][]hosted.JournalEntry), records: make(map[string][]hosted.JournalEntry)}
	for _, m := range s.endpoints {
		f, err := os.Open(s.output(m.name))
		if err != nil {
			s.breach("read journal: %v", err)
			continue
		}
		lines := bufio.NewScanner(f)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var record hosted.JournalEntry
			if err := json.Unmarshal(lines.Bytes(), &record); err != nil {
				s.breach("%s writes %q", m.name, lines.Text())
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

// judge holds everything that was seen against the promises.
func (s *site) judge(o *operator) {
	j := s.readJournal()
	byID := make(map[string]*request)
	for _, r := range s.requests() {
		byID[r.id] = r
		s.judgeAnswer(r, j.runs[r.id])
		s.judgeTime(r)
		s.judgeKey(o, r, j.runs[r.id])
	}
	for id, runs := range j.runs {
		r := byID[id]
		if r == nil {
			s.breach("%s ran, and no caller sent it", id)
			continue
		}
		s.judgeRuns(o, r, runs)
	}
	s.judgeRetries(byID, j)
	for name, records := range j.records {
		s.judgeLeaving(name, records, byID)
		s.judgeOrders(name, records)
	}
}

// judgeAnswer looks whether an answer is whole, in order, and the request's own.
func (s *site) judgeAnswer(r *request, runs []hosted.JournalEntry) {
	stream := r.path == redraftPath || r.path == briefPath
	want := hosted.Body(r.id)
	if stream {
		want = hosted.Stream(streamEvents)
	}
	sealed := false
	for _, run := range runs {
		sealed = sealed || r.seal == hosted.Seal(run.Endpoint, r.id)
	}
	switch {
	case r.status == 0:
	case r.seal != "" && !sealed:
		s.breach("%s has the signature %q of no endpoint that ran it", r.id, r.seal)
	case r.status == http.StatusOK && r.seal == "":
		s.breach("%s succeeds without signature", r.id)
	case r.status == http.StatusOK && r.whole && r.answer != want:
		s.breach("%s ends as whole with %d of %d bytes", r.id, len(r.answer), len(want))
	case r.status == http.StatusOK && !strings.HasPrefix(want, r.answer):
		s.breach("%s has other bytes than its endpoint sent: %q", r.id, r.answer)
	case r.status != http.StatusOK && r.seal != "" && r.status != http.StatusInternalServerError:
		s.breach("%s has a signature and status %d", r.id, r.status)
	case refused(r.status) && !mayRepeat(r.path) && len(runs) > 0:
		s.breach("%s is refused with %d, and ran at %s", r.id, r.status, runs[0].Endpoint)
	}
}

func mayRepeat(path string) bool { return path == readPath || path == redraftPath }

// refused reports whether a status promises that the request has not run.
func refused(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// judgeTime looks whether a calm entry ended a request by its deadline.
func (s *site) judgeTime(r *request) {
	if r.status == 0 && !r.left && r.answered.After(r.deadline.Add(lateSlack)) &&
		s.calm(r.sent.Add(-contact), r.answered, machine, r.entry.name, r.entry.name+" callers") {
		s.breach("%s has no answer from %s %v after its deadline: %v", r.id, r.entry.name, lateSlack, r.fault)
	}
}

// judgeKey looks whether a request ran with a key that had been taken away, however disturbed the entry was.
func (s *site) judgeKey(o *operator, r *request, runs []hosted.JournalEntry) {
	at, gone := o.revoked[r.key]
	if gone && r.sent.After(at.Add(revocation)) && len(runs) > 0 {
		s.breach("%s ran at %s, sent through %s %v after its key was taken away", r.id, runs[0].Endpoint, r.entry.name, r.sent.Sub(at))
	}
}

func (s *site) judgeRuns(o *operator, r *request, runs []hosted.JournalEntry) {
	if len(runs) > 1 && !mayRepeat(r.path) {
		s.breach("%s ran %d times, at %s and %s", r.id, len(runs), runs[0].Endpoint, runs[1].Endpoint)
	}
	for _, run := range runs {
		if run.Run.Workspace != o.owners[r.key] {
			s.breach("%s ran for workspace %q with a key of %q", r.id, run.Run.Workspace, o.owners[r.key])
		}
		if run.Run.Body != r.body || run.Run.Target != r.path {
			s.breach("%s ran at %s with another body or path %s", r.id, run.Endpoint, run.Run.Target)
		}
	}
}

// judgeRetries looks whether requests were sent again more often than the shared budget allows.
func (s *site) judgeRetries(byID map[string]*request, j *journal) {
	requests, repeats := make(map[string]int), make(map[string]int)
	service := func(path string) string {
		if path == readPath || path == bookPath {
			return "calendar"
		}
		return "engines"
	}
	for id, r := range byID {
		requests[service(r.path)]++
		repeats[service(r.path)] += max(0, len(j.runs[id])-1)
	}
	for name, n := range requests {
		if limit := retrySlack + retryShare*float64(n); float64(repeats[name]) > limit {
			s.breach("%s got %d repeats of %d requests", name, repeats[name], n)
		}
	}
}

// judgeLeaving looks whether a leaving endpoint got new requests from entries that were in touch.
func (s *site) judgeLeaving(name string, records []hosted.JournalEntry, byID map[string]*request) {
	var since time.Time
	for _, record := range records {
		switch {
		case record.Started:
			since = time.Time{}
		case record.Leaving:
			since = record.At
		case record.Run != nil && !since.IsZero():
			r := byID[record.Run.RequestID]
			if r == nil || r.sent.Before(since.Add(leaving)) {
				continue
			}
			if s.calm(since.Add(-contact), record.At, machine, "store", r.entry.name, r.entry.name+" store", r.entry.name+" peers") {
				s.breach("%s reached %s %v after that was leaving, through %s", r.id, name, record.At.Sub(since), r.entry.name)
			}
		}
	}
}

// judgeOrders looks whether an endpoint got orders from one holder at a time.
func (s *site) judgeOrders(name string, records []hosted.JournalEntry) {
	var last *hosted.JournalEntry
	for i, record := range records {
		if record.Order == nil {
			continue
		}
		if last != nil && last.Order.Owner != record.Order.Owner {
			excused := !s.calm(record.At.Add(-thaw), record.At, machine, record.Order.Owner, record.Order.Owner+" store", name, name+" endpoint", "store")
			switch {
			case last.Order.Fence == record.Order.Fence:
				s.breach("%s got orders of %s and %s with one fence", name, last.Order.Owner, record.Order.Owner)
			case excused:
			case last.Order.Fence > record.Order.Fence:
				s.breach("%s got an order of %s with an older fence than that of %s", name, record.Order.Owner, last.Order.Owner)
			case record.At.Sub(last.At) < lease:
				s.breach("%s got orders of %s and %s within %v", name, last.Order.Owner, record.Order.Owner, record.At.Sub(last.At))
			}
		}
		last = &records[i]
	}
}
