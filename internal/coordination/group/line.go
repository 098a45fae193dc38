package group

import (
	"container/heap"
	"time"
)

// waiter is an ask that waits in a line.
type waiter struct {
	ask   GrantRequest
	since time.Time
	index int
}

// deadlineHeap orders waiters by deadline.
type deadlineHeap []*waiter

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].ask.Deadline.Before(h[j].ask.Deadline) }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *deadlineHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *deadlineHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	return w
}

// workspaceLine is the waiters of one workspace and class, and the service that the workspace has had.
type workspaceLine struct {
	waiters deadlineHeap
	// served is the virtual time: granted cost over share, in seconds.
	served float64
}

// fairLine shares grants of one class among workspaces by their shares.
//
// Each grant moves its workspace's virtual time on by cost/share, and the lowest goes next:
//
//	shares 3 and 1, equal costs: a a a b a a a b ...
//
// A workspace that returns from idling starts at the present virtual time, so it can't save up service.
type fairLine struct {
	lines map[string]*workspaceLine
	now   float64
	count int
	cost  time.Duration
}

func newFairLine() *fairLine {
	return &fairLine{lines: make(map[string]*workspaceLine)}
}

func (f *fairLine) push(w *waiter) {
	line := f.lines[w.ask.Workspace]
	if line == nil {
		line = &workspaceLine{served: f.now}
		f.lines[w.ask.Workspace] = line
	}
	heap.Push(&line.waiters, w)
	f.count++
	f.cost += w.ask.Cost
}

// next returns the first waiter of the workspace served least that fits, without removing it.
func (f *fairLine) next(fits func(*GrantRequest) bool) *waiter {
	var best *waiter
	bestServed := 0.0
	for _, line := range f.lines {
		w := line.first(fits)
		if w == nil {
			continue
		}
		earlier := best == nil || line.served < bestServed ||
			line.served == bestServed && before(&w.ask, &best.ask)
		if earlier {
			best, bestServed = w, line.served
		}
	}
	return best
}

// first looks a few places past a waiter that fits nowhere, such as one that asks for an idle endpoint.
func (l *workspaceLine) first(fits func(*GrantRequest) bool) *waiter {
	const lookahead = 4
	for i := 0; i < len(l.waiters) && i < lookahead; i++ {
		if fits(&l.waiters[i].ask) {
			return l.waiters[i]
		}
	}
	return nil
}

// before orders asks totally, so that equal runs give equal results whatever the order of a map.
func before(a, b *GrantRequest) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	if a.Entry != b.Entry {
		return a.Entry < b.Entry
	}
	return a.ID < b.ID
}

// charge moves the workspace's virtual time on by a granted cost.
func (f *fairLine) charge(a *GrantRequest) {
	line := f.lines[a.Workspace]
	f.now = max(f.now, line.served)
	line.served += a.Cost.Seconds() / float64(max(a.Share, 1))
}

func (f *fairLine) remove(w *waiter) {
	line := f.lines[w.ask.Workspace]
	heap.Remove(&line.waiters, w.index)
	f.count--
	f.cost -= w.ask.Cost
	if len(line.waiters) == 0 && line.served <= f.now {
		delete(f.lines, w.ask.Workspace)
	}
}

// forget drops idle workspaces that the others have caught up with.
func (f *fairLine) forget() {
	for name, line := range f.lines {
		if len(line.waiters) == 0 && (f.count == 0 || line.served <= f.now) {
			delete(f.lines, name)
		}
	}
}
