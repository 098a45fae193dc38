package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/notice"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/exchange"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/registration"
)

// barredError is returned when a request is not sent to an endpoint because of what the endpoint has said of itself.
type barredError struct{ reason notice.Reason }

// Error describes the reason.
func (e *barredError) Error() string {
	return "endpoint takes no requests of this entry: " + e.reason.String()
}

// notices guards the table of what endpoints have said of themselves.
type notices struct {
	node *Node
	// inForce is false while the table has no pause and no incarnation that is registered, as of the last sweep, so that the placement, which
	// asks for each endpoint, doesn't wait for the lock.
	inForce atomic.Bool

	mu    sync.Mutex
	table *notice.Table
	// reportedTo is the leader that has been told everything, or empty.
	reportedTo string
}

func newNotices(n *Node) *notices { return &notices{node: n, table: notice.NewTable()} }

// Empty reports whether no registered endpoint has said anything that is in force. An endpoint that is listed again may be missed until it is
// chosen.
func (t *notices) Empty() bool { return !t.inForce.Load() }

// Check returns why an endpoint gets no requests from an entry, and the end of its pause if it is paused.
func (t *notices) Check(now clock.Instant, entry string, endpoint registration.Incarnation) (notice.Reason, clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Check(now, entry, endpoint)
}

// permit returns a *barredError if this entry may not send requests to an endpoint now.
func (t *notices) permit(endpoint registration.Incarnation) error {
	reason, _ := t.Check(clock.Now(), t.node.incarnation, endpoint)
	if reason == notice.None {
		return nil
	}
	t.inForce.Store(true)
	return &barredError{reason}
}

// leaves reports whether an incarnation of an endpoint has said that it leaves.
func (t *notices) leaves(endpoint registration.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Leaves(endpoint)
}

// record records what an answer says of the endpoint that sent it, which is the expected one unless the answer names another.
func (t *notices) record(expected registration.Incarnation, reply *exchange.Reply) {
	if !reply.Leaving && reply.Pause == 0 && reply.InvalidPause == "" && reply.WarmupTime == nil {
		return
	}
	n := t.node
	endpoint := n.respondent(expected, reply)
	left := time.Duration(0)
	if reply.WarmupTime != nil && n.placer.recordWarmup(endpoint, *reply.WarmupTime) {
		left = *reply.WarmupTime
	}
	if reply.InvalidPause != "" {
		n.log.Warn(event.EndpointPauseInvalid, "endpoint asked for an invalid pause", zap.String("endpoint", endpoint.ID),
			zap.String("value", truncate(reply.InvalidPause, maxLoggedValue)), zap.Int64("pause_ms", reply.Pause.Milliseconds()))
	}
	news := reply.Leaving && t.recordLeaving(endpoint)
	news = t.recordPause(n.incarnation, endpoint.ID, reply.Pause) || news
	news = news || left > 0
	if leader := n.members.owner(); news && leader != "" && leader != n.cfg.Name {
		n.notify(leader, peer.KindEndpointNotice, peer.EndpointNotice{
			Endpoint: endpoint.ID, StartMilli: endpoint.StartMilli, Leaving: reply.Leaving, Pause: reply.Pause, WarmupTime: left,
		})
	}
}

// recordReported records what an endpoint has said to another entry.
func (t *notices) recordReported(entry string, m *peer.EndpointNotice) {
	if m.Leaving {
		t.recordLeaving(registration.Incarnation{ID: m.Endpoint, StartMilli: m.StartMilli})
	}
	if m.WarmupTime > 0 {
		t.node.placer.recordWarmup(registration.Incarnation{ID: m.Endpoint, StartMilli: m.StartMilli}, m.WarmupTime)
	}
	t.recordPause(entry, m.Endpoint, m.Pause)
	t.node.recordReportedLimit(m)
}

// unreported returns everything that is in force, unless the leader has been told so before.
func (t *notices) unreported(now clock.Instant, leader string) []peer.EndpointNotice {
	if t.Empty() && !t.node.placer.limited.Load() && !t.node.placer.brittle.Load() {
		return nil
	}
	t.mu.Lock()
	if t.reportedTo == leader {
		t.mu.Unlock()
		return nil
	}
	leaving, pauses := t.table.Leaving(), t.table.Pauses(now, t.node.incarnation)
	t.mu.Unlock()
	var list []peer.EndpointNotice
	for _, e := range leaving {
		if t.node.discovery.incarnation(e.ID) == e {
			list = append(list, peer.EndpointNotice{Endpoint: e.ID, StartMilli: e.StartMilli, Leaving: true})
		}
	}
	for endpoint, until := range pauses {
		list = append(list, peer.EndpointNotice{Endpoint: endpoint, Pause: until.Sub(now)})
	}
	return append(list, t.node.placer.sharedNotices(now)...)
}

