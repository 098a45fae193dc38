package gateway

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/settings"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
)

const (
	// pollShare is the poll period as a share of the bound for leaving endpoints; the rest covers slow and lost answers, and the
	// forwarding from a zone's relay to its entries.
	pollShare = 0.25
	// storeReadTimeout bounds one read of the store until its answer begins, and without progress from then on; the store answers within
	// milliseconds in normal operation.
	storeReadTimeout = 600 * time.Millisecond
	// maxBackoffDoublings bounds how often the read timeout, and the pause after a failed read, are doubled.
	maxBackoffDoublings = 2
	// pollRetryPause is the pause after a failed call, and the interval of the checks whether calls are needed.
	pollRetryPause = 100 * time.Millisecond
)

// storePoller is the task that reads the complete metadata store: the operator's configuration, the registrations of endpoints, and this
// system's own keys. An entry that has a relay with current data does not poll.
//
// Each poll reads everything. A watch may miss a change without notice while the store discards its history, and three watches, with the
// reads that confirm them, take more calls than one read.
type storePoller struct {
	node        *Node
	wakeup      chan struct{}
	unreachable bool
	// historyGap is true if configuration versions may have been missed.
	historyGap atomic.Bool
	// multiPage is true if the store's contents fill more than one page; failures counts consecutive failed calls.
	multiPage bool
	failures  int
	// ownKeysReadAt is when this system's own keys were last read here.
	ownKeysReadAt clock.Instant
	// lastRevision is the store's revision at the last read.
	lastRevision kv.Revision
	// lastCallSucceeded is true if the last call returned no error.
	lastCallSucceeded atomic.Bool
}

func newStorePoller(n *Node) *storePoller {
	return &storePoller{node: n, wakeup: make(chan struct{}, 1)}
}

// wake triggers a poll at once, even if a relay has current data.
func (s *storePoller) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// pollPeriod is the time from the start of one poll to that of the next.
func pollPeriod(b *settings.Bounds) time.Duration {
	return time.Duration(pollShare * float64(b.MaxLeavingDelay))
}

func (s *storePoller) run(ctx context.Context) {
	forced := true
	for {
		wait := pollRetryPause
		if forced || !s.node.relay.suffices(clock.Now()) || s.node.evacuations.readsAlone() {
			started := clock.Now()
			err := s.poll(ctx)
			s.logReachability(err)
			wait = pollRetryPause << min(s.failures, maxBackoffDoublings)
			if err == nil {
				wait = max(pollRetryPause, pollPeriod(s.node.bounds.Load())-clock.Now().Sub(started))
			}
		}
		forced = false
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			s.node.members.deregister()
			return
		case <-s.wakeup:
			timer.Stop()
			forced = true
		case <-timer.C:
		}
	}
}

func (s *storePoller) logReachability(err error) {
	n := s.node
	unreachable := err != nil
	if unreachable == s.unreachable {
		return
	}
	s.unreachable = unreachable
	if unreachable {
		n.log.Warn(event.StoreUnreachable, "metadata store unreachable", zap.Error(err),
			zap.Duration("table_age", n.confirmation.Age(clock.Now())))
		return
	}
	n.log.Info(event.StoreReachable, "metadata store reachable again", zap.Uint64("revision", n.discovery.revision().Number()))
}

// storeItems holds the items of a poll, grouped by who wrote them, and the store's revision at the first page.
type storeItems struct {
	operator, registrations, own []kv.Item
	revision                     kv.Revision
}

// add adds the items of a page to the groups of their writers.
func (i *storeItems) add(page []kv.Item, schema StoreSchema) {
	for _, item := range page {
		switch {
		case strings.HasPrefix(item.Key, schema.OperatorPrefix()):
			i.operator = append(i.operator, item)
		case strings.HasPrefix(item.Key, schema.RegistrationPrefix()):
			i.registrations = append(i.registrations, item)
		case strings.HasPrefix(item.Key, ownPrefix):
			i.own = append(i.own, item)
		}
	}
}

