package suspect

import (
	"slices"
	"time"

	"gypsumvale/internal/state/clock"
)

const (
	// answeringEvidence and pendingEvidence are the evidence of a crash against a part of a prompt whose answer was beginning, and of one whose
	// answer had not begun; blockEvidence is the evidence at which requests with the part are blocked: two crashes of the first kind or three
	// of the second.
	answeringEvidence = 3
	pendingEvidence   = 2
	blockEvidence     = 6
	// minCrashInterval is the least time after a crash for another to count for a part if the answer had not begun: a request takes longer to be
	// prefilled at its next engine, and a cut that resets connections breaks its repeats sooner.
	minCrashInterval = 100 * time.Millisecond
	// recentAnswer is how long an answer protects a part from being suspected because of a single crash.
	recentAnswer = 5 * time.Second
	// forgetBlock is how long after its last crash a block is forgotten.
	forgetBlock = 24 * time.Hour
	// maxCrashes, maxBlocks and maxAnswered bound the table.
	maxCrashes  = 64
	maxBlocks   = 64
	maxAnswered = 16384
)

// Exchange is a request that was in flight at an engine when the engine crashed, and of whose answer no event had arrived.
type Exchange struct {
	// Parts are the shared parts of its prompt.
	Parts []string
	// Answering is true if the head of the answer had arrived.
	Answering bool
	SentAt    clock.Instant
	// Witness is the instance that reported the crash, or empty for this one.
	Witness string
}

func containsAll(list, wanted []string) bool {
	for _, part := range wanted {
		if !slices.Contains(list, part) {
			return false
		}
	}
	return true
}

// intersect returns the parts of a list that are also in another.
func intersect(list, other []string) []string {
	var common []string
	for _, part := range list {
		if slices.Contains(other, part) {
			common = append(common, part)
		}
	}
	return common
}

// engineCrash is the crash of one engine.
type engineCrash struct {
	endpoint  string
	at        clock.Instant
	exchanges []Exchange
	// told holds the parts that TakeAnswered has returned.
	told []string
}

// candidates returns the exchanges that may have caused the crash: those whose answers were beginning, if there are any.
func (c *engineCrash) candidates() []Exchange {
	var answering []Exchange
	for _, e := range c.exchanges {
		if e.Answering {
			answering = append(answering, e)
		}
	}
	if len(answering) > 0 {
		return answering
	}
	return c.exchanges
}

// partEvidence is the evidence against one part of prompts.
type partEvidence struct {
	evidence int
	crashes  int
	lastAt   clock.Instant
	// common holds the parts that all the requests with this part had in common.
	common []string
}

// block is a combination of parts whose requests must not run.
type block struct {
	parts []string
	// since is when a crash last confirmed the block, and crashedAt is the last crash that is known to have led to it or to have confirmed it.
	since, crashedAt clock.Instant
	// causes are the crashes that had been recorded when the block was found here; there are none if another instance has found it.
	causes []*engineCrash
}

func (b *block) appliesAt(now clock.Instant) bool { return now.Sub(b.since) < Retention }

// PartTable attributes crashes of engines to parts of prompts, for faults that a part causes whatever else a request holds.
//
// A part is charged with a crash if a request with it was in flight and its answer had not begun, and cleared by the first event of any
// answer to a request with it:
//
//	crash of e1 with {a, b, x}, {a, c}   all are charged; a is cleared by other answers at once
//	{a, c} answered on e2                c is cleared
//	crash of e3 with {a, b, x}           requests with both b and x are blocked
//	{a, b} answered on e4                b is cleared: requests with x are blocked
//
// Crashes that may have a common cause count once: a part is charged again only for requests sent after the crash before, and if their answers
// had not begun, only some time after it.
type PartTable struct {
	crashes  []*engineCrash
	answered map[string]clock.Instant
	evidence map[string]*partEvidence
	blocks   []*block
}

// NewPartTable returns an empty table.
func NewPartTable() *PartTable {
	return &PartTable{answered: make(map[string]clock.Instant), evidence: make(map[string]*partEvidence)}
}

