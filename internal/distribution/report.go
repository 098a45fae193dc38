package distribution

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
)

// logPeriod is the interval at which an entry logs what it has read from the store and sent to its followers.
const logPeriod = 5 * time.Second

// Report measures how updates get from the metadata store to the entries that follow this one, and logs it.
type Report struct {
	log *event.Log
	// bytesSent returns the bytes sent to peers since the start.
	bytesSent func() int64

	mu    sync.Mutex
	since counts
	// peerBytes is the traffic to peers at the last log line.
	peerBytes int64
}

// NewReport returns a report; bytesSent returns the bytes sent to peers since the start.
func NewReport(log *event.Log, bytesSent func() int64) *Report {
	return &Report{log: log, bytesSent: bytesSent}
}

// counts holds what has been counted since the last log line.
type counts struct {
	reads                                             int
	longestFront, longestRead                         time.Duration
	replies, operatorItems, registrations, systemKeys int
}

// RecordRead counts a read of the store that took until its first pages were applied, and until its end.
func (r *Report) RecordRead(front, whole time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.since.reads++
	r.since.longestFront, r.since.longestRead = max(r.since.longestFront, front), max(r.since.longestRead, whole)
}

// RecordReply counts a reply to a follower.
func (r *Report) RecordReply(update *peer.SyncReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.since.replies++
	r.since.operatorItems += len(update.OperatorItems)
	r.since.systemKeys += len(update.SystemKeys)
	if update.Changes != nil {
		r.since.registrations += len(update.Changes.Changed) + len(update.Changes.Removed)
	}
}

// Run logs the counts until the context ends.
func (r *Report) Run(ctx context.Context) {
	duty.Every(ctx, logPeriod, func(context.Context) { r.write() })
}

// write logs what was counted, unless nobody follows this entry.
func (r *Report) write() {
	bytes := r.bytesSent()
	r.mu.Lock()
	since, sent := r.since, bytes-r.peerBytes
	r.since, r.peerBytes = counts{}, bytes
	r.mu.Unlock()
	if since.replies == 0 {
		return
	}
	r.log.Info(event.UpdatesDistributed, "updates distributed", zap.Int("reads", since.reads),
		zap.Int64("front_ms", since.longestFront.Milliseconds()), zap.Int64("read_ms", since.longestRead.Milliseconds()),
		zap.Int("replies", since.replies), zap.Int("operator_items", since.operatorItems), zap.Int("registrations", since.registrations),
		zap.Int("system_keys", since.systemKeys), zap.Int64("peer_bytes", sent))
}
