package suspect

import (
	"maps"
	"time"

	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/registration"
)

const (
	// sameMoment is the time within which failures count as simultaneous. Resets of one cut are read within some 10 ms, and within 200 ms by an
	// entry with a tenth of a processor.
	sameMoment = 250 * time.Millisecond
	// aliveWindow is how long after a failure a response of another endpoint shows that its zone was reachable: one that comes later may show that
	// a cut has ended.
	aliveWindow = time.Second
	// registrationWait is how long a failure waits for a registration: an endpoint that crashed is back after some seconds, loads its weights and
	// registers, and registrations are read up to 1 s later.
	registrationWait = 12 * time.Second
	// continuedTime is how long after a failure the same incarnation must be listed for it not to have crashed: a registration expires after three
	// missed heartbeats (3.6 s).
	continuedTime = 5 * time.Second
	// survivalTime is how long after a failure an exchange that was sent before must go on for its endpoint not to have crashed: what a crashed
	// endpoint had sent is read by then.
	survivalTime = 200 * time.Millisecond
	// countedWait is how long a crash that was counted may be refuted: an instance that was cut off reads registrations again after the cut.
	countedWait = time.Minute
	// maxGroupAge bounds the size of a group in a long cut, in which few requests are sent to the zone after the first seconds.
	maxGroupAge = time.Minute
	// maxClaims bounds the incarnations whose crashes other instances have reported and that may still be refuted here.
	maxClaims = 1024
	// maxHeldExchanges bounds the exchanges of one failure, which are those that were in flight at an endpoint.
	maxHeldExchanges = 256
	// foreignZones is the scope of all zones other than the instance's own.
	foreignZones = "*"
)

// Endpoint is an endpoint as the instance knows it when something happens to an exchange with it.
type Endpoint struct {
	ID   string
	Zone string
	// StartMilli identifies the incarnation; zero if unknown.
	StartMilli int64
	// ZoneUnreachable is true if requests avoid the endpoint's zone, since it can't be reached from the instance's. Only the value at the beginning
	// of a failure matters: later, the failure itself may be the reason.
	ZoneUnreachable bool
}

// Change is a change in what is inferred of an endpoint: a crash that is to be counted against the exchanges, or one that is to be retracted.
type Change struct {
	Endpoint  string
	Exchanges []BrokenExchange
	// Retracted is true if what was counted for the endpoint's exchanges that broke between First and Last is taken back.
	Retracted   bool
	First, Last clock.Instant
	// Alive is true if the endpoint's incarnation has proved to be alive, so that other instances were wrong as well.
	Alive bool
	// Known is true if the other instances learn it from the registrations that they read themselves.
	Known bool
}

// cause is what may have made an endpoint crash: a request, or a part of the prompts of a service.
type cause struct{ digest, service, part string }

// causesOf adds what may have made an endpoint crash that a broken exchange was with.
func causesOf(b *BrokenExchange, list map[cause]bool) {
	list[cause{digest: b.Digest}] = true
	if b.Begun {
		return
	}
	for _, part := range b.Parts {
		list[cause{service: b.Service, part: part}] = true
	}
}

// crashClaim is a crash of an incarnation that other instances have reported.
type crashClaim struct {
	// first and last are when exchanges with it broke.
	first, last clock.Instant
	causes      map[cause]bool
}

// failure is a time in which exchanges with an endpoint broke or connections to it failed.
type failure struct {
	Endpoint
	since     clock.Instant
	exchanges []*heldExchange
	refused   bool
	// over is true once the endpoint has responded to something that was sent afterwards, and settled once a registration has decided.
	over, settled bool
	counted       bool
	groups        []membership
}

// group is a set of failures with no sign of life from their zones in between.
type group struct {
	since   clock.Instant
	members map[string][]*failure
}

// membership is a failure's membership in the group of a scope: its zone, or all zones but the instance's own.
type membership struct {
	scope string
	group *group
	// alive holds the endpoints that responded soon after the failure.
	alive map[string]bool
}