// poll reads the store. On a large site, an entry that isn't a relay reads only the keys of the operator and of this system, since all entries
// would use up the store's bandwidth with thousands of registrations.
func (s *storePoller) poll(ctx context.Context) error {
	if s.multiPage && !s.node.relay.readsAllPages(clock.Now()) {
		return s.pollFront(ctx)
	}
	started := clock.Now()
	whole, err := s.pollAll(ctx)
	if (whole || err != nil) && s.node.discovery.loaded.Load() {
		// An entry that has just started serves nothing before its first read of all pages.
		now := clock.Now()
		s.node.relay.recordOwnRead(now, now.Sub(started))
	}
	return err
}

// ownKeysPeriod is how often an entry without a relay reads this system's own keys, which grow with the number of entries and are hints.
const ownKeysPeriod = 2 * time.Second

// pollFront reads the operator's keys and, once in ownKeysPeriod, this system's own.
func (s *storePoller) pollFront(ctx context.Context) error {
	schema := s.node.deps.Schema
	prefixes := []string{schema.OperatorPrefix()}
	sent := clock.Now()
	if sent.Sub(s.ownKeysReadAt) >= ownKeysPeriod {
		prefixes = append(prefixes, ownPrefix)
	}
	var items storeItems
	for _, prefix := range prefixes {
		for after, more := "", true; more; more = after != "" {
			var err error
			if after, err = s.addPage(ctx, prefix, after, &items); err != nil {
				return err
			}
		}
	}
	return s.applyFront(ctx, sent, &items, len(prefixes) > 1)
}

// pollAll reads the complete store, page by page, and reports whether it has come to the end; the age of the data counts from when the first
// call was sent.
//
// The items of the operator and of this system are on the first pages and are applied at once. The rest are registrations, which an entry
// that isn't a relay leaves out.
func (s *storePoller) pollAll(ctx context.Context) (whole bool, err error) {
	n := s.node
	schema := n.deps.Schema
	frontEnd := max(schema.OperatorPrefix(), ownPrefix) + maxKeySuffix
	sent := clock.Now()
	var items storeItems
	var joinErr error
	var front time.Duration
	for after, applied := "", false; ; {
		first := after == ""
		if after, err = s.addPage(ctx, "", after, &items); err != nil {
			return false, err
		}
		if first {
			s.multiPage = after != ""
		}
		if !applied && (after == "" || after > frontEnd) {
			applied = true
			// An entry that fails to register can serve nonetheless.
			joinErr = s.applyFront(ctx, sent, &items, true)
			front = clock.Now().Sub(sent)
		}
		if after == "" {
			break
		}
		if applied && !n.relay.readsAllPages(clock.Now()) {
			return false, joinErr
		}
	}
	n.discovery.applyListing(sent, items.revision, items.registrations)
	n.relay.publish()
	n.distribution.RecordRead(front, clock.Now().Sub(sent))
	return true, joinErr
}

// addPage reads the page of a prefix that begins after a key, and returns the key after which the next one begins, or an empty string after the
// last one. The error may be errRestored.
func (s *storePoller) addPage(ctx context.Context, prefix, after string, items *storeItems) (next string, err error) {
	page, err := s.readPage(ctx, prefix, after)
	if err != nil {
		return "", err
	}
	items.add(page.Items, s.node.deps.Schema)
	if items.revision == 0 {
		items.revision = page.Revision
		s.logEra(page.Revision)
	}
	if page.Revision.Era() != items.revision.Era() {
		return "", errRestored
	}
	return page.After, nil
}

// errRestored is returned when the store was restored from a copy between two calls that belong together.
var errRestored = errors.New("metadata store was restored from a copy meanwhile")

