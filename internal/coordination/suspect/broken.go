package suspect

import (
	"time"

	"gypsumvale/internal/state/clock"
)

// crashWindow is how long before the detection of a crash an exchange with the endpoint may have failed because of it.
const crashWindow = 2 * time.Second

// BrokenExchange is an exchange with an endpoint that ended prematurely.
type BrokenExchange struct {
	Exchange
	Digest  string
	Service string
	// Begun is true if a complete event of the answer had arrived.
	Begun    bool
	BrokenAt clock.Instant
}

// Chargeable reports whether the parts of the prompt may have caused a crash.
func (e *BrokenExchange) Chargeable() bool { return !e.Begun && len(e.Parts) > 0 }

type heldExchange struct {
	BrokenExchange
	// returned is true once a crash has been reported for the exchange, and charged once a refused connection has shown it.
	returned, charged bool
}

// BrokenExchanges holds the exchanges that ended prematurely until it is known whether their endpoints have crashed.
type BrokenExchanges struct {
	byEndpoint map[string][]*heldExchange
}

// NewBrokenExchanges returns an empty set.
func NewBrokenExchanges() *BrokenExchanges {
	return &BrokenExchanges{byEndpoint: make(map[string][]*heldExchange)}
}

// Record adds an exchange with an endpoint, and forgets those of all endpoints that are too old for a crash.
func (b *BrokenExchanges) Record(endpoint string, e BrokenExchange) {
	b.byEndpoint[endpoint] = append(b.byEndpoint[endpoint], &heldExchange{BrokenExchange: e})
	for id, list := range b.byEndpoint {
		kept := list[:0]
		for _, h := range list {
			if e.BrokenAt.Sub(h.BrokenAt) < crashWindow {
				kept = append(kept, h)
			}
		}
		clear(list[len(kept):])
		b.byEndpoint[id] = kept
		if len(kept) == 0 {
			delete(b.byEndpoint, id)
		}
	}
}

// Crashed returns the exchanges that a crash of their endpoint may have broken. Each is returned at the first sign of a crash, and those whose
// parts may have caused it once more when the endpoint refuses connections, since one that can't be reached may be cut off.
func (b *BrokenExchanges) Crashed(now clock.Instant, endpoint string, refused bool) []BrokenExchange {
	var list []BrokenExchange
	for _, h := range b.byEndpoint[endpoint] {
		charge := refused && !h.charged && h.Chargeable()
		if now.Sub(h.BrokenAt) >= crashWindow || h.returned && !charge {
			continue
		}
		h.returned, h.charged = true, h.charged || charge
		list = append(list, h.BrokenExchange)
	}
	return list
}
