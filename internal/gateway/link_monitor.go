package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/isolation"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/registration"
)

const (
	// checkedEndpoints is how many endpoints are dialed to find out whether this instance reaches any.
	checkedEndpoints = 3
	// probePeriod is the interval at which an isolated instance dials as many.
	probePeriod = 200 * time.Millisecond
)

// linkMonitor finds out whether this instance has lost its links to all endpoints, while peers may still have theirs.
type linkMonitor struct {
	node *Node
	// isolated is the state of the detector, for requests, which must not wait for the lock.
	isolated atomic.Bool

	mu       sync.Mutex
	detector *isolation.Detector
	// checked is closed when the check in progress has ended, and nil while there is none.
	checked chan struct{}
}

func newLinkMonitor(n *Node) *linkMonitor {
	return &linkMonitor{node: n, detector: isolation.NewDetector()}
}

// isolatedSince returns since when this instance is isolated, or zero.
func (l *linkMonitor) isolatedSince() clock.Instant {
	l.mu.Lock()
	defer l.mu.Unlock()
	since, _ := l.detector.Isolated()
	return since
}

// recordDial records the outcome of a dial to an endpoint, and starts a check if this instance may be isolated.
func (l *linkMonitor) recordDial(address string, err error) {
	if err != nil && (!isUnreachable(err) || !l.node.discovery.addresses()[address]) {
		return
	}
	l.mu.Lock()
	check := l.detector.RecordDial(clock.Now(), address, err == nil)
	if check {
		l.checked = make(chan struct{})
	}
	l.update()
	l.mu.Unlock()
	if check {
		l.node.wg.Go(func() { l.check(l.node.background) })
	}
}

// isUnreachable reports whether an error of a dial says that the address can't be reached, rather than that this process lacks something.
func isUnreachable(err error) bool {
	var timeout net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout() ||
		errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}

// update makes the detector's state known, and logs a change; the caller holds the lock.
func (l *linkMonitor) update() {
	_, isolated := l.detector.Isolated()
	if l.isolated.Swap(isolated) == isolated {
		return
	}
	n := l.node
	if isolated {
		n.metrics.Isolated.Set(1)
		n.log.Warn(event.EndpointsUnreachable, "no endpoint can be reached, requests are handed over to peers", zap.Bool("isolated", true))
		return
	}
	n.metrics.Isolated.Set(0)
	n.log.Info(event.EndpointsUnreachable, "endpoints can be reached again", zap.Bool("isolated", false))
}

// check dials some endpoints at once.
func (l *linkMonitor) check(ctx context.Context) {
	targets := l.targets(checkedEndpoints)
	reached := l.dial(ctx, targets)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.detector.EndCheck(clock.Now(), len(targets) > 0 && !reached && ctx.Err() == nil)
	close(l.checked)
	l.checked = nil
	l.update()
}

// dial dials endpoints at once, and reports whether any was reached.
func (l *linkMonitor) dial(ctx context.Context, targets []*registration.Registration) bool {
	var reached atomic.Bool
	var dials sync.WaitGroup
	for _, r := range targets {
		dials.Go(func() {
			if l.node.upstreams.Probe(ctx, r.Address) == nil {
				reached.Store(true)
			}
		})
	}
	dials.Wait()
	return reached.Load()
}

// targets returns some endpoints: one of the own zone, which is reached while others are cut off, then of as many zones and services as there are,
// in random order, and others than those that have failed just now if there are any.
func (l *linkMonitor) targets(limit int) []*registration.Registration {
	var all []*registration.Registration
	for _, endpoints := range l.node.discovery.snapshot() {
		all = append(all, endpoints...)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	l.mu.Lock()
	defer l.mu.Unlock()
	var chosen []*registration.Registration
	seen := make(map[string]bool)
	// The first round takes one of the own zone, the second one of each zone, the third one of each service, the fourth any, and the last those that
	// have failed.
	for _, fits := range []func(r *registration.Registration) bool{
		func(r *registration.Registration) bool {
			return r.Zone == l.node.cfg.Zone && !seen["zone "+r.Zone] && !l.detector.Failed(r.Address)
		},
		func(r *registration.Registration) bool { return !seen["zone "+r.Zone] && !l.detector.Failed(r.Address) },
		func(r *registration.Registration) bool {
			return !seen["service "+r.Service] && !l.detector.Failed(r.Address)
		},
		func(r *registration.Registration) bool { return !l.detector.Failed(r.Address) },
		func(*registration.Registration) bool { return true },
	} {
		for _, r := range all {
			if len(chosen) == limit {
				return chosen
			}
			if seen[r.Address] || !fits(r) {
				continue
			}
			chosen = append(chosen, r)
			seen[r.Address], seen["zone "+r.Zone], seen["service "+r.Service] = true, true, true
		}
	}
	return chosen
}

// awaitCheck waits for the check in progress, if there is one, and reports whether this instance is isolated.
func (l *linkMonitor) awaitCheck(ctx context.Context) bool {
	l.mu.Lock()
	checked := l.checked
	l.mu.Unlock()
	if checked != nil {
		select {
		case <-checked:
		case <-ctx.Done():
		}
	}
	return l.isolated.Load()
}

// run probes endpoints while this instance is isolated.
func (l *linkMonitor) run(ctx context.Context) {
	duty.Every(ctx, probePeriod, func(ctx context.Context) {
		if l.isolated.Load() {
			l.probe(ctx)
		}
	})
}

// probe dials endpoints of as many zones as there are: only those of the own zone may be reached.
func (l *linkMonitor) probe(ctx context.Context) {
	targets := l.targets(checkedEndpoints)
	l.dial(ctx, targets)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.detector.EndProbe(len(targets))
	l.update()
}
