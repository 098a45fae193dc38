package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/evacuation"
	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
)

// evacuationRetryDelay is the Retry-After delay while all zones of a service are evacuated. Evacuations take minutes, so that callers that
// return sooner only add load.
const evacuationRetryDelay = 2 * time.Second

// evacuatedError is returned when a request is not sent to an endpoint because its zone is evacuated.
type evacuatedError struct{ zone string }

// Error describes the reason.
func (e *evacuatedError) Error() string {
	if e.zone == "" {
		return "zone of the endpoint is unknown while others are evacuated"
	}
	return "zone " + e.zone + " is evacuated"
}

// evacuations guards the set of evacuated zones.
type evacuations struct {
	node *Node
	// inForce holds the evacuated zones, or nil while there are none, so that placement and sending don't wait for the lock. The map is never
	// changed.
	inForce atomic.Pointer[map[string]bool]
	// unrelayed is true while the relay in use doesn't send the set, as one of an earlier release.
	unrelayed atomic.Bool

	mu  sync.Mutex
	set *evacuation.Set
	// running counts the requests of this instance by the zone of the endpoint that runs them.
	running map[string]int
	// nameless is the revision of the last key without a zone that has been logged.
	nameless kv.Revision
}

func newEvacuations(n *Node) *evacuations {
	return &evacuations{node: n, set: evacuation.NewSet(), running: make(map[string]int)}
}

// Empty reports whether no zone is evacuated.
func (e *evacuations) Empty() bool { return e.inForce.Load() == nil }

// Evacuated reports whether the endpoints of a zone get no requests.
func (e *evacuations) Evacuated(zone string) bool {
	zones := e.inForce.Load()
	return zones != nil && (*zones)[zone]
}

// EndedAt returns when the last evacuation of a zone ended, as far as known here, and false if the zone is evacuated or no end is known.
func (e *evacuations) EndedAt(zone string) (clock.Instant, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.set.EndedAt(zone)
}

// permit returns an *evacuatedError if no request may be sent to the endpoint of a choice. An instance of an earlier release doesn't name the
// endpoint's zone, and the endpoint may not be registered here.
func (e *evacuations) permit(choice *placement.Choice) error {
	if e.Empty() {
		return nil
	}
	registered, known := e.node.discovery.zone(choice.Endpoint)
	switch {
	case choice.Zone != "" && e.Evacuated(choice.Zone):
		return &evacuatedError{choice.Zone}
	case known && e.Evacuated(registered):
		return &evacuatedError{registered}
	case choice.Zone == "" && !known:
		return &evacuatedError{}
	}
	return nil
}

// zone returns the zone of an endpoint, and whether the endpoint is registered.
func (d *discovery) zone(id string) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.view.Registration(id); r != nil {
		return r.Zone, true
	}
	return "", false
}

// withheld returns the reason why nothing was sent in an attempt: a *barredError, an *evacuatedError or a *regionError. It is nil if there is
// none.
func withheld(err error) error {
	if barred := (*barredError)(nil); errors.As(err, &barred) {
		return barred
	}
	if evacuated := (*evacuatedError)(nil); errors.As(err, &evacuated) {
		return evacuated
	}
	if outside := (*regionError)(nil); errors.As(err, &outside) {
		return outside
	}
	return nil
}

// begin counts a request that an endpoint runs until the returned function is called.
func (e *evacuations) begin(choice *placement.Choice) (end func()) {
	zone := choice.Zone
	if zone == "" {
		zone, _ = e.node.discovery.zone(choice.Endpoint)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[zone]++
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.running[zone]--; e.running[zone] == 0 {
			delete(e.running, zone)
		}
	}
}

