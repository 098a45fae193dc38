package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/coordination/rank"
	"gypsumvale/internal/coordination/warmup"
	"gypsumvale/internal/event"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/registration"
	"gypsumvale/internal/state/route"
)

// admission tells what this instance may admit to endpoints whose requests are limited for all instances together.
type admission struct{ node *Node }

// SoleSince returns since when this instance is the only leader, or zero if it isn't one.
func (a admission) SoleSince(now clock.Instant) clock.Instant {
	return a.node.leadership.soleSince(now)
}

// Share returns this instance's share of an endpoint's requests. If there are more instances than requests, only the first by rank get one.
func (a admission) Share(endpoint string, limit int) int {
	names := append(a.node.members.peerNames(), a.node.cfg.Name)
	if share := limit / len(names); share > 0 {
		return share
	}
	for _, name := range rank.Top(endpoint, names, limit) {
		if name == a.node.cfg.Name {
			return 1
		}
	}
	return 0
}

// soleSince returns since when this instance is the only leader, or zero if it isn't one now.
func (l *leadership) soleSince(now clock.Instant) clock.Instant {
	if !l.holdsLease(now) {
		return 0
	}
	_, since, _ := l.term()
	return since
}

// setWarmupLimits sets the limits for cold endpoints from the configuration and the settings; the caller holds the lock.
func (p *placer) setWarmupLimits(t *route.Table) {
	bounds := p.node.bounds.Load()
	for name, s := range t.Services {
		p.pool(name).SetWarmupLimits(warmup.Limits{
			PerSecond: s.WarmupRate, Time: s.WarmupTime, Excess: bounds.WarmupExcess, Tolerance: bounds.WarmupTolerance,
		})
	}
}

// reloadWarmupLimits sets the limits for cold endpoints again after the settings have changed.
func (p *placer) reloadWarmupLimits() {
	table := p.node.table.Load()
	if table == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setWarmupLimits(table)
}

// confirmRegistrations records that the registrations in use were still the newest at an instant. It takes no lock: reading the store must go on
// while placement has stopped, so that another instance can lead.
func (p *placer) confirmRegistrations(readAt clock.Instant) { p.confirmedAt.Store(int64(readAt)) }

// applyConfirmation applies the last confirmation of the registrations; the caller holds the lock.
func (p *placer) applyConfirmation(now clock.Instant) {
	readAt := clock.Instant(p.confirmedAt.Swap(0))
	if readAt == 0 {
		return
	}
	for _, pool := range p.pools {
		pool.ObserveRegistrations(now, readAt)
	}
}

// recordWarmup records for how long an endpoint has said that it is still cold, and reports whether it was taken for warm.
func (p *placer) recordWarmup(endpoint registration.Incarnation, left time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	turned := false
	for _, pool := range p.pools {
		turned = pool.WarmupStated(now, endpoint, left) || turned
	}
	return turned
}

// doubtEndpoint records that a connection to an endpoint was refused or reset. The instance that placed the request may not be the next one to
// decide.
func (p *placer) doubtEndpoint(endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	for _, pool := range p.pools {
		pool.EndpointInDoubt(endpoint, now)
	}
}

// confirmIncarnation records which incarnation of an endpoint has answered a call that was sent at an instant.
func (p *placer) confirmIncarnation(endpoint registration.Incarnation, sentAt clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	for _, pool := range p.pools {
		pool.IncarnationSeen(now, endpoint, sentAt)
	}
}

// doubtZone records that the endpoints of a zone may have become cold, as after its evacuation.
func (p *placer) doubtZone(zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	for _, pool := range p.pools {
		pool.EndpointsInDoubt(zone, now)
	}
}

// logWarmups logs and counts which endpoints of a service have become cold or warm; the caller holds the lock.
func (p *placer) logWarmups(service string, pool *placement.Pool, now clock.Instant) {
	for _, c := range pool.TakeWarmupChanges(now) {
		p.node.log.Info(event.EndpointWarmupChanged, "endpoint warm-up status changed", zap.String("service", service),
			zap.String("endpoint", c.Endpoint), zap.Stringer("status", c.Status), zap.Int64("rest_ms", max(0, c.WarmAt.Sub(now)).Milliseconds()))
	}
	if pool.LimitsCold() {
		p.node.metrics.Cold.WithLabelValues(service).Set(float64(pool.ColdEndpoints(now)))
		p.node.metrics.ColdDeferred.WithLabelValues(service).Add(float64(pool.TakeColdDeferred()))
	}
}

// heldTime returns the time from when a placement call was received until an endpoint was chosen whose grant lapses, or zero.
func heldTime(received clock.Instant, choice *placement.Choice) time.Duration {
	if choice.GrantedAt == 0 {
		return 0
	}
	return choice.GrantedAt.Sub(received)
}

// recordGranted records when the leader chose an endpoint: no earlier than this instance sent the call, and later by the time that the leader
// held it. A delay of the reply never makes the choice look newer than it is.
func recordGranted(choice *placement.Choice, sent clock.Instant, held time.Duration) {
	if choice.Cold || held != 0 {
		choice.GrantedAt = sent.Add(held)
	}
}

// warmGrantTimeout is how old a placement may be on an endpoint that was warm and is limited while it is cold. An entry that was frozen for
// longer might send several requests at once to an endpoint that has become cold meanwhile.
const warmGrantTimeout = time.Second

// errGrantLapsed is returned when a placement is too old: on a cold endpoint the leader may admit others in its place.
var errGrantLapsed = errors.New("placement has lapsed")

// checkGrant returns errGrantLapsed if a choice must not be used any more.
func checkGrant(now clock.Instant, choice *placement.Choice) error {
	age := now.Sub(choice.GrantedAt)
	if choice.Cold && age > warmup.GrantTimeout || choice.GrantedAt != 0 && age > warmGrantTimeout {
		return errGrantLapsed
	}
	return nil
}

const (
	// maxColdLapses is how many placements of a request on cold endpoints may lapse before it asks for warm ones only: each of them takes the
	// place of another request.
	maxColdLapses = 2
	// maxLapses limits how often a request is placed again since its placement has lapsed.
	maxLapses = 8
)

// replace prepares a request for another placement after the last one has lapsed. That is no attempt, since nothing was sent.
func (j *job) replace(ctx context.Context, choice *placement.Choice) *refusal {
	j.node.log.Info(event.AttemptFailed, "placement withdrawn", zap.String("request", j.head.ID), zap.String("endpoint", choice.Endpoint),
		zap.Error(errGrantLapsed))
	j.lapses++
	j.placementReq.WarmOnly = j.lapses >= maxColdLapses
	switch {
	case ctx.Err() != nil:
		return unavailable("deadline", clock.Now().Add(shortRetryDelay))
	case j.lapses > maxLapses:
		return unavailable("no_endpoint", clock.Now().Add(shortRetryDelay))
	}
	return nil
}
