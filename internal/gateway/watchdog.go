package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gypsumvale/internal/event"
	"gypsumvale/internal/state/clock"
)

const (
	// silenceFactor times the expected time to a first event, or gapFactor times a route's target pause between events, is how long an
	// endpoint may be silent before this entry checks whether it is reachable; minSilence is the minimum.
	silenceFactor = 3
	gapFactor     = 2
	minSilence    = 400 * time.Millisecond
	// maxFailedChecks is how many consecutive connection attempts must fail; a single SYN packet may get lost.
	maxFailedChecks = 2
	// patientTimeout is how long one more connection attempt may take before an answer that has begun is ended. This instance's own link may be full
	// for that long, and callers wait for two seconds or more.
	patientTimeout = time.Second
)

// errSilent is the cancellation cause of an attempt whose endpoint sends nothing and accepts no connections.
var errSilent = errors.New("endpoint is silent and accepts no connections")

// errNotStarted is the cancellation cause of an attempt that waits at an engine whose weights may no longer be used.
var errNotStarted = errors.New("request has not started before the engine's weights were replaced")

// watchdog checks whether an endpoint is still reachable while it sends nothing. The connections to an endpoint that vanished without
// closing them stay open, and a request that may be repeated is better sent to another endpoint; one that may not be repeated has no
// alternative.
type watchdog struct {
	job    *job
	cancel context.CancelCauseFunc
	// endpoint and address are those of the watched attempt; the job's own change with the next attempt, while a check may still be in
	// progress.
	endpoint string
	address  string

	mu      sync.Mutex
	timeout time.Duration
	timer   *time.Timer
	// withdrawal ends an attempt that has not started in time; nil if there is no such limit.
	withdrawal *time.Timer
	// receivedAt is when the last bytes arrived; started is true once some have, and ended once the attempt is over.
	receivedAt clock.Instant
	started    bool
	ended      bool
}

// startWatchdog starts watching an attempt; the returned context is canceled with errSilent if the endpoint is unreachable.
func (j *job) startWatchdog(ctx context.Context) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	d := &watchdog{
		job: j, cancel: cancel, endpoint: j.choice.Endpoint, address: j.choice.Address,
		timeout: max(minSilence, silenceFactor*j.choice.Expected), receivedAt: clock.Now(),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if at := j.node.placer.withdrawAt(&j.placementReq, &j.choice); at != 0 {
		d.withdrawal = time.AfterFunc(at.Sub(clock.Now()), d.withdraw)
	}
	switch {
	case j.attempts.CanRerun():
		d.timer = time.AfterFunc(d.timeout, func() { d.checkSilence(ctx) })
	case j.attempts.Repeatable:
		d.timer = time.AfterFunc(d.timeout, func() { d.checkIsolation(ctx) })
	}
	return ctx, d
}

// withdraw ends the attempt unless it has started.
func (d *watchdog) withdraw() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.started && !d.ended {
		d.cancel(errNotStarted)
	}
}

// received records that bytes have arrived; from then on the pause between events is limited.
func (d *watchdog) received() {
	if d == nil {
		// A helper watches the endpoint itself.
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.receivedAt = clock.Now()
	d.started = true
	d.timeout = max(minSilence, gapFactor*d.job.route.TargetEventGap)
}

func (d *watchdog) stop() {
	d.mu.Lock()
	d.ended = true
	if d.timer != nil {
		d.timer.Stop()
	}
	if d.withdrawal != nil {
		d.withdrawal.Stop()
	}
	d.mu.Unlock()
	d.cancel(nil)
}

// remaining returns the time until the silence exceeds the limit, and false once the attempt is over.
func (d *watchdog) remaining() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.receivedAt.Add(d.timeout).Sub(clock.Now()), !d.ended
}

// checkSilence checks the endpoint if it has been silent for too long, and schedules the next check.
func (d *watchdog) checkSilence(ctx context.Context) {
	remaining, active := d.remaining()
	if !active {
		return
	}
	if remaining <= 0 {
		silent := d.silentFor()
		if err := d.checkReachable(ctx); err != nil && ctx.Err() == nil && d.mayRerun() {
			n := d.job.node
			n.log.Info(event.EndpointDown, "silent endpoint is unreachable", zap.String("request", d.job.head.ID),
				zap.String("endpoint", d.endpoint), zap.Int64("silent_ms", silent.Milliseconds()), zap.Error(err))
			d.cancel(errSilent)
			return
		}
		remaining = d.doubleTimeout()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ended {
		d.timer.Reset(remaining)
	}
}

// checkReachable returns an error if the endpoint accepts no connection. Connection attempts also fail while this instance's own link is full, which a
// part of an answer that was sent can't make up for, unlike one that has not begun.
func (d *watchdog) checkReachable(ctx context.Context) error {
	n := d.job.node
	err := n.probe(ctx, d.address)
	if err == nil || !d.hasStarted() {
		return err
	}
	if err := n.upstreams.ProbeWithin(ctx, d.address, patientTimeout); err != nil {
		return fmt.Errorf("check silent endpoint: %w", err)
	}
	return nil
}

// mayRerun reports whether the attempt may be ended, which it may not if the endpoint is no longer silent. If a part of the answer has arrived, the
// next attempt is taken from the retry budget: without one the answer would be cut, while a request without an answer gets a status.
func (d *watchdog) mayRerun() bool {
	if remaining, active := d.remaining(); !active || remaining > 0 {
		return false
	}
	if !d.hasStarted() {
		return true
	}
	if !d.job.takeRetry() {
		return false
	}
	d.job.retryTaken.Store(true)
	return true
}

// confirmIsolation reports whether the endpoint of an answer that has begun accepts no connection and is still silent. This instance also counts as
// isolated while its own link is full.
func (d *watchdog) confirmIsolation(ctx context.Context) bool {
	if !d.hasStarted() {
		return true
	}
	err := d.job.node.upstreams.ProbeWithin(ctx, d.address, patientTimeout)
	remaining, active := d.remaining()
	return err != nil && active && remaining <= 0 && d.job.node.links.isolated.Load()
}

func (d *watchdog) hasStarted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.started
}

// checkIsolation ends an attempt that can't be repeated here if its endpoint is silent while this entry is isolated: its caller may repeat it, and a
// peer serves it then. Without isolation a silent endpoint is left alone.
func (d *watchdog) checkIsolation(ctx context.Context) {
	remaining, active := d.remaining()
	if !active {
		return
	}
	if remaining <= 0 && d.job.node.links.isolated.Load() && d.confirmIsolation(ctx) {
		d.job.node.log.Info(event.EndpointDown, "silent endpoint can't be reached", zap.String("request", d.job.head.ID),
			zap.String("endpoint", d.endpoint), zap.Int64("silent_ms", d.silentFor().Milliseconds()))
		d.cancel(errSilent)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ended {
		d.timer.Reset(max(minSilence, remaining))
	}
}

// doubleTimeout returns the pause until the next check of a reachable but silent endpoint, and doubles it for the check after that.
func (d *watchdog) doubleTimeout() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	pause := d.timeout
	d.timeout *= 2
	return pause
}

func (d *watchdog) silentFor() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return clock.Now().Sub(d.receivedAt)
}

// probe opens a connection to an endpoint, which the next request reuses.
func (n *Node) probe(ctx context.Context, address string) error {
	var err error
	for range maxFailedChecks {
		if err = n.upstreams.Probe(ctx, address); err == nil {
			return nil
		}
	}
	return err
}
