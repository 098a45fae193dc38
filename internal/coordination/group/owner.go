package group

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Directory provides the current endpoints of groups.
type Directory interface {
	// Members returns a group's endpoints.
	Members(key Key) []Member
	// Resumed is called after this process has been paused. It returns once the platform's instance list has been read again.
	Resumed(ctx context.Context)
}

const (
	commandBufferSize    = 8192
	tickPeriod           = 20 * time.Millisecond
	membersRefreshPeriod = 200 * time.Millisecond
	pauseThreshold       = time.Second
	idleQueueLimit       = 30 * time.Second
	maxWaiting           = 2048
)

type commandKind uint8

const (
	commandRequest commandKind = iota
	commandAdopt
	commandWithdraw
	commandCancel
	commandDone
	commandProgress
	commandDropConnection
	commandEvicted
	commandEventsMissed
	commandDown
)

type command struct {
	kind     commandKind
	key      Key
	request  GrantRequest
	id       GrantID
	ratio    float64
	endpoint string
	context  string
	reply    chan Action
	// connection is the number of the connection that has closed.
	connection uint64
}

type replyKey struct {
	group Key
	id    GrantID
}

type ownedQueue struct {
	queue    *Queue
	lastUsed time.Time
}

// Owner runs the queues of the groups that this instance owns. A single goroutine accesses all queues.
type Owner struct {
	directory Directory
	commands  chan command
	queues    map[Key]*ownedQueue
	replies   map[replyKey]chan Action
	stopped   chan struct{}
}

// NewOwner returns an owner that has no queues yet. Run starts it.
func NewOwner(directory Directory) *Owner {
	return &Owner{
		directory: directory,
		commands:  make(chan command, commandBufferSize),
		queues:    make(map[Key]*ownedQueue),
		replies:   make(map[replyKey]chan Action),
		stopped:   make(chan struct{}),
	}
}

// Acquire waits for a grant or a refusal. The error is ErrRefused if the command buffer is full, or else the context's error.
func (o *Owner) Acquire(ctx context.Context, key Key, req GrantRequest) (Action, error) {
	reply := make(chan Action, 1)
	select {
	case o.commands <- command{kind: commandRequest, key: key, request: req, reply: reply}:
	default:
		return Action{}, fmt.Errorf("owner busy: %w", ErrRefused)
	}
	select {
	case action := <-reply:
		return action, nil
	case <-ctx.Done():
		// The request was enqueued above, so that it can't be overtaken. If it is unknown by now, its connection was dropped and its entry may repeat it.
		o.enqueue(command{kind: commandCancel, key: key, id: GrantID{Entry: req.Entry, ID: req.ID}})
		return Action{}, fmt.Errorf("wait for grant: %w", ctx.Err())
	}
}

// Adopt records a grant that a previous owner gave.
func (o *Owner) Adopt(key Key, req GrantRequest, endpoint string) {
	o.enqueue(command{kind: commandAdopt, key: key, request: req, endpoint: endpoint})
}

// Withdraw cancels a request or an unused grant.
func (o *Owner) Withdraw(key Key, id GrantID) {
	o.enqueue(command{kind: commandWithdraw, key: key, id: id})
}

// Done ends a grant. ratio is the actual service time divided by the expected one, or zero if it was not measured.
func (o *Owner) Done(key Key, id GrantID, ratio float64) {
	o.enqueue(command{kind: commandDone, key: key, id: id, ratio: ratio})
}

// Progress records that a running grant has received its first token, with the ratio of actual to expected time.
func (o *Owner) Progress(key Key, id GrantID, ratio float64) {
	o.enqueue(command{kind: commandProgress, key: key, id: id, ratio: ratio})
}

// DropConnection removes all requests and grants that came over a connection that has closed.
func (o *Owner) DropConnection(connection uint64) {
	o.enqueue(command{kind: commandDropConnection, connection: connection})
}

// Evicted records that an endpoint has evicted a conversation's first piece from its cache.
func (o *Owner) Evicted(endpoint, context string) {
	o.enqueue(command{kind: commandEvicted, endpoint: endpoint, context: context})
}

