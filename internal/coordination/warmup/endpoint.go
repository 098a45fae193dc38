package warmup

import (
	"slices"
	"time"

	"gypsumvale/internal/state/clock"
)

// Status is whether an endpoint is cold.
type Status uint8

// Statuses of endpoints.
const (
	// Warm endpoints get requests without a limit.
	Warm Status = iota
	// InDoubt means that the endpoint may be cold although it hasn't announced it.
	InDoubt
	// Cold means that the endpoint has announced that it is cold, and the time that it named has not passed.
	Cold
)

// String returns the label that is used in logs.
func (s Status) String() string { return [...]string{"warm", "in_doubt", "cold"}[s] }

// Endpoint is what is known of one endpoint. The zero value is warm.
//
//	event                                              response
//	a registration or an answer names a time left      cold until that time has passed, or a newer statement names none
//	a new incarnation that names no time               cold for Limits.Time
//	a connection was refused or reset, or similar      in doubt until a registration that was read after a given time names none, or the
//	                                                   incarnation answers a call that was sent later
type Endpoint struct {
	coldUntil clock.Instant
	// statedAt is when the newest statement was read, and announced is true if the last registration names a time left.
	statedAt  clock.Instant
	announced bool
	// doubtUntil is from when on a registration ends the doubt; zero is no doubt. doubtedAt is when the reason for it was last seen, and lasting is
	// true if the endpoint may be cold though it wasn't restarted.
	doubtUntil clock.Instant
	doubtedAt  clock.Instant
	lasting    bool
	// admitted holds the instants of the last admissions, of Limits.Admissions at most.
	admitted []clock.Instant
}

// Restart records that a new incarnation runs. What was admitted to the earlier one still counts, since it may be on its way.
func (e *Endpoint) Restart() { *e = Endpoint{admitted: e.admitted} }

// Announce applies a registration that is known since now and was read at an instant no later than that, with the time left that it names.
// That time counts from now, since the registration may have been written at any time before. A registration that was read before the
// newest statement can only prolong the time.
func (e *Endpoint) Announce(now, readAt clock.Instant, left time.Duration) {
	e.announced = left > 0
	e.state(now, readAt, left)
	e.Confirm(readAt)
}

// State applies what an endpoint says of itself in an answer read now.
func (e *Endpoint) State(now clock.Instant, left time.Duration) {
	e.state(now, now, left)
	if left == 0 && !now.Before(e.doubtUntil) {
		e.doubtUntil, e.lasting = 0, false
	}
}

func (e *Endpoint) state(now, readAt clock.Instant, left time.Duration) {
	until := clock.Instant(0)
	if left > 0 {
		until = now.Add(left)
	}
	if readAt.Before(e.statedAt) {
		e.coldUntil = max(e.coldUntil, until)
		return
	}
	e.coldUntil, e.statedAt = until, readAt
}

// Confirm records that the last registration was still the newest at an instant.
func (e *Endpoint) Confirm(readAt clock.Instant) {
	if !e.announced && !readAt.Before(e.doubtUntil) {
		e.doubtUntil, e.lasting = 0, false
	}
}

// Doubt records that the endpoint may have become cold, until a registration that is read a given time later shows that it isn't.
func (e *Endpoint) Doubt(now clock.Instant, after time.Duration) {
	e.doubtUntil, e.doubtedAt = max(e.doubtUntil, now.Add(after)), now
}

// KeepDoubt records that the endpoint may be cold though it wasn't restarted.
func (e *Endpoint) KeepDoubt() { e.lasting = true }

// Continues records that the incarnation registered last answered a call that was sent at an instant. Restarts were a reason for doubt only if
// they came before.
func (e *Endpoint) Continues(sentAt clock.Instant) {
	if !e.lasting && !sentAt.Before(e.doubtedAt) {
		e.doubtUntil = 0
	}
}

// Status returns whether the endpoint is cold.
func (e *Endpoint) Status(now clock.Instant) Status {
	switch {
	case now.Before(e.coldUntil):
		return Cold
	case e.doubtUntil != 0:
		return InDoubt
	}
	return Warm
}

// WarmAt returns when the endpoint is expected to be warm.
func (e *Endpoint) WarmAt() clock.Instant { return max(e.coldUntil, e.doubtUntil) }

// Admit records that the endpoint gets a request. Those to warm endpoints count too, since an endpoint may have become cold just before.
func (e *Endpoint) Admit(now clock.Instant, l *Limits) {
	e.admitted = append(e.admitted, now)
	if excess := len(e.admitted) - max(1, l.Admissions()); excess > 0 {
		e.admitted = slices.Delete(e.admitted, 0, excess)
	}
}

// admits reports whether fewer than a number of requests were admitted in the last Window.
func (e *Endpoint) admits(now clock.Instant, limit int) bool {
	return len(e.admitted) < limit || !now.Before(e.admitted[len(e.admitted)-limit].Add(Window))
}
