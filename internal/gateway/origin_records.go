package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/origin"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
)

const (
	// versionsKey holds which software versions are, or lately were, in service.
	versionsKey = "gypsum/versions"
	// settledKey holds at which of them streams may begin, by service.
	settledKey = "gypsum/settled"
	// streamsPrefix begins the keys of the journal of streams. They aren't among this system's other keys, which all instances read: only a new
	// leader reads them.
	streamsPrefix = "gypsum-streams/"
	// journalPeriod is the interval at which the leader writes the journal while several versions are in service.
	journalPeriod = 250 * time.Millisecond
	// versionsPeriod is the interval at which the leader compares that key with what it sees.
	versionsPeriod = 250 * time.Millisecond
)

// writeJournal writes the streams that this instance has placed as the leader, after it has read those of earlier leaders.
func (o *origins) writeJournal(ctx context.Context) {
	duty.Every(ctx, journalPeriod/2, func(ctx context.Context) {
		fence, _, _ := o.node.leadership.term()
		if !o.node.leadership.holdsLease(clock.Now()) {
			return
		}
		var err error
		if o.startJournal(fence) {
			err = o.readJournal(ctx, fence)
		} else {
			err = o.writePage(ctx)
		}
		if err != nil {
			o.node.log.Warn(event.StoreUnreachable, "failed to keep the journal of streams", zap.Error(err))
		}
	})
}

// startJournal reports whether a new leader has to read the journal first. Without versions on record, or with a single one, nothing was written
// that matters.
func (o *origins) startJournal(fence uint64) (mustRead bool) {
	o.mu.Lock()
	started := o.journalRead == fence
	o.mu.Unlock()
	if started {
		return false
	}
	o.sweep()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.recordedAt != 0 && len(o.several) > 0 {
		return true
	}
	o.restartJournal(fence, nil)
	return false
}

// restartJournal begins the journal of a term with the streams that are known here to have begun and weren't read from it; the caller holds the
// lock.
func (o *origins) restartJournal(fence uint64, read map[uint64]bool) {
	o.journal.Restart(time.Now())
	o.journalRead = fence
	for stream, began := range o.table.All() {
		if o.several[began.Service] && !began.Placed && !read[stream] {
			o.journal.Add(time.Now(), stream, began)
		}
	}
}

// readJournal reads the streams of earlier leaders.
func (o *origins) readJournal(ctx context.Context, fence uint64) error {
	within, known, begun := o.streamTime(), 0, make(map[uint64]bool)
	for after := ""; ; {
		pageCtx, cancel := duty.WithProgress(ctx, storeReadTimeout, storeReadTimeout)
		list, err := o.node.deps.Store.Range(pageCtx, streamsPrefix, after)
		cancel()
		o.node.countStoreCall("read_streams", err)
		if err != nil {
			return fmt.Errorf("read streams: %w", err)
		}
		for _, item := range list.Items {
			streams, err := origin.ReadPage(item.Data, time.Now(), within)
			if err != nil {
				o.node.log.Warn(event.RegistrationInvalid, "invalid page of streams skipped", zap.String("key", item.Key), zap.Error(err))
			}
			known += len(streams)
			for stream, began := range streams {
				if !began.Placed {
					begun[stream] = true
				}
			}
			o.recordStored(streams, clock.Now().Add(within))
		}
		if after = list.After; after == "" {
			break
		}
	}
	o.mu.Lock()
	o.restartJournal(fence, begun)
	o.mu.Unlock()
	o.node.log.Info(event.StreamsRead, "journal of streams read", zap.Int("streams", known))
	return nil
}

func (o *origins) recordStored(streams map[uint64]origin.Origin, until clock.Instant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for stream, began := range streams {
		began.Until, began.Source, began.At = until, origin.Recorded, clock.Now()
		o.table.Record(stream, began)
	}
}

func (o *origins) writePage(ctx context.Context) error {
	now := clock.Now()
	o.mu.Lock()
	if now.Before(o.nextPage) {
		o.mu.Unlock()
		return nil
	}
	name, data, due, err := o.journal.Due()
	o.nextPage = now.Add(journalPeriod)
	o.mu.Unlock()
	if err != nil || !due {
		return err //nolint:wrapcheck // It says what failed.
	}
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	_, err = o.node.deps.Store.Commit(ctx, kv.Transaction{Writes: []kv.Write{{Key: streamsPrefix + name, Data: data}}})
	o.node.countStoreCall("write_streams", err)
	if err != nil {
		return fmt.Errorf("write streams: %w", err)
	}
	return nil
}

// apply takes over the record of versions from this system's keys, as of a revision.
func (o *origins) apply(current kv.Revision, items []kv.Item) {
	var record origin.Record
	var revision kv.Revision
	decode := func(item kv.Item, v any) {
		if err := msgpack.Unmarshal(item.Data, v); err != nil {
			o.node.log.Warn(event.RegistrationInvalid, "invalid record of software versions skipped", zap.String("key", item.Key), zap.Error(err))
		}
	}
	for _, item := range items {
		switch item.Key {
		case versionsKey:
			revision, record.Restored = item.Revision, item.Revision.Era() != current.Era()
			decode(item, &record.Versions)
		case settledKey:
			decode(item, &record.Settled)
		}
	}
	o.mu.Lock()
	o.history.SetRecorded(record)
	o.recordedAt = revision
	o.mu.Unlock()
}

// publish writes the record of versions once these have changed, which takes a few writes for each release.
func (o *origins) publish(ctx context.Context) error {
	now, wall, listedAt := clock.Now(), time.Now(), o.node.discovery.listedAt()
	o.mu.Lock()
	versions, versionsChanged := o.history.Due(now, wall)
	settled, settledChanged := o.history.DueSettled(now, wall, o.streamTime(), listedAt)
	revision, may := o.recordedAt, o.history.MayRecord(now)
	o.mu.Unlock()
	if !may || !versionsChanged && !settledChanged {
		return nil
	}
	transaction := kv.Transaction{Conditions: []kv.Condition{{Key: versionsKey, Revision: revision}}}
	for key, v := range map[string]any{versionsKey: versions, settledKey: settled} {
		data, err := msgpack.Marshal(v)
		if err != nil {
			return fmt.Errorf("encode software versions: %w", err)
		}
		transaction.Writes = append(transaction.Writes, kv.Write{Key: key, Data: data})
	}
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	written, err := o.node.deps.Store.Commit(ctx, transaction)
	o.node.countStoreCall("versions", err)
	if errors.Is(err, kv.ErrConflict) {
		// Another leader has written since this instance read the key.
		o.node.poller.wake()
		return nil
	}
	if err != nil {
		return fmt.Errorf("write software versions: %w", err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.SetRecorded(origin.Record{Versions: versions, Settled: settled})
	o.recordedAt = written
	return nil
}
