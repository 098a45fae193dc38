package gateway

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/freshness"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/state/clock"
)

// confirmer is the task that reads the operator's keys from the store when the configuration hasn't been confirmed for a part of the bound
// within which a change must be in force: neither a relay that fails nor a slow read of all pages delays a change then.
type confirmer struct {
	node *Node
	// failed counts the reads since the last confirmation.
	failed int
	// askedFor is the instant of the last confirmation when the relay of another zone was asked.
	askedFor clock.Instant
}

func (c *confirmer) run(ctx context.Context) {
	for duty.Sleep(ctx, c.step(ctx)) {
	}
}

// step reads the operator's keys if they are due, and returns how long to wait before the next step.
func (c *confirmer) step(ctx context.Context) time.Duration {
	n := c.node
	budget := freshness.NewBudget(n.bounds.Load().MaxApplyDelay)
	confirmedAt, now := n.confirmation.SentAt(), clock.Now()
	source := n.relay.following(now)
	due, askAt := budget.ReadAt(confirmedAt, source), clock.Instant(0)
	if !source.IsRelay {
		askAt = budget.AskAt(due)
	}
	asked := askAt == 0 || c.askedFor == confirmedAt
	switch {
	case confirmedAt == 0:
		// The reads at the start look for the first configuration.
		return budget.MaxAge(true)
	case now.Before(askAt):
		c.failed = 0
		return askAt.Sub(now)
	case now.Before(due) && !asked:
		c.askedFor = confirmedAt
		n.relay.askElsewhere(ctx, due.Sub(now))
		return 0
	case now.Before(due):
		c.failed = 0
		return due.Sub(now)
	}
	if c.failed == 0 {
		n.log.Info(event.ConfirmationLate, "configuration not confirmed in time, reading the operator's keys",
			zap.Int64("age_ms", now.Sub(confirmedAt).Milliseconds()))
	}
	timeout := budget.ReadTimeout(c.failed)
	readCtx, cancel := duty.WithProgress(ctx, timeout, timeout)
	defer cancel()
	if err := c.read(readCtx, now); err != nil {
		n.log.Debug(event.StoreUnreachable, "failed to read the operator's keys", zap.Error(err))
	}
	if n.confirmation.SentAt() > confirmedAt {
		c.failed = 0
		return 0
	}
	pause := budget.Pause(c.failed)
	c.failed++
	return pause
}

// read reads the operator's keys and applies them.
func (c *confirmer) read(ctx context.Context, sent clock.Instant) error {
	n := c.node
	var items storeItems
	for after, more := "", true; more; more = after != "" {
		page, err := n.deps.Store.Range(ctx, n.deps.Schema.OperatorPrefix(), after)
		n.countStoreCall("confirm", err)
		if err != nil {
			return fmt.Errorf("read the operator's keys: %w", err)
		}
		if items.revision != 0 && items.revision.Era() != page.Revision.Era() {
			return errRestored
		}
		if items.revision == 0 {
			items.revision = page.Revision
		}
		items.add(page.Items, n.deps.Schema)
		after = page.After
	}
	if n.poller.applyOperator(ctx, sent, &items) {
		n.relay.publish()
	}
	return nil
}
