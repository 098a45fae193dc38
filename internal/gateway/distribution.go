package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
)

// distributionLogPeriod is the interval at which an entry logs what it has read from the store and sent to its followers.
const distributionLogPeriod = 5 * time.Second

// distribution measures how updates get from the metadata store to the entries that follow this one.
type distribution struct {
	node *Node

	mu    sync.Mutex
	since distributionCounts
	// peerBytes is the traffic to peers at the last log line.
	peerBytes int64
}

// distributionCounts holds what has been counted since the last log line.
type distributionCounts struct {
	reads                                             int
	longestFront, longestRead                         time.Duration
	replies, operatorItems, registrations, systemKeys int
}

// recordRead counts a read of the store that took until its first pages were applied, and until its end.
func (d *distribution) recordRead(front, whole time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.since.reads++
	d.since.longestFront, d.since.longestRead = max(d.since.longestFront, front), max(d.since.longestRead, whole)
}

// recordReply counts a reply to a follower.
func (d *distribution) recordReply(update *peer.SyncReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.since.replies++
	d.since.operatorItems += len(update.OperatorItems)
	d.since.systemKeys += len(update.SystemKeys)
	if update.Changes != nil {
		d.since.registrations += len(update.Changes.Changed) + len(update.Changes.Removed)
	}
}

func (d *distribution) run(ctx context.Context) {
	duty.Every(ctx, distributionLogPeriod, func(context.Context) { d.log() })
}

// log writes what was counted, unless nobody follows this entry.
func (d *distribution) log() {
	bytes := d.node.members.bytesSent()
	d.mu.Lock()
	counts, sent := d.since, bytes-d.peerBytes
	d.since, d.peerBytes = distributionCounts{}, bytes
	d.mu.Unlock()
	if counts.replies == 0 {
		return
	}
	d.node.log.Info(event.UpdatesDistributed, "updates distributed", zap.Int("reads", counts.reads),
		zap.Int64("front_ms", counts.longestFront.Milliseconds()), zap.Int64("read_ms", counts.longestRead.Milliseconds()),
		zap.Int("replies", counts.replies), zap.Int("operator_items", counts.operatorItems), zap.Int("registrations", counts.registrations),
		zap.Int("system_keys", counts.systemKeys), zap.Int64("peer_bytes", sent))
}
