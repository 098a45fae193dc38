package gateway

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/suspect"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/registration"
)

// inferenceOf returns what is known of an endpoint for the inference of crashes.
func (n *Node) inferenceOf(endpoint registration.Incarnation) suspect.Endpoint {
	zone, _ := n.discovery.zone(endpoint.ID)
	return suspect.Endpoint{
		ID: endpoint.ID, Zone: zone, StartMilli: endpoint.StartMilli, ZoneUnreachable: n.placer.zoneUnreachable(zone),
	}
}

// infer runs a step of the inference, and reports the crashes that it counts or retracts.
func (n *Node) infer(step func(i *suspect.Inference, now clock.Instant) []suspect.Change) {
	n.suspects.mu.Lock()
	changes := step(n.suspects.inference, clock.Now())
	n.suspects.mu.Unlock()
	for i := range changes {
		if c := &changes[i]; c.Retracted {
			n.retractCrash(c)
		} else {
			n.reportCrash(c)
		}
	}
}

// recordBroken records that an exchange with an endpoint ended prematurely.
func (n *Node) recordBroken(endpoint registration.Incarnation, b *suspect.BrokenExchange) {
	e := n.inferenceOf(endpoint)
	n.infer(func(i *suspect.Inference, now clock.Instant) []suspect.Change { return i.Broke(now, e, *b) })
}

// recordFailedDial records that a connection to an endpoint could not be opened.
func (n *Node) recordFailedDial(endpoint registration.Incarnation, err error) {
	e := n.inferenceOf(endpoint)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	n.infer(func(i *suspect.Inference, now clock.Instant) []suspect.Change { return i.DialFailed(now, e, refused) })
}

// recordSignOfLife records that something came from an endpoint on an exchange that was sent at an instant.
func (n *Node) recordSignOfLife(endpoint registration.Incarnation, sentAt clock.Instant) {
	zone, _ := n.discovery.zone(endpoint.ID)
	e := suspect.Endpoint{ID: endpoint.ID, Zone: zone, StartMilli: endpoint.StartMilli}
	n.infer(func(i *suspect.Inference, now clock.Instant) []suspect.Change { return i.Responded(now, e, sentAt) })
}

// recordReport records a report of an endpoint's incarnation that was requested at an instant.
func (n *Node) recordReport(endpoint registration.Incarnation, requestedAt clock.Instant) {
	n.infer(func(i *suspect.Inference, now clock.Instant) []suspect.Change {
		return i.Reported(now, endpoint.ID, endpoint.StartMilli, requestedAt)
	})
}

// recordRestart records that an endpoint has registered with a new start time, or at another address.
func (n *Node) recordRestart(r *registration.Registration) {
	n.infer(func(i *suspect.Inference, now clock.Instant) []suspect.Change {
		return i.Restarted(now, r.ID, r.StartMilli)
	})
}

// recordListing tells the inference of the registrations that were read at an instant.
func (n *Node) recordListing(readAt clock.Instant) {
	n.suspects.mu.Lock()
	idle := n.suspects.inference.Empty()
	n.suspects.mu.Unlock()
	if idle {
		return
	}
	started := n.discovery.listed()
	n.infer(func(i *suspect.Inference, now clock.Instant) []suspect.Change {
		return i.Listed(now, readAt, func(endpoint string) (int64, bool) {
			startMilli, ok := started[endpoint]
			return startMilli, ok
		})
	})
}

// checkCrash dials an endpoint after an exchange with it broke. The placement avoids an endpoint whose exchanges broke, so that it might be back
// before another request is sent there. It reports whether the exchange counts as broken by a crash.
func (n *Node) checkCrash(ctx context.Context, endpoint registration.Incarnation, address string, b *suspect.BrokenExchange) bool {
	began := clock.Now()
	err := n.upstreams.Probe(ctx, address)
	switch {
	case err == nil:
		n.recordSignOfLife(endpoint, began)
		return false
	case ctx.Err() != nil:
		return false
	}
	n.recordFailedDial(endpoint, err)
	return errors.Is(err, syscall.ECONNREFUSED) && n.suspects.counted(endpoint.ID, b.BrokenAt)
}

// counted reports whether an exchange that broke at an instant counts as broken by a crash.
func (s *suspects) counted(endpoint string, brokenAt clock.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inference.Counted(endpoint, brokenAt)
}

// recordCrash counts a crash against a request, as this instance or a peer has found. It reports whether it is new here.
func (s *suspects) recordCrash(endpoint, digest string, age time.Duration, witness string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.RecordReport(time.Now().Add(-age), digest, endpoint, witness)
}

