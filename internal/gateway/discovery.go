package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/registry"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
	"gypsumvale/internal/state/registration"
)

// discovery holds the endpoints' registrations.
type discovery struct {
	node  *Node
	known atomic.Bool
	// unreadable holds the revisions of items already reported, by key.
	unreadable map[string]kv.Revision

	mu   sync.Mutex
	view *registry.View
	// catalog holds what was read last, held its revision, and read when.
	catalog *registry.Catalog
	held    kv.Revision
	read    clock.Instant
	// source is the relay whose changes are followed, and number that of the last change heard of there.
	source string
	number uint64
}

func newDiscovery(n *Node) *discovery {
	return &discovery{node: n, view: registry.NewView(), catalog: registry.NewCatalog(), unreadable: make(map[string]kv.Revision)}
}

// take puts the registrations in force that were read by a call sent at an instant, passing over those that can't be decoded, and
// reports whether they changed which endpoints may be used.
func (d *discovery) take(sent clock.Instant, revision kv.Revision, items []kv.Item) bool {
	n := d.node
	list := make([]*registration.Registration, 0, len(items))
	for _, item := range items {
		r, err := n.outside.Schema.Registration(item)
		if err == nil {
			list = append(list, r)
			continue
		}
		if d.unreadable[item.Key] != item.Revision {
			n.log.Warn(event.RegistrationInvalid, "registration passed over", zap.Error(err))
		}
		d.unreadable[item.Key] = item.Revision
	}
	d.mu.Lock()
	d.source = ""
	if revision >= d.held && d.catalog.Replace(list) || !d.known.Load() {
		list = d.catalog.List()
	} else {
		list = nil
	}
	d.mu.Unlock()
	changed := d.apply(revision, list)
	d.confirm(sent)
	return changed
}

// apply puts a list in force, and reports whether it changed which endpoints may be used; nil is a list that hasn't changed.
func (d *discovery) apply(revision kv.Revision, list []*registration.Registration) bool {
	n := d.node
	d.mu.Lock()
	d.held = max(d.held, revision)
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
			zap.String("service", c.Registration.Service), zap.String("address", c.Registration.Address), zap.Uint64("revision", uint64(revision)))
		if c.Kind == registry.Restarted {
			n.endpoints.CloseIdle(c.Registration.Address)
			n.noteCrash(c.Registration.ID)
		}
	}
	d.known.Store(true)
	n.placer.setEndpoints(snapshot)
	return len(changes) > 0
}

// confirm notes that the list held as of an instant; the view works endpoints off that are missing since an outage.
func (d *discovery) confirm(sent clock.Instant) {
	d.mu.Lock()
	d.read = max(d.read, sent)
	d.view.Confirm(sent)
	if !d.view.HasMissing() {
		d.mu.Unlock()
		return
	}
	list, revision := d.catalog.List(), d.held
	d.mu.Unlock()
	d.apply(revision, list)
}

func (d *discovery) revision() kv.Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held
}

// snapshot returns the endpoints that may get new work, by service.
func (d *discovery) snapshot() map[string][]*registration.Registration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Snapshot()
}

// addresses returns those of all usable endpoints.
func (d *discovery) addresses() map[string]bool {
	used := make(map[string]bool)
	for _, list := range d.snapshot() {
		for _, r := range list {
			used[r.Address] = true
		}
	}
	return used
}

// describe says in a question which registrations are held here.
func (d *discovery) describe(ask *peer.SyncRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ask.RegistrationsDigest, ask.Source, ask.Number = d.catalog.Sum(), d.source, d.number
}

// hear takes what a relay knows of registrations, told at an instant or later. The store's revision stands still while an entry lapses,
// so that among lists of one revision the one read last counts.
func (d *discovery) hear(told clock.Instant, news *peer.SyncReply) {
	read := told.Add(-news.Age)
	revision := kv.Revision(news.RegistrationsRevision)
	d.mu.Lock()
	if revision < d.held || revision == d.held && read < d.read {
		d.mu.Unlock()
		return
	}
	var list []*registration.Registration
	if news.Changes != nil {
		d.source, d.number = news.Run, news.Changes.Number
		if !d.catalog.Apply(news.Changes) {
			// These were changes of another state; everything is asked for next.
			d.source = ""
			d.mu.Unlock()
			return
		}
		list = d.catalog.List()
	}
	d.mu.Unlock()
	d.apply(revision, list)
	d.confirm(read)
}

// since returns the revision of the registrations and how old they are, and what differs from those that an asking instance holds.
func (d *discovery) since(now clock.Instant, ask *peer.SyncRequest, incarnation string) (uint64, *registry.Changes, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	age := now.Sub(d.read)
	if ask.RegistrationsDigest == d.catalog.Sum() {
		return uint64(d.held), nil, age
	}
	number := uint64(0)
	if ask.Source == incarnation {
		number = ask.Number
	}
	changes := d.catalog.Since(number)
	return uint64(d.held), &changes, age
}
