package gateway

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/document"
	"gypsumvale/internal/coordination/freshness"
	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/distribution"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
	"gypsumvale/internal/state/route"
)

// configuration holds what the operator wrote: routes, keys and target weight versions.
type configuration struct {
	node *Node

	// adopting is the number of configurations that are being decoded or put into force; activating is held for the latter.
	adopting   atomic.Int32
	activating sync.Mutex

	// texts holds what peers get of the configurations.
	texts *distribution.Configurations

	mu sync.Mutex
	// targets holds the weight version that each model should run.
	targets map[string]int
	// items holds the operator's newest items by key, and newest is the highest of their revisions.
	items  map[string]kv.Item
	newest kv.Revision
	// readable is the newest configuration that could be decoded and readableVersion its version; versions tracks which versions around
	// undecodable ones are known.
	readable        kv.Item
	readableVersion uint64
	versions        freshness.VersionTracker
	// undecodable is the last configuration that couldn't be decoded.
	undecodable kv.Item
	// outdated is true while a restored store has an older configuration than the last one that was read here.
	outdated bool
	// era is the store's era, and rewrittenBy is when the operator has written again what the store had lost at its beginning.
	// confirmedBefore is the instant of the last confirmation while the store had all that the operator had written.
	era             uint64
	confirmedBefore clock.Instant
	rewrittenBy     clock.Instant
	// askBy is until when confirmations wait, at the start and after a restoration, for peers to be asked for a newer configuration than the
	// store's; it is zero once they were.
	askBy clock.Instant
}

// rewriteTime is how long the operator and entries may take to write again what a store that was restored from a copy has lost.
const rewriteTime = 2200 * time.Millisecond

// recordEra records the store's era, as a read or a relay shows it.
func (c *configuration) recordEra(now clock.Instant, era uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era <= c.era {
		return
	}
	c.askBy = now.Add(rewriteTime)
	if c.era != 0 {
		if !now.Before(c.rewrittenBy) {
			c.confirmedBefore = c.node.confirmation.SentAt()
		}
		c.rewrittenBy = now.Add(rewriteTime)
		c.node.catchUp.wake()
	}
	c.era = era
}

// knownEra returns the store's era, or zero before the first read.
func (c *configuration) knownEra() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era
}

// recordPeersAsked records that peers were asked for a newer configuration in the given era, and reports whether confirmations waited for
// that.
func (c *configuration) recordPeersAsked(era uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era != c.era || c.askBy == 0 {
		return false
	}
	c.askBy = 0
	return true
}

// announcedAfter returns an instant at which nothing that is new here had been written, or zero if none is known. While the operator writes
// again what a restored store has lost, that is before the restoration.
func (c *configuration) announcedAfter(now clock.Instant) clock.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.rewrittenBy) {
		return c.confirmedBefore
	}
	return c.node.confirmation.SentAt()
}

// store is the source of items that this instance has read itself.
const store = "store"

// provenance is where items come from: the store or a peer, and when its data was requested. A configuration that came as a delta of so many bytes
// has a document.
type provenance struct {
	source     string
	readAt     clock.Instant
	document   *document.Document
	deltaBytes int
}

// apply applies items that are newer than those held, and reports whether there were any.
func (c *configuration) apply(from provenance, items []kv.Item) bool {
	schema := c.node.deps.Schema
	// Read before anything is recorded.
	announcedAfter := c.announcedAfter(clock.Now())
	changed := false
	for _, item := range items {
		from := from
		if _, ok := schema.EvacuatedZone(item.Key); ok {
			// Kept elsewhere: here, a removed key would never be noticed, and a relay that starts after the removal would never reach the newest
			// revision of the others.
			continue
		}
		if from.document == nil && schema.IsConfiguration(item.Key) && c.isNewer(item) {
			from.document = c.texts.Divide(item)
		}
		if from.document != nil {
			c.texts.Add(item.Revision, from.document)
		}
		if !c.record(item) && !c.fillsGap(item) && !c.precedesRestoration(item) {
			continue
		}
		changed = true
		switch {
		case item.Deleted:
		case schema.IsConfiguration(item.Key):
			c.adopt(from, item)
		case schema.IsTargetVersion(item.Key):
			c.adoptTargetVersion(item, announcedAfter)
		}
	}
	return changed
}

// isNewer reports whether an item is newer than the one held.
func (c *configuration) isNewer(item kv.Item) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return item.Revision > c.items[item.Key].Revision
}

// record keeps an item, so that peers can request it, and reports whether it is newer than the one held.
func (c *configuration) record(item kv.Item) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if item.Revision <= c.items[item.Key].Revision {
		return false
	}
	c.items[item.Key] = item
	c.newest = max(c.newest, item.Revision)
	return true
}

// fillsGap reports whether an item is a configuration that was missed and precedes one that can't be decoded.
func (c *configuration) fillsGap(item kv.Item) bool {
	if !c.node.deps.Schema.IsConfiguration(item.Key) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	after, until, open := c.versions.Gap()
	return open && item.Revision > after && item.Revision < until
}

