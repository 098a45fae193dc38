package gateway

import (
	"go.uber.org/zap"

	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/registration"
)

// recordBrittle records whether an endpoint is brittle, as its answer to a request says that was sent at an instant, and tells the leader.
func (n *Node) recordBrittle(endpoint registration.Incarnation, brittle *int, sentAt clock.Instant) {
	m := peer.EndpointNotice{Endpoint: endpoint.ID, StartMilli: endpoint.StartMilli}
	if brittle != nil {
		m.Brittle = brittle
		if n.placer.nameBrittle(endpoint, *brittle) {
			n.reportLimit(&m)
		}
		return
	}
	if n.placer.endBrittle(endpoint, sentAt) {
		m.Sturdy, m.SentAge = true, clock.Now().Sub(sentAt)
		n.reportLimit(&m)
	}
}

// recordReportedBrittle records whether an endpoint has said to another entry that it is brittle.
func (n *Node) recordReportedBrittle(m *peer.EndpointNotice) {
	endpoint := registration.Incarnation{ID: m.Endpoint, StartMilli: m.StartMilli}
	switch {
	case m.Brittle != nil:
		n.placer.nameBrittle(endpoint, *m.Brittle)
	case m.Sturdy:
		n.placer.endBrittle(endpoint, clock.Now().Add(-m.SentAge))
	}
}

// nameBrittle records that an endpoint is brittle, and reports whether it is to be reported: when that is new, and from time to time.
func (p *placer) nameBrittle(endpoint registration.Incarnation, perSecond int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	report := false
	for service, pool := range p.pools {
		r, known := pool.NameBrittle(now, endpoint, perSecond)
		if r == nil {
			continue
		}
		p.brittle.Store(true)
		due := r.ReportDue(now)
		report = report || due || !known
		if !known {
			p.node.log.Info(event.EndpointBrittleChanged, "endpoint is brittle", zap.String("endpoint", endpoint.ID), zap.String("service", service),
				zap.Bool("brittle", true), zap.Int("per_second", perSecond))
		}
	}
	return report
}

// endBrittle records that an endpoint doesn't say to be brittle in the answer to a request that was sent at an instant, and reports whether it was.
func (p *placer) endBrittle(endpoint registration.Incarnation, sentAt clock.Instant) bool {
	if !p.brittle.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	ended := false
	now := clock.Now()
	for service, pool := range p.pools {
		if !pool.EndBrittle(now, endpoint, sentAt) {
			continue
		}
		ended = true
		p.node.log.Info(event.EndpointBrittleChanged, "endpoint isn't brittle any more", zap.String("endpoint", endpoint.ID), zap.String("service", service),
			zap.Bool("brittle", false))
		p.grantWaiting(pool, now)
	}
	return ended
}

// brittleEndpoints returns the brittle endpoints, with the rejections a second that they survive.
func (p *placer) brittleEndpoints(now clock.Instant) map[registration.Incarnation]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make(map[registration.Incarnation]int)
	for _, pool := range p.pools {
		for endpoint, perSecond := range pool.Brittle(now) {
			list[endpoint] = perSecond
		}
	}
	return list
}

// brittleNotices returns messages for brittle endpoints.
func brittleNotices(inForce map[registration.Incarnation]int) []peer.EndpointNotice {
	list := make([]peer.EndpointNotice, 0, len(inForce))
	for endpoint, perSecond := range inForce {
		list = append(list, peer.EndpointNotice{Endpoint: endpoint.ID, StartMilli: endpoint.StartMilli, Brittle: &perSecond})
	}
	return list
}

// needsLeader reports whether requests for a service should be placed by the leader, since one of its endpoints says what it takes from all entries
// together.
func (p *placer) needsLeader(service string) bool {
	if p.limits(service) {
		return true
	}
	if !p.brittle.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pool(service).Brittle(clock.Now())) > 0
}
