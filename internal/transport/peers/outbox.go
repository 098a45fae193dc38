package peers

import "sync"

// outboxLength is the largest number of frames that wait for one connection.
const outboxLength = 4096

// outbox holds the frames that wait for a connection. It is allocated on demand: a leader has two connections with each entry, nearly all of which
// have no frame waiting, and a channel of outboxLength frames would take 96 KB of each.
type outbox struct {
	// waiting holds a value if frames may be waiting.
	waiting chan struct{}

	mu     sync.Mutex
	frames [][]byte
}

func newOutbox() *outbox { return &outbox{waiting: make(chan struct{}, 1)} }

// push adds a frame, and reports false if the outbox is full.
func (o *outbox) push(data []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.frames) >= outboxLength {
		return false
	}
	o.frames = append(o.frames, data)
	select {
	case o.waiting <- struct{}{}:
	default:
	}
	return true
}

// pop removes the oldest frame, and returns nil if there is none.
func (o *outbox) pop() []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.frames) == 0 {
		return nil
	}
	data := o.frames[0]
	o.frames[0] = nil
	if o.frames = o.frames[1:]; len(o.frames) == 0 {
		// The memory of a burst is released.
		o.frames = nil
	}
	return data
}
