package rollout

import "time"

// MaxLoads is the most weight loads at once that cost no time of each other, as the users state it.
const MaxLoads = 3

// OrderTime is how long an order may take until its deadline.
const OrderTime = 4 * time.Second

// Config sets a planner's bounds.
type Config struct {
	// MaxLoads is the most orders under way at once.
	MaxLoads int
	// OrderTime is how long an order counts as under way without other news.
	OrderTime time.Duration
	// SendTime is how long sending an order may take; the lease has to outlast it.
	SendTime time.Duration
	// SettleTime is how long a new holder waits, so that no order of the one before it can still be under way.
	SettleTime time.Duration
}

// DefaultConfig is for endpoints that answer an order at its end.
func DefaultConfig() Config {
	return Config{MaxLoads: MaxLoads, OrderTime: OrderTime, SendTime: OrderTime, SettleTime: OrderTime}
}

// Replica is an endpoint as last read.
type Replica struct {
	Name    string
	Running string
	Wanted  string
	Loading bool
}

// Order tells one endpoint to load a version.
type Order struct {
	Endpoint string
	Version  string
	Fence    uint64
	// Deadline is when the order ends, whatever came of it.
	Deadline time.Time
}

// Term is this process's hold of the lease.
type Term struct {
	Fence uint64
	// Until is when the lease lapses, by this process's monotonic clock.
	Until time.Time
	// Since is when this process got the lease.
	Since time.Time
}

// Planner is the decision core of the weight holder.
//
// A successor waits out the orders of the one before it, since an endpoint that doesn't check numbers would take both.
type Planner struct {
	cfg     Config
	term    Term
	pending map[string]time.Time
}

// NewPlanner returns a planner that holds nothing.
func NewPlanner(cfg Config) *Planner { return &Planner{cfg: cfg, pending: make(map[string]time.Time)} }

// SetLease notes the lease; a new number starts a new term.
func (p *Planner) SetLease(now time.Time, fence uint64, until time.Time) {
	if fence != p.term.Fence {
		p.term = Term{Fence: fence, Since: now}
		clear(p.pending)
	}
	p.term.Until = until
}

// LoseLease notes that another process holds the lease.
func (p *Planner) LoseLease() { p.term = Term{} }

// MarkSettled says that no order of an earlier holder can be under way after an instant.
func (p *Planner) MarkSettled(at time.Time) { p.term.Since = at.Add(-p.cfg.SettleTime) }

// HoldsLease reports whether an order sent now would be sent before the lease ends.
func (p *Planner) HoldsLease(now time.Time) bool {
	return p.term.Fence != 0 && !now.Add(p.cfg.SendTime).After(p.term.Until)
}

// SetMaxLoads changes the most orders under way at once.
func (p *Planner) SetMaxLoads(n int) { p.cfg.MaxLoads = n }

// Plan returns the orders to send now, first those for the first replicas: a bounded number run at once, and each is sent before
// the lease ends.
func (p *Planner) Plan(now time.Time, replicas []Replica) []Order {
	deadline := now.Add(p.cfg.OrderTime)
	if now.Sub(p.term.Since) < p.cfg.SettleTime || !p.HoldsLease(now) {
		return nil
	}
	busy := p.busy(now, replicas)
	var orders []Order
	for _, r := range replicas {
		if busy >= p.cfg.MaxLoads {
			break
		}
		if r.Loading || r.Running == "" || r.Running == r.Wanted || !p.pending[r.Name].IsZero() {
			continue
		}
		p.pending[r.Name] = deadline
		busy++
		orders = append(orders, Order{Endpoint: r.Name, Version: r.Wanted, Fence: p.term.Fence, Deadline: deadline})
	}
	return orders
}

// busy counts loads that were ordered or are seen to run.
func (p *Planner) busy(now time.Time, replicas []Replica) int {
	for name, deadline := range p.pending {
		if now.After(deadline) {
			delete(p.pending, name)
		}
	}
	n := len(p.pending)
	for _, r := range replicas {
		if r.Loading && p.pending[r.Name].IsZero() {
			n++
		}
	}
	return n
}

// OrderEnded notes the end of an order.
func (p *Planner) OrderEnded(endpoint string) { delete(p.pending, endpoint) }