// Inference infers crashes of endpoints from broken exchanges and refused connections. It isn't safe for concurrent use.
//
// A failed dial is no crash: only a refused connection or a registration with a new start time shows one. Endpoints that fail within 250 ms, or
// with no sign of life from their zone in between, form a group:
//
//	load or fault pattern                                    evidence                                            inference
//	one request crashes the endpoint that runs it            refused, no other endpoint fails                    crash at once
//	its client, or the retry, repeats it at other endpoints  refused; one digest, or one part without answers,   crash at once
//	                                                         broke at each endpoint of the group, here or, as
//	                                                         they report, at other instances
//	requests that differ crash engines one after the other   refused; responses from the zone in between: groups crash at once
//	                                                         of one
//	the same, several engines within 250 ms, under load      refused; as many other endpoints of the zone        crash after 250 ms or more
//	                                                         respond 0.25 to 1 s after the failure
//	a zone is cut, its connections are reset; dials time     several fail with unrelated requests, the others    wait for the registrations;
//	out, are reset, or are refused by a device on the path   are silent                                          what was counted is retracted
//	the instance's own zone is cut, with few requests to     the same over all other zones                       the same
//	each other zone
//	a rack or most of a zone loses power                     more fail than respond                              wait for the registrations
//	the zone is avoided (placement.Reachability)             -                                                   wait for the registration
//	one connection is reset, or a dial times out             nothing refused                                     none, unless the endpoint
//	                                                                                                             registers anew
//
// What a registration or a response says later decides, also of what was counted:
//
//	the endpoint registers with a new start time, within 12 s                                      crash
//	its incarnation is still listed 5 s after the failure, longer than a registration lasts        no crash: retracted, at all instances
//	a report of the same incarnation that was requested after the failure                          the same
//	an exchange that was sent before the failure goes on 0.2 s after it                            the same
//	nothing within 12 s                                                                            as it is: what waits is dropped
type Inference struct {
	zone string
	// answered reports whether an answer to a request with a part has begun since an instant.
	answered func(service, part string, since clock.Instant) bool
	failures []*failure
	// contacts holds when something last came from a scope, and latest its last failure.
	contacts map[string]clock.Instant
	latest   map[string]*failure
	claims   map[registration.Incarnation]*crashClaim
}

// NewInference returns an inference without failures for an instance in a zone. The function reports whether an answer to a request of a service
// with a part of its prompt has begun since an instant.
func NewInference(zone string, answered func(service, part string, since clock.Instant) bool) *Inference {
	return &Inference{
		zone: zone, answered: answered, contacts: make(map[string]clock.Instant), latest: make(map[string]*failure),
		claims: make(map[registration.Incarnation]*crashClaim),
	}
}

// Broke records that an exchange with an endpoint ended prematurely.
func (i *Inference) Broke(now clock.Instant, e Endpoint, b BrokenExchange) []Change {
	f := i.openFailure(now, e)
	if len(f.exchanges) < maxHeldExchanges {
		f.exchanges = append(f.exchanges, &heldExchange{BrokenExchange: b})
	}
	return i.evaluate(now)
}

// DialFailed records that a connection to an endpoint could not be opened.
func (i *Inference) DialFailed(now clock.Instant, e Endpoint, refused bool) []Change {
	f := i.openFailure(now, e)
	if refused {
		f.refused = true
		for _, h := range f.exchanges {
			h.refused = h.refused || now.Sub(h.BrokenAt) < crashWindow
		}
	}
	return i.evaluate(now)
}

// Responded records that something came from an endpoint on an exchange, or that it accepted a connection, which was sent or begun at an instant.
func (i *Inference) Responded(now clock.Instant, e Endpoint, sentAt clock.Instant) []Change {
	scopes := i.scopes(e.Zone)
	for _, scope := range scopes {
		i.contacts[scope] = now
	}
	if len(i.failures) == 0 {
		return nil
	}
	var changes []Change
	for _, f := range i.failures {
		switch {
		case f.ID != e.ID:
			f.recordAlive(now, e.ID, scopes)
		case sentAt.Before(f.since) && now.Sub(f.lastBroken()) >= survivalTime:
			changes = append(changes, f.refute()...)
		case !sentAt.Before(f.since):
			f.over = true
		}
	}
	return append(changes, i.evaluate(now)...)
}

// recordAlive records that another endpoint responded, if it did so soon after the failure.
func (f *failure) recordAlive(now clock.Instant, endpoint string, scopes []string) {
	if age := now.Sub(f.since); age < sameMoment || age > aliveWindow {
		return
	}
	for _, m := range f.groups {
		for _, scope := range scopes {
			if m.scope == scope {
				m.alive[endpoint] = true
			}
		}
	}
}

// Restarted records that an endpoint has registered with a new start time, or at another address. Of several failures the last one counts.
func (i *Inference) Restarted(now clock.Instant, endpoint string, startMilli int64) []Change {
	changes := i.confirm(now, endpoint, startMilli)
	return append(changes, i.evaluate(now)...)
}

// confirm settles that an endpoint has crashed.
func (i *Inference) confirm(now clock.Instant, endpoint string, startMilli int64) []Change {
	var last *failure
	window := registrationWait
	for _, f := range i.failures {
		if f.ID != endpoint || f.settled || startMilli != 0 && startMilli <= f.StartMilli {
			continue
		}
		if len(f.exchanges) > 0 {
			last, window = f, registrationWait
			if f.over && !f.refused {
				// It has accepted connections all the time, and may have restarted for another reason since.
				window = crashWindow
			}
		}
		f.over, f.settled = true, true
	}
	if last == nil {
		return nil
	}
	return last.count(func(h *heldExchange) bool { return now.Sub(h.BrokenAt) < window })
}