// RecordCrash records an exchange that broke at an instant because an engine crashed. It returns the combinations of parts that are blocked
// from now on.
func (t *PartTable) RecordCrash(now clock.Instant, endpoint string, brokenAt clock.Instant, e Exchange) [][]string {
	if len(e.Parts) == 0 {
		return nil
	}
	c := t.addExchange(now, endpoint, brokenAt, e)
	if e.Answering {
		t.confirm(brokenAt, &e)
	}
	t.evaluate()
	t.removeRefuted(c)
	return t.addBlocks(now)
}

// removeRefuted removes the blocks that a crash has led to and that a later report of it has refuted: the request whose answer was beginning
// may be reported after those that waited beside it, and after the engines' next crashes.
func (t *PartTable) removeRefuted(c *engineCrash) {
	t.blocks = slices.DeleteFunc(t.blocks, func(b *block) bool {
		return slices.Contains(b.causes, c) && slices.ContainsFunc(b.parts, func(part string) bool { return !t.suffices(part) })
	})
}

// Retract takes back the crashes of an engine that broke exchanges between two instants, as a witness has reported them or, if all is true, as
// any has, and the blocks that they have led to.
func (t *PartTable) Retract(endpoint string, first, last clock.Instant, witness string, all bool) {
	var retracted []*engineCrash
	t.crashes = slices.DeleteFunc(t.crashes, func(c *engineCrash) bool {
		if c.endpoint != endpoint || first.Sub(c.at) >= sameCrashWindow || c.at.Sub(last) >= sameCrashWindow {
			return false
		}
		before := len(c.exchanges)
		c.exchanges = slices.DeleteFunc(c.exchanges, func(e Exchange) bool { return all || e.Witness == witness })
		if len(c.exchanges) < before {
			retracted = append(retracted, c)
		}
		return len(c.exchanges) == 0
	})
	if len(retracted) == 0 {
		return
	}
	t.evaluate()
	for _, c := range retracted {
		t.removeRefuted(c)
	}
}

// AnsweredSince reports whether an answer to a request with a part has begun since an instant.
func (t *PartTable) AnsweredSince(part string, since clock.Instant) bool {
	at, ok := t.answered[part]
	return ok && !at.Before(since)
}

// suffices reports whether there is enough evidence against a part to block it.
func (t *PartTable) suffices(part string) bool {
	s := t.evidence[part]
	return s != nil && s.evidence >= blockEvidence
}

// addExchange adds an exchange to the crash that broke it, which may be a new one, and returns the crash.
func (t *PartTable) addExchange(now clock.Instant, endpoint string, brokenAt clock.Instant, e Exchange) *engineCrash {
	if c := t.findCrash(endpoint, brokenAt); c != nil {
		c.exchanges = append(c.exchanges, e)
		return c
	}
	t.crashes = slices.DeleteFunc(t.crashes, func(c *engineCrash) bool { return now.Sub(c.at) >= Retention })
	crash := &engineCrash{endpoint: endpoint, at: brokenAt, exchanges: []Exchange{e}}
	t.crashes = append(t.crashes[max(0, len(t.crashes)-maxCrashes+1):], crash)
	slices.SortStableFunc(t.crashes, func(a, b *engineCrash) int { return int(a.at - b.at) })
	return crash
}

// findCrash returns the crash that broke an exchange with an endpoint at an instant, or nil.
func (t *PartTable) findCrash(endpoint string, brokenAt clock.Instant) *engineCrash {
	for _, c := range t.crashes {
		if c.endpoint == endpoint && max(c.at.Sub(brokenAt), brokenAt.Sub(c.at)) < sameCrashWindow {
			return c
		}
	}
	return nil
}

