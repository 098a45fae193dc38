package group

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/coordination/rank"
	"gypsumvale/internal/state/catalog"
)

// Owners sends requests and reports to the owners of groups, which may be this instance or others.
type Owners interface {
	// Acquire waits for a grant or a refusal. An error means that the owner returned neither.
	Acquire(ctx context.Context, owner string, key Key, req GrantRequest) (Action, error)
	// Adopt reports a grant that a previous owner gave.
	Adopt(owner string, key Key, req GrantRequest, endpoint string)
	// Withdraw cancels a request or an unused grant.
	Withdraw(owner string, key Key, id uint64)
	// Done ends a grant.
	Done(owner string, key Key, id uint64, ratio float64)
	// Progress reports on a running grant.
	Progress(owner string, key Key, id uint64, ratio float64)
	// Candidates returns the instances of a zone that may own groups.
	Candidates(zone string) []string
}

// Catalog provides the configuration in force.
type Catalog interface {
	Current() *catalog.Snapshot
}

const (
	// grantLifetime is the time within which a grant must be used, so that an instance that was paused doesn't use an outdated one.
	grantLifetime   = time.Second
	ownerAttempts   = 3
	ownerRetryDelay = 20 * time.Millisecond
	maxOpenRequests = 3
)

// Grant is permission to use one slot of an endpoint until Done is called.
type Grant struct {
	Endpoint *catalog.Endpoint
	// Version is the weight version that the endpoint is running according to the owner, or empty if unknown.
	Version string
	// RunID identifies the run of the endpoint's process according to the owner, or is empty if unknown.
	RunID string
	// Warm is true if the endpoint was the last one to serve the conversation.
	Warm bool
	// ExpiresAt is the time at which an unused grant expires.
	ExpiresAt time.Time

	key     Key
	request GrantRequest
	owner   string
	client  *Client
	once    sync.Once
}

// Client is the client of the groups' owners. It acquires and tracks the grants of this instance's requests.
type Client struct {
	Self string
	// Entry is this process's incarnation, which identifies its requests to owners.
	Entry   string
	Zone    string
	Owners  Owners
	Catalog Catalog
	Local   *LocalBalancer

	lastID atomic.Uint64
	mu     sync.Mutex
	// held maps the IDs of this instance's grants to the grants.
	held map[uint64]*Grant
}

// NewClient returns a client for an instance in a zone. usable reports whether an endpoint may be used while no owner is reachable.
func NewClient(self, entry, zone string, owners Owners, configuration Catalog, usable func(*catalog.Endpoint) bool) *Client {
	return &Client{
		Self: self, Entry: entry, Zone: zone, Owners: owners, Catalog: configuration,
		Local: NewLocalBalancer(usable), held: make(map[uint64]*Grant),
	}
}

// RefusedError is a refusal with the time at which the caller should retry. It matches ErrRefused.
type RefusedError struct{ RetryAfter time.Time }

// Error returns the text of ErrRefused.
func (e *RefusedError) Error() string { return ErrRefused.Error() }

// Unwrap returns ErrRefused.
func (e *RefusedError) Unwrap() error { return ErrRefused }

type reply struct {
	key   Key
	owner string
	// id is the ID of the request that was answered.
	id     uint64
	action Action
	err    error
}

// Acquire returns a grant for a pool. The error is ErrRefused, ErrNoEndpoint or the context's error.
//
// It queries one group first, and further groups after a delay or whenever a group refuses or is unreachable. The first grant wins.
func (c *Client) Acquire(ctx context.Context, pool string, req GrantRequest) (*Grant, error) {
	req.Entry = c.Entry
	req.ID = c.lastID.Add(1)
	plan := Plan(c.Catalog.Current(), pool, c.Zone, req.ID)
	if len(plan) == 0 {
		return nil, fmt.Errorf("pool %s: %w", pool, ErrNoEndpoint)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan reply, len(plan))
	open, sent := 0, 0
	requestNext := func() {
		key := plan[sent].Key
		sent++
		open++
		go func() { replies <- c.requestGrant(ctx, key, req) }()
	}
	requestNext()
	started := time.Now()
	var refusal, failure error
	for open > 0 {
		timer := time.NewTimer(nextDelay(plan, sent, open, started))
		select {
		case r := <-replies:
			timer.Stop()
			open--
			if grant := c.accept(&r, req); grant != nil {
				c.withdrawRest(replies, open)
				return grant, nil
			}
			if r.err != nil {
				failure = r.err
			} else {
				refusal = earlierRefusal(refusal, r.action.RetryAfter)
			}
			if sent < len(plan) && ctx.Err() == nil {
				requestNext()
			}
		case <-timer.C:
			if sent < len(plan) {
				requestNext()
			}
		}
	}
	if refusal != nil {
		return nil, fmt.Errorf("acquire grant in pool %s: %w", pool, refusal)
	}
	if ctx.Err() != nil {
		return nil, fmt.Errorf("acquire grant in pool %s: %w", pool, ctx.Err())
	}
	return c.fallback(pool, req, failure)
}

