package duty

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/coordination/transfer"
)

// ErrStalled is the cause with which a context of WithProgress ends when its transfer has made no progress.
var ErrStalled = errors.New("no progress")

// progress ends a context whose transfer has stalled.
type progress struct {
	end context.CancelCauseFunc

	mu       sync.Mutex
	transfer *transfer.Progress
	timer    *time.Timer
	notify   func()
}

type progressKey struct{}

// WithProgress returns a context for a call whose answer may be large: it ends with ErrStalled if the answer hasn't begun after some time, or makes no
// progress for the stall time. RecordProgress tells it what has arrived.
func WithProgress(parent context.Context, begin, stall time.Duration) (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancelCause(parent)
	p := &progress{end: end, transfer: transfer.NewProgress(time.Now().Add(begin), stall)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(begin, p.check)
	return context.WithValue(ctx, progressKey{}, p), func() {
		p.timer.Stop()
		end(context.Canceled)
	}
}

// RecordProgress records that n bytes of the answer to a context's call have arrived. It does nothing if the context isn't one of WithProgress.
func RecordProgress(ctx context.Context, n int) {
	p, ok := ctx.Value(progressKey{}).(*progress)
	if !ok || n <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.transfer.Record(time.Now(), n) && p.notify != nil {
		p.notify()
	}
}

// NotifyProgress has a function called when the deadline of a context of WithProgress moves because of progress. It must not block.
func NotifyProgress(ctx context.Context, notify func()) {
	if p, ok := ctx.Value(progressKey{}).(*progress); ok {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.notify = notify
	}
}

// check ends the context if the deadline has passed. Otherwise it has moved, and is checked again.
func (p *progress) check() {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := time.Until(p.transfer.Deadline)
	if left <= 0 {
		p.end(ErrStalled)
		return
	}
	p.timer.Reset(left)
}
