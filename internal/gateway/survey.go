package gateway

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gypsumvale/internal/event"
	"gypsumvale/internal/settings"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
)

const (
	// surveyShare is the part of the bound for leaving endpoints between two reads of the store; the rest covers slow and lost
	// answers, and the way from a zone's relay to its entries.
	surveyShare = 0.25
	// readTimeout is the limit of one read of the store, which answers within milliseconds when it is well.
	readTimeout = 600 * time.Millisecond
	// maxStretch bounds how often the limit of a read, and the pause after a failed one, are doubled.
	maxStretch = 2
	// retryPause is the pause after a failed call, and between looks whether calls are needed.
	retryPause = 100 * time.Millisecond
)

// survey is the duty that reads the whole store: what the operator wrote, the registrations of endpoints, and this system's own
// keys. An entry that has a relay leaves it to that.
//
// It reads all each time. A watch may miss a change without a sign while the store drops its history, and three watches, with the
// reads that confirm them, are more calls than one read.
type survey struct {
	node  *Node
	woken chan struct{}
	lost  bool
	// gap says that configurations may have been missed.
	gap bool
	// large says that the store fills more than one page, and failures counts calls that failed one after another.
	large    bool
	failures int
	// answered says that the last call was answered.
	answered atomic.Bool
}

func newSurvey(n *Node) *survey { return &survey{node: n, woken: make(chan struct{}, 1)} }

// wake has the duty read at once, whatever a relay says.
func (s *survey) wake() {
	select {
	case s.woken <- struct{}{}:
	default:
	}
}

// readPeriod is the time from the start of one read to that of the next.
func readPeriod(cfg *settings.Hosted) time.Duration {
	return time.Duration(surveyShare * float64(cfg.MaxLeavingDelay))
}

func (s *survey) run(ctx context.Context) {
	period := readPeriod(s.node.cfg)
	forced := true
	for {
		wait := retryPause
		if forced || !s.node.relay.spares(clock.Now()) {
			started := clock.Now()
			err := s.read(ctx)
			s.noteContact(err)
			wait = retryPause << min(s.failures, maxStretch)
			if err == nil {
				wait = max(retryPause, period-clock.Now().Sub(started))
			}
		}
		forced = false
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			s.node.members.leave()
			return
		case <-s.woken:
			timer.Stop()
			forced = true
		case <-timer.C:
		}
	}
}

func (s *survey) noteContact(err error) {
	n := s.node
	lost := err != nil
	if lost == s.lost {
		return
	}
	s.lost = lost
	if lost {
		n.log.Warn(event.StoreUnreachable, "store out of reach", zap.Error(err), zap.Duration("table_age", n.proof.Age(clock.Now())))
		return
	}
	n.log.Info(event.StoreReachable, "store in reach", zap.Uint64("revision", uint64(n.discovery.revision())))
}

// items is what was read of the store, by who wrote it.
type items struct {
	operator, registrations, own []kv.Item
}

// add sorts a page in.
func (i *items) add(page []kv.Item, words StoreSchema) {
	for _, item := range page {
		switch {
		case strings.HasPrefix(item.Key, words.OperatorPrefix()):
			i.operator = append(i.operator, item)
		case strings.HasPrefix(item.Key, words.RegistrationPrefix()):
			i.registrations = append(i.registrations, item)
		case strings.HasPrefix(item.Key, ownPrefix):
			i.own = append(i.own, item)
		}
	}
}

// read takes everything as it is now, page by page; its age counts from when the first call was sent.
//
// What the operator and this system wrote lies on the first pages and is put in force at once. The rest are registrations, thousands on
// a large site, which an entry leaves to its relay.
func (s *survey) read(ctx context.Context) error {
	n := s.node
	words := n.outside.Schema
	front := max(words.OperatorPrefix(), ownPrefix) + lastKey
	sent := clock.Now()
	var read items
	var revision kv.Revision
	var joined error
	for after, taken := "", false; ; {
		page, err := s.page(ctx, after)
		if err != nil {
			return err
		}
		read.add(page.Items, words)
		if after == "" {
			revision = page.Revision
		}
		after = page.After
		if !taken && (after == "" || after > front) {
			taken = true
			// An entry that can't register can serve all the same.
			joined = s.takeFront(ctx, sent, revision, &read)
		}
		if after == "" {
			break
		}
		if taken && !n.relay.readsAll(clock.Now()) {
			return joined
		}
	}
	n.discovery.take(sent, revision, read.registrations)
	n.relay.publish()
	return joined
}

// lastKey is behind all keys of a prefix.
const lastKey = "\xff"

// page reads one page. On a large site more time is allowed after failures, since many entries that begin at once share the store's link.
func (s *survey) page(ctx context.Context, after string) (kv.Listing, error) {
	timeout := readTimeout
	if s.large {
		timeout <<= min(s.failures, maxStretch)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	list, err := s.node.outside.Store.Range(ctx, "", after)
	s.node.countCall("survey", err)
	s.answered.Store(err == nil)
	if err != nil {
		s.failures++
		return list, fmt.Errorf("read the store: %w", err)
	}
	s.failures, s.large = 0, after != "" || list.After != ""
	return list, nil
}

// takeFront puts in force what the operator and this system's instances wrote; the error is that of registering this one.
func (s *survey) takeFront(ctx context.Context, sent clock.Instant, revision kv.Revision, read *items) error {
	n := s.node
	news := n.configuration.take(read.operator)
	s.confirm(ctx, sent)
	if n.members.take(revision, read.own) || news {
		n.relay.publish()
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := n.members.join(ctx); err != nil {
		return fmt.Errorf("join: %w", err)
	}
	return nil
}

// confirm vouches for the configuration as of an instant, unless one may have been missed.
func (s *survey) confirm(ctx context.Context, sent clock.Instant) {
	n := s.node
	err := n.configuration.bridge(ctx)
	if err == nil {
		n.proof.Confirm(sent)
	}
	if gap := err != nil; gap != s.gap {
		s.gap = gap
		n.log.Warn(event.TableUnconfirmed, "configuration in doubt", zap.Bool("doubt", gap), zap.Error(err), zap.Duration("table_age", n.proof.Age(clock.Now())))
	}
}

// countCall counts a call to the store.
func (n *Node) countCall(purpose string, err error) {
	result := "answered"
	switch {
	case errors.Is(err, kv.ErrRejected):
		result = "rejected"
	case err != nil:
		result = "failed"
	}
	n.metrics.StoreCalls.WithLabelValues(purpose, result).Inc()
}
