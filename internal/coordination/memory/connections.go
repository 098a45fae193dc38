package memory

import (
	"container/list"
	"time"

	"gypsumvale/internal/state/clock"
)

// newcomerTime is how long a new connection is spared while older ones can give way: its first request is probably on its way.
const newcomerTime = 500 * time.Millisecond

// State is what a connection is waiting for.
type State int

// States.
const (
	// StateNew connections have sent no complete header section yet.
	StateNew State = iota
	// StateIdle connections have been served, and haven't sent another complete header section.
	StateIdle
	// StateRefused connections have got the refusal of a request whose body was not read to its end, and serve no other.
	StateRefused
	// StateServed connections have a request that is being served. They don't give way.
	StateServed
)

// Connection is one connection of a client.
type Connection struct {
	state   State
	since   clock.Instant
	element *list.Element
	closeIt func()
}

// Close closes the connection. The caller of the table calls it once it has released its own locks.
func (c *Connection) Close() { c.closeIt() }

// Connections counts the connections of clients, and chooses the one that gives way to a new one.
type Connections struct {
	limit int
	count int
	// byState holds the connections of a state by the time at which they entered it, the oldest first.
	byState [StateServed + 1]list.List
}

// NewConnections returns a table for a number of connections.
func NewConnections(limit int) *Connections { return &Connections{limit: limit} }

// Count returns the number of open connections.
func (t *Connections) Count() int { return t.count }

// Add adds a new connection. At the limit, another one gives way, which the caller must close; it is nil below the limit. If none can give
// way, Add reports false and adds nothing.
func (t *Connections) Add(now clock.Instant, closeIt func()) (added, victim *Connection, ok bool) {
	if t.count >= t.limit {
		if victim = t.Evict(now); victim == nil {
			return nil, nil, false
		}
	}
	added = &Connection{state: StateNew, since: now, closeIt: closeIt}
	added.element = t.byState[StateNew].PushBack(added)
	t.count++
	return added, victim, true
}

// SetState records that a connection has entered a state.
func (t *Connections) SetState(c *Connection, s State, now clock.Instant) {
	if c.element == nil {
		return
	}
	t.byState[c.state].Remove(c.element)
	c.state, c.since = s, now
	c.element = t.byState[s].PushBack(c)
}

// Remove removes a connection, if it hasn't been removed yet.
func (t *Connections) Remove(c *Connection) {
	if c.element == nil {
		return
	}
	t.byState[c.state].Remove(c.element)
	c.element = nil
	t.count--
}

// Evict removes the connection that gives way first, and returns nil if none does. These are, in turn: one that was refused; one that has
// taken longest over its first header section; the one that has been idle longest; and one that has only just been opened.
func (t *Connections) Evict(now clock.Instant) *Connection {
	starting, idle, refused := t.oldest(StateNew), t.oldest(StateIdle), t.oldest(StateRefused)
	victim := starting
	switch {
	case refused != nil:
		victim = refused
	case starting != nil && now.Sub(starting.since) >= newcomerTime:
	case idle != nil:
		victim = idle
	}
	if victim != nil {
		t.Remove(victim)
	}
	return victim
}

func (t *Connections) oldest(s State) *Connection {
	e := t.byState[s].Front()
	if e == nil {
		return nil
	}
	c, _ := e.Value.(*Connection)
	return c
}