// logEra logs the store's era at the first read and whenever it has changed, with the revisions before and after.
func (s *storePoller) logEra(revision kv.Revision) {
	previous := s.lastRevision
	s.lastRevision = revision
	if previous != 0 && previous.Era() == revision.Era() {
		return
	}
	fields := []zap.Field{
		zap.Uint64("era", revision.Era()), zap.Uint64("before", previous.Era()), zap.Uint64("revision", revision.Number()),
		zap.Uint64("held_revision", s.node.discovery.revision().Number()),
	}
	if previous == 0 {
		s.node.log.Info(event.StoreRestored, "metadata store read for the first time", fields...)
		return
	}
	s.node.log.Warn(event.StoreRestored, "metadata store was restored from a copy", fields...)
}

// maxKeySuffix, appended to a prefix, sorts after all keys with that prefix.
const maxKeySuffix = "\xff"

// readPage reads one page. On a large site the timeout grows after failures, since many entries that start at once share the store's
// bandwidth.
func (s *storePoller) readPage(ctx context.Context, prefix, after string) (kv.Listing, error) {
	timeout := storeReadTimeout
	if s.multiPage {
		timeout <<= min(s.failures, maxBackoffDoublings)
	}
	ctx, cancel := duty.WithProgress(ctx, timeout, timeout)
	defer cancel()
	if after == "" {
		// What the operator wrote comes first.
		duty.NotifyProgress(ctx, s.node.relay.recordProgress)
	}
	list, err := s.node.deps.Store.Range(ctx, prefix, after)
	s.node.countStoreCall("survey", err)
	if s.lastCallSucceeded.Swap(err == nil) && err != nil {
		// Entries that wait for this read are told at once, so that they can turn to another relay.
		s.node.relay.publish()
	}
	if err != nil {
		s.failures++
		return list, fmt.Errorf("read metadata store: %w", err)
	}
	s.failures = 0
	return list, nil
}

// applyOperator applies the operator's items as returned by a call sent at an instant, and reports whether anything has changed.
func (s *storePoller) applyOperator(ctx context.Context, sent clock.Instant, items *storeItems) bool {
	n := s.node
	n.configuration.recordEra(clock.Now(), items.revision.Era())
	// Evacuations come first: with a configuration that is in force, requests are sent.
	changed := n.evacuations.applyListing(sent, items.revision, items.operator)
	changed = n.configuration.apply(provenance{source: store, readAt: sent}, items.operator) || changed
	s.confirmConfiguration(ctx, sent, items.operator)
	return changed
}

// applyFront applies the items of the operator and, if they were read, of this system; the error is that of joining this instance.
func (s *storePoller) applyFront(ctx context.Context, sent clock.Instant, items *storeItems, ownRead bool) error {
	n := s.node
	changed := s.applyOperator(ctx, sent, items)
	if ownRead {
		s.ownKeysReadAt = sent
		changed = n.members.apply(items.revision, items.own) || changed
	}
	if changed {
		n.relay.publish()
	}
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	if err := n.members.join(ctx); err != nil {
		return fmt.Errorf("join: %w", err)
	}
	return nil
}

// confirmConfiguration confirms the configuration as of an instant, unless a version may have been missed.
func (s *storePoller) confirmConfiguration(ctx context.Context, sent clock.Instant, operator []kv.Item) {
	n := s.node
	err := n.configuration.checkOutdated(operator)
	if err == nil {
		gapCtx, cancel := duty.WithProgress(ctx, storeReadTimeout, storeReadTimeout)
		defer cancel()
		err = n.configuration.fillGap(gapCtx)
	}
	if err == nil {
		n.confirmation.Confirm(sent)
	}
	if historyGap := err != nil; s.historyGap.Swap(historyGap) != historyGap {
		n.log.Warn(event.TableUnconfirmed, "possible configuration gap", zap.Bool("doubt", historyGap), zap.Error(err),
			zap.Duration("table_age", n.confirmation.Age(clock.Now())))
	}
}

// countStoreCall counts a call to the metadata store by purpose and result.
func (n *Node) countStoreCall(purpose string, err error) {
	result := "answered"
	switch {
	case errors.Is(err, kv.ErrRejected):
		result = "rejected"
	case err != nil:
		result = "failed"
	}
	n.metrics.StoreCalls.WithLabelValues(purpose, result).Inc()
}
