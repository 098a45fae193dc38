package placement

import (
	"time"

	"gypsumvale/internal/coordination/warmup"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/registration"
)

const (
	// coldPenalty prefers warm endpoints to cold ones that are equally fast. A cold endpoint's prefill counts coldPrefillFactor times in
	// addition, so that long prompts go to warm ones first.
	coldPenalty       = 10 * time.Millisecond
	coldPrefillFactor = 1
	// refusedDoubt is how long after a connection was refused or reset a registration must be read to show that the endpoint is warm: until
	// then a restarted endpoint has registered anew.
	refusedDoubt = 3 * time.Second
	// zoneDoubt is how long after the end of an evacuation a registration must be read to show that an endpoint is warm: one that was written
	// since then, as heartbeats come every 1.2 s.
	zoneDoubt = 1500 * time.Millisecond
	// goneWarmupTime is how long an endpoint's warm-up state is kept after it was removed, since it may return and count earlier arrivals.
	goneWarmupTime = 5 * time.Second
)

// Admission knows what this process may admit to endpoints whose requests are limited for all processes together.
type Admission interface {
	// SoleSince returns since when this process alone places what is placed at the leader, or zero if another may do so too.
	SoleSince(now clock.Instant) clock.Instant
	// Share returns how many of the requests that an endpoint gets may come from this process although others place some too.
	Share(endpoint string, limit int) int
}

// warmups is the warm-up state of a pool's endpoints. It outlasts their states, so that an endpoint that is listed again is still limited.
type warmups struct {
	limits    warmup.Limits
	endpoints map[string]*endpointWarmup
	// since is when registrations were first observed, or zero.
	since clock.Instant
	// refused is true if an endpoint was left out because it is cold, when a new request or the whole queue was last considered; deferred counts
	// the requests that arrived and were placed or queued with that.
	refused  bool
	deferred int
}

// endpointWarmup is the warm-up state of one endpoint.
type endpointWarmup struct {
	warmup.Endpoint
	// registration is the last one that was applied, and listedAt is when it was last listed.
	registration *registration.Registration
	listedAt     clock.Instant
	// reported is the status that TakeWarmupChanges has returned last.
	reported warmup.Status
}

// SetWarmupLimits sets the limits for cold endpoints; the zero value sets none.
func (p *Pool) SetWarmupLimits(l warmup.Limits) { p.warmups.limits = l }

// ObserveRegistrations applies what the endpoints' registrations say of their warm-up. The registrations are the ones last set and were still
// the newest at the instant readAt.
func (p *Pool) ObserveRegistrations(now, readAt clock.Instant) {
	w := &p.warmups
	first := w.endpoints == nil
	if first {
		w.endpoints, w.since = make(map[string]*endpointWarmup), now
	}
	for _, s := range p.endpointList {
		e := w.endpoints[s.ID]
		if e == nil {
			e = &endpointWarmup{}
			w.endpoints[s.ID] = e
		}
		s.warmup, e.listedAt = e, now
		if e.registration == s.Registration {
			e.Confirm(readAt)
			continue
		}
		left := s.WarmupTime
		if previous := e.registration; previous != nil && (previous.StartMilli != s.StartMilli || previous.Address != s.Address) {
			e.Restart()
		} else if previous != nil || first {
			// What this process finds at its start has not just started.
			left = max(0, left)
		}
		if left == registration.WarmupUnknown {
			left = w.limits.Time
		}
		e.registration = s.Registration
		e.Announce(now, readAt, left)
	}
	for id, e := range w.endpoints {
		if now.Sub(e.listedAt) > goneWarmupTime {
			delete(w.endpoints, id)
		}
	}
}

// WarmupStated applies the time left that an endpoint's incarnation has named in an answer, and reports whether the endpoint was taken for warm
// and isn't.
func (p *Pool) WarmupStated(now clock.Instant, endpoint registration.Incarnation, left time.Duration) bool {
	s := p.endpoints[endpoint.ID]
	if s == nil || s.warmup == nil || s.Incarnation() != endpoint {
		return false
	}
	wasCold := p.isCold(now, s)
	s.warmup.State(now, left)
	return p.isCold(now, s) && !wasCold
}

// EndpointsInDoubt treats the endpoints of a zone as cold until registrations show that they aren't, for example after its evacuation.
func (p *Pool) EndpointsInDoubt(zone string, now clock.Instant) {
	for _, s := range p.endpointList {
		if s.Zone == zone {
			s.doubt(now, zoneDoubt)
			if s.warmup != nil {
				s.warmup.KeepDoubt()
			}
		}
	}
}

// EndpointInDoubt treats an endpoint, to which a connection was refused or reset, as cold until a registration shows that it isn't.
func (p *Pool) EndpointInDoubt(endpoint string, now clock.Instant) {
	if s := p.endpoints[endpoint]; s != nil {
		s.doubt(now, refusedDoubt)
	}
}

// IncarnationSeen records which incarnation of an endpoint has answered a call that was sent at an instant. The one that is registered has not
// been restarted, whatever connections were refused or reset before. A later one may be cold, and registers soon.
func (p *Pool) IncarnationSeen(now clock.Instant, endpoint registration.Incarnation, sentAt clock.Instant) {
	s := p.endpoints[endpoint.ID]
	switch {
	case s == nil || s.warmup == nil || s.StartMilli == 0:
	case s.StartMilli == endpoint.StartMilli:
		s.warmup.Continues(sentAt)
	case s.StartMilli < endpoint.StartMilli:
		s.doubt(now, refusedDoubt)
	}
}

