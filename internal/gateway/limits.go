package gateway

import (
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/exchange"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/registration"
)

// respondent returns the endpoint that sent an answer, which is the expected one unless the answer names another.
func (n *Node) respondent(expected registration.Incarnation, reply *exchange.Reply) registration.Incarnation {
	if reply.Endpoint == "" || reply.Endpoint == expected.ID {
		return expected
	}
	return n.discovery.incarnation(reply.Endpoint)
}

// recordLimit records how many requests an endpoint says to take in the answer to a request that was sent at an instant. An answer that names no
// limit ends the one that is known here, or was known to the instance that placed the request.
func (n *Node) recordLimit(choice *placement.Choice, expected registration.Incarnation, reply *exchange.Reply, sentAt clock.Instant) {
	endpoint := n.respondent(expected, reply)
	switch {
	case reply.InvalidLimit != "":
		n.log.Warn(event.EndpointLimitChanged, "endpoint named an invalid limit", zap.String("endpoint", endpoint.ID),
			zap.String("value", truncate(reply.InvalidLimit, maxLoggedValue)))
	case reply.Limit != nil:
		n.nameLimit(endpoint, *reply.Limit)
	case endpoint == expected && (n.placer.liftLimit(endpoint, sentAt) || choice.Limited):
		n.reportLimit(&peer.EndpointNotice{
			Endpoint: endpoint.ID, StartMilli: endpoint.StartMilli, Unlimited: true, SentAge: clock.Now().Sub(sentAt),
		})
	}
}

// nameLimit records that an endpoint has named how many requests per second it takes from all instances together, and tells the leader.
func (n *Node) nameLimit(endpoint registration.Incarnation, perSecond float64) {
	if n.placer.nameLimit(endpoint, perSecond) {
		n.reportLimit(&peer.EndpointNotice{Endpoint: endpoint.ID, StartMilli: endpoint.StartMilli, Limit: &perSecond})
	}
}

// reportLimit tells the leader of a limit that an endpoint has named, or of its end.
func (n *Node) reportLimit(m *peer.EndpointNotice) {
	if leader := n.members.owner(); leader != "" && leader != n.cfg.Name {
		n.notify(leader, peer.KindEndpointNotice, *m)
	}
}

// recordReportedLimit records what an endpoint has said to another entry of its limit.
func (n *Node) recordReportedLimit(m *peer.EndpointNotice) {
	endpoint := registration.Incarnation{ID: m.Endpoint, StartMilli: m.StartMilli}
	switch {
	case m.Limit != nil:
		n.placer.nameLimit(endpoint, *m.Limit)
	case m.Unlimited:
		n.placer.liftLimit(endpoint, clock.Now().Add(-m.SentAge))
	}
	n.recordReportedBrittle(m)
}

// nameLimit records a limit that an endpoint has named, and reports whether it is to be reported: when it is new, and from time to time.
func (p *placer) nameLimit(endpoint registration.Incarnation, perSecond float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	report := false
	for service, pool := range p.pools {
		e, known := pool.NameLimit(now, endpoint, perSecond)
		if e == nil {
			continue
		}
		p.limited.Store(true)
		due := e.ReportDue(now)
		report = report || due || !known
		if !known {
			p.node.log.Info(event.EndpointLimitChanged, "endpoint named another limit", zap.String("endpoint", endpoint.ID),
				zap.String("service", service), zap.Bool("limited", true), zap.Float64("per_second", perSecond))
		}
	}
	return report
}

// liftLimit records that an endpoint has named no limit in the answer to a request that was sent at an instant, and reports whether that ends
// one.
func (p *placer) liftLimit(endpoint registration.Incarnation, sentAt clock.Instant) bool {
	if !p.limited.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	lifted := false
	now := clock.Now()
	for service, pool := range p.pools {
		if !pool.LiftLimit(now, endpoint, sentAt) {
			continue
		}
		lifted = true
		p.node.log.Info(event.EndpointLimitChanged, "endpoint names no limit any more", zap.String("endpoint", endpoint.ID),
			zap.String("service", service), zap.Bool("limited", false))
		p.grantWaiting(pool, now)
	}
	return lifted
}

// limitsInForce returns the endpoints that have named a limit, with their requests per second.
func (p *placer) limitsInForce(now clock.Instant) map[registration.Incarnation]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make(map[registration.Incarnation]float64)
	for _, pool := range p.pools {
		for endpoint, perSecond := range pool.LimitsInForce(now) {
			list[endpoint] = perSecond
		}
	}
	return list
}

// limitsPeriod is how often an entry is sent the limits in force: several times before it would forget them.
const limitsPeriod = 5 * time.Second

// limitsFor returns the limits in force for an entry, unless it was sent them lately. An entry may not hear from a limited endpoint itself for
// longer than it remembers a limit, and would place calls there by itself again.
func (p *placer) limitsFor(now clock.Instant, entry string) []peer.EndpointNotice {
	inForce := p.sharedNotices(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	if sentAt, sent := p.limitsSentAt[entry]; len(inForce) == 0 || sent && now.Before(sentAt.Add(limitsPeriod)) {
		return nil
	}
	p.limitsSentAt[entry] = now
	return inForce
}

// sharedNotices returns messages for what endpoints say to take from all entries together.
func (p *placer) sharedNotices(now clock.Instant) []peer.EndpointNotice {
	var list []peer.EndpointNotice
	if p.limited.Load() {
		list = limitNotices(p.limitsInForce(now))
	}
	if p.brittle.Load() {
		list = append(list, brittleNotices(p.brittleEndpoints(now))...)
	}
	return list
}

// limitNotices returns messages for limits.
func limitNotices(inForce map[registration.Incarnation]float64) []peer.EndpointNotice {
	list := make([]peer.EndpointNotice, 0, len(inForce))
	for endpoint, perSecond := range inForce {
		list = append(list, peer.EndpointNotice{Endpoint: endpoint.ID, StartMilli: endpoint.StartMilli, Limit: &perSecond})
	}
	return list
}

// limits reports whether an endpoint of a service has named a limit that is in force.
func (p *placer) limits(service string) bool {
	if !p.limited.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pool(service).LimitsInForce(clock.Now())) > 0
}

// countLimits counts the endpoints that have named a limit, and those that are brittle; the caller holds the lock.
func (p *placer) countLimits(now clock.Instant) {
	total := 0
	for service, pool := range p.pools {
		limited := len(pool.LimitsInForce(now))
		p.node.metrics.Limited.WithLabelValues(service).Set(float64(limited))
		total += limited
	}
	p.limited.Store(total > 0)
	brittle := 0
	for _, pool := range p.pools {
		brittle += len(pool.Brittle(now))
	}
	p.brittle.Store(brittle > 0)
	p.node.metrics.Brittle.Set(float64(brittle))
}
