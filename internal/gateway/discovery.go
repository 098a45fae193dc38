package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/coordination/registry"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
	"gypsumvale/internal/state/registration"
)

// discovery holds the endpoints' registrations.
type discovery struct {
	node   *Node
	loaded atomic.Bool

	// applying is held while registrations are applied, so that those read first don't replace later ones in the placement.
	applying sync.Mutex
	// reportedUnreadable holds, by key, the revisions of undecodable items that have been logged.
	reportedUnreadable map[string]kv.Revision

	mu   sync.Mutex
	view *registry.View
	// catalog holds the registrations last read, heldRevision is their revision, and readAt is when they were read.
	catalog      *registry.Catalog
	heldRevision kv.Revision
	readAt       clock.Instant
	// changeSource is the incarnation of the relay whose changes are applied, and changeNumber is the number of the last one.
	changeSource string
	changeNumber uint64
	// unapplied is true if the catalog has been changed by changes that didn't match, and isn't in effect.
	unapplied bool
	// wantsAll is true if the next query has to ask for all registrations, since those held come from an earlier release and lack the software
	// versions that the relay can name.
	wantsAll bool
}

func newDiscovery(n *Node) *discovery {
	return &discovery{node: n, view: registry.NewView(), catalog: registry.NewCatalog(), reportedUnreadable: make(map[string]kv.Revision)}
}

// applyListing applies the registrations returned by a call sent at the given instant, skipping undecodable ones, and reports whether the
// set of usable endpoints changed.
func (d *discovery) applyListing(sent clock.Instant, revision kv.Revision, items []kv.Item) bool {
	d.applying.Lock()
	defer d.applying.Unlock()
	n := d.node
	list := make([]*registration.Registration, 0, len(items))
	for _, item := range items {
		r, err := n.deps.Schema.Registration(item)
		if err == nil {
			list = append(list, r)
			continue
		}
		if d.reportedUnreadable[item.Key] != item.Revision {
			n.log.Warn(event.RegistrationInvalid, "invalid registration skipped", zap.Error(err))
		}
		d.reportedUnreadable[item.Key] = item.Revision
	}
	d.mu.Lock()
	d.changeSource = ""
	if newest := revision >= d.heldRevision; newest && (d.catalog.Replace(list) || d.unapplied) || !d.loaded.Load() {
		list = d.catalog.List()
		d.unapplied = false
	} else {
		list = nil
	}
	d.mu.Unlock()
	changed := d.activate(sent, revision, list)
	d.confirm(sent)
	return changed
}

// activate puts a list into effect that was current at the instant readAt, and reports whether the set of usable endpoints changed; a nil list
// is one without changes.
func (d *discovery) activate(readAt clock.Instant, revision kv.Revision, list []*registration.Registration) bool {
	n := d.node
	if previous := d.listedAt(); previous != 0 {
		n.origins.recordGap(previous, clock.Now())
	}
	d.mu.Lock()
	d.heldRevision = max(d.heldRevision, revision)
	if list == nil {
		d.view.RecordRead(clock.Now(), revision)
		d.mu.Unlock()
		return false
	}
	changes := d.view.Replace(clock.Now(), revision, list)
	snapshot := d.view.Snapshot()
	d.mu.Unlock()
	for _, c := range changes {
		n.log.Info(event.RegistrationChanged, "endpoint "+c.Kind.String(), zap.String("endpoint", c.Registration.ID),
			zap.String("service", c.Registration.Service), zap.String("address", c.Registration.Address), zap.Uint64("revision", revision.Number()))
		if c.Kind == registry.Restarted {
			n.upstreams.CloseIdle(c.Registration.Address)
			n.recordRestart(c.Registration)
		}
	}
	d.loaded.Store(true)
	n.placer.setEndpoints(readAt, snapshot)
	return len(changes) > 0
}