// applyListing applies the operator's items as returned by a call sent at an instant, and reports whether the set changed.
func (e *evacuations) applyListing(sent clock.Instant, revision kv.Revision, operator []kv.Item) bool {
	reading := evacuation.Reading{Revision: revision, ReadAt: sent, Zones: make(map[string]clock.Instant)}
	for _, item := range operator {
		if zone, ok := e.zoneOf(item); ok {
			reading.Zones[zone] = 0
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unrelayed.Store(false)
	return e.record(e.set.Merge(clock.Now(), &reading))
}

// zoneOf returns the zone that an item marks as evacuated, and whether it marks any. A key without a name is logged once.
func (e *evacuations) zoneOf(item kv.Item) (string, bool) {
	zone, ok := e.node.deps.Schema.EvacuatedZone(item.Key)
	if !ok || zone != "" {
		return zone, ok
	}
	e.mu.Lock()
	logged := e.nameless == item.Revision
	e.nameless = item.Revision
	e.mu.Unlock()
	if !logged {
		e.node.log.Warn(event.TableInvalid, "evacuation without the name of a zone ignored", zap.String("key", item.Key),
			zap.Uint64("revision", item.Revision.Number()))
	}
	return "", false
}

// applyRelayed applies what a relay knows; its ages hold as of the given instant or later.
func (e *evacuations) applyRelayed(asOf clock.Instant, update *peer.SyncReply) {
	e.unrelayed.Store(update.Evacuated == nil)
	if update.Evacuated != nil {
		e.applyPeer(asOf, update.Evacuated)
		return
	}
	for _, item := range peer.StoreItems(update.OperatorItems) {
		if zone, ok := e.zoneOf(item); ok {
			e.add(asOf, zone, item.Revision)
		}
	}
}

// add adds a zone that a relay of an earlier release has as an item of the operator's. That it was removed doesn't show there.
func (e *evacuations) add(asOf clock.Instant, zone string, revision kv.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	last, _ := e.set.Last()
	if revision <= last.Revision {
		return
	}
	reading := evacuation.Reading{Revision: revision, ReadAt: asOf, Zones: map[string]clock.Instant{zone: 0}}
	for held, since := range last.Zones {
		reading.Zones[held] = since
	}
	e.record(e.set.Merge(clock.Now(), &reading))
}

// readsAlone reports whether this instance must read the store because the relay doesn't tell when an evacuation ends.
func (e *evacuations) readsAlone() bool { return e.unrelayed.Load() && !e.Empty() }

// applyPeer applies the set that a peer holds, which is nil if it doesn't know any; its ages hold as of the given instant or later.
func (e *evacuations) applyPeer(asOf clock.Instant, held *peer.EvacuatedZones) {
	if held == nil {
		return
	}
	reading := evacuation.Reading{
		Revision: kv.Revision(held.Revision), ReadAt: asOf.Add(-held.Age), Zones: make(map[string]clock.Instant),
	}
	for _, z := range held.Zones {
		if z.Remaining == 0 {
			reading.Zones[z.Name] = asOf.Add(-z.Age)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := clock.Now()
	e.record(e.set.Merge(now, &reading))
	for _, z := range held.Zones {
		if z.Remaining > 0 {
			e.record(e.set.Retain(now, z.Name, asOf.Add(-z.Age), asOf.Add(min(z.Remaining, evacuation.RewriteTime))))
		}
	}
}

// forPeer returns the set for a peer, or nil before the first read.
func (e *evacuations) forPeer(now clock.Instant) *peer.EvacuatedZones {
	e.mu.Lock()
	defer e.mu.Unlock()
	last, known := e.set.Last()
	if !known {
		return nil
	}
	held := &peer.EvacuatedZones{Revision: uint64(last.Revision), Age: now.Sub(last.ReadAt)}
	for _, z := range e.set.Zones() {
		zone := peer.EvacuatedZone{Name: z.Name, Age: now.Sub(z.Since)}
		if z.RetainedUntil != 0 {
			zone.Remaining = max(1, z.RetainedUntil.Sub(now))
		}
		held.Zones = append(held.Zones, zone)
	}
	return held
}

// readRevision returns the revision of the store as of the newest reading, or zero if there is none.
func (e *evacuations) readRevision() kv.Revision {
	e.mu.Lock()
	defer e.mu.Unlock()
	last, _ := e.set.Last()
	return last.Revision
}

// record puts changes into effect and logs them, and reports whether there are any; the caller holds the lock.
func (e *evacuations) record(changes []evacuation.Change) bool {
	if len(changes) == 0 {
		return false
	}
	n := e.node
	last, _ := e.set.Last()
	for _, c := range changes {
		n.log.Warn(event.ZoneEvacuationChanged, "evacuation "+c.Kind.String(), zap.String("zone", c.Zone),
			zap.Bool("evacuated", c.Kind != evacuation.Ended), zap.Bool("retained", c.Kind == evacuation.Retained),
			zap.Uint64("revision", last.Revision.Number()), zap.Int("running", e.running[c.Zone]))
		if c.Kind == evacuation.Ended {
			n.metrics.Evacuated.DeleteLabelValues(c.Zone)
			n.metrics.EvacuatedRunning.DeleteLabelValues(c.Zone)
			// Before the zone is used again: its endpoints may have become cold meanwhile.
			n.placer.doubtZone(c.Zone)
		}
	}
	zones := make(map[string]bool)
	for _, z := range e.set.Zones() {
		zones[z.Name] = true
	}
	if len(zones) == 0 {
		e.inForce.Store(nil)
	} else {
		e.inForce.Store(&zones)
	}
	e.updateMetrics(clock.Now())
	return true
}

// updateMetrics shows since when zones are evacuated and what still runs there; the caller holds the lock.
func (e *evacuations) updateMetrics(now clock.Instant) {
	for _, z := range e.set.Zones() {
		e.node.metrics.Evacuated.WithLabelValues(z.Name).Set(now.Sub(z.Since).Seconds())
		e.node.metrics.EvacuatedRunning.WithLabelValues(z.Name).Set(float64(e.running[z.Name]))
	}
}

// sweep ends what is retained no longer, and updates the metrics.
func (e *evacuations) sweep(now clock.Instant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record(e.set.Advance(now))
	e.updateMetrics(now)
}
