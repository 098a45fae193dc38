package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/freshness"
	"gypsumvale/internal/coordination/rank"
	"gypsumvale/internal/coordination/source"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
)

const (
	// syncInterval is the minimum time between two queries to a relay, which limits how often a relay without updates is queried.
	syncInterval = 100 * time.Millisecond
	// holdMargin is how much longer than the poll period a relay holds a query open: a poll is late by the time that the read itself
	// takes. A relay that has failed is detected only after this time.
	holdMargin = 150 * time.Millisecond
	// syncTimeout is allowed for a query in addition to its hold time until the reply begins, and without progress from then on;
	// firstSyncTimeout is allowed until the reply to the first query begins, which is held until the relay has read the store.
	syncTimeout      = 300 * time.Millisecond
	firstSyncTimeout = 2 * time.Second
)

// relay is the task by which one entry of a zone polls the store for the others, so that the number of calls grows with zones, not
// entries.
//
// A relay holds a query open until it has read something newer, so that updates arrive at once and few queries are answered without any.
// An entry computes every age from the time at which it sent its query, advanced only by the hold time that the relay reports, so that a
// delay in transit never makes data look newer than it is. A relay that fails, or whose own data is outdated, costs one query; then the
// entry polls the store itself.
type relay struct {
	node *Node

	mu     sync.Mutex
	source *source.Source
	// lastRun and lastSeen are the incarnation and publication number in the relay's last answer.
	lastRun  string
	lastSeen uint64

	// published counts what this entry has read itself; changed is closed at the next publication.
	published uint64
	changed   chan struct{}

	// progressAt is the instant at which a part of a reply last arrived, or a configuration had been adopted.
	progressAt atomic.Int64
}

func newRelay(n *Node) *relay {
	return &relay{node: n, source: source.New(clock.Now()), changed: make(chan struct{})}
}

// limits returns how old a relay's data may be while it replaces this entry's own polling.
func (r *relay) limits() source.Limits {
	bounds := r.node.bounds.Load()
	return source.NewLimits(bounds.MaxLeavingDelay, pollPeriod(bounds))
}

// maxHold is how long a relay may hold a query open until it has read something.
func (r *relay) maxHold() time.Duration { return pollPeriod(r.node.bounds.Load()) + holdMargin }

// readsAllPages reports whether this entry reads all pages of the store: as the relay of its zone, or now and then because no relay's data
// suffices.
func (r *relay) readsAllPages(now clock.Instant) bool {
	name := r.preferred()
	r.mu.Lock()
	defer r.mu.Unlock()
	return name == r.node.cfg.Name || r.source.MayReadAll(now)
}

// isRelay reports whether this entry is the relay of its zone.
func (r *relay) isRelay() bool { return r.preferred() == r.node.cfg.Name }

// recordOwnRead records that this entry has read all pages, or failed to.
func (r *relay) recordOwnRead(now clock.Instant, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.source.RecordOwnRead(now, took)
}

// suffices reports whether the relay's data is new enough that this entry need not poll the store now.
func (r *relay) suffices(now clock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Suffices(now)
}

func (r *relay) run(ctx context.Context) {
	duty.Every(ctx, syncInterval, func(ctx context.Context) {
		name := r.selectPeer()
		if name != "" {
			result := r.sync(ctx, name, r.holdTime(clock.Now()))
			if result == syncPending && r.recentlySelected(name) || ctx.Err() != nil {
				result = syncDone
			}
			r.recordResult(name, result)
		}
		for _, name := range r.dueProbes(clock.Now()) {
			r.recordResult(name, r.sync(ctx, name, 0))
		}
		r.setCurrent(name)
	})
}

// holdTime is for how long the relay in use may hold the next query open.
func (r *relay) holdTime(now clock.Instant) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Hold(now, r.maxHold())
}

func (r *relay) recentlySelected(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.RecentlySelected(clock.Now(), name)
}

// recordResult schedules a probe of a relay that can't be used now, or puts a usable one back into the selection.
func (r *relay) recordResult(name string, result syncResult) {
	_, _, known := r.node.members.peer(name)
	r.mu.Lock()
	defer r.mu.Unlock()
	if result == syncDone || !known {
		r.source.Restore(name)
		return
	}
	r.source.RecordFailure(clock.Now(), name, result != syncFailed)
}

func (r *relay) dueProbes(now clock.Instant) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.DueProbes(now)
}

