package peers

import (
	"sync"

	"gypsumvale/internal/coordination/transfer"
)

// outbox holds the frames that wait for a connection. It takes memory on demand: a leader has two connections with each entry, nearly all of which
// have no frame waiting.
type outbox struct {
	// waiting holds a value if something may be waiting.
	waiting chan struct{}

	mu    sync.Mutex
	queue transfer.Queue
	// closed is the error for which nothing is sent any more.
	closed error
}

func newOutbox() *outbox { return &outbox{waiting: make(chan struct{}, 1)} }

// push adds a frame. Errors are ErrClosed and ErrFull.
func (o *outbox) push(f *transfer.Frame) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed != nil {
		return ErrClosed
	}
	if err := o.queue.Push(f); err != nil {
		return err
	}
	o.wake()
	return nil
}

// wake has the connection's goroutine look for something to write.
func (o *outbox) wake() {
	select {
	case o.waiting <- struct{}{}:
	default:
	}
}

// next removes what is to be written next, and reports false if nothing waits.
func (o *outbox) next(limit int) (transfer.Part, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.queue.Next(limit)
}

// drain ends all frames because the connection has closed for a cause.
func (o *outbox) drain(cause error) {
	o.mu.Lock()
	o.closed = cause
	if cause == nil {
		o.closed = ErrClosed
	}
	frames := o.queue.Drain()
	o.mu.Unlock()
	for _, f := range frames {
		f.End(cause)
	}
}