// TakeAnswered returns those of some parts to which answers have begun since a crash, and when the first of these answers began. Each part is
// returned once for a crash.
func (t *PartTable) TakeAnswered(endpoint string, brokenAt clock.Instant, parts []string) (answered []string, at clock.Instant) {
	c := t.findCrash(endpoint, brokenAt)
	if c == nil {
		return nil, 0
	}
	for _, part := range parts {
		began, ok := t.answered[part]
		if !ok || began.Before(c.at) || slices.Contains(c.told, part) {
			continue
		}
		c.told = append(c.told, part)
		answered = append(answered, part)
		if at == 0 || began.Before(at) {
			at = began
		}
	}
	return answered, at
}

// confirm renews the blocks that apply to the exchange.
func (t *PartTable) confirm(at clock.Instant, e *Exchange) {
	for _, b := range t.blocks {
		if containsAll(e.Parts, b.parts) {
			b.since, b.crashedAt = max(b.since, at), max(b.crashedAt, at)
		}
	}
}

// evaluate determines the evidence against each part from the crashes since the last answer to a request with it.
func (t *PartTable) evaluate() {
	t.evidence = make(map[string]*partEvidence)
	for _, c := range t.crashes {
		charged := make(map[string]Exchange)
		common := make(map[string][]string)
		for _, e := range c.candidates() {
			for _, part := range e.Parts {
				if at, ok := t.answered[part]; ok && !at.Before(c.at) || !t.independent(part, c, &e) {
					continue
				}
				charged[part] = e
				if common[part] == nil {
					common[part] = e.Parts
				}
				common[part] = intersect(common[part], e.Parts)
			}
		}
		for part, e := range charged {
			t.charge(part, c, e.Answering, common[part])
		}
	}
}

func (t *PartTable) charge(part string, c *engineCrash, answering bool, common []string) {
	s := t.evidence[part]
	if s == nil {
		s = &partEvidence{common: common}
		t.evidence[part] = s
	}
	s.common = intersect(s.common, common)
	s.crashes++
	s.lastAt = c.at
	s.evidence += pendingEvidence
	if answering {
		s.evidence += answeringEvidence - pendingEvidence
	}
}

// independent reports whether a crash that broke an exchange is evidence beyond the crashes that a part is charged with already: the request was
// sent after the last one, and its answer was beginning or it broke some time after, so that the crashes have no common cause, such as the loss of
// a rack or a cut.
func (t *PartTable) independent(part string, c *engineCrash, e *Exchange) bool {
	s := t.evidence[part]
	return s == nil || s.lastAt.Before(e.SentAt) && (e.Answering || c.at.Sub(s.lastAt) >= minCrashInterval)
}

// addBlocks adds blocks for the parts with enough evidence after a crash, and returns their parts.
func (t *PartTable) addBlocks(now clock.Instant) [][]string {
	var added [][]string
	for part, s := range t.evidence {
		if !t.suffices(part) {
			continue
		}
		parts := slices.DeleteFunc(slices.Clone(s.common), func(other string) bool { return !t.suffices(other) })
		if t.addBlock(&block{parts: parts, since: now, crashedAt: s.lastAt, causes: slices.Clone(t.crashes)}) {
			added = append(added, parts)
		}
	}
	return added
}

// AddBlock blocks requests whose prompts have all the parts, as another instance has found, unless a block of fewer parts applies to them
// already. It reports whether it added the block.
func (t *PartTable) AddBlock(now clock.Instant, parts []string) bool {
	return t.addBlock(&block{parts: parts, since: now, crashedAt: now})
}

func (t *PartTable) addBlock(added *block) bool {
	parts := added.parts
	if len(parts) == 0 || slices.ContainsFunc(t.blocks, func(b *block) bool { return b.appliesAt(added.since) && containsAll(parts, b.parts) }) {
		return false
	}
	t.blocks = slices.DeleteFunc(t.blocks, func(b *block) bool {
		return added.since.Sub(b.since) >= forgetBlock || containsAll(b.parts, parts)
	})
	added.parts = slices.Sorted(slices.Values(parts))
	t.blocks = append(t.blocks[max(0, len(t.blocks)-maxBlocks+1):], added)
	return true
}

