package gateway

import (
	"context"
	"encoding/hex"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/suspect"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
)

// publishPeriod is the interval at which the leader compares the blocks in the store with its own.
const publishPeriod = 250 * time.Millisecond

// blockRecord is the value of a block's key.
type blockRecord struct {
	Service string   `msgpack:"service"`
	Parts   []string `msgpack:"parts"`
}

// key returns the key of a block in the metadata store.
func (r *blockRecord) key() string {
	h := xxhash.New()
	writeString(h, r.Service)
	for _, part := range r.Parts {
		writeString(h, part)
	}
	return blockPrefix + hex.EncodeToString(h.Sum(nil))
}

// blocks keeps the blocked combinations of prompt parts in the metadata store, so that a process that has just started knows them before it
// serves its first request. The leader writes them; all instances read them with the system's other keys.
type blocks struct {
	node *Node

	// mu also covers the comparison of the store's blocks with this instance's own, so that a block being adopted or ended by a read isn't
	// taken for one that the store has in excess or lacks.
	mu sync.Mutex
	// stored holds the blocks that are in the store, by key, and adopted the keys that have been adopted: a block that has been lifted since
	// isn't adopted again. read holds the blocks of the last read; one that is gone from the store has been lifted or has expired.
	stored  map[string]blockRecord
	adopted map[string]bool
	read    map[string]blockRecord
}

func newBlocks(n *Node) *blocks {
	return &blocks{node: n, stored: make(map[string]blockRecord), adopted: make(map[string]bool)}
}

// apply adopts the blocks among the system's own keys. If restored is true, these are the first that were read after the store was restored
// from a copy: a block that the copy lacks hasn't been lifted, and one that is new here was lifted after the copy was made.
func (b *blocks) apply(items []kv.Item, restored bool) {
	n := b.node
	stored := make(map[string]blockRecord)
	held := make(map[string][][]string)
	for _, item := range items {
		if !strings.HasPrefix(item.Key, blockPrefix) {
			continue
		}
		var record blockRecord
		if err := msgpack.Unmarshal(item.Data, &record); err != nil {
			n.log.Warn(event.RegistrationInvalid, "invalid block of prompt parts skipped", zap.String("key", item.Key), zap.Error(err))
			continue
		}
		stored[item.Key] = record
		held[record.Service] = append(held[record.Service], record.Parts)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, record := range b.read {
		if _, ok := stored[key]; ok || restored {
			continue
		}
		if n.suspects.expireBlock(record.Service, record.Parts, held[record.Service]) {
			n.log.Info(event.PartCleared, "a block of prompt parts has ended in the store", zap.String("service", record.Service),
				zap.Strings("parts", record.Parts))
		}
	}
	for key, record := range stored {
		if !b.adopted[key] && !restored && n.suspects.addBlock(record.Service, record.Parts) {
			n.log.Info(event.PartBlocked, "prompts with these parts are blocked, by the store", zap.String("service", record.Service),
				zap.Strings("parts", record.Parts))
		}
	}
	b.read = stored
	b.stored = maps.Clone(stored)
	b.adopted = make(map[string]bool, len(stored))
	for key := range stored {
		b.adopted[key] = true
	}
}

func (b *blocks) run(ctx context.Context) {
	duty.Every(ctx, publishPeriod, func(ctx context.Context) {
		if !b.node.leadership.holdsLease(clock.Now()) {
			return
		}
		if err := b.publish(ctx); err != nil {
			b.node.log.Warn(event.StoreUnreachable, "failed to publish blocks of prompt parts", zap.Error(err))
		}
	})
}

// publish writes the blocks that the store lacks, and removes those that have been lifted.
func (b *blocks) publish(ctx context.Context) error {
	own := make(map[string]blockRecord)
	b.mu.Lock()
	for service, list := range b.node.suspects.blocks() {
		for _, parts := range list {
			record := blockRecord{Service: service, Parts: parts}
			own[record.key()] = record
		}
	}
	var missing []blockRecord
	var lifted []string
	for key, record := range own {
		if _, ok := b.stored[key]; !ok {
			missing = append(missing, record)
		}
	}
	for key := range b.stored {
		if _, ok := own[key]; !ok {
			lifted = append(lifted, key)
		}
	}
	b.mu.Unlock()
	if len(missing) == 0 && len(lifted) == 0 {
		return nil
	}
	return b.commit(ctx, missing, lifted)
}

func (b *blocks) commit(ctx context.Context, missing []blockRecord, lifted []string) error {
	ctx, cancel := context.WithTimeout(ctx, 2*storeReadTimeout)
	defer cancel()
	store := b.node.deps.Store
	tx := kv.Transaction{Removals: lifted}
	if len(missing) > 0 {
		lease, err := store.Grant(ctx, suspect.Retention)
		b.node.countStoreCall("grant_block", err)
		if err != nil {
			return fmt.Errorf("publish blocks: %w", err)
		}
		for _, record := range missing {
			data, err := msgpack.Marshal(record)
			if err != nil {
				return fmt.Errorf("encode block: %w", err)
			}
			tx.Writes = append(tx.Writes, kv.Write{Key: record.key(), Data: data, Lease: lease})
		}
	}
	_, err := store.Commit(ctx, tx)
	b.node.countStoreCall("write_block", err)
	if err != nil && !errors.Is(err, kv.ErrConflict) {
		return fmt.Errorf("publish blocks: %w", err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, record := range missing {
		b.stored[record.key()], b.adopted[record.key()] = record, true
	}
	for _, key := range lifted {
		delete(b.stored, key)
	}
	b.node.poller.wake()
	return nil
}