// setCurrent records which relay is in use, and logs a change.
func (r *relay) setCurrent(name string) {
	r.mu.Lock()
	previous, takesOver := r.source.Select(clock.Now(), name)
	r.mu.Unlock()
	if takesOver {
		r.node.poller.wake()
	}
	if previous != name {
		r.node.log.Info(event.RelayChanged, "relay changed", zap.String("relay", name), zap.String("before", previous))
	}
}

// selectPeer returns the zone's relay, or an empty name if that is this entry or there is none.
func (r *relay) selectPeer() string {
	if name := r.preferred(); name != r.node.cfg.Name {
		return name
	}
	return ""
}

// preferred returns the zone's relay: the first by rank of the candidates that have not failed since they last had new data; empty if
// there is none.
func (r *relay) preferred() string {
	names := r.node.members.relayCandidates(r.node.cfg.Zone)
	r.mu.Lock()
	defer r.mu.Unlock()
	return rank.First("relay", r.source.Usable(names))
}

// syncResult is the outcome of a query to a relay.
type syncResult uint8

const (
	// syncFailed: the relay did not answer, or has not read the store since it was restored.
	syncFailed syncResult = iota
	// syncOutdated: the relay's data is outdated.
	syncOutdated
	// syncPending: the relay's data is outdated, but it is reading the store.
	syncPending
	// syncDone: the relay returned all updates, or has just started.
	syncDone
)

// query returns what a query holds that concerns what the operator wrote.
func (r *relay) query(hold time.Duration) peer.SyncRequest {
	n := r.node
	_, digest, _ := n.members.state()
	query := peer.SyncRequest{
		MaxDelay: hold, Eras: true, OperatorRevision: uint64(n.configuration.syncRevision()), SystemKeysDigest: digest,
		Deltas: true, ConfigurationDigest: n.configuration.texts.Digest(),
	}
	n.discovery.fillQuery(&query)
	return query
}

// exchange sends a query, and applies the reply's part that the operator wrote. The reported ages hold as of the returned time, or an earlier one if
// the reply was delayed. The reply is nil if the query has ended with the returned result.
func (r *relay) exchange(ctx context.Context, name string, query *peer.SyncRequest, timeout time.Duration) (clock.Instant, *peer.SyncReply, syncResult) {
	n := r.node
	network, address, ok := n.members.peer(name)
	if !ok {
		return 0, nil, syncFailed
	}
	ctx, cancel := duty.WithProgress(ctx, timeout, syncTimeout)
	defer cancel()
	duty.NotifyProgress(ctx, r.recordProgress)
	sent := clock.Now()
	var update peer.SyncReply
	if err := network.Call(ctx, name, address, peer.KindSync, query, &update); err != nil {
		n.log.Info(event.QueryFailed, "query to relay failed", zap.String("relay", name), zap.Int64("hold_ms", query.MaxDelay.Milliseconds()),
			zap.Int64("took_ms", clock.Now().Sub(sent).Milliseconds()), zap.Error(err))
		return 0, nil, syncFailed
	}
	if !update.Ready {
		// The relay has just started and is reading the store.
		return 0, nil, syncDone
	}
	asOf := sent.Add(update.Delay)
	n.evacuations.applyRelayed(asOf, &update)
	if kv.Revision(update.RegistrationsRevision).Era() < n.discovery.revision().Era() {
		// The relay has not read the store since it was restored from a copy.
		return 0, nil, syncFailed
	}
	// What the operator wrote is read first, and may be current while the registrations are outdated.
	if !n.configuration.applyRelayed(name, asOf, &update) {
		// The next query is answered with the whole configuration.
		return 0, nil, syncDone
	}
	n.learnTargetVersions(asOf, name, update.TargetVersions)
	return asOf, &update, syncDone
}

func (r *relay) recordProgress() { r.progressAt.Store(int64(clock.Now())) }

// following returns what decides when this entry stops waiting for its relay, or for its own regular read.
func (r *relay) following(now clock.Instant) freshness.Source {
	f := freshness.Source{IsRelay: r.isRelay(), ProgressAt: clock.Instant(r.progressAt.Load()), Position: rank.Position(r.node.cfg.Name)}
	if f.Adopting = r.node.configuration.adopting.Load() > 0; f.Adopting {
		f.ProgressAt = now
	}
	return f
}

