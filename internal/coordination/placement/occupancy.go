package placement

// occupancy counts the memory that the requests on an engine occupy until their ends. What several of them share is counted once.
type occupancy struct {
	tokens int
	// own is the part of the tokens that belongs to one request each.
	own int
	// users counts the requests that use each shared part.
	users map[cacheKey]int
}

// maxOccupancy is the share of an engine's memory that running requests may occupy. The rest keeps cached contexts: with 1, evicted contexts
// had to be recomputed, and under overload fewer requests were served than with 0.7.
const maxOccupancy = 0.7

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

// leastMemory returns the tokens that a request occupies at least on an engine, whatever it shares there.
func (p *Pool) leastMemory(req *Request) int {
	if p.paced {
		return req.ownMemory()
	}
	return req.memoryTokens()
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

// fitsMemory reports whether an engine has memory for a request.
func (p *Pool) fitsMemory(s *endpointState, req *Request, space string) bool {
	tokens, _ := s.neededMemory(space, req)
	return tokens <= p.freeMemory(s)
}