// Attach returns a grant for work that is already running on an endpoint, such as a response whose instance has crashed, and reports it to
// the group's owner.
func (c *Client) Attach(endpoint *catalog.Endpoint, req GrantRequest) *Grant {
	req.Entry = c.Entry
	req.ID = c.lastID.Add(1)
	grant := &Grant{Endpoint: endpoint, ExpiresAt: time.Now().Add(grantLifetime), request: req, client: c}
	key, ok := KeyOf(c.Catalog.Current(), endpoint)
	if ok {
		grant.key = key
		grant.owner = rank.First(key.String(), c.Owners.Candidates(key.Zone))
	}
	if grant.owner != "" {
		c.Owners.Adopt(grant.owner, key, req, endpoint.Name)
	}
	c.register(grant)
	return grant
}

// withdrawRest withdraws the grants that still arrive for open requests. It runs in the background.
func (c *Client) withdrawRest(replies <-chan reply, open int) {
	if open == 0 {
		return
	}
	go func() {
		for range open {
			if r := <-replies; r.err == nil && r.action.Kind == ActionGrant {
				c.Owners.Withdraw(r.owner, r.key, r.id)
			}
		}
	}()
}

// earlierRefusal returns the refusal with the earlier retry time: known, which may be nil, or a new one that retries at retryAfter.
func earlierRefusal(known error, retryAfter time.Time) error {
	var refused *RefusedError
	if errors.As(known, &refused) && refused.RetryAfter.Before(retryAfter) {
		return known
	}
	return &RefusedError{RetryAfter: retryAfter}
}

// nextDelay returns the time until the next group is queried. While maxOpenRequests requests are open, the next one is sent only after a
// response to one of them.
func nextDelay(plan []Step, sent, open int, started time.Time) time.Duration {
	if sent >= len(plan) || open >= maxOpenRequests {
		return time.Hour
	}
	return max(time.Until(started.Add(plan[sent].Delay)), 0)
}

// requestGrant requests a grant from a group's owner, and from its successor if the owner is unreachable. Each repetition has an ID of its
// own, since the owner may still handle the end of the one before.
func (c *Client) requestGrant(ctx context.Context, key Key, req GrantRequest) reply {
	r := reply{key: key, err: ErrNoOwner}
	for attempt := range ownerAttempts {
		if attempt > 0 {
			req.ID = c.lastID.Add(1)
		}
		r.id = req.ID
		r.owner = rank.First(key.String(), c.Owners.Candidates(key.Zone))
		if r.owner == "" {
			r.err = fmt.Errorf("group %s: %w", key, ErrNoOwner)
			return r
		}
		r.action, r.err = c.Owners.Acquire(ctx, r.owner, key, req)
		if r.err == nil || ctx.Err() != nil {
			return r
		}
		select {
		case <-ctx.Done():
			return r
		case <-time.After(ownerRetryDelay):
		}
	}
	return r
}

