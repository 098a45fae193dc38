package gateway

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
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
	// ReadBody reads a body to its end; interrupt must end the read in progress. The caller releases the memory.
	ReadBody(r io.Reader, length, limit int64, interrupt func()) ([]byte, *intake.Held, error)
	// ReadReply reads an answer until its end, the limit, or the end of the memory for answers. The caller releases the memory.
	ReadReply(r io.Reader, length, limit int64) (body []byte, whole bool, held *intake.Held, err error)
	// HoldStream counts bytes of a stream in progress. The caller releases them.
	HoldStream(n int64) *intake.Held
	Used(u memory.Use) int64
	Connections() int
}

// newGuard returns a guard with the limits that the settings name or, where they name none, with those that follow from the process's memory
// and descriptors.
func newGuard(cfg *settings.Hosted, count func(reason string)) *intake.Guard {
	var descriptors syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors) != nil {
		descriptors.Cur = 1024
	}
	limits := intake.DefaultLimits(cfg.MemoryMB, descriptors.Cur)
	if cfg.MaxConnections > 0 {
		limits.Connections = cfg.MaxConnections
	}
	if cfg.BuffersMB > 0 {
		limits.Bytes = int64(cfg.BuffersMB * (1 << 20))
	}
	return intake.New(limits, count)
}

// ownDeadline returns the instant at which the request ends: the caller's deadline or the route's, whichever is sooner.
func (j *job) ownDeadline() clock.Instant {
	deadline := j.arrived.Add(j.route.Timeout)
	if j.head.Deadline != 0 && j.head.Deadline.Before(deadline) {
		deadline = j.head.Deadline
	}
	return deadline
}

// interrupted is a read deadline in the past, which ends a read in progress.
var interrupted = time.Unix(1, 0)

// receiveBody reads the body within the process's memory, until the request's own deadline.
func (j *job) receiveBody(limit int64) *refusal {
	if j.r.ContentLength == 0 {
		j.bodyRead = true
		return nil
	}
	control := http.NewResponseController(j.w)
	// An error shows with the first read.
	_ = control.SetReadDeadline(time.Now().Add(j.ownDeadline().Sub(clock.Now())))
	interrupt := func() { _ = control.SetReadDeadline(interrupted) }
	body, held, err := j.node.guard.ReadBody(j.r.Body, j.r.ContentLength, limit, interrupt)
	switch {
	case err == nil:
		// net/http goes on reading to notice that the caller leaves, and would take the end of the deadline for that.
		_ = control.SetReadDeadline(time.Time{})
		j.body, j.held, j.bodyRead = body, held, true
		return nil
	case errors.Is(err, intake.ErrTooLarge):
		return &refusal{http.StatusRequestEntityTooLarge, "body_too_large", 0}
	case errors.Is(err, intake.ErrNoMemory):
		return unavailable("memory", clock.Now().Add(memoryRetryDelay))
	case errors.Is(err, os.ErrDeadlineExceeded):
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
