package placement

// occupancy counts the memory that the requests on an engine occupy until their ends. What several of them share is counted once.
type occupancy struct {
	tokens int
	// own is the part of the tokens that belongs to one request each.
	own int
	// users counts the requests that use each shared part.
	users map[cacheKey]int
}

const (
	// maxOccupancy is the share of an engine's memory that running requests may occupy. With 0.7 the largest prompts waited for memory behind
	// smaller ones until they were rejected.
	maxOccupancy = 0.95
	// maxSmallOccupancy is the share up to which small requests are still placed, which evict little.
	maxSmallOccupancy = 1.0
	// maxReservedSlots is the largest share of an engine's slots that is kept for small requests. Without, long ones took all slots under
	// overload, and small ones went to whichever engine had one, mostly a slow one.
	maxReservedSlots = 0.25
)

// hintMargin multiplies the expected length of an output: the hint is accurate at the median only, and the mean of such lengths is higher.
const hintMargin = 1.5

// expectedOutput returns the number of output tokens that are expected of a request.
func (req *Request) expectedOutput() int {
	if req.LengthHint == 0 {
		return req.Output
	}
	return min(req.Output, int(hintMargin*float64(req.LengthHint)))
}

// ownMemory returns the tokens that a request occupies besides its shared parts.
func (req *Request) ownMemory() int { return req.uniqueTokens() + req.expectedOutput() }

// leastMemory returns the free memory that an engine must have at least for a request, whatever the request shares there.
func (p *Pool) leastMemory(q *queuedRequest) int {
	switch {
	case !p.paced:
		return q.req.memoryTokens()
	case q.small():
		return q.ownMemory()
	}
	return q.ownMemory() + p.smallMemory()
}

// smallMemory returns the part of an engine's memory that is left to small requests.
func (p *Pool) smallMemory() int {
	return int((maxSmallOccupancy - maxOccupancy) * float64(p.engine.CacheTokens))
}

// neededMemory returns the tokens that a request would occupy on an engine in addition to those that are counted, and how many leading parts
// it would share or others could share with it. Engines prefill the parts after these again, since those that use them haven't prefilled
// them yet.
func (s *endpointState) neededMemory(space string, req *Request) (tokens, sharing int) {
	shared := req.SharedParts()
	tokens, sharing = req.ownMemory(), len(shared)
	for i, part := range shared {
		key := cacheKey{space, part.ID}
		inUse := s.occupancy.users[key] > 0
		if inUse && sharing == len(shared) && !s.cache.ready(key) {
			sharing = i
		}
		if !inUse || i >= sharing {
			tokens += part.Tokens
		}
	}
	return tokens, sharing
}

// occupy counts the memory of a new assignment.
func (s *endpointState) occupy(a *assignment) {
	if s.occupancy.users == nil {
		s.occupancy.users = make(map[cacheKey]int)
	}
	tokens, sharing := s.neededMemory(a.space, a.req)
	s.occupancy.tokens += tokens
	a.ownTokens, a.sharing = a.req.ownMemory(), sharing
	for i, part := range a.req.SharedParts() {
		if i < sharing {
			s.occupancy.users[cacheKey{a.space, part.ID}]++
			continue
		}
		a.ownTokens += part.Tokens
	}
	s.occupancy.own += a.ownTokens
}

// vacate discounts the memory of an ended assignment.
func (s *endpointState) vacate(a *assignment) {
	s.occupancy.tokens -= a.ownTokens
	s.occupancy.own -= a.ownTokens
	for _, part := range a.req.SharedParts()[:a.sharing] {
		key := cacheKey{a.space, part.ID}
		if s.occupancy.users[key]--; s.occupancy.users[key] == 0 {
			delete(s.occupancy.users, key)
			s.occupancy.tokens -= part.Tokens
		}
	}
}

// memoryAfter returns the tokens that are reserved or occupied on an engine once it runs a request.
func (p *Pool) memoryAfter(s *endpointState, req *Request, space string) int {
	if !p.paced {
		return s.memoryTokens + req.memoryTokens()
	}
	tokens, _ := s.neededMemory(space, req)
	return s.occupancy.tokens + tokens
}

// uncachedMemory returns the tokens that running requests take from an engine's cache.
func (p *Pool) uncachedMemory(s *endpointState) int {
	if p.paced {
		return s.occupancy.own
	}
	return s.memoryTokens
}

// small reports whether a request's own prompt tokens fit into one chunk. Small requests are placed into memory and slots that others leave.
func (req *Request) small() bool { return req.uniqueTokens() <= chunkTokens }

// small and ownMemory return the results of the request's methods of these names, without adding up its parts again.
func (q *queuedRequest) small() bool    { return q.uniqueTokens <= chunkTokens }
func (q *queuedRequest) ownMemory() int { return q.uniqueTokens + q.req.expectedOutput() }

// countSmall adds a number of running requests to those that are small.
func (p *Pool) countSmall(req *Request, n int) {
	if req.small() {
		p.smallRunning += n
	}
}

// reservedSlots returns how many of an engine's slots are kept for small requests: twice as many as run on an engine on average, since they
// come in bursts.
func (p *Pool) reservedSlots(s *endpointState) int {
	engines := max(1, len(p.endpointList))
	return min(int(maxReservedSlots*float64(s.Slots)), (2*p.smallRunning+engines-1)/engines)
}

// fitsMemory reports whether an engine has memory, and a slot that isn't reserved, for a request.
func (p *Pool) fitsMemory(s *endpointState, q *queuedRequest) bool {
	least, free := p.leastMemory(q), p.freeMemory(s)
	switch {
	case least > free:
		return false
	case !p.paced || len(s.assignments) == 0:
		return true
	case !q.small() && len(s.assignments) >= s.Slots-p.reservedSlots(s):
		return false
	}
	needed, _ := s.neededMemory(q.space(s.version[q.req.Model]), q.req)
	return needed-q.ownMemory()+least <= free
}

// space returns the cache space of a queued request for a weight version.
func (q *queuedRequest) space(version int) string {
	if q.spaceOf == "" || q.spaceVersion != version {
		q.spaceOf, q.spaceVersion = cacheSpace(version, q.req.IsolationKey), version
	}
	return q.spaceOf
}