// Claimed records an exchange with an endpoint that another instance takes for broken by a crash. The exchange names the incarnation.
func (i *Inference) Claimed(now clock.Instant, endpoint string, b *BrokenExchange) []Change {
	if b.StartMilli == 0 {
		return nil
	}
	id := registration.Incarnation{ID: endpoint, StartMilli: b.StartMilli}
	c := i.claims[id]
	if c == nil {
		if len(i.claims) >= maxClaims {
			return nil
		}
		c = &crashClaim{first: b.BrokenAt, last: b.BrokenAt, causes: make(map[cause]bool)}
		i.claims[id] = c
	}
	c.first, c.last = min(c.first, b.BrokenAt), max(c.last, b.BrokenAt)
	causesOf(b, c.causes)
	return i.evaluate(now)
}

// refuteClaims returns the retractions of the claims that are refuted. The function also reports whether a claim is to be kept otherwise.
func (i *Inference) refuteClaims(now clock.Instant, known bool, decide func(registration.Incarnation, *crashClaim) (refuted, keep bool)) []Change {
	var changes []Change
	for id, c := range i.claims {
		refuted, keep := decide(id, c)
		if refuted {
			changes = append(changes, Change{Endpoint: id.ID, Retracted: true, Alive: true, Known: known, First: c.first, Last: c.last})
		}
		if refuted || !keep || now.Sub(c.last) >= countedWait {
			delete(i.claims, id)
		}
	}
	return changes
}

// Listed records the list of registrations that was read at an instant. The function returns the start time of an endpoint, and false if it isn't
// listed.
func (i *Inference) Listed(now, readAt clock.Instant, started func(endpoint string) (int64, bool)) []Change {
	var changes []Change
	for _, f := range i.failures {
		if f.settled || f.StartMilli == 0 {
			continue
		}
		startMilli, ok := started(f.ID)
		switch {
		case !ok:
		case startMilli > f.StartMilli:
			changes = append(changes, i.confirm(now, f.ID, startMilli)...)
		case startMilli == f.StartMilli && readAt.Sub(f.lastBroken()) >= continuedTime:
			changes = append(changes, f.refute()...)
		}
	}
	changes = append(changes, i.refuteClaims(now, true, func(id registration.Incarnation, c *crashClaim) (refuted, keep bool) {
		startMilli, ok := started(id.ID)
		same := ok && startMilli == id.StartMilli
		return same && readAt.Sub(c.last) >= continuedTime, !ok || startMilli <= id.StartMilli
	})...)
	return append(changes, i.evaluate(now)...)
}

// Reported records a report of an endpoint's incarnation that was requested at an instant.
func (i *Inference) Reported(now clock.Instant, endpoint string, startMilli int64, requestedAt clock.Instant) []Change {
	var changes []Change
	for _, f := range i.failures {
		if f.ID == endpoint && f.StartMilli == startMilli && f.lastBroken().Before(requestedAt) {
			changes = append(changes, f.refute()...)
		}
	}
	changes = append(changes, i.refuteClaims(now, false, func(id registration.Incarnation, c *crashClaim) (refuted, keep bool) {
		return id.ID == endpoint && id.StartMilli == startMilli && c.last.Before(requestedAt), true
	})...)
	return append(changes, i.evaluate(now)...)
}

// Counted reports whether an exchange with an endpoint that broke at an instant counts as broken by a crash.
func (i *Inference) Counted(endpoint string, brokenAt clock.Instant) bool {
	for _, f := range i.failures {
		if f.ID != endpoint {
			continue
		}
		for _, h := range f.exchanges {
			if h.counted && h.BrokenAt == brokenAt {
				return true
			}
		}
	}
	return false
}

// Empty reports whether there is nothing that a registration or a report could decide.
func (i *Inference) Empty() bool { return len(i.failures) == 0 && len(i.claims) == 0 }

// scopes returns the scopes that a zone belongs to.
func (i *Inference) scopes(zone string) []string {
	if zone == i.zone {
		return []string{zone}
	}
	return []string{zone, foreignZones}
}

