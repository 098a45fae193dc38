package suspect

import (
	"slices"
	"time"
)

// Status is the status of a request according to the crashes that it was involved in.
type Status uint8

// Statuses of requests.
const (
	// Clear requests may run on any endpoint.
	Clear Status = iota
	// Suspected requests may run, but not on an endpoint with another suspect.
	Suspected
	// Blocked requests must not run.
	Blocked
)

const (
	// blockThreshold is the number of crashes at which a request is blocked.
	blockThreshold = 2
	// Retention is how long a crash counts, and how long a block lasts.
	Retention = 10 * time.Minute
	// sameCrashWindow is the window within which reported crashes of one endpoint count as one.
	sameCrashWindow = 2 * time.Second
	// pruneThreshold is the number of digests from which on expired crashes are removed.
	pruneThreshold = 10000
)

type crash struct {
	endpoint string
	at       time.Time
	// witnesses are the instances that have reported it; the empty name is this one.
	witnesses []string
}

// Table counts crashes by the digests of the requests that were in flight.
//
// Suspects never share an endpoint, so only the request that causes the crashes is counted twice:
//
//	crash of e1 with {x, a, b}: x, a and b are suspects; x runs on e2, a on e3, b on e4
//	crash of e2 with {x, c}:    x is blocked; c is a suspect until it completes successfully
type Table struct {
	crashes map[string][]crash
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{crashes: make(map[string][]crash)} }

// RecordCrash counts an endpoint's crash against a request. It reports whether the crash had not been counted yet.
func (t *Table) RecordCrash(at time.Time, digest, endpoint string) bool {
	return t.RecordReport(at, digest, endpoint, "")
}

// RecordReport is RecordCrash for a crash that another instance has reported.
func (t *Table) RecordReport(at time.Time, digest, endpoint, witness string) bool {
	t.prune(at)
	list := t.crashes[digest]
	for i := range list {
		c := &list[i]
		if c.endpoint == endpoint && at.Sub(c.at).Abs() < sameCrashWindow {
			if !slices.Contains(c.witnesses, witness) {
				c.witnesses = append(c.witnesses, witness)
			}
			return false
		}
	}
	t.crashes[digest] = append(list, crash{endpoint: endpoint, at: at, witnesses: []string{witness}})
	return true
}

// Retract takes back the crashes of an endpoint between two instants, as a witness has reported them or, if all is true, as any has.
func (t *Table) Retract(endpoint string, first, last time.Time, witness string, all bool) {
	for digest, list := range t.crashes {
		for i := range list {
			c := &list[i]
			if c.endpoint == endpoint && first.Sub(c.at) < sameCrashWindow && c.at.Sub(last) < sameCrashWindow {
				c.witnesses = slices.DeleteFunc(c.witnesses, func(name string) bool { return all || name == witness })
			}
		}
		list = slices.DeleteFunc(list, func(c crash) bool { return len(c.witnesses) == 0 })
		if len(list) == 0 {
			delete(t.crashes, digest)
			continue
		}
		t.crashes[digest] = list
	}
}

// ClearRequest clears a request that completed successfully, unless it is blocked.
func (t *Table) ClearRequest(digest string) {
	if len(t.crashes[digest]) < blockThreshold {
		delete(t.crashes, digest)
	}
}

// Status returns the status of a request.
func (t *Table) Status(now time.Time, digest string) Status {
	n := 0
	for _, c := range t.crashes[digest] {
		if now.Sub(c.at) < Retention {
			n++
		}
	}
	switch {
	case n == 0:
		return Clear
	case n < blockThreshold:
		return Suspected
	}
	return Blocked
}

// Len returns the number of suspected and blocked requests.
func (t *Table) Len() int { return len(t.crashes) }

func (t *Table) prune(now time.Time) {
	if len(t.crashes) < pruneThreshold {
		return
	}
	for digest, list := range t.crashes {
		if now.Sub(list[len(list)-1].at) >= Retention {
			delete(t.crashes, digest)
		}
	}
}
