package rollout

import "time"

// MaxLoads is the number of concurrent weight loads up to which loads don't slow each other down, as stated by the users.
const MaxLoads = 3

// OrderTime is the time from an order to its deadline.
const OrderTime = 4 * time.Second

// Config sets the limits of a planner.
type Config struct {
	// MaxLoads is the maximum number of loads in progress at the same time.
	MaxLoads int
	// OrderTime is how long an order counts as in progress unless its end is reported earlier.
	OrderTime time.Duration
	// SendTime is how long sending an order may take. The lease must remain valid for that time.
	SendTime time.Duration
	// SettleTime is how long a new lease holder waits, so that no order of its predecessor is still in progress.
	SettleTime time.Duration
}

// DefaultConfig is the configuration for endpoints that respond to an order when it has completed.
func DefaultConfig() Config {
	return Config{MaxLoads: MaxLoads, OrderTime: OrderTime, SendTime: OrderTime, SettleTime: OrderTime}
}

// Replica is the last known state of an endpoint.
type Replica struct {
	Name    string
	Running string
	Wanted  string
	Loading bool
}

// Order is an order to one endpoint to load a version.
type Order struct {
	Endpoint string
	Version  string
	Fence    uint64
	// Deadline is when the order counts as ended, regardless of its result.
	Deadline time.Time
	// Resend is true if the endpoint left an earlier order of this holder unanswered, which it may still execute.
	Resend bool
}

// Term is a period during which this process holds the lease.
type Term struct {
	Fence uint64
	// Until is when the lease expires, by this process's monotonic clock.
	Until time.Time
	// Since is when this process acquired the lease.
	Since time.Time
}

// Planner decides which endpoints the holder of the weights lease orders to load weights, and when.
//
// A new holder first waits until the orders of its predecessor have ended, since an endpoint that doesn't check fencing numbers would
// execute orders of both.
//
// An order without an answer is not a load: an endpoint that hasn't begun to execute it doesn't delay the loads of others. It is sent again
// after a pause.
type Planner struct {
	cfg  Config
	term Term
	// pending holds the deadlines of orders that count as loads, by endpoint.
	pending map[string]time.Time
	// retries holds the endpoints that the last order brought no result from.
	retries map[string]retry
}

// retry is an order that is to be repeated.
type retry struct {
	// at is when the endpoint may be ordered again.
	at time.Time
	// unanswered is true if the endpoint may still execute the earlier order.
	unanswered bool
}

// NewPlanner returns a planner that doesn't hold the lease.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg, pending: make(map[string]time.Time), retries: make(map[string]retry)}
}

// SetLease records since when this process has held the lease, and until when it does. A new fencing number starts a new term; since is
// ignored for the term in force.
func (p *Planner) SetLease(fence uint64, since, until time.Time) {
	if fence != p.term.Fence {
		p.term = Term{Fence: fence, Since: since}
		clear(p.pending)
		clear(p.retries)
	}
	p.term.Until = until
}

// LoseLease records that another process holds the lease.
func (p *Planner) LoseLease() { p.term = Term{} }

// HoldsLease reports whether the lease is held and an order sent now would be sent completely before the lease expires.
func (p *Planner) HoldsLease(now time.Time) bool {
	return p.term.Fence != 0 && !now.Add(p.cfg.SendTime).After(p.term.Until)
}

// SetMaxLoads changes the maximum number of loads in progress at the same time.
func (p *Planner) SetMaxLoads(n int) { p.cfg.MaxLoads = n }

// SetSettleTime changes how long a new lease holder waits, from its next lease on.
func (p *Planner) SetSettleTime(d time.Duration) { p.cfg.SettleTime = d }

// Plan returns the orders to send now: first to endpoints that no order has failed at, otherwise in the order of the replicas. It
// keeps the number of loads in progress within the limit, and returns no orders that could not be sent before the lease expires.
func (p *Planner) Plan(now time.Time, replicas []Replica) []Order {
	if now.Sub(p.term.Since) < p.cfg.SettleTime || !p.HoldsLease(now) {
		return nil
	}
	places := p.cfg.MaxLoads - p.InProgress(now, replicas)
	orders := p.planOrders(now, replicas, false, places)
	return append(orders, p.planOrders(now, replicas, true, places-len(orders))...)
}

// planOrders returns up to limit orders, either to endpoints that an order failed at or to the others.
func (p *Planner) planOrders(now time.Time, replicas []Replica, repeat bool, limit int) []Order {
	var orders []Order
	deadline := now.Add(p.cfg.OrderTime)
	for _, r := range replicas {
		if len(orders) >= limit {
			break
		}
		last, failed := p.retries[r.Name]
		if failed != repeat || now.Before(last.at) || r.Loading || r.Running == "" || r.Running == r.Wanted || !p.pending[r.Name].IsZero() {
			continue
		}
		p.pending[r.Name] = deadline
		orders = append(orders, Order{Endpoint: r.Name, Version: r.Wanted, Fence: p.term.Fence, Deadline: deadline, Resend: last.unanswered})
	}
	return orders
}

// InProgress counts the loads that were ordered by this process and those that are observed on replicas.
func (p *Planner) InProgress(now time.Time, replicas []Replica) int {
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

// OrderUnanswered records that an endpoint has not answered an order: the order no longer counts as a load, and the endpoint gets another
// one from the given time on.
func (p *Planner) OrderUnanswered(endpoint string, retryAt time.Time) {
	delete(p.pending, endpoint)
	p.retries[endpoint] = retry{at: retryAt, unanswered: true}
}

// OrderFailed records that an endpoint could not be reached or executes no order now: others go first, and it gets another order from the
// given time on.
func (p *Planner) OrderFailed(endpoint string, retryAt time.Time) {
	delete(p.pending, endpoint)
	p.retries[endpoint] = retry{at: retryAt, unanswered: p.retries[endpoint].unanswered}
}

// LoadStarted records that an endpoint executes an order, which counts as a load until the deadline.
func (p *Planner) LoadStarted(endpoint string, deadline time.Time) {
	p.pending[endpoint] = deadline
	delete(p.retries, endpoint)
}

// OrderEnded records that an order has ended.
func (p *Planner) OrderEnded(endpoint string) {
	delete(p.pending, endpoint)
	delete(p.retries, endpoint)
}
