package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gypsumvale/internal/event"
	"gypsumvale/internal/state/clock"
)

const (
	// silenceFactor is how many times the expected time to a first event, or a route's pause between events, an endpoint may be silent
	// before this entry looks whether it is still there; leastSilence bounds that from below.
	silenceFactor = 3
	gapFactor     = 2
	leastSilence  = 400 * time.Millisecond
	// checksInVain is how many connections in a row have to fail: one opening packet is lost now and then.
	checksInVain = 2
)

// errSilent says that an endpoint sends nothing and takes no connections.
var errSilent = errors.New("endpoint is silent and takes no connections")

// watchdog looks whether an endpoint is still there while nothing comes from it. An endpoint that is gone without a word keeps its
// connections open, and a request that may be repeated is better off elsewhere; one that may not has nowhere to go.
type watchdog struct {
	job    *job
	cancel context.CancelCauseFunc
	// endpoint and address are those of the attempt; the job's own change with the next attempt, while a check may still be under way.
	endpoint string
	address  string

	mu    sync.Mutex
	span  time.Duration
	timer *time.Timer
	// heard is when the last bytes came, and ended says that the attempt is over.
	heard clock.Instant
	ended bool
}

// watch begins to watch an attempt; its context ends with errSilent when the endpoint is gone.
func (j *job) watch(ctx context.Context) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	d := &watchdog{job: j, cancel: cancel, endpoint: j.choice.Endpoint, address: j.choice.Address, span: max(leastSilence, silenceFactor*j.choice.Expected), heard: clock.Now()}
	if j.tries.CanRerun() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.timer = time.AfterFunc(d.span, func() { d.look(ctx) })
	}
	return ctx, d
}

// hear notes that something has come; from then on pauses between events count.
func (d *watchdog) hear() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heard = clock.Now()
	d.span = max(leastSilence, gapFactor*d.job.route.TargetEventGap)
}

// end ends the watch.
func (d *watchdog) end() {
	d.mu.Lock()
	d.ended = true
	if d.timer != nil {
		d.timer.Stop()
	}
	d.mu.Unlock()
	d.cancel(nil)
}

// rest returns how long it is until the silence is too long, or nothing once the attempt is over.
func (d *watchdog) rest() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.heard.Add(d.span).Sub(clock.Now()), !d.ended
}

// look checks the endpoint if it has been silent for too long, and comes back later otherwise.
func (d *watchdog) look(ctx context.Context) {
	rest, going := d.rest()
	if !going {
		return
	}
	if rest <= 0 {
		silent := d.heardAgo()
		if err := d.check(ctx); err != nil && ctx.Err() == nil {
			n := d.job.node
			n.log.Info(event.EndpointDown, "endpoint does not answer", zap.String("request", d.job.head.ID), zap.String("endpoint", d.endpoint),
				zap.Int64("silent_ms", silent.Milliseconds()), zap.Error(err))
			d.cancel(errSilent)
			return
		}
		rest = d.backOff()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ended {
		d.timer.Reset(rest)
	}
}

// backOff returns the pause until the next check of an endpoint that is there and sends nothing; each is twice as long.
func (d *watchdog) backOff() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	rest := d.span
	d.span *= 2
	return rest
}

func (d *watchdog) heardAgo() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return clock.Now().Sub(d.heard)
}

// check opens a connection to the endpoint, which the next request uses.
func (d *watchdog) check(ctx context.Context) error {
	var err error
	for range checksInVain {
		if err = d.job.node.endpoints.Probe(ctx, d.address); err == nil {
			return nil
		}
	}
	return err
}