// ExpireBlock ends the block of these parts, also where some of them have been cleared since, unless one of the blocks that still hold covers
// it, and reports whether it ended one that applied. What was blocked remains suspected until an answer clears it.
func (t *PartTable) ExpireBlock(now clock.Instant, parts []string, held [][]string) bool {
	ended := false
	for _, b := range t.blocks {
		covered := slices.ContainsFunc(held, func(other []string) bool { return containsAll(b.parts, other) })
		if b.appliesAt(now) && containsAll(parts, b.parts) && !covered {
			b.since, ended = now.Add(-Retention), true
		}
	}
	return ended
}

// Blocks returns the combinations of parts that are blocked now.
func (t *PartTable) Blocks(now clock.Instant) [][]string {
	var list [][]string
	for _, b := range t.blocks {
		if b.appliesAt(now) {
			list = append(list, slices.Clone(b.parts))
		}
	}
	return list
}

// RecordAnswer records that an answer to a request with these parts began at an instant, which may be past: later crashes still count. It returns
// the parts that are cleared by it.
func (t *PartTable) RecordAnswer(at clock.Instant, parts []string) []string {
	var cleared, proved []string
	for _, part := range parts {
		t.answered[part] = max(t.answered[part], at)
		if s := t.evidence[part]; s != nil && !at.Before(s.lastAt) {
			cleared = append(cleared, part)
		}
		if t.suffices(part) {
			proved = append(proved, part)
		}
	}
	t.prune(at)
	if len(t.evidence) > 0 {
		t.evaluate()
	}
	refuted := slices.DeleteFunc(proved, t.suffices)
	for _, b := range t.blocks {
		var lifted []string
		if !at.Before(b.crashedAt) {
			lifted = intersect(b.parts, parts)
			cleared = append(cleared, lifted...)
		} else if len(b.causes) > 0 {
			lifted = intersect(b.parts, refuted)
		}
		b.parts = slices.DeleteFunc(b.parts, func(part string) bool { return slices.Contains(lifted, part) })
	}
	t.blocks = slices.DeleteFunc(t.blocks, func(b *block) bool { return len(b.parts) == 0 })
	return slices.Compact(slices.Sorted(slices.Values(cleared)))
}

// prune removes old answers once there are too many, except those that clear parts of the crashes held here.
func (t *PartTable) prune(now clock.Instant) {
	if len(t.answered) <= maxAnswered {
		return
	}
	charged := make(map[string]bool)
	for _, c := range t.crashes {
		for _, e := range c.exchanges {
			for _, part := range e.Parts {
				charged[part] = true
			}
		}
	}
	for part, at := range t.answered {
		if now.Sub(at) >= recentAnswer && !charged[part] {
			delete(t.answered, part)
		}
	}
	for part := range t.answered {
		if len(t.answered) <= maxAnswered {
			return
		}
		if !charged[part] {
			delete(t.answered, part)
		}
	}
}

// Empty reports whether no part is suspected or blocked.
func (t *PartTable) Empty() bool { return len(t.blocks) == 0 && len(t.evidence) == 0 }

// Check returns the status of a request with these shared parts, and which of them are suspected: only one request with such a part may
// wait for the beginning of its answer at a time.
func (t *PartTable) Check(now clock.Instant, parts []string) (Status, []string) {
	var suspected []string
	for _, b := range t.blocks {
		if containsAll(parts, b.parts) && b.appliesAt(now) {
			return Blocked, slices.Clone(b.parts)
		}
		suspected = append(suspected, intersect(parts, b.parts)...)
	}
	for _, part := range parts {
		if s := t.evidence[part]; s != nil && now.Sub(s.lastAt) < Retention && (s.crashes > 1 || !t.answeredShortlyBefore(part, s.lastAt)) {
			suspected = append(suspected, part)
		}
	}
	if len(suspected) == 0 {
		return Clear, nil
	}
	return Suspected, suspected
}

func (t *PartTable) answeredShortlyBefore(part string, at clock.Instant) bool {
	answered, ok := t.answered[part]
	return ok && at.Sub(answered) < recentAnswer
}
