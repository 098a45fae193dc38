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

// infer runs a step of the inference, and reports the crashes that it counts or retracts. They are counted and numbered under the same lock as
// the step, since a retraction must not precede what it takes back.
func (n *Node) infer(step func(i *suspect.Inference, now clock.Instant) []suspect.Change) {
	s := n.suspects
	s.mu.Lock()
	changes := step(s.inference, clock.Now())
	messages := make([]crashMessage, 0, len(changes))
	for i := range changes {
		c := &changes[i]
		if c.Retracted {
			s.retract(c.Endpoint, c.First, c.Last, "", c.Alive)
			messages = append(messages, crashMessage{change: c, retraction: n.crashRetraction(c)})
			continue
		}
		for k := range c.Exchanges {
			b := &c.Exchanges[k]
			counted := s.count(c.Endpoint, b, "")
			if counted.isNew || b.Chargeable() {
				messages = append(messages, crashMessage{change: c, counted: counted, report: n.crashReport(c.Endpoint, b)})
			}
		}
	}
	s.mu.Unlock()
	for i := range messages {
		messages[i].log(n)
	}
	// A peer that reads slowly must not delay the attribution of the other exchanges.
	for i := range messages {
		messages[i].send(n)
	}
}

// crashMessage tells peers of a crash that is counted against an exchange, or of one that is retracted.
type crashMessage struct {
	change     *suspect.Change
	counted    countedCrash
	report     *peer.CrashReport
	retraction *peer.CrashRetraction
}

func (m *crashMessage) log(n *Node) {
	if m.retraction != nil {
		n.log.Info(event.CrashRetracted, "what was taken for a crash of the endpoint was none, or may be that of its zone's network",
			zap.String("endpoint", m.change.Endpoint), zap.Bool("alive", m.change.Alive), zap.Int64("broken_ms", m.retraction.FirstAge.Milliseconds()))
		return
	}
	b := m.counted.exchange
	n.log.Warn(event.EndpointCrashed, "endpoint crashed with a request in flight", zap.String("endpoint", m.change.Endpoint),
		zap.String("digest", b.Digest), zap.Bool("head", b.Answering), zap.Bool("begun", b.Begun), zap.Strings("shared", b.Parts),
		zap.Int64("broken_ms", m.report.BrokenAge.Milliseconds()))
	n.announceAttribution(&m.counted)
}

func (m *crashMessage) send(n *Node) {
	switch {
	case m.report != nil:
		n.notifyPeers(peer.KindCrashReport, m.report)
	case !m.change.Known:
		n.notifyPeers(peer.KindCrashRetraction, m.retraction)
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
	case ctx.Err() != nil, n.links.awaitCheck(ctx):
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

// countedCrash is what came of counting a crash against a broken exchange.
type countedCrash struct {
	endpoint string
	exchange *suspect.BrokenExchange
	// isNew is true if the crash had not been counted against the request before.
	isNew bool
	// blocked are the combinations of parts that are blocked from now on, and suspected the suspected parts of the prompt.
	blocked   [][]string
	suspected []string
}

// count counts a crash against a request and, if its answer had not begun, against the parts of its prompt, as this instance or a witness has
// found. The caller holds the lock.
func (s *suspects) count(endpoint string, b *suspect.BrokenExchange, witness string) countedCrash {
	now := clock.Now()
	c := countedCrash{endpoint: endpoint, exchange: b}
	c.isNew = s.table.RecordReport(time.Now().Add(-now.Sub(b.BrokenAt)), b.Digest, endpoint, witness)
	if b.Chargeable() {
		t := s.service(b.Service)
		c.blocked = t.RecordCrash(now, endpoint, b.BrokenAt, b.Exchange)
		_, c.suspected = t.Check(now, b.Parts)
	}
	return c
}

// retract takes back the crashes of an endpoint that broke exchanges between two instants, as a witness has reported them or any has. The caller
// holds the lock.
func (s *suspects) retract(endpoint string, first, last clock.Instant, witness string, all bool) {
	now, wall := clock.Now(), time.Now()
	s.table.Retract(endpoint, wall.Add(-now.Sub(first)), wall.Add(-now.Sub(last)), witness, all)
	for _, t := range s.parts {
		t.Retract(endpoint, first, last, witness, all)
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

// crashRetraction takes back what was reported of an endpoint's crash.
func (n *Node) crashRetraction(c *suspect.Change) *peer.CrashRetraction {
	now := clock.Now()
	return &peer.CrashRetraction{
		Endpoint: c.Endpoint, FirstAge: now.Sub(c.First), LastAge: now.Sub(c.Last), Alive: c.Alive, Number: n.lastReport.Add(1),
	}
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
	s := n.suspects
	s.mu.Lock()
	if s.retractions.Covers(from, r.Endpoint, r.Number) {
		s.mu.Unlock()
		return
	}
	counted := s.count(r.Endpoint, &b, witness)
	s.mu.Unlock()
	n.announceAttribution(&counted)
	if witness != "" {
		n.infer(func(i *suspect.Inference, now clock.Instant) []suspect.Change { return i.Claimed(now, r.Endpoint, &b) })
	}
}

// recordRetraction takes back what a peer has reported.
func (n *Node) recordRetraction(from string, m *peer.CrashRetraction) {
	now := clock.Now()
	s := n.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retractions.Record(now, from, m.Endpoint, m.Number)
	s.retract(m.Endpoint, now.Add(-m.FirstAge), now.Add(-m.LastAge), from, m.Alive)
}