// accept returns the grant of a reply, or nil if the reply holds none. It withdraws a grant of an endpoint that isn't in the configuration.
func (c *Client) accept(r *reply, req GrantRequest) *Grant {
	if r.err != nil || r.action.Kind != ActionGrant {
		return nil
	}
	endpoint := c.Catalog.Current().Endpoints[r.action.Endpoint]
	if endpoint == nil {
		c.Owners.Withdraw(r.owner, r.key, r.id)
		return nil
	}
	req.ID = r.id
	grant := &Grant{
		Endpoint: endpoint, Version: r.action.Version, RunID: r.action.RunID, Warm: r.action.Warm,
		ExpiresAt: time.Now().Add(grantLifetime), key: r.key, request: req, owner: r.owner, client: c,
	}
	c.register(grant)
	return grant
}

func (c *Client) register(grant *Grant) {
	c.Local.Increment(grant.Endpoint.Name)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[grant.request.ID] = grant
}

// fallback chooses an endpoint by this instance's own counts, for use while no owner is reachable.
func (c *Client) fallback(pool string, req GrantRequest, cause error) (*Grant, error) {
	snapshot := c.Catalog.Current()
	endpoint := c.Local.Pick(snapshot.Pool(pool, c.Zone), &req)
	for _, zone := range snapshot.PoolZones(pool) {
		if endpoint != nil {
			break
		}
		endpoint = c.Local.Pick(snapshot.Pool(pool, zone), &req)
	}
	if endpoint == nil {
		return nil, fmt.Errorf("pool %s (%v): %w", pool, cause, ErrNoEndpoint)
	}
	grant := &Grant{Endpoint: endpoint, ExpiresAt: time.Now().Add(grantLifetime), request: req, client: c}
	c.register(grant)
	return grant, nil
}

// Expired reports whether the grant has expired.
func (g *Grant) Expired(now time.Time) bool { return now.After(g.ExpiresAt) }

// Class returns the class of the request.
func (g *Grant) Class() Class { return g.request.Class }

// Cost returns the expected service time on a healthy endpoint.
func (g *Grant) Cost() time.Duration { return g.request.Cost }

// Progress reports to the owner the time to the first token, as a ratio of actual to expected time.
func (g *Grant) Progress(ratio float64) {
	g.client.mu.Lock()
	owner := g.owner
	g.client.mu.Unlock()
	if owner != "" {
		g.client.Owners.Progress(owner, g.key, g.request.ID, ratio)
	}
}

// Done ends the grant. ratio is the actual service time divided by the expected one, or zero if it was not measured. Further calls have no
// effect.
func (g *Grant) Done(ratio float64) {
	g.once.Do(func() { g.client.end(g, ratio) })
}

func (c *Client) end(grant *Grant, ratio float64) {
	c.Local.Decrement(grant.Endpoint.Name)
	c.mu.Lock()
	delete(c.held, grant.request.ID)
	owner := grant.owner
	c.mu.Unlock()
	if owner != "" {
		c.Owners.Done(owner, grant.key, grant.request.ID, ratio)
	}
}

// reassignment describes a grant whose group has a new owner.
type reassignment struct {
	from, to string
	key      Key
	request  GrantRequest
	endpoint string
}

// ReassignGrants reports the held grants to their groups' new owners after a change of membership.
func (c *Client) ReassignGrants() {
	pending := c.reassignments()
	if len(pending) == 0 {
		return
	}
	// The reports are sent in the background: a peer that is slow to reach would otherwise delay the caller, and all that wait for the
	// caller's lock.
	go func() {
		for i := range pending {
			r := &pending[i]
			c.Owners.Withdraw(r.from, r.key, r.request.ID)
			// The grant may have ended while the withdrawal was being sent.
			if c.holds(r.request.ID) {
				c.Owners.Adopt(r.to, r.key, r.request, r.endpoint)
			}
		}
	}()
}

func (c *Client) holds(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held[id] != nil
}

func (c *Client) reassignments() []reassignment {
	c.mu.Lock()
	defer c.mu.Unlock()
	var pending []reassignment
	for _, grant := range c.held {
		if grant.key.Pool == "" {
			continue
		}
		owner := rank.First(grant.key.String(), c.Owners.Candidates(grant.key.Zone))
		if owner == "" || owner == grant.owner {
			continue
		}
		pending = append(pending, reassignment{
			from: grant.owner, to: owner, key: grant.key, request: grant.request, endpoint: grant.Endpoint.Name,
		})
		grant.owner = owner
	}
	return pending
}