// retract takes back the crashes of an endpoint that broke exchanges between two instants, as a witness has reported them or any has.
func (s *suspects) retract(endpoint string, first, last clock.Instant, witness string, all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	s.table.Retract(endpoint, time.Now().Add(-now.Sub(first)), time.Now().Add(-now.Sub(last)), witness, all)
	for _, t := range s.parts {
		t.Retract(endpoint, first, last, witness, all)
	}
}

// reportCrash counts an endpoint's crash against the requests that were in flight there, on this instance and on every peer.
func (n *Node) reportCrash(c *suspect.Change) {
	var reports []*peer.CrashReport
	for i := range c.Exchanges {
		b := &c.Exchanges[i]
		age := clock.Now().Sub(b.BrokenAt)
		if counted := n.suspects.recordCrash(c.Endpoint, b.Digest, age, ""); !counted && !b.Chargeable() {
			continue
		}
		n.log.Warn(event.EndpointCrashed, "endpoint crashed with a request in flight", zap.String("endpoint", c.Endpoint),
			zap.String("digest", b.Digest), zap.Bool("head", b.Answering), zap.Bool("begun", b.Begun), zap.Strings("shared", b.Parts),
			zap.Int64("broken_ms", age.Milliseconds()))
		reports = append(reports, n.crashReport(c.Endpoint, b))
		if b.Chargeable() {
			n.attributeCrash(c.Endpoint, b)
		}
	}
	// A peer that reads slowly must not delay the attribution of the other exchanges.
	for _, report := range reports {
		n.notifyPeers(peer.KindCrashReport, report)
	}
}

// crashReport reports a crash that broke an exchange, and charges the parts of its prompt if they may have caused it.
func (n *Node) crashReport(endpoint string, b *suspect.BrokenExchange) *peer.CrashReport {
	now := clock.Now()
	report := &peer.CrashReport{
		Digest: b.Digest, Endpoint: endpoint, BrokenAge: now.Sub(b.BrokenAt), Number: n.lastReport.Add(1), StartMilli: b.StartMilli,
	}
	if b.Chargeable() {
		report.Service, report.Parts, report.Answering, report.SentAge = b.Service, b.Parts, b.Answering, now.Sub(b.SentAt)
	}
	return report
}

// retractCrash takes back what was counted for an endpoint's crash, on this instance and, unless they learn it themselves, on every peer.
func (n *Node) retractCrash(c *suspect.Change) {
	n.suspects.retract(c.Endpoint, c.First, c.Last, "", c.Alive)
	now := clock.Now()
	n.log.Info(event.CrashRetracted, "what was taken for a crash of the endpoint was none, or may be that of its zone's network",
		zap.String("endpoint", c.Endpoint), zap.Bool("alive", c.Alive), zap.Int64("broken_ms", now.Sub(c.First).Milliseconds()))
	if c.Known {
		return
	}
	n.notifyPeers(peer.KindCrashRetraction, &peer.CrashRetraction{
		Endpoint: c.Endpoint, FirstAge: now.Sub(c.First), LastAge: now.Sub(c.Last), Alive: c.Alive, Number: n.lastReport.Add(1),
	})
}

// recordReportedCrash counts a crash that an instance has reported, identified by its incarnation.
func (n *Node) recordReportedCrash(from string, r *peer.CrashReport) {
	witness := from
	if from == n.incarnation {
		witness = ""
	}
	now := clock.Now()
	b := suspect.BrokenExchange{
		Exchange: suspect.Exchange{Parts: r.Parts, Answering: r.Answering, SentAt: now.Add(-r.SentAge), Witness: witness},
		Digest:   r.Digest, Service: r.Service, BrokenAt: now.Add(-r.BrokenAge), StartMilli: r.StartMilli,
	}
	if n.suspects.retracted(from, r) {
		return
	}
	n.suspects.recordCrash(r.Endpoint, r.Digest, r.BrokenAge, witness)
	if len(r.Parts) > 0 {
		n.attributeCrash(r.Endpoint, &b)
	}
	if witness != "" {
		n.infer(func(i *suspect.Inference, now clock.Instant) []suspect.Change { return i.Claimed(now, r.Endpoint, &b) })
	}
}

// retracted reports whether an instance has taken back a report that arrives later.
func (s *suspects) retracted(from string, r *peer.CrashReport) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retractions.Covers(from, r.Endpoint, r.Number)
}

// recordRetraction takes back what a peer has reported.
func (n *Node) recordRetraction(from string, m *peer.CrashRetraction) {
	now := clock.Now()
	n.suspects.mu.Lock()
	n.suspects.retractions.Record(now, from, m.Endpoint, m.Number)
	n.suspects.mu.Unlock()
	n.suspects.retract(m.Endpoint, now.Add(-m.FirstAge), now.Add(-m.LastAge), from, m.Alive)
}
