package suspect

import (
	"time"

	"gypsumvale/internal/state/clock"
)

// crashWindow is how long before a refused connection an exchange with the endpoint may have failed because of the crash that it shows.
const crashWindow = 2 * time.Second

// BrokenExchange is an exchange with an endpoint that ended prematurely.
type BrokenExchange struct {
	Exchange
	Digest  string
	Service string
	// Begun is true if a complete event of the answer had arrived.
	Begun    bool
	BrokenAt clock.Instant
	// StartMilli identifies the endpoint's incarnation; zero if unknown.
	StartMilli int64
}

// Chargeable reports whether the parts of the prompt may have caused a crash.
func (e *BrokenExchange) Chargeable() bool { return !e.Begun && len(e.Parts) > 0 }

// heldExchange is a broken exchange of which it isn't known yet whether a crash broke it.
type heldExchange struct {
	BrokenExchange
	// refused is true once the endpoint has refused a connection shortly afterwards, and counted while a crash is counted against it.
	refused, counted bool
}