// askElsewhere queries the relay of another zone for what the operator wrote.
func (r *relay) askElsewhere(ctx context.Context, timeout time.Duration) {
	zone := rank.First(r.node.cfg.Name, r.node.members.otherZones())
	name := rank.First("relay", r.node.members.relayCandidates(zone))
	if name == "" {
		return
	}
	query := r.query(0)
	query.OperatorOnly = true
	r.exchange(ctx, name, &query, timeout)
}

// sync queries a relay for updates to what is held here.
func (r *relay) sync(ctx context.Context, name string, hold time.Duration) syncResult {
	n := r.node
	timeout := hold + syncTimeout
	if !n.discovery.loaded.Load() {
		timeout = firstSyncTimeout
	}
	query := r.query(hold)
	r.mu.Lock()
	query.Run, query.Seen = r.lastRun, r.lastSeen
	r.mu.Unlock()
	asOf, update, result := r.exchange(ctx, name, &query, timeout)
	if update == nil {
		return result
	}
	if update.SystemKeys != nil {
		n.members.apply(kv.Revision(update.Revision), peer.StoreItems(update.SystemKeys))
	}
	r.mu.Lock()
	r.lastRun, r.lastSeen = update.Run, update.Seen
	r.mu.Unlock()
	maxAge := r.limits().MaxAge(update.ReadsStore)
	if update.Age > maxAge {
		if update.ReadsStore {
			return syncPending
		}
		return syncOutdated
	}
	n.discovery.applyRelayed(asOf, update)
	r.mu.Lock()
	r.source.RecordData(asOf.Add(-update.Age), maxAge)
	r.mu.Unlock()
	return syncDone
}

// publish records that this entry has read something, and releases the queries held open for it.
func (r *relay) publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.published++
	close(r.changed)
	r.changed = make(chan struct{})
}

// waitForChange waits until this entry has read something that the peer hasn't seen, at most for the peer's hold time.
func (r *relay) waitForChange(ctx context.Context, query *peer.SyncRequest) {
	r.mu.Lock()
	changed, seen := r.changed, query.Run == r.node.incarnation && query.Seen == r.published
	r.mu.Unlock()
	if !seen {
		return
	}
	timer := time.NewTimer(min(query.MaxDelay, r.maxHold()))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// serveSync answers a peer's query with what is newer here than at the peer.
func (r *relay) serveSync(ctx context.Context, query *peer.SyncRequest) peer.SyncReply {
	n := r.node
	receivedAt := clock.Now()
	r.waitForChange(ctx, query)
	r.mu.Lock()
	seen := r.published
	r.mu.Unlock()
	now := clock.Now()
	update := peer.SyncReply{
		Ready: n.table.Load() != nil && n.discovery.loaded.Load(), Run: n.incarnation, Seen: seen, NamesSoftware: true,
		Delay: now.Sub(receivedAt), ConfirmAge: n.confirmation.Age(now), TargetVersions: n.placer.sharedTargets(now, true),
		Evacuated: n.evacuations.forPeer(now),
	}
	after := kv.Revision(query.OperatorRevision)
	if !query.Eras {
		// A number that is out of range is taken as zero, so that everything is sent.
		after, _ = kv.NewRevision(n.configuration.knownEra(), query.OperatorRevision)
	}
	update.OperatorRevision, update.OperatorItems, update.Uncertain = n.configuration.itemsSince(after)
	n.configuration.texts.Shorten(update.OperatorItems, query)
	if read := n.evacuations.readRevision(); after > kv.Revision(update.OperatorRevision) && after <= read && after.Era() == read.Era() {
		// The peer's newest item has been removed since. One of an earlier release has the keys of evacuations among its items, and would wait
		// for this revision until the operator's next write.
		update.OperatorRevision = uint64(after)
	}
	var listAge time.Duration
	update.RegistrationsRevision, update.Changes, listAge = n.discovery.changesSince(now, query, n.incarnation)
	update.Age = max(listAge, update.ConfirmAge)
	update.ReadsStore = r.readsAllPages(now) && n.poller.lastCallSucceeded.Load()
	revision, digest, items := n.members.state()
	if query.OperatorOnly {
		update.Changes = nil
	} else if digest != query.SystemKeysDigest {
		update.Revision, update.SystemKeys = uint64(revision), peer.Items(items)
	}
	if !query.Eras {
		update.RemoveEras()
	}
	n.distribution.RecordReply(&update)
	return update
}