// doubt treats the endpoint as cold until a registration that is read a given time later shows that it isn't.
func (s *endpointState) doubt(now clock.Instant, after time.Duration) {
	if s.warmup != nil {
		s.warmup.Doubt(now, after)
	}
}

// isCold reports whether an endpoint is cold or may be.
func (p *Pool) isCold(now clock.Instant, s *endpointState) bool {
	return p.warmups.limits.Enabled() && s.warmup != nil && s.warmup.Status(now) != warmup.Warm
}

// refusesCold reports whether an endpoint gets no request now because it is cold.
func (p *Pool) refusesCold(now clock.Instant, s *endpointState, req *Request) bool {
	if !p.isCold(now, s) {
		return false
	}
	if !req.WarmOnly && p.warmups.limits.Permits(now, &s.warmup.Endpoint, p.coldAuthority(now, req)) {
		return false
	}
	p.warmups.refused = true
	return true
}

// coldAuthority returns what this process may admit to cold endpoints for a request while others are warm. All prompts are placed by the
// leader, so that no other process may admit any.
func (p *Pool) coldAuthority(now clock.Instant, req *Request) warmup.Authority {
	if req.Uncoordinated || req.Model == "" || p.engine == nil || p.cfg.Admission == nil {
		return warmup.Authority{}
	}
	return warmup.Authority{SoleSince: p.cfg.Admission.SoleSince(now)}
}

// permitsShare reports whether a cold endpoint of a plain service, none of whose endpoints is warm, gets a request from this process. A
// process that has just started may have sent requests before it was restarted.
func (p *Pool) permitsShare(now clock.Instant, s *endpointState) bool {
	w := &p.warmups
	if p.engine != nil || p.cfg.Admission == nil || now.Before(w.since.Add(warmup.Window)) {
		return false
	}
	share := p.cfg.Admission.Share(s.ID, w.limits.Admissions())
	return w.limits.Permits(now, &s.warmup.Endpoint, warmup.Authority{Share: share})
}

// admit records that a request is sent to an endpoint, and marks the choice if the endpoint is cold. A choice by a process that may admit
// nothing is not marked: it has taken an endpoint in doubt for warm.
func (p *Pool) admit(now clock.Instant, req *Request, best *candidate) {
	if !p.warmups.limits.Enabled() || best.endpoint.warmup == nil {
		return
	}
	best.choice.GrantedAt = now
	best.choice.Cold = p.isCold(now, best.endpoint) && (p.engine == nil || p.coldAuthority(now, req).SoleSince != 0)
	best.endpoint.warmup.Admit(now, &p.warmups.limits)
}

// coldCost returns the cost that is added on a cold endpoint, which runs more slowly.
func (p *Pool) coldCost(now clock.Instant, s *endpointState, prefillSeconds float64) time.Duration {
	if !p.isCold(now, s) {
		return 0
	}
	return coldPenalty + time.Duration(coldPrefillFactor*prefillSeconds*float64(time.Second))
}

// warmAt returns when the first of the endpoints that get no request because they are cold is expected to be warm, or zero if there is none.
func (p *Pool) warmAt(now clock.Instant, req *Request) clock.Instant {
	if !p.warmups.limits.Enabled() {
		return 0
	}
	first := clock.Instant(0)
	oldest := p.oldestUsableVersion(now, req.Model)
	p.checks += uint64(len(p.endpointList))
	for _, s := range p.endpointList {
		if s.version[req.Model] < oldest || contains(req.Avoid, s.ID) || p.barred(now, s, req) || !p.refusesCold(now, s, req) {
			continue
		}
		// The doubt of a plain service's endpoint may outlast the time set for it.
		if at := max(s.warmup.WarmAt(), now.Add(minRetryDelay)); first == 0 || at.Before(first) {
			first = at
		}
	}
	return first
}

// countDeferred counts a request that has arrived if a cold endpoint was left out for it, or for the queue that it waits in.
func (p *Pool) countDeferred() {
	if p.warmups.refused {
		p.warmups.deferred++
	}
}

// TakeColdDeferred returns the number of requests that arrived since the last call and for which a cold endpoint was left out.
func (p *Pool) TakeColdDeferred() int {
	n := p.warmups.deferred
	p.warmups.deferred = 0
	return n
}

// LimitsCold reports whether there is a limit for cold endpoints.
func (p *Pool) LimitsCold() bool { return p.warmups.limits.Enabled() }

// ColdEndpoints returns the number of endpoints that are cold or may be.
func (p *Pool) ColdEndpoints(now clock.Instant) int {
	cold := 0
	for _, s := range p.endpointList {
		if p.isCold(now, s) {
			cold++
		}
	}
	return cold
}

// WarmupChange is a change of an endpoint's warm-up status.
type WarmupChange struct {
	Endpoint string
	Status   warmup.Status
	// WarmAt is when the endpoint is expected to be warm.
	WarmAt clock.Instant
}

// TakeWarmupChanges returns the changes since the last call.
func (p *Pool) TakeWarmupChanges(now clock.Instant) []WarmupChange {
	if !p.warmups.limits.Enabled() {
		return nil
	}
	var changes []WarmupChange
	for _, s := range p.endpointList {
		if s.warmup == nil {
			continue
		}
		status := s.warmup.Status(now)
		if status == s.warmup.reported {
			continue
		}
		s.warmup.reported = status
		changes = append(changes, WarmupChange{Endpoint: s.ID, Status: status, WarmAt: s.warmup.WarmAt()})
		p.recordCapacityChange(s)
	}
	return changes
}