// setReported records that a leader has been told everything.
func (t *notices) setReported(leader string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reportedTo = leader
}

// reportAgain has the leader told everything with the next request, since it has chosen an endpoint that wants none.
func (t *notices) reportAgain() { t.setReported("") }

// recordCall records what the answer to a call says, unless the address is that of no endpoint in use.
func (t *notices) recordCall(id, address string, reply *exchange.Reply) {
	if !reply.Leaving && reply.Pause == 0 && reply.InvalidPause == "" && reply.WarmupTime == nil && reply.Limit == nil {
		return
	}
	record := func(endpoint registration.Incarnation) {
		t.record(endpoint, reply)
		if reply.Limit != nil {
			t.node.nameLimit(t.node.respondent(endpoint, reply), *reply.Limit)
		}
	}
	if id != "" {
		record(t.node.discovery.incarnation(id))
		return
	}
	for _, list := range t.node.discovery.snapshot() {
		for _, r := range list {
			if r.Address == address {
				record(r.Incarnation())
			}
		}
	}
}

// pause returns for how much longer an endpoint wants nothing from this entry.
func (t *notices) pause(endpoint registration.Incarnation) time.Duration {
	if t.Empty() {
		return 0
	}
	now := clock.Now()
	if reason, until := t.Check(now, t.node.incarnation, endpoint); reason == notice.Paused {
		return until.Sub(now)
	}
	return 0
}

// minProlongation is by how much an answer must prolong a pause to be logged and reported: many rejections may arrive at once.
const minProlongation = 100 * time.Millisecond

// recordPause records that an endpoint wants no requests from an entry for some time from now on, and reports whether that begins a pause or
// prolongs it noticeably.
func (t *notices) recordPause(entry, endpoint string, pause time.Duration) bool {
	if pause <= 0 {
		return false
	}
	now := clock.Now()
	t.mu.Lock()
	prolonged := t.table.RecordPause(now, entry, endpoint, now.Add(pause))
	t.inForce.Store(true)
	t.mu.Unlock()
	if prolonged < min(minProlongation, pause) {
		return false
	}
	t.node.log.Info(event.EndpointPaused, "endpoint wants no requests for a while", zap.String("endpoint", endpoint),
		zap.String("entry", entry), zap.Int64("pause_ms", pause.Milliseconds()))
	return true
}

// maxLoggedValue is the number of bytes of a header's value that are logged.
const maxLoggedValue = 64

func truncate(text string, n int) string { return text[:min(len(text), n)] }

// recordLeaving records that an incarnation of an endpoint leaves, and reports whether this was unknown.
func (t *notices) recordLeaving(endpoint registration.Incarnation) bool {
	t.mu.Lock()
	unknown := t.table.RecordLeaving(endpoint)
	t.inForce.Store(true)
	t.mu.Unlock()
	if unknown {
		t.node.log.Info(event.EndpointLeaves, "endpoint says that it leaves", zap.String("endpoint", endpoint.ID),
			zap.Int64("started", endpoint.StartMilli))
	}
	return unknown
}

// sweep forgets what is no longer in force, and counts the endpoints that this entry may not use.
func (t *notices) sweep(now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table.Empty() {
		return
	}
	registered := func(e registration.Incarnation) bool { return t.node.discovery.incarnation(e.ID) == e }
	t.table.Sweep(now, registered)
	leaving := 0
	for _, e := range t.table.Leaving() {
		if registered(e) {
			leaving++
		}
	}
	t.inForce.Store(leaving > 0 || t.table.Paused())
	barred := t.node.metrics.Barred
	barred.WithLabelValues(notice.Leaving.String()).Set(float64(leaving))
	barred.WithLabelValues(notice.Paused.String()).Set(float64(len(t.table.Pauses(now, t.node.incarnation))))
}

// incarnation returns the registered incarnation of an endpoint; its start time is zero if none is registered.
func (d *discovery) incarnation(id string) registration.Incarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.view.Registration(id); r != nil {
		return r.Incarnation()
	}
	return registration.Incarnation{ID: id}
}