// CacheEventsMissed records that cache events of an endpoint were missed.
func (o *Owner) CacheEventsMissed(endpoint string) {
	o.enqueue(command{kind: commandEventsMissed, endpoint: endpoint})
}

// MarkDown takes a failed endpoint out of use until the groups' members are read again.
func (o *Owner) MarkDown(endpoint string) {
	o.enqueue(command{kind: commandDown, endpoint: endpoint})
}

// enqueue waits while the command buffer is full instead of dropping the command, since a lost Done would leave a slot occupied. Once the
// owner has stopped, commands are discarded.
func (o *Owner) enqueue(cmd command) {
	select {
	case o.commands <- cmd:
	case <-o.stopped:
	}
}

// Run processes commands until the context is done.
func (o *Owner) Run(ctx context.Context) {
	defer close(o.stopped)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	lastRound := time.Now()
	var lastRefresh time.Time
	for {
		var cmd command
		isCommand := false
		select {
		case <-ctx.Done():
			return
		case cmd = <-o.commands:
			isCommand = true
		case <-ticker.C:
		}
		now := time.Now()
		// The ticker bounds the time between iterations, so a longer time means that this process was paused.
		if now.Sub(lastRound) > pauseThreshold {
			o.directory.Resumed(ctx)
			lastRefresh = time.Time{}
			now = time.Now()
		}
		lastRound = now
		if now.Sub(lastRefresh) >= membersRefreshPeriod {
			lastRefresh = now
			o.refreshMembers(now)
		}
		if isCommand {
			o.handle(now, &cmd)
			continue
		}
		for key, q := range o.queues {
			o.deliver(key, q.queue.Tick(now))
		}
	}
}

func (o *Owner) refreshMembers(now time.Time) {
	for key, q := range o.queues {
		if now.Sub(q.lastUsed) > idleQueueLimit && q.queue.Running() == 0 && q.queue.Waiting() == 0 {
			delete(o.queues, key)
			continue
		}
		o.deliver(key, q.queue.SetMembers(now, o.directory.Members(key)))
	}
}

func (o *Owner) handle(now time.Time, cmd *command) {
	if o.handleForAll(now, cmd) {
		return
	}
	q := o.queueFor(now, cmd.key)
	switch cmd.kind {
	case commandRequest:
		o.replies[replyKey{cmd.key, GrantID{Entry: cmd.request.Entry, ID: cmd.request.ID}}] = cmd.reply
		o.deliver(cmd.key, q.Add(now, cmd.request))
	case commandAdopt:
		q.Adopt(now, cmd.request, cmd.endpoint)
	case commandWithdraw:
		delete(o.replies, replyKey{cmd.key, cmd.id})
		o.deliver(cmd.key, q.Withdraw(now, cmd.id))
	case commandCancel:
		delete(o.replies, replyKey{cmd.key, cmd.id})
		o.deliver(cmd.key, q.Cancel(now, cmd.id))
	case commandDone:
		o.deliver(cmd.key, q.Done(now, cmd.id, cmd.ratio))
	case commandProgress:
		o.deliver(cmd.key, q.Progress(now, cmd.id, cmd.ratio))
	}
}

// handleForAll applies a command that concerns all groups to each queue, and reports whether the command is of that kind.
func (o *Owner) handleForAll(now time.Time, cmd *command) bool {
	for key, q := range o.queues {
		switch cmd.kind {
		case commandDropConnection:
			o.deliver(key, q.queue.DropConnection(now, cmd.connection))
		case commandEvicted:
			q.queue.Evicted(cmd.endpoint, cmd.context)
		case commandEventsMissed:
			q.queue.CacheEventsMissed(cmd.endpoint)
		case commandDown:
			q.queue.MarkDown(cmd.endpoint)
		}
	}
	return cmd.kind >= commandDropConnection
}

func (o *Owner) queueFor(now time.Time, key Key) *Queue {
	q := o.queues[key]
	if q == nil {
		q = &ownedQueue{queue: NewQueue(QueueConfig{MaxWaiting: maxWaiting, Seed: xxhash.Sum64String(key.String())})}
		q.queue.SetMembers(now, o.directory.Members(key))
		o.queues[key] = q
	}
	q.lastUsed = now
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
