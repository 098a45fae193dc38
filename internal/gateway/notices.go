package gateway

import (
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/notice"
	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/exchange"
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
	// inForce is false while the table is empty.
	inForce atomic.Bool

	mu    sync.Mutex
	table *notice.Table
}

func newNotices(n *Node) *notices { return &notices{node: n, table: notice.NewTable()} }

// Empty reports whether no endpoint has said anything that is in force.
func (t *notices) Empty() bool { return !t.inForce.Load() }

// Check returns why an endpoint gets no requests from an entry, and the end of its pause if it is paused.
func (t *notices) Check(now clock.Instant, entry string, endpoint registration.Incarnation) (notice.Reason, clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Check(now, entry, endpoint)
}

// permit returns a *barredError if this entry may not send requests to an endpoint now.
func (t *notices) permit(endpoint registration.Incarnation) error {
	if t.Empty() {
		return nil
	}
	if reason, _ := t.Check(clock.Now(), t.node.incarnation, endpoint); reason != notice.None {
		return &barredError{reason}
	}
	return nil
}

// leaves reports whether an incarnation of an endpoint has said that it leaves.
func (t *notices) leaves(endpoint registration.Incarnation) bool {
	if t.Empty() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Leaves(endpoint)
}

// record records what an answer says of the endpoint that sent it, which is the expected one unless the answer names another.
func (t *notices) record(expected registration.Incarnation, reply *exchange.Reply) {
	if !reply.Leaving {
		return
	}
	endpoint := expected
	if reply.Endpoint != "" && reply.Endpoint != expected.ID {
		endpoint = t.node.discovery.incarnation(reply.Endpoint)
	}
	t.recordLeaving(endpoint)
}

func (t *notices) recordLeaving(endpoint registration.Incarnation) {
	t.mu.Lock()
	unknown := t.table.RecordLeaving(endpoint)
	t.inForce.Store(true)
	t.mu.Unlock()
	if unknown {
		t.node.log.Info(event.EndpointLeaves, "endpoint says that it leaves", zap.String("endpoint", endpoint.ID),
			zap.Int64("started", endpoint.StartMilli))
	}
}

// sweep forgets what is no longer in force.
func (t *notices) sweep(now clock.Instant) {
	if t.Empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Sweep(now, func(e registration.Incarnation) bool { return t.node.discovery.incarnation(e.ID) == e })
	t.inForce.Store(!t.table.Empty())
}

// avoidLeaving adds the chosen endpoint to those that a request avoids if it has said that it leaves: the instance that chose it may not know.
func (t *notices) avoidLeaving(req *placement.Request, endpoint registration.Incarnation) {
	if t.leaves(endpoint) {
		req.Avoid = append(req.Avoid, endpoint.ID)
	}
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
