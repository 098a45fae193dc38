package group

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Directory tells an owner which endpoints a group has now.
type Directory interface {
	// Members returns a group's endpoints.
	Members(key Key) []Member
	// Resumed is called after this process has been paused; it returns once the platform's list has been read again.
	Resumed(ctx context.Context)
}

const (
	ownerRing      = 8192
	tickPeriod     = 20 * time.Millisecond
	membersPeriod  = 200 * time.Millisecond
	pauseLimit     = time.Second
	idleQueueLimit = 30 * time.Second
	maxWaiting     = 2048
)

type commandKind uint8

const (
	commandAsk commandKind = iota
	commandAdopt
	commandWithdraw
	commandDone
	commandProgress
	commandDropEntry
	commandEvicted
	commandSuspicious
	commandDown
)

type command struct {
	kind     commandKind
	key      Key
	ask      GrantRequest
	id       GrantID
	ratio    float64
	endpoint string
	context  string
	reply    chan Action
}

type replyKey struct {
	group Key
	ask   GrantID
}

type ownedQueue struct {
	queue *Queue
	used  time.Time
}

// Owner runs the queues of the groups that this instance owns, in one goroutine.
type Owner struct {
	directory Directory
	ring      chan command
	queues    map[Key]*ownedQueue
	replies   map[replyKey]chan Action
	ended     chan struct{}
}

// NewOwner returns an owner without groups; Run starts it.
func NewOwner(d Directory) *Owner {
	return &Owner{
		directory: d,
		ring:      make(chan command, ownerRing),
		queues:    make(map[Key]*ownedQueue),
		replies:   make(map[replyKey]chan Action),
		ended:     make(chan struct{}),
	}
}

// Acquire waits for a grant or a refusal; the error is ErrRefused if the ring is full, or the context's.
func (o *Owner) Acquire(ctx context.Context, key Key, a GrantRequest) (Action, error) {
	reply := make(chan Action, 1)
	select {
	case o.ring <- command{kind: commandAsk, key: key, ask: a, reply: reply}:
	default:
		return Action{}, fmt.Errorf("owner busy: %w", ErrRefused)
	}
	select {
	case action := <-reply:
		return action, nil
	case <-ctx.Done():
		o.Withdraw(key, GrantID{Entry: a.Entry, ID: a.ID})
		return Action{}, fmt.Errorf("wait for grant: %w", ctx.Err())
	}
}

// Adopt takes over a grant of an earlier owner.
func (o *Owner) Adopt(key Key, a GrantRequest, endpoint string) {
	o.post(command{kind: commandAdopt, key: key, ask: a, endpoint: endpoint})
}

// Withdraw drops an ask or an unused grant.
func (o *Owner) Withdraw(key Key, id GrantID) {
	o.post(command{kind: commandWithdraw, key: key, id: id})
}

// Done ends a grant.
func (o *Owner) Done(key Key, id GrantID, ratio float64) {
	o.post(command{kind: commandDone, key: key, id: id, ratio: ratio})
}

// Progress reports on a running grant.
func (o *Owner) Progress(key Key, id GrantID, ratio float64) {
	o.post(command{kind: commandProgress, key: key, id: id, ratio: ratio})
}

// DropEntry forgets an entry whose connection has closed.
func (o *Owner) DropEntry(entry string) {
	o.post(command{kind: commandDropEntry, id: GrantID{Entry: entry}})
}

// Evicted says that an endpoint has dropped a conversation's first piece from its cache.
func (o *Owner) Evicted(endpoint, context string) {
	o.post(command{kind: commandEvicted, endpoint: endpoint, context: context})
}

// CacheEventsMissed says that cache events of an endpoint were missed.
func (o *Owner) CacheEventsMissed(endpoint string) {
	o.post(command{kind: commandSuspicious, endpoint: endpoint})
}

// MarkDown says that an endpoint has just failed, until its members are read again.
func (o *Owner) MarkDown(endpoint string) {
	o.post(command{kind: commandDown, endpoint: endpoint})
}

// post waits for a place in the ring, since a lost end would keep a slot in use; an owner that has ended takes nothing.
func (o *Owner) post(c command) {
	select {
	case o.ring <- c:
	case <-o.ended:
	}
}

// Run serves until the context ends.
func (o *Owner) Run(ctx context.Context) {
	defer close(o.ended)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	last := time.Now()
	var refreshed time.Time
	for {
		var c command
		isCommand := false
		select {
		case <-ctx.Done():
			return
		case c = <-o.ring:
			isCommand = true
		case <-ticker.C:
		}
		now := time.Now()
		// The ticker bounds the time between rounds, so a long one means that this process stood still.
		if now.Sub(last) > pauseLimit {
			o.directory.Resumed(ctx)
			refreshed = time.Time{}
			now = time.Now()
		}
		last = now
		if now.Sub(refreshed) >= membersPeriod {
			refreshed = now
			o.refresh(now)
		}
		if isCommand {
			o.handle(now, &c)
			continue
		}
		for key, q := range o.queues {
			o.deliver(key, q.queue.Tick(now))
		}
	}
}

func (o *Owner) refresh(now time.Time) {
	for key, q := range o.queues {
		if now.Sub(q.used) > idleQueueLimit && q.queue.Running() == 0 && q.queue.Waiting() == 0 {
			delete(o.queues, key)
			continue
		}
		o.deliver(key, q.queue.SetMembers(now, o.directory.Members(key)))
	}
}

func (o *Owner) handle(now time.Time, c *command) {
	if o.handleAll(now, c) {
		return
	}
	q := o.open(now, c.key)
	switch c.kind {
	case commandAsk:
		o.replies[replyKey{c.key, GrantID{Entry: c.ask.Entry, ID: c.ask.ID}}] = c.reply
		o.deliver(c.key, q.Add(now, c.ask))
	case commandAdopt:
		q.Adopt(now, c.ask, c.endpoint)
	case commandWithdraw:
		delete(o.replies, replyKey{c.key, c.id})
		o.deliver(c.key, q.Withdraw(now, c.id))
	case commandDone:
		o.deliver(c.key, q.Done(now, c.id, c.ratio))
	case commandProgress:
		o.deliver(c.key, q.Progress(now, c.id, c.ratio))
	}
}

// handleAll handles what concerns every group, and reports whether the command was of that kind.
func (o *Owner) handleAll(now time.Time, c *command) bool {
	for key, q := range o.queues {
		switch c.kind {
		case commandDropEntry:
			o.deliver(key, q.queue.DropEntry(now, c.id.Entry))
		case commandEvicted:
			q.queue.Evicted(c.endpoint, c.context)
		case commandSuspicious:
			q.queue.CacheEventsMissed(c.endpoint)
		case commandDown:
			q.queue.MarkDown(c.endpoint)
		}
	}
	return c.kind >= commandDropEntry
}

func (o *Owner) open(now time.Time, key Key) *Queue {
	q := o.queues[key]
	if q == nil {
		q = &ownedQueue{queue: NewQueue(QueueConfig{MaxWaiting: maxWaiting, Seed: xxhash.Sum64String(key.String())})}
		q.queue.SetMembers(now, o.directory.Members(key))
		o.queues[key] = q
	}
	q.used = now
	return q.queue
}

func (o *Owner) deliver(key Key, actions []Action) {
	for _, a := range actions {
		k := replyKey{key, a.ID}
		if reply := o.replies[k]; reply != nil {
			delete(o.replies, k)
			reply <- a
		}
	}
}
