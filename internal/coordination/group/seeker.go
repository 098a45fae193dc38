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

// Owners reaches the owners of groups, here or at other instances.
type Owners interface {
	// Acquire waits for a grant or a refusal; any error means that the owner gave neither.
	Acquire(ctx context.Context, owner string, key Key, a GrantRequest) (Action, error)
	Adopt(owner string, key Key, a GrantRequest, endpoint string)
	Withdraw(owner string, key Key, id uint64)
	Done(owner string, key Key, id uint64, ratio float64)
	Progress(owner string, key Key, id uint64, ratio float64)
	// Candidates returns the instances of a zone that may own groups.
	Candidates(zone string) []string
}

// Catalog gives the configuration in force.
type Catalog interface {
	Current() *catalog.Snapshot
}

const (
	// useWithin is how soon a grant must be used, so that a paused entry doesn't use an old one.
	useWithin   = time.Second
	ownerTries  = 3
	ownerPause  = 20 * time.Millisecond
	maxAsksOpen = 3
)

// Grant is the use of an endpoint until Done is called.
type Grant struct {
	Endpoint *catalog.Endpoint
	// Version is the weight version that the owner believes the endpoint to run, or empty.
	Version string
	// Warm says that the endpoint served the conversation last.
	Warm bool
	// ExpiresAt is when an unused grant lapses.
	ExpiresAt time.Time

	key    Key
	ask    GrantRequest
	owner  string
	seeker *Client
	once   sync.Once
}

// Client gets grants for the requests that this instance holds.
type Client struct {
	Self string
	// Entry is this process's incarnation, under which its asks are known.
	Entry   string
	Zone    string
	Owners  Owners
	Catalog Catalog
	Local   *LocalBalancer

	next atomic.Uint64
	mu   sync.Mutex
	held map[uint64]*Grant
}

// NewClient returns a seeker for an instance in a zone.
func NewClient(self, entry, zone string, o Owners, c Catalog, usable func(*catalog.Endpoint) bool) *Client {
	return &Client{Self: self, Entry: entry, Zone: zone, Owners: o, Catalog: c, Local: NewLocalBalancer(usable), held: make(map[uint64]*Grant)}
}

// RefusedError says when a caller should come back; it matches ErrRefused.
type RefusedError struct{ RetryAfter time.Time }

// Error describes the refusal.
func (e *RefusedError) Error() string { return ErrRefused.Error() }

// Unwrap returns ErrRefused.
func (e *RefusedError) Unwrap() error { return ErrRefused }

type reply struct {
	key    Key
	owner  string
	action Action
	err    error
}

// Acquire returns a grant for a pool; the error is ErrRefused, ErrNoEndpoint or the context's.
//
// It asks one group first, and further ones as time passes or groups refuse; the first grant counts.
func (s *Client) Acquire(ctx context.Context, pool string, a GrantRequest) (*Grant, error) {
	a.Entry = s.Entry
	a.ID = s.next.Add(1)
	plan := Plan(s.Catalog.Current(), pool, s.Zone, a.ID)
	if len(plan) == 0 {
		return nil, fmt.Errorf("pool %s: %w", pool, ErrNoEndpoint)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan reply, len(plan))
	open, asked := 0, 0
	ask := func() {
		key := plan[asked].Key
		asked++
		open++
		go func() { replies <- s.ask(ctx, key, a) }()
	}
	ask()
	started := time.Now()
	var refusal, failure error
	for open > 0 {
		timer := time.NewTimer(nextDelay(plan, asked, open, started))
		select {
		case r := <-replies:
			timer.Stop()
			open--
			if g := s.take(&r, a); g != nil {
				s.giveUp(replies, open, a.ID)
				return g, nil
			}
			if r.err != nil {
				failure = r.err
			} else {
				refusal = earlier(refusal, r.action.RetryAfter)
			}
			if asked < len(plan) && ctx.Err() == nil {
				ask()
			}
		case <-timer.C:
			if asked < len(plan) {
				ask()
			}
		}
	}
	if refusal != nil {
		return nil, fmt.Errorf("acquire in %s: %w", pool, refusal)
	}
	if ctx.Err() != nil {
		return nil, fmt.Errorf("acquire in %s: %w", pool, ctx.Err())
	}
	return s.fallback(pool, a, failure)
}

// Attach returns a grant for work that an endpoint runs already, such as an answer whose entry has died; its owner counts it.
func (s *Client) Attach(endpoint *catalog.Endpoint, a GrantRequest) *Grant {
	a.Entry = s.Entry
	a.ID = s.next.Add(1)
	g := &Grant{Endpoint: endpoint, ExpiresAt: time.Now().Add(useWithin), ask: a, seeker: s}
	key, ok := KeyOf(s.Catalog.Current(), endpoint)
	if ok {
		g.key = key
		g.owner = rank.First(key.String(), s.Owners.Candidates(key.Zone))
	}
	if g.owner != "" {
		s.Owners.Adopt(g.owner, key, a, endpoint.Name)
	}
	s.hold(g)
	return g
}

// giveUp withdraws the other asks; a grant that still comes is given back.
func (s *Client) giveUp(replies <-chan reply, open int, id uint64) {
	if open == 0 {
		return
	}
	go func() {
		for range open {
			if r := <-replies; r.err == nil && r.action.Kind == ActionGrant {
				s.Owners.Withdraw(r.owner, r.key, id)
			}
		}
	}()
}

