package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/group"
	"gypsumvale/internal/coordination/rank"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/engine"
	"gypsumvale/internal/state/catalog"
)

const (
	healthPeriod  = 500 * time.Millisecond
	resumeTimeout = 600 * time.Millisecond
)

// health is the duty that asks the endpoints of owned groups for their state, and knows what this instance has met.
type health struct {
	node *Node

	mu       sync.Mutex
	down     map[string]time.Time
	versions map[string]string
	loading  map[string]bool
	// lives holds the life of each engine as last read, and crashes when an engine was last known to have crashed.
	lives   map[string]string
	crashes map[string]time.Time
	// events holds the number of the last cache event read from each engine.
	events map[string]uint64
}

// downTime is how long an endpoint that refused a connection is left alone unless it answers before.
const downTime = 2 * time.Second

func newHealth(n *Node) *health {
	return &health{
		node: n, down: make(map[string]time.Time), versions: make(map[string]string), loading: make(map[string]bool),
		lives: make(map[string]string), crashes: make(map[string]time.Time), events: make(map[string]uint64),
	}
}

func (h *health) run(ctx context.Context) {
	duty.Every(ctx, healthPeriod, func(ctx context.Context) {
		var wg sync.WaitGroup
		for _, e := range h.owned() {
			wg.Go(func() { h.ask(ctx, e) })
		}
		wg.Wait()
	})
}

// owned returns the engines of the groups that this instance owns.
func (h *health) owned() []*catalog.Endpoint {
	snapshot := h.node.follower.Current()
	zone := h.node.cfg.Zone
	mates := h.node.members.current().ByZone[zone]
	var list []*catalog.Endpoint
	for _, d := range snapshot.Deployments {
		pool := string(catalog.KindDeployment) + "/" + d.Name
		for _, key := range group.Keys(snapshot, pool, zone) {
			if rank.First(key.String(), mates) == h.node.cfg.Name {
				list = append(list, group.Endpoints(snapshot, key)...)
			}
		}
	}
	return list
}

func (h *health) ask(ctx context.Context, e *catalog.Endpoint) {
	load, err := h.node.endpoints.Load(ctx, e.Address)
	if err != nil {
		h.failed(e.Name)
		return
	}
	h.answered(e.Name, load)
	h.followCache(ctx, e)
}

// followCache tells the owner what an engine has evicted; after a gap nothing that it was thought to hold counts.
func (h *health) followCache(ctx context.Context, e *catalog.Endpoint) {
	h.mu.Lock()
	last, known := h.events[e.Name]
	h.mu.Unlock()
	events, err := h.node.endpoints.Events(ctx, e.Address, last)
	if err != nil || len(events) == 0 {
		return
	}
	for i := range events {
		if known && events[i].Seq != last+1 {
			h.node.owner.CacheEventsMissed(e.Name)
		}
		last = events[i].Seq
		if events[i].Evicted {
			h.node.owner.Evicted(e.Name, string(events[i].Name))
		}
	}
	h.mu.Lock()
	h.events[e.Name] = last
	h.mu.Unlock()
}

func (h *health) failed(name string) {
	h.mu.Lock()
	known := time.Now().Before(h.down[name])
	h.down[name] = time.Now().Add(downTime)
	h.mu.Unlock()
	if !known {
		h.node.log.Info(event.EndpointDown, "endpoint does not answer", zap.String("endpoint", name))
	}
}

func (h *health) answered(name string, load engine.Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.down[name].IsZero() {
		delete(h.down, name)
		h.node.log.Info(event.EndpointUp, "endpoint answers", zap.String("endpoint", name))
	}
	h.versions[name] = load.Version
	h.loading[name] = load.Loading
	h.lives[name] = load.RunID
}

// crashed notes that an engine's process has ended; owners grant nothing there until it answers.
func (h *health) crashed(name string) {
	h.failed(name)
	h.mu.Lock()
	h.crashes[name] = time.Now()
	h.mu.Unlock()
	h.node.owner.MarkDown(name)
}

// wasDown reports whether an engine was known to have crashed shortly before a time, so that what was then sent was not in flight.
func (h *health) wasDown(name string, sent time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.crashes[name]
	return ok && at.Before(sent) && sent.Sub(at) < downTime
}

func (h *health) life(name string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lives[name]
}

// usable reports whether an endpoint may be sent new work.
func (h *health) usable(e *catalog.Endpoint) bool {
	if h.node.instances.leaving(e.Name) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return !time.Now().Before(h.down[e.Name]) && !h.loading[e.Name]
}

func (h *health) version(name string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.versions[name]
}

// Members returns a group's endpoints for its owner.
func (h *health) Members(key group.Key) []group.Member {
	endpoints := group.Endpoints(h.node.follower.Current(), key)
	members := make([]group.Member, len(endpoints))
	for i, e := range endpoints {
		members[i] = group.Member{Name: e.Name, Slots: e.Slots, Leaving: !h.usable(e), Version: h.version(e.Name)}
	}
	return members
}

// Resumed reads the platform's list again before anything is granted after a pause; if it can't be read, what is known counts.
func (h *health) Resumed(ctx context.Context) {
	h.node.log.Warn(event.ProcessPaused, "process was paused")
	ctx, cancel := context.WithTimeout(ctx, resumeTimeout)
	defer cancel()
	h.node.instances.poll(ctx)
}
