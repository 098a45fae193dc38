package gateway

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/memory"
	"gypsumvale/internal/event"
	"gypsumvale/internal/settings"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/transport/intake"
)

// callerGuard keeps callers within the process's limits on memory and connections.
type callerGuard interface {
	Protect(l net.Listener, server *http.Server) net.Listener
	// ReadRequest reads the body of a request to its end by a deadline. The caller releases the memory.
	ReadRequest(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, *intake.Held, error)
	// ReadReply reads an answer until its end, the limit, or the end of the memory for answers. The caller releases the memory.
	ReadReply(r io.Reader, length, limit int64) (body []byte, whole bool, held *intake.Held, err error)
	// HoldStream counts bytes of a stream in progress. The caller releases them.
	HoldStream(n int64) *intake.Held
	// CountFrame counts the bytes of a peer's frame or, if n is negative, returns them.
	CountFrame(n int64)
	Used(u memory.Use) int64
	Connections() int
}

// newGuard returns a guard with the limits of the settings.
func newGuard(cfg *settings.Hosted, count func(reason string)) *intake.Guard {
	return intake.New(intake.LimitsFor(cfg.MemoryMB, cfg.MaxConnections, cfg.BuffersMB, defaultBodyBytes), count)
}

// ownDeadline returns the instant at which the request ends: the caller's deadline or the route's, whichever is sooner.
func (j *job) ownDeadline() clock.Instant {
	deadline := j.arrived.Add(j.route.Timeout)
	if j.head.Deadline != 0 && j.head.Deadline.Before(deadline) {
		deadline = j.head.Deadline
	}
	return deadline
}

// receiveBody reads the body within the process's memory, until the request's own deadline.
func (j *job) receiveBody(limit int64) *refusal {
	deadline := time.Now().Add(j.ownDeadline().Sub(clock.Now()))
	body, held, err := j.node.guard.ReadRequest(j.w, j.r, limit, deadline)
	switch {
	case err == nil:
		j.body, j.held, j.bodyRead = body, held, true
		return nil
	case errors.Is(err, intake.ErrTooLarge):
		return &refusal{http.StatusRequestEntityTooLarge, "body_too_large", 0}
	case errors.Is(err, intake.ErrNoMemory):
		return unavailable("memory", clock.Now().Add(memoryRetryDelay))
	case errors.Is(err, intake.ErrLate):
		return &refusal{http.StatusRequestTimeout, "body_late", 0}
	}
	return &refusal{http.StatusBadRequest, "body_broken", 0}
}

func (j *job) releaseMemory() {
	j.held.Release()
	j.replyHeld.Release()
}

// memoryRetryDelay is the Retry-After delay of a request that found no memory. A crowd that holds the memory is refused within this time.
const memoryRetryDelay = time.Second

// intakeReport logs how often callers were refused or disconnected to stay within the limits.
type intakeReport struct {
	total atomic.Int64
	// logged is the total when a line was last logged, at loggedAt. One goroutine uses them.
	logged   int64
	loggedAt clock.Instant
}

// intakeLogPeriod is the shortest time between two lines, so that a crowd doesn't fill the log.
const intakeLogPeriod = 10 * time.Second

// countIntake counts a connection that was closed or a request that was refused.
func (n *Node) countIntake(reason string) {
	n.metrics.Intake.WithLabelValues(reason).Inc()
	n.intake.total.Add(1)
}

// reportIntake publishes what is held for callers.
func (n *Node) reportIntake(now clock.Instant) {
	for _, u := range memory.Uses() {
		n.metrics.Held.WithLabelValues(u.String()).Set(float64(n.guard.Used(u)))
	}
	n.metrics.Connections.Set(float64(n.guard.Connections()))
	r := &n.intake
	total := r.total.Load()
	if total == r.logged || now.Sub(r.loggedAt) < intakeLogPeriod {
		return
	}
	n.log.Warn(event.IntakeLimited, "connections closed or requests refused to stay within limits", zap.Int64("count", total-r.logged),
		zap.Int("connections", n.guard.Connections()), zap.Int64("body_bytes", n.guard.Used(memory.Bodies)),
		zap.Int64("header_bytes", n.guard.Used(memory.Headers)))
	r.logged, r.loggedAt = total, now
}