// precedesRestoration reports whether an item is a configuration from before the store was restored from a copy. It comes from a peer, and
// may be newer than the copy's.
func (c *configuration) precedesRestoration(item kv.Item) bool {
	if !c.node.deps.Schema.IsConfiguration(item.Key) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return item.Revision.Era() < c.items[item.Key].Revision.Era()
}

// newerThan returns the newest configuration that could be decoded, or nil if it isn't newer than a version.
func (c *configuration) newerThan(version uint64) *peer.Item {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readableVersion <= version {
		return nil
	}
	return &peer.Items([]kv.Item{c.readable})[0]
}

// historyWait is the shortest wait that a watch allows; the events requested here exist already.
const historyWait = time.Millisecond

// errHistoryGap is returned when configurations that this instance has not seen may have been in force.
var errHistoryGap = errors.New("configurations before an undecodable one are unknown")

// errOutdated is returned while a restored store has an older configuration than the one held here. The operator writes its newest one again,
// which may not be the one held here either.
var errOutdated = errors.New("the restored store has an older configuration")

// errPeersNotAsked is returned at the start and after a restoration until peers have been asked, or the operator has had time to write again.
// The store's configuration may be the one held here, and both be older than a peer's.
var errPeersNotAsked = errors.New("no peer has been asked for a newer configuration than the store's")

// checkOutdated returns errOutdated if the store's configuration, as last read, is older than the one held here, and errPeersNotAsked if it
// may be older than a peer's.
func (c *configuration) checkOutdated(items []kv.Item) error {
	c.mu.Lock()
	outdated, askBy := c.outdated, c.askBy
	c.mu.Unlock()
	if clock.Now().Before(askBy) {
		return errPeersNotAsked
	}
	if outdated || c.lost(items) {
		return errOutdated
	}
	return nil
}

// lost reports whether the operator's items, as last read, lack the configuration though one is held here.
func (c *configuration) lost(items []kv.Item) bool {
	isConfiguration := func(item kv.Item) bool { return c.node.deps.Schema.IsConfiguration(item.Key) }
	return c.node.table.Load() != nil && !slices.ContainsFunc(items, isConfiguration)
}

// fillGap reads the history up to a configuration that can't be decoded. If it returns no error, every configuration that has been in
// force is known.
func (c *configuration) fillGap(ctx context.Context) error {
	c.mu.Lock()
	after, until, open := c.versions.Gap()
	c.mu.Unlock()
	if !open {
		return nil
	}
	schema := c.node.deps.Schema
	sent := clock.Now()
	list, err := c.node.deps.Store.Watch(ctx, schema.OperatorPrefix(), after, historyWait)
	c.node.countStoreCall("history", err)
	if err != nil {
		return fmt.Errorf("%w: %w", errHistoryGap, err)
	}
	reached := false
	for _, item := range list.Items {
		reached = reached || schema.IsConfiguration(item.Key) && item.Revision == until
	}
	c.apply(provenance{source: store, readAt: sent}, list.Items)
	if !reached {
		return fmt.Errorf("%w: history lacks revision %d", errHistoryGap, until.Number())
	}
	c.mu.Lock()
	c.versions.MarkKnown(until)
	c.mu.Unlock()
	return nil
}

// adopt activates a newer configuration; an older or undecodable one changes nothing.
func (c *configuration) adopt(from provenance, item kv.Item) {
	n := c.node
	c.adopting.Add(1)
	defer c.adopting.Add(-1)
	// The next reply, or the rest of this one, confirms the configuration.
	defer n.relay.recordProgress()
	decoding := clock.Now()
	table, err := c.texts.Table(item, from.document)
	decoded := clock.Now()
	c.mu.Lock()
	switch {
	case err != nil:
		c.recordUndecodable(item)
	case c.isOutdated(table.Version, item):
		c.outdated = true
	default:
		c.versions.RecordDecoded(item.Revision)
		if table.Version >= c.readableVersion {
			// A peer's configuration may be of an earlier era than the store's.
			c.readable, c.readableVersion = item, table.Version
			c.outdated = item.Revision.Era() < c.items[item.Key].Revision.Era()
		}
	}
	c.mu.Unlock()
	if err != nil {
		n.log.Warn(event.TableInvalid, "configuration not adopted", zap.Error(err), zap.Uint64("revision", item.Revision.Number()))
		return
	}
	if !c.activate(table) {
		return
	}
	size := table.Size()
	n.log.Info(event.TableAdopted, "configuration adopted", zap.Uint64("table", table.Version), zap.Uint64("revision", item.Revision.Number()),
		zap.Int("routes", size.Routes), zap.Int("keys", size.Keys), zap.Int("workspaces", size.Workspaces), zap.String("source", from.source),
		zap.Int64("read_ms", clock.Now().Sub(from.readAt).Milliseconds()), zap.Int("bytes", len(item.Data)), zap.Int("delta_bytes", from.deltaBytes),
		zap.Int64("decode_ms", decoded.Sub(decoding).Milliseconds()), zap.Int64("activate_ms", clock.Now().Sub(decoded).Milliseconds()))
}

