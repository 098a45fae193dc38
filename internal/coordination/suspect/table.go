package suspect

import "time"

// Status is what a request's past crashes allow it.
type Status uint8

// Standings.
const (
	// Clear requests run anywhere.
	Clear Status = iota
	// Suspected requests run apart from other suspects.
	Suspected
	// Blocked requests don't run.
	Blocked
)

const (
	convictAt = 2
	// keepFor is how long a crash is remembered.
	keepFor = 10 * time.Minute
	// sameCrash is the span within which crashes of one endpoint are one.
	sameCrash = 2 * time.Second
	maxKept   = 10000
)

type crash struct {
	endpoint string
	at       time.Time
}

// Table counts crashes by the digest of what was in flight.
//
// Suspects never share an endpoint, so a second crash counts twice against its culprit only:
//
//	crash of e1 with {x, a, b}: x, a, b are suspects; x runs on e2, a on e3, b on e4
//	crash of e2 with {x, c}:    x is convicted; c is a suspect, and a clean end clears it
type Table struct {
	crashes map[string][]crash
}

// NewTable returns a table without suspects.
func NewTable() *Table { return &Table{crashes: make(map[string][]crash)} }

// RecordCrash counts an endpoint's crash against a request; it reports whether that was news.
func (t *Table) RecordCrash(now time.Time, digest, endpoint string) bool {
	t.forget(now)
	for _, c := range t.crashes[digest] {
		if c.endpoint == endpoint && now.Sub(c.at) < sameCrash {
			return false
		}
	}
	t.crashes[digest] = append(t.crashes[digest], crash{endpoint: endpoint, at: now})
	return true
}

// ClearRequest clears a request that ended well, unless it is convicted.
func (t *Table) ClearRequest(digest string) {
	if len(t.crashes[digest]) < convictAt {
		delete(t.crashes, digest)
	}
}

// Status returns what a request is allowed.
func (t *Table) Status(now time.Time, digest string) Status {
	n := 0
	for _, c := range t.crashes[digest] {
		if now.Sub(c.at) < keepFor {
			n++
		}
	}
	switch {
	case n == 0:
		return Clear
	case n < convictAt:
		return Suspected
	}
	return Blocked
}

// Len returns the number of suspects and convicts.
func (t *Table) Len() int { return len(t.crashes) }

func (t *Table) forget(now time.Time) {
	if len(t.crashes) < maxKept {
		return
	}
	for digest, list := range t.crashes {
		if now.Sub(list[len(list)-1].at) >= keepFor {
			delete(t.crashes, digest)
		}
	}
}
