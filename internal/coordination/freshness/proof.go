package freshness

import (
	"sync/atomic"
	"time"

	"gypsumvale/internal/state/clock"
)

// Confirmation is the newest linearizable read that confirmed the configuration held here.
//
// It counts from the moment that the read was sent, on a clock that goes on during suspensions: whatever the operator changed
// later may have been missed.
type Confirmation struct{ sent atomic.Int64 }

// Confirm notes a read that was sent at an instant and returned nothing newer than what is held now.
func (p *Confirmation) Confirm(sent clock.Instant) {
	for {
		held := p.sent.Load()
		if int64(sent) <= held || p.sent.CompareAndSwap(held, int64(sent)) {
			return
		}
	}
}

// Age returns how long ago the confirming read was sent; without one it is longer than any bound.
func (p *Confirmation) Age(now clock.Instant) time.Duration {
	sent := clock.Instant(p.sent.Load())
	if sent == 0 {
		return 1<<63 - 1
	}
	return now.Sub(sent)
}
