package memory

import "container/list"

// Use is what bytes are held for.
type Use int

// Uses. An incomplete header section or body can be evicted; the others can't.
const (
	Headers Use = iota
	Bodies
	Responses
	Streams
	Frames
	useCount
)

// Uses lists all uses.
func Uses() []Use { return []Use{Headers, Bodies, Responses, Streams, Frames} }

// String returns the name of the use, as shown in metrics.
func (u Use) String() string {
	return [useCount]string{"headers", "bodies", "responses", "streams", "frames"}[u]
}

// sharePercent is the part of the capacity that one use may hold. Their sum exceeds 100, so that no part lies idle while another use has need of
// it. No use can take the whole, so that responses find room beside a crowd of bodies.
var sharePercent = [useCount]int64{Headers: 40, Bodies: 75, Responses: 50, Streams: 25, Frames: 50}

// Charge is what one request or connection holds for one use.
type Charge struct {
	use   Use
	bytes int64
	evict func()
	// element is the place among the charges that can be evicted, or nil.
	element *list.Element
	evicted bool
}

// Use returns what the bytes are held for.
func (c *Charge) Use() Use { return c.use }

// Evicted reports whether the charge was evicted.
func (c *Charge) Evicted() bool { return c.evicted }

// Evict has the holder give up what it holds. The caller of the account calls it once it has released its own locks.
func (c *Charge) Evict() { c.evict() }

// Account counts the bytes that a process holds for its clients.
type Account struct {
	capacity int64
	total    int64
	// leaving is what evicted charges held, until their holders have given it up.
	leaving int64
	used    [useCount]int64
	// evictable holds the incomplete charges of a use; the one whose last progress is oldest is first.
	evictable [useCount]list.List
}

// NewAccount returns an account with a capacity in bytes.
func NewAccount(capacity int64) *Account { return &Account{capacity: capacity} }

// Used returns the bytes held for a use, without those of evicted charges.
func (a *Account) Used(u Use) int64 { return a.used[u] }

// Open starts a charge of zero bytes. With a function evict, the charge may be evicted until it is complete.
func (a *Account) Open(u Use, evict func()) *Charge {
	c := &Charge{use: u, evict: evict}
	if evict != nil {
		c.element = a.evictable[u].PushBack(c)
	}
	return c
}

// RecordProgress records that a charge's holder has received bytes.
func (a *Account) RecordProgress(c *Charge) {
	if c.element != nil {
		a.evictable[c.use].MoveToBack(c.element)
	}
}

// Grow adds n bytes to a charge, which counts as progress. If they don't fit, it evicts other charges: header sections before bodies, and
// those whose last progress is oldest first. It reports whether the bytes were added, and the caller must call Evict of the evicted charges
// in either case. Nothing is added while holders that were evicted still have half of the capacity: on a busy processor, evictions would
// otherwise run ahead of them without bound.
func (a *Account) Grow(c *Charge, n int64) (evicted []*Charge, ok bool) {
	if c.evicted {
		return nil, false
	}
	a.RecordProgress(c)
	if a.leaving > a.capacity/2 {
		return nil, false
	}
	limit := a.capacity * sharePercent[c.use] / 100
	for a.used[c.use]+n > limit {
		victim := a.oldest(c.use, c)
		if victim == nil {
			return evicted, false
		}
		evicted = append(evicted, a.remove(victim))
	}
	for a.total+n > a.capacity {
		victim := a.oldest(Headers, c)
		if victim == nil {
			victim = a.oldest(Bodies, c)
		}
		if victim == nil {
			return evicted, false
		}
		evicted = append(evicted, a.remove(victim))
	}
	a.add(c, n)
	return evicted, true
}

// Take adds n bytes to a charge whether they fit or not, for data whose loss would cost more than a shortage. It evicts others as Grow does, and
// the caller must call their Evict.
func (a *Account) Take(c *Charge, n int64) (evicted []*Charge) {
	evicted, ok := a.Grow(c, n)
	if !ok {
		a.add(c, n)
	}
	return evicted
}

// EvictOldest evicts the incomplete body whose last progress is oldest, and returns nil if there is none.
func (a *Account) EvictOldest() *Charge {
	victim := a.oldest(Bodies, nil)
	if victim == nil {
		return nil
	}
	return a.remove(victim)
}

// Complete records that everything has arrived, so that the charge isn't evicted any more. It reports false if it was evicted before.
func (a *Account) Complete(c *Charge) bool {
	a.unlist(c)
	return !c.evicted
}

// Shrink returns n bytes of a charge.
func (a *Account) Shrink(c *Charge, n int64) {
	if !c.evicted {
		a.add(c, -min(n, c.bytes))
	}
}

// Close returns all bytes of a charge, once its holder has given them up.
func (a *Account) Close(c *Charge) {
	a.unlist(c)
	if c.evicted {
		a.leaving -= c.bytes
		c.bytes = 0
		return
	}
	a.add(c, -c.bytes)
}

func (a *Account) add(c *Charge, n int64) {
	c.bytes += n
	a.used[c.use] += n
	a.total += n
}

func (a *Account) unlist(c *Charge) {
	if c.element != nil {
		a.evictable[c.use].Remove(c.element)
		c.element = nil
	}
}

// remove evicts a charge.
func (a *Account) remove(c *Charge) *Charge {
	a.unlist(c)
	held := c.bytes
	a.add(c, -held)
	c.bytes, c.evicted = held, true
	a.leaving += held
	return c
}

// oldest returns the charge of a use whose last progress is oldest, except one, or nil if there is no other.
func (a *Account) oldest(u Use, except *Charge) *Charge {
	for e := a.evictable[u].Front(); e != nil; e = e.Next() {
		if c, ok := e.Value.(*Charge); ok && c != except {
			return c
		}
	}
	return nil
}