func earlier(known error, at time.Time) error {
	var e *RefusedError
	if errors.As(known, &e) && e.RetryAfter.Before(at) {
		return known
	}
	return &RefusedError{RetryAfter: at}
}

// nextDelay is the time until the next group is asked; with enough asks open, only an answer lets another one out.
func nextDelay(plan []Step, asked, open int, started time.Time) time.Duration {
	if asked >= len(plan) || open >= maxAsksOpen {
		return time.Hour
	}
	return max(time.Until(started.Add(plan[asked].Delay)), 0)
}

// ask asks a group's owner, and its successor if the owner is gone.
func (s *Client) ask(ctx context.Context, key Key, a GrantRequest) reply {
	r := reply{key: key, err: ErrNoOwner}
	for range ownerTries {
		r.owner = rank.First(key.String(), s.Owners.Candidates(key.Zone))
		if r.owner == "" {
			r.err = fmt.Errorf("group %s: %w", key, ErrNoOwner)
			return r
		}
		r.action, r.err = s.Owners.Acquire(ctx, r.owner, key, a)
		if r.err == nil || ctx.Err() != nil {
			return r
		}
		select {
		case <-ctx.Done():
			return r
		case <-time.After(ownerPause):
		}
	}
	return r
}

func (s *Client) take(r *reply, a GrantRequest) *Grant {
	if r.err != nil || r.action.Kind != ActionGrant {
		return nil
	}
	endpoint := s.Catalog.Current().Endpoints[r.action.Endpoint]
	if endpoint == nil {
		s.Owners.Withdraw(r.owner, r.key, a.ID)
		return nil
	}
	g := &Grant{Endpoint: endpoint, Version: r.action.Version, Warm: r.action.Warm, ExpiresAt: time.Now().Add(useWithin), key: r.key, ask: a, owner: r.owner, seeker: s}
	s.hold(g)
	return g
}

func (s *Client) hold(g *Grant) {
	s.Local.Increment(g.Endpoint.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[g.ask.ID] = g
}

// fallback chooses by this instance's own counts while no owner is in reach.
func (s *Client) fallback(pool string, a GrantRequest, cause error) (*Grant, error) {
	snapshot := s.Catalog.Current()
	endpoint := s.Local.Pick(snapshot.Pool(pool, s.Zone), &a)
	for _, zone := range snapshot.PoolZones(pool) {
		if endpoint != nil {
			break
		}
		endpoint = s.Local.Pick(snapshot.Pool(pool, zone), &a)
	}
	if endpoint == nil {
		return nil, fmt.Errorf("pool %s (%v): %w", pool, cause, ErrNoEndpoint)
	}
	g := &Grant{Endpoint: endpoint, ExpiresAt: time.Now().Add(useWithin), ask: a, seeker: s}
	s.hold(g)
	return g, nil
}

// Expired reports whether the grant is too old to be used.
func (g *Grant) Expired(now time.Time) bool { return now.After(g.ExpiresAt) }

// Class returns the class under which the grant was asked.
func (g *Grant) Class() Class { return g.ask.Class }

// Cost returns the service time that was expected on a healthy endpoint.
func (g *Grant) Cost() time.Duration { return g.ask.Cost }

// Progress reports an early quotient of real and expected time to the owner.
func (g *Grant) Progress(ratio float64) {
	g.seeker.mu.Lock()
	owner := g.owner
	g.seeker.mu.Unlock()
	if owner != "" {
		g.seeker.Owners.Progress(owner, g.key, g.ask.ID, ratio)
	}
}

// Done ends the grant; a ratio of zero is no observation. Further calls do nothing.
func (g *Grant) Done(ratio float64) {
	g.once.Do(func() { g.seeker.end(g, ratio) })
}

func (s *Client) end(g *Grant, ratio float64) {
	s.Local.Decrement(g.Endpoint.Name)
	s.mu.Lock()
	delete(s.held, g.ask.ID)
	owner := g.owner
	s.mu.Unlock()
	if owner != "" {
		s.Owners.Done(owner, g.key, g.ask.ID, ratio)
	}
}

// move is a grant that another owner is to count from now on.
type move struct {
	from, to string
	key      Key
	ask      GrantRequest
	endpoint string
}

// ReassignGrants tells the present owners of held grants, after instances have come or gone.
func (s *Client) ReassignGrants() {
	moves := s.moves()
	if len(moves) == 0 {
		return
	}
	// Peers that are hard to reach must not hold up those who wait for the caller's lock.
	go func() {
		for i := range moves {
			m := &moves[i]
			s.Owners.Withdraw(m.from, m.key, m.ask.ID)
			s.Owners.Adopt(m.to, m.key, m.ask, m.endpoint)
		}
	}()
}

func (s *Client) moves() []move {
	s.mu.Lock()
	defer s.mu.Unlock()
	var moves []move
	for _, g := range s.held {
		if g.key.Pool == "" {
			continue
		}
		owner := rank.First(g.key.String(), s.Owners.Candidates(g.key.Zone))
		if owner == "" || owner == g.owner {
			continue
		}
		moves = append(moves, move{from: g.owner, to: owner, key: g.key, ask: g.ask, endpoint: g.Endpoint.Name})
		g.owner = owner
	}
	return moves
}