// openFailure returns the endpoint's failure that isn't over, or a new one.
func (i *Inference) openFailure(now clock.Instant, e Endpoint) *failure {
	for _, f := range i.failures {
		if f.ID == e.ID && f.StartMilli == e.StartMilli && !f.over && !f.settled {
			return f
		}
	}
	f := &failure{Endpoint: e, since: now}
	for _, scope := range i.scopes(e.Zone) {
		g := &group{since: now, members: make(map[string][]*failure)}
		if last := i.latest[scope]; last != nil && !last.over && now.Sub(last.since) < registrationWait {
			silent := i.contacts[scope].Before(last.since.Add(sameMoment))
			if held := last.group(scope); (silent || now.Sub(last.since) < sameMoment) && now.Sub(held.since) < maxGroupAge {
				g = held
			}
		}
		g.members[e.ID] = append(g.members[e.ID], f)
		f.groups = append(f.groups, membership{scope, g, make(map[string]bool)})
		i.latest[scope] = f
	}
	i.failures = append(i.failures, f)
	return f
}

func (f *failure) group(scope string) *group {
	for _, m := range f.groups {
		if m.scope == scope {
			return m.group
		}
	}
	return nil
}

// lastBroken returns when an exchange last broke, or the beginning of the failure if none did.
func (f *failure) lastBroken() clock.Instant {
	if len(f.exchanges) == 0 {
		return f.since
	}
	return f.exchanges[len(f.exchanges)-1].BrokenAt
}

// count returns a change that counts the exchanges which may be counted and aren't yet.
func (f *failure) count(may func(*heldExchange) bool) []Change {
	c := Change{Endpoint: f.ID}
	for _, h := range f.exchanges {
		if may(h) && !h.counted {
			h.counted, f.counted = true, true
			c.Exchanges = append(c.Exchanges, h.BrokenExchange)
		}
	}
	if len(c.Exchanges) == 0 {
		return nil
	}
	return []Change{c}
}

// retract returns a change that takes back what was counted, if anything was.
func (f *failure) retract(alive bool) []Change {
	if !f.counted {
		return nil
	}
	f.counted = false
	for _, h := range f.exchanges {
		h.counted = false
	}
	return []Change{{Endpoint: f.ID, Retracted: true, Alive: alive, First: f.exchanges[0].BrokenAt, Last: f.lastBroken()}}
}

// refute settles that the endpoint has not crashed, unless a registration has decided before.
func (f *failure) refute() []Change {
	if f.settled {
		return nil
	}
	f.settled, f.over = true, true
	return f.retract(true)
}

// evaluate infers crashes from the failures that are not over, and forgets old ones.
func (i *Inference) evaluate(now clock.Instant) []Change {
	var changes []Change
	explained := make(map[*group]bool)
	kept := i.failures[:0]
	for _, f := range i.failures {
		if age := now.Sub(f.lastBroken()); age >= countedWait || age >= registrationWait && !f.counted {
			continue
		}
		kept = append(kept, f)
		switch {
		case f.over || f.settled || !f.refused || now.Sub(f.lastBroken()) >= registrationWait:
		case i.waits(f, explained):
			changes = append(changes, f.retract(false)...)
		default:
			changes = append(changes, f.count(func(h *heldExchange) bool { return h.refused })...)
		}
	}
	clear(i.failures[len(kept):])
	i.failures = kept
	return changes
}

// waits reports whether a failure may be that of a zone, so that only a registration shows a crash. The map holds which groups have a cause that
// is common to all their failures, once that is known.
func (i *Inference) waits(f *failure, explained map[*group]bool) bool {
	if f.ZoneUnreachable {
		return true
	}
	for _, m := range f.groups {
		if len(m.group.members) < 2 {
			continue
		}
		alive := 0
		for endpoint := range m.alive {
			if m.group.members[endpoint] == nil {
				alive++
			}
		}
		if alive >= len(m.group.members) {
			continue
		}
		if _, ok := explained[m.group]; !ok {
			explained[m.group] = i.hasCommonCause(m.group)
		}
		if !explained[m.group] {
			return true
		}
	}
	return false
}

// hasCommonCause reports whether one request, or one part of prompts that no answer has cleared lately, was in flight at each of the endpoints
// that failed, from here or from another instance that has reported a crash.
func (i *Inference) hasCommonCause(g *group) bool {
	endpoints := make(map[cause]int)
	for _, failures := range g.members {
		here := make(map[cause]bool)
		for _, f := range failures {
			for _, h := range f.exchanges {
				causesOf(&h.BrokenExchange, here)
			}
			if c := i.claims[registration.Incarnation{ID: f.ID, StartMilli: f.StartMilli}]; c != nil {
				maps.Copy(here, c.causes)
			}
		}
		for c := range here {
			endpoints[c]++
		}
	}
	for c, n := range endpoints {
		if n == len(g.members) && (c.part == "" || !i.answered(c.service, c.part, g.since.Add(-recentAnswer))) {
			return true
		}
	}
	return false
}
