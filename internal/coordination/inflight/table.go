package inflight

import (
	"slices"

	"gypsumvale/internal/coordination/placement"
)

// maxOwners bounds the instances that are told of a request's progress: the one that placed it and the latest leaders since.
const maxOwners = 3

// Run is a placed request that hasn't ended.
type Run struct {
	Request placement.Request
	Choice  placement.Choice
	// Begun is true once the first event of the answer has arrived.
	Begun bool

	owners []string
}

// Table holds the running requests of one instance.
//
// A new leader knows nothing of what earlier leaders, or instances without one, have placed. It would take occupied engines for free ones and
// fill them beyond their memory, which preempts running requests:
//
//	event                                      response
//	another instance becomes the leader        it is told of all running requests, and from then on of their progress
//	the leader has lost what it was told       the same again
//	requests were placed without the leader    it is told of them once it answers again
//	a request ends while the leader is told    its end is sent once more afterwards, since it may have overtaken the report
type Table struct {
	runs map[uint64]*Run
	// reporting is true while a report is on its way, and ended holds the requests that have ended meanwhile.
	reporting bool
	ended     []Run
	// placedAlone is true if requests were placed by this instance since the last report began.
	placedAlone bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{runs: make(map[uint64]*Run)} }

// Placed records a request that an owner has placed; an empty owner is this instance.
func (t *Table) Placed(req *placement.Request, choice *placement.Choice, owner string) {
	t.runs[req.ID.Number] = &Run{Request: *req, Choice: *choice, owners: []string{owner}}
	t.placedAlone = t.placedAlone || owner == ""
}

// ReportDue reports whether a leader that is another instance has to be told of requests that were placed without it.
func (t *Table) ReportDue() bool { return t.placedAlone && !t.reporting }

// FirstEvent records a request's first event, and returns the instances that count the request.
func (t *Table) FirstEvent(number uint64) []string {
	r := t.runs[number]
	if r == nil {
		return nil
	}
	r.Begun = true
	return slices.Clone(r.owners)
}

// End removes a request, and returns the instances that count it.
func (t *Table) End(number uint64) []string {
	r := t.runs[number]
	if r == nil {
		return nil
	}
	delete(t.runs, number)
	if t.reporting {
		t.ended = append(t.ended, *r)
	}
	return r.owners
}

// BeginReport returns the running requests of which an owner is to be told, which is all if it has lost what it knew; nil if a report is on its
// way already. The owner counts them from now on.
func (t *Table) BeginReport(owner string, all bool) []Run {
	if t.reporting {
		return nil
	}
	t.reporting, t.placedAlone = true, false
	list := make([]Run, 0, len(t.runs))
	for _, r := range t.runs {
		known := slices.Contains(r.owners, owner)
		if known && !all {
			continue
		}
		if !known {
			if len(r.owners) == maxOwners {
				r.owners = slices.Delete(r.owners, 1, 2)
			}
			r.owners = append(r.owners, owner)
		}
		list = append(list, *r)
	}
	return list
}

// EndReport ends a report, and returns the requests that have ended since it began.
func (t *Table) EndReport() []Run {
	ended := t.ended
	t.reporting, t.ended = false, nil
	return ended
}

// Len returns the number of running requests.
func (t *Table) Len() int { return len(t.runs) }
