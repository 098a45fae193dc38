package placement

import (
	"time"

	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/registration"
)

const (
	// firstRest and maxRest bound the pause after which an endpoint that can't be reached is tried again.
	firstRest = 150 * time.Millisecond
	maxRest   = 2 * time.Second
	// fullRest is how long an endpoint that rejected a request as full, or as loading, gets nothing new.
	fullRest = 150 * time.Millisecond
	// errorWeight is the weight of a new observation of failure.
	errorWeight = 0.1
)

// use is one request at an endpoint.
type use struct {
	ask      *Request
	seat     *seat
	space    string
	sent     clock.Instant
	expected time.Duration
	// miss is the number of prompt tokens that the endpoint still has to read; zero once the first event has come.
	miss int
	// saves says that a store is to keep parts of the prompt.
	saves bool
	// from are the links that carry the slowest of the transfers before the first event.
	from []*link
}

// seat is what a pool knows of one endpoint.
type seat struct {
	*registration.Registration
	uses map[AssignmentID]*use
	// reading is the sum of the uses' misses, readingBy the same by priority, and held the sum of their prompts and outputs.
	reading   int
	readingBy [priorities]int
	held      int
	cache     *cache
	// followed says until when the endpoint's cache events are taken to be complete.
	followed clock.Instant
	link     link
	// clock is the difference between the endpoint's clock and the boot clock here, in milliseconds; zero is not known.
	clock int64
	// version holds the weight versions as known best: registrations lag.
	version map[string]int

	// alive is when the endpoint last gave a sign of life, and silent since when none has come for longer than its uses explain; zero is
	// not silent.
	alive  clock.Instant
	silent clock.Instant

	// changed is the number of the pool's last change that gave the endpoint room.
	changed uint64

	failures  int
	restUntil clock.Instant
	loading   clock.Instant

	pace   pace
	errors float64
}

func newSeat(r *registration.Registration, x *index) *seat {
	s := &seat{Registration: r, uses: make(map[AssignmentID]*use), version: make(map[string]int)}
	s.cache = newCache(s, x)
	return s
}

// update takes a newer registration; a new run knows nothing of before.
func (s *seat) update(r *registration.Registration) {
	if s.StartMilli != r.StartMilli || s.Address != r.Address {
		s.cache.clear()
		s.version = make(map[string]int)
		s.failures, s.restUntil, s.loading, s.errors, s.pace, s.link, s.silent = 0, 0, 0, 0, pace{}, link{}, 0
	}
	s.Registration = r
	for model, v := range r.Versions {
		s.learn(model, v)
	}
}

// learn takes a weight version from any source; versions only rise while an endpoint runs.
func (s *seat) learn(model string, version int) {
	if version > s.version[model] {
		if s.version[model] != 0 {
			s.cache.clear()
		}
		s.version[model] = version
	}
}

// runs reports whether the endpoint runs a version of any model.
func (s *seat) runs(version int) bool {
	for _, v := range s.version {
		if v == version {
			return true
		}
	}
	return false
}

func (s *seat) usable(now clock.Instant) bool {
	return !now.Before(s.restUntil) && !now.Before(s.loading) && s.silent == 0
}

// failed notes that the endpoint could not be reached; each failure in a row doubles the rest.
func (s *seat) failed(now clock.Instant) {
	rest := min(firstRest<<min(s.failures, 5), maxRest)
	s.failures++
	s.restUntil = now.Add(rest)
}

// observeFirst takes the time to a use's first event. What comes late behind a transfer tells of its links, since the expectation
// reckons with the engine's own pace.
func (u *use) observeFirst(now clock.Instant) {
	ratio := float64(now.Sub(u.sent)) / float64(u.expected)
	if len(u.from) == 0 {
		u.seat.pace.observe(now, ratio)
		return
	}
	for _, l := range u.from {
		l.pace.observe(now, ratio)
	}
}

func (s *seat) observeError(failed bool) {
	s.errors *= 1 - errorWeight
	if failed {
		s.errors += errorWeight
	}
}

// priorities is the number of ranks of requests.
const priorities = 10

// rankOf returns an ask's priority within the ranks that are counted apart.
func rankOf(a *Request) int { return min(max(0, a.Priority), priorities-1) }

// backlog returns the prompt tokens that the endpoint reads before a request; of less urgent ones a share.
func (s *seat) backlog(a *Request) float64 {
	before := 0
	for _, tokens := range s.readingBy[:rankOf(a)+1] {
		before += tokens
	}
	return float64(before) + lessUrgentShare*float64(s.reading-before)
}

func (s *seat) begin(u *use) {
	s.uses[u.ask.ID] = u
	s.reading += u.miss
	s.readingBy[rankOf(u.ask)] += u.miss
	s.held += u.ask.memory()
}

// read notes that the prompt of a use has been read.
func (s *seat) read(u *use) {
	s.reading -= u.miss
	s.readingBy[rankOf(u.ask)] -= u.miss
	u.miss = 0
}

func (s *seat) end(u *use) {
	s.read(u)
	s.held -= u.ask.memory()
	delete(s.uses, u.ask.ID)
}
