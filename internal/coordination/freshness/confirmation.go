package freshness

import (
	"sync/atomic"
	"time"

	"gypsumvale/internal/state/clock"
)

// Confirmation is the time of the newest linearizable read that confirmed the configuration held by this instance.
//
// Its age counts from when the read was sent, since later changes by the operator may be missing from the result. The clock continues to
// run while the system is suspended.
type Confirmation struct{ sent atomic.Int64 }

// Confirm records a read that was sent at an instant and returned nothing newer than the configuration held by this instance.
func (c *Confirmation) Confirm(sent clock.Instant) {
	for {
		held := c.sent.Load()
		if int64(sent) <= held || c.sent.CompareAndSwap(held, int64(sent)) {
			return
		}
	}
}

// SentAt returns when the confirming read was sent, or zero before the first read: until then, nothing newer than the configuration held here
// had been written.
func (c *Confirmation) SentAt() clock.Instant { return clock.Instant(c.sent.Load()) }

// Age returns how long ago the confirming read was sent. Before the first read, it returns the maximum duration.
func (c *Confirmation) Age(now clock.Instant) time.Duration {
	sent := c.SentAt()
	if sent == 0 {
		return 1<<63 - 1
	}
	return now.Sub(sent)
}