// confirm records that the list was current as of an instant. If endpoints are in use only because the store has just recovered, the list
// is applied again, so that those whose registrations don't return are removed in time.
func (d *discovery) confirm(sent clock.Instant) {
	d.mu.Lock()
	d.readAt = max(d.readAt, sent)
	d.view.Confirm(sent)
	readAt := d.readAt
	defer d.node.recordListing(sent)
	if !d.view.HasMissing() {
		d.mu.Unlock()
		d.node.placer.confirmRegistrations(readAt)
		return
	}
	list, revision := d.catalog.List(), d.heldRevision
	d.mu.Unlock()
	d.activate(readAt, revision, list)
}

// listedAt returns when the registrations in use were current, or zero before the first read.
func (d *discovery) listedAt() clock.Instant {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.readAt
}

func (d *discovery) revision() kv.Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.heldRevision
}

// snapshot returns the endpoints that may receive new requests, by service.
func (d *discovery) snapshot() map[string][]*registration.Registration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Snapshot()
}

// leaving returns the registered endpoints that leave.
func (d *discovery) leaving() []*registration.Registration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Leaving()
}

// addresses returns the addresses of all usable endpoints.
func (d *discovery) addresses() map[string]bool {
	used := make(map[string]bool)
	for _, list := range d.snapshot() {
		for _, r := range list {
			used[r.Address] = true
		}
	}
	return used
}

// fillQuery states in a query to a relay which registrations are held here.
func (d *discovery) fillQuery(query *peer.SyncRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	query.RegistrationsDigest, query.Source, query.Number = d.catalog.Sum(), d.changeSource, d.changeNumber
	query.WarmupDigest = d.catalog.WarmupSum()
	if d.wantsAll {
		query.RegistrationsDigest, query.Number = 0, 0
	}
}

// applyRelayed applies what a relay knows of the registrations; its ages hold as of the given instant or later. The store's revision
// doesn't advance when a registration's lease expires, so among lists of the same revision the one read last is used.
func (d *discovery) applyRelayed(asOf clock.Instant, update *peer.SyncReply) {
	d.applying.Lock()
	defer d.applying.Unlock()
	readAt := asOf.Add(-update.Age)
	revision := kv.Revision(update.RegistrationsRevision)
	d.mu.Lock()
	if revision < d.heldRevision || revision == d.heldRevision && readAt < d.readAt {
		d.mu.Unlock()
		return
	}
	var list []*registration.Registration
	if update.Changes != nil {
		d.changeSource, d.changeNumber = update.Run, update.Changes.Number
		if !d.catalog.Apply(update.Changes) {
			// The changes apply to a different state than the one held here; the next query requests everything.
			d.changeSource, d.unapplied = "", true
			d.mu.Unlock()
			return
		}
		list = d.catalog.List()
	} else if d.unapplied {
		list = d.catalog.List()
	}
	d.unapplied = false
	d.wantsAll = update.NamesSoftware && d.catalog.LacksSoftware()
	d.mu.Unlock()
	d.activate(readAt, revision, list)
	d.confirm(readAt)
}

// changesSince returns the revision of the registrations, the differences from those that a querying peer holds, and the age of the data.
func (d *discovery) changesSince(
	now clock.Instant, query *peer.SyncRequest, incarnation string,
) (uint64, *registry.Changes, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	age := now.Sub(d.readAt)
	if query.RegistrationsDigest == d.catalog.Sum() && (query.WarmupDigest == 0 || query.WarmupDigest == d.catalog.WarmupSum()) {
		return uint64(d.heldRevision), nil, age
	}
	number := uint64(0)
	if query.Source == incarnation {
		number = query.Number
	}
	changes := d.catalog.Since(number)
	return uint64(d.heldRevision), &changes, age
}

// listed returns the start times of the endpoints that are listed now, in Unix milliseconds.
func (d *discovery) listed() map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	started := make(map[string]int64)
	for _, r := range d.catalog.List() {
		started[r.ID] = r.StartMilli
	}
	return started
}

// registration returns the registration of an endpoint, or nil.
func (d *discovery) registration(id string) *registration.Registration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Registration(id)
}

// software returns the software version of an endpoint that is registered with the incarnation of a choice, or an empty string.
func (d *discovery) software(choice *placement.Choice) string {
	r := d.registration(choice.Endpoint)
	if r == nil || choice.StartMilli != 0 && choice.StartMilli != r.StartMilli {
		return choice.Software
	}
	return r.Software
}