// activate puts a configuration into force unless a newer one is, and reports whether it did. Several tasks adopt configurations side by side, and
// each may have decoded its own for a while.
func (c *configuration) activate(table *route.Table) bool {
	c.activating.Lock()
	defer c.activating.Unlock()
	n := c.node
	if current := n.table.Load(); current != nil && table.Version <= current.Version {
		return false
	}
	n.table.Store(table)
	n.placer.setServices(table)
	n.metrics.TableVersion.Set(float64(table.Version))
	return true
}

// recordUndecodable records a configuration that couldn't be decoded; the caller holds the lock. If it was written again to a restored store,
// what is known of the versions before it still holds.
func (c *configuration) recordUndecodable(item kv.Item) {
	_, _, gap := c.versions.Gap()
	again := item.Revision.Era() > c.undecodable.Revision.Era() && bytes.Equal(item.Data, c.undecodable.Data)
	c.versions.RecordUndecodable(item.Revision)
	if again && !gap {
		c.versions.MarkKnown(item.Revision)
	}
	c.undecodable, c.outdated = item, false
}

// isOutdated reports whether a configuration that a restored store has is older than the last one that was read here, decodable or not; the
// caller holds the lock.
func (c *configuration) isOutdated(version uint64, item kv.Item) bool {
	if item.Revision.Era() <= c.readable.Revision.Era() {
		return false
	}
	return version < c.readableVersion || version == c.readableVersion && c.versions.UndecodableIsNewest()
}

// adoptTargetVersion activates a newer target weight version of a model, which had not been announced at an instant; zero is unknown. An
// older version changes nothing.
func (c *configuration) adoptTargetVersion(item kv.Item, announcedAfter clock.Instant) {
	model, version, err := c.node.deps.Schema.TargetVersion(item)
	if err != nil {
		c.node.log.Warn(event.TableInvalid, "target weight version not adopted", zap.Error(err))
		return
	}
	c.mu.Lock()
	newer := version > c.targets[model]
	if newer {
		c.targets[model] = version
	}
	c.mu.Unlock()
	if !newer {
		return
	}
	source := "confirmation"
	if announcedAfter == 0 {
		source = "unknown"
	}
	target := placement.TargetVersion{Version: version, AnnouncedAfter: announcedAfter, SeenAt: clock.Now()}
	c.node.placer.addTargetVersions([]modelTarget{{model, target}})
	c.node.log.Info(event.WeightsAnnounced, "target weight version changed", zap.String("model", model), zap.Int("version", version),
		zap.Uint64("revision", item.Revision.Number()), zap.Int64("age_ms", maxAgeMillis(target)), zap.String("age_from", source))
	c.node.rollout.wake()
}

// targetVersions returns a copy of the target weight versions by model.
func (c *configuration) targetVersions() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.targets)
}

// applyRelayed applies what a relay knows of the operator's writes; its ages hold as of the given instant or later. It reports false if a
// configuration came as a delta that doesn't fit.
func (c *configuration) applyRelayed(relay string, asOf clock.Instant, update *peer.SyncReply) bool {
	now := clock.Now()
	// The relay applies what the operator wrote before it has read all registrations.
	c.recordEra(now, max(kv.Revision(update.OperatorRevision).Era(), kv.Revision(update.RegistrationsRevision).Era()))
	items := peer.StoreItems(update.OperatorItems)
	for i := range update.OperatorItems {
		doc, err := c.texts.Receive(&update.OperatorItems[i])
		if err != nil {
			c.node.log.Warn(event.DeltaInvalid, "change of the configuration doesn't fit the one held here", zap.String("relay", relay), zap.Error(err))
			return false
		}
		if doc != nil {
			items[i].Data = doc.Text()
		}
		c.apply(provenance{relay, asOf.Add(-update.ConfirmAge), doc, len(update.OperatorItems[i].Delta)}, items[i:i+1])
	}
	c.mu.Lock()
	complete, outdated := kv.Revision(update.OperatorRevision) >= c.newest, c.outdated || now.Before(c.askBy)
	if complete && !update.Uncertain {
		// The relay knows every version that was in force, and has sent those that were missing here.
		c.versions.MarkKnown(kv.Revision(update.OperatorRevision))
	}
	c.mu.Unlock()
	// The relay may know no newer configuration than the restored store's.
	if complete && !outdated {
		c.node.confirmation.Confirm(asOf.Add(-update.ConfirmAge))
	}
	return true
}

// syncRevision returns the revision after which the operator's writes should be requested.
func (c *configuration) syncRevision() kv.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions.RequestAfter(c.newest)
}

// itemsSince returns the highest revision, the operator's items after a given one with the newest decodable configuration, and whether
// configurations may have been missed here.
func (c *configuration) itemsSince(after kv.Revision) (uint64, []peer.Item, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var items []kv.Item
	for _, item := range c.items {
		if item.Revision > after {
			items = append(items, item)
		}
	}
	if latest := c.items[c.readable.Key]; c.readable.Revision > after && latest.Revision > c.readable.Revision {
		items = append(items, c.readable)
	}
	_, _, uncertain := c.versions.Gap()
	return uint64(c.newest), peer.Items(items), uncertain
}
