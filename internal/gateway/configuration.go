package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/freshness"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
)

// wantedVersion is the weight version that a model shall run.
type wantedVersion struct {
	version int
	named   clock.Instant
}

// configuration holds what the operator wrote: routes, keys and wanted weight versions.
type configuration struct {
	node *Node

	mu     sync.Mutex
	wanted map[string]wantedVersion
	// items holds what the operator wrote last, by key, and newest the highest of their revisions.
	items  map[string]kv.Item
	newest kv.Revision
	// readable is the newest configuration that could be read, and versions what is known of those behind it.
	readable kv.Item
	versions freshness.VersionTracker
}

// take puts newer items in force, and reports whether there were any.
func (c *configuration) take(items []kv.Item) bool {
	words := c.node.outside.Schema
	news := false
	for _, item := range items {
		if !c.keep(item) && !c.missed(item) {
			continue
		}
		news = true
		switch {
		case item.Deleted:
		case words.IsConfiguration(item.Key):
			c.adopt(item)
		case words.IsTargetVersion(item.Key):
			c.want(item)
		}
	}
	return news
}

// keep holds an item for others to ask for, and reports whether it is news.
func (c *configuration) keep(item kv.Item) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if item.Revision <= c.items[item.Key].Revision {
		return false
	}
	c.items[item.Key] = item
	c.newest = max(c.newest, item.Revision)
	return true
}

// missed reports whether an item is a configuration that lies before one that can't be read, and was not seen in time.
func (c *configuration) missed(item kv.Item) bool {
	if !c.node.outside.Schema.IsConfiguration(item.Key) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	after, until, open := c.versions.Gap()
	return open && item.Revision > after && item.Revision < until
}

// historyWait is the least that the store waits for events; those asked for are there already.
const historyWait = time.Millisecond

// errGap says that configurations may have been in force that nobody here has seen.
var errGap = errors.New("configurations before an unreadable one are not known")

// bridge reads the history behind a configuration that can't be read; without an error nothing that was in force is missing.
func (c *configuration) bridge(ctx context.Context) error {
	c.mu.Lock()
	after, until, open := c.versions.Gap()
	c.mu.Unlock()
	if !open {
		return nil
	}
	words := c.node.outside.Schema
	list, err := c.node.outside.Store.Watch(ctx, words.OperatorPrefix(), after, historyWait)
	c.node.countCall("history", err)
	if err != nil {
		return fmt.Errorf("%w: %w", errGap, err)
	}
	reached := false
	for _, item := range list.Items {
		reached = reached || words.IsConfiguration(item.Key) && item.Revision == until
	}
	c.take(list.Items)
	if !reached {
		return fmt.Errorf("%w: history lacks revision %d", errGap, until)
	}
	c.mu.Lock()
	c.versions.MarkKnown(until)
	c.mu.Unlock()
	return nil
}

// adopt puts a newer configuration in force; an older one or one that can't be read changes nothing.
func (c *configuration) adopt(item kv.Item) {
	n := c.node
	held := n.table.Load()
	table, err := n.outside.Schema.Configuration(item)
	c.mu.Lock()
	if err != nil {
		c.versions.RecordUndecodable(item.Revision)
	} else if c.versions.RecordDecoded(item.Revision); item.Revision > c.readable.Revision {
		c.readable = item
	}
	c.mu.Unlock()
	if err != nil {
		n.log.Warn(event.TableInvalid, "configuration not adopted", zap.Error(err), zap.Uint64("revision", uint64(item.Revision)))
		return
	}
	if held != nil && table.Version <= held.Version {
		return
	}
	n.table.Store(table)
	n.placer.setServices(table)
	n.metrics.TableVersion.Set(float64(table.Version))
	size := table.Size()
	n.log.Info(event.TableAdopted, "configuration in force", zap.Uint64("table", table.Version), zap.Uint64("revision", uint64(item.Revision)),
		zap.Int("routes", size.Routes), zap.Int("keys", size.Keys), zap.Int("workspaces", size.Workspaces))
}

func (c *configuration) want(item kv.Item) {
	model, version, err := c.node.outside.Schema.TargetVersion(item)
	if err != nil {
		c.node.log.Warn(event.TableInvalid, "weight version not adopted", zap.Error(err))
		return
	}
	c.mu.Lock()
	held := c.wanted[model]
	newer := version > held.version
	if newer {
		c.wanted[model] = wantedVersion{version, clock.Now()}
	}
	c.mu.Unlock()
	if !newer {
		return
	}
	c.node.log.Info(event.WeightsAnnounced, "weight version named", zap.String("model", model), zap.Int("version", version),
		zap.Uint64("revision", uint64(item.Revision)))
	c.node.placer.setWanted(model, version, held.version != 0)
	c.node.weights.wake()
}

// wantedVersions returns a copy of what is wanted now.
func (c *configuration) wantedVersions() map[string]wantedVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := make(map[string]wantedVersion, len(c.wanted))
	for model, w := range c.wanted {
		wanted[model] = w
	}
	return wanted
}

// hear takes what a relay knows of the operator's writes, told at an instant or later.
func (c *configuration) hear(told clock.Instant, news *peer.SyncReply) {
	c.take(fromPeer(news.OperatorItems))
	c.mu.Lock()
	complete := kv.Revision(news.OperatorRevision) >= c.newest
	if complete && !news.Uncertain {
		// The relay knows all that was in force, and has sent it.
		c.versions.MarkKnown(kv.Revision(news.OperatorRevision))
	}
	c.mu.Unlock()
	if complete {
		c.node.proof.Confirm(told.Add(-news.ConfirmAge))
	}
}

// revision returns that from which on the operator's writes are to be asked for.
func (c *configuration) revision() kv.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions.RequestAfter(c.newest)
}

// since returns the operator's writes that are newer than a revision, and whether others may have been missed here.
func (c *configuration) since(after kv.Revision) (uint64, []peer.Item, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var items []kv.Item
	for _, item := range c.items {
		if item.Revision > after {
			items = append(items, item)
		}
	}
	if held := c.items[c.readable.Key]; c.readable.Revision > after && held.Revision > c.readable.Revision {
		items = append(items, c.readable)
	}
	_, _, doubt := c.versions.Gap()
	return uint64(c.newest), toPeer(items), doubt
}
