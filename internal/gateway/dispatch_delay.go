package gateway

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/succession"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/state/clock"
)

// DelayProbe measures how long data that has arrived waits until this process reads it.
type DelayProbe interface {
	// Measure records a delay about once per succession.SamplePeriod until the context ends.
	Measure(ctx context.Context, record func(time.Duration)) error
}

// pipeProbe measures the delay at a pipe to the process itself, which the Go runtime polls together with all connections. A timer would
// show less, since the runtime executes what a timer wakes before everything else that is ready.
type pipeProbe struct{}

// Measure implements DelayProbe.
func (pipeProbe) Measure(ctx context.Context, record func(time.Duration)) error {
	r, w, err := os.Pipe()
	if err != nil {
		return fmt.Errorf("open pipe: %w", err)
	}
	// written has room for the one byte that is outstanding at most.
	written, read := make(chan clock.Instant, 1), make(chan struct{}, 1)
	var reader sync.WaitGroup
	reader.Go(func() {
		var b [1]byte
		for {
			if _, err := r.Read(b[:]); err != nil {
				return
			}
			record(clock.Now().Sub(<-written))
			read <- struct{}{}
		}
	})
	defer func() {
		// The reader gets the end of the file.
		_ = w.Close()
		reader.Wait()
		_ = r.Close()
	}()
	for duty.Sleep(ctx, succession.SamplePeriod) {
		written <- clock.Now()
		if _, err := w.Write([]byte{0}); err != nil {
			return fmt.Errorf("write to pipe: %w", err)
		}
		select {
		case <-read:
		case <-ctx.Done():
		}
	}
	return nil
}

// dispatchDelay is the task that measures whether this instance is behind, with what it reads or with its placement.
type dispatchDelay struct {
	node  *Node
	probe DelayProbe

	mu     sync.Mutex
	delays succession.Delays
}

func newDispatchDelay(n *Node) *dispatchDelay {
	d := &dispatchDelay{node: n, probe: n.deps.Delay}
	if d.probe == nil {
		d.probe = pipeProbe{}
	}
	return d
}

func (d *dispatchDelay) run(ctx context.Context) {
	if err := d.probe.Measure(ctx, d.record); err != nil {
		d.node.log.Warn(event.InstanceBehind, "dispatch delays are not measured", zap.Error(err))
	}
}

// record adds a sample. While placement is stopped, the requests that arrive wait for it however soon they are read.
func (d *dispatchDelay) record(delay time.Duration) {
	now := clock.Now()
	delay = max(delay, d.node.placer.stall(now))
	d.mu.Lock()
	since := d.delays.BehindSince()
	changed := d.delays.Record(now, delay)
	mean, behind := d.delays.Mean(), d.delays.Behind()
	d.mu.Unlock()
	d.node.metrics.DispatchDelay.Set(mean.Seconds())
	if !changed {
		return
	}
	leads := d.node.leadership.mayStillLead()
	fields := []zap.Field{zap.Bool("behind", behind), zap.Bool("leader", leads), zap.Int64("delay_us", mean.Microseconds()),
		zap.Int64("in_flight", d.node.inFlight.Load())}
	if behind {
		d.node.log.Warn(event.InstanceBehind, "instance is behind", fields...)
		return
	}
	d.node.log.Info(event.InstanceBehind, "instance has caught up", append(fields, zap.Int64("span_ms", now.Sub(since).Milliseconds()))...)
}

// state returns the mean delay, and since when this instance is behind, or zero if it isn't.
func (d *dispatchDelay) state() (mean time.Duration, behindSince clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.delays.Mean(), d.delays.BehindSince()
}
