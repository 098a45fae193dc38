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
	probePeriod   = 500 * time.Millisecond
	resumeTimeout = 600 * time.Millisecond
)

// health polls the load of the engines in the groups that this instance owns, and keeps what this instance has observed of any
// endpoint, such as refused connections and crashes.
type health struct {
	node *Node

	mu        sync.Mutex
	downUntil map[string]time.Time
	versions  map[string]string
	loading   map[string]bool
	// runs holds the run of each engine's process as last read.
	runs map[string]engineRun
	// crashes holds the last noticed crash of each engine.
	crashes map[string]engineCrash
	// lastEvent holds the sequence number of the last cache event read from each engine.
	lastEvent map[string]uint64
}

// engineRun identifies a run of an engine's process.
type engineRun struct {
	id     string
	readAt time.Time
}

// engineCrash is the end of a run of an engine's process.
type engineCrash struct {
	// runID is empty if it isn't known which run ended.
	runID     string
	noticedAt time.Time
}

// maxRunAge is how long the run that was last read is taken to be the current one. A round of probes takes up to two periods while other
// engines don't answer.
const maxRunAge = 3 * probePeriod

// downPeriod is how long an endpoint that refused a connection gets no new work, unless it answers earlier.
const downPeriod = 2 * time.Second

func newHealth(n *Node) *health {
	return &health{
		node: n, downUntil: make(map[string]time.Time), versions: make(map[string]string), loading: make(map[string]bool),
		runs: make(map[string]engineRun), crashes: make(map[string]engineCrash), lastEvent: make(map[string]uint64),
	}
}

func (h *health) run(ctx context.Context) {
	duty.Every(ctx, probePeriod, func(ctx context.Context) {
		var wg sync.WaitGroup
		for _, e := range h.ownedEngines() {
			wg.Go(func() { h.probe(ctx, e) })
		}
		wg.Wait()
	})
}

// ownedEngines returns the engines of the groups that this instance owns.
func (h *health) ownedEngines() []*catalog.Endpoint {
	snapshot := h.node.follower.Current()
	zone := h.node.cfg.Zone
	zoneMembers := h.node.members.current().ByZone[zone]
	var list []*catalog.Endpoint
	for _, d := range snapshot.Deployments {
		pool := string(catalog.KindDeployment) + "/" + d.Name
		for _, key := range group.Keys(snapshot, pool, zone) {
			if rank.First(key.String(), zoneMembers) == h.node.cfg.Name {
				list = append(list, group.Endpoints(snapshot, key)...)
			}
		}
	}
	return list
}

func (h *health) probe(ctx context.Context, e *catalog.Endpoint) {
	load, err := h.node.endpoints.Load(ctx, e.Address)
	if err != nil {
		h.markDown(e.Name)
		return
	}
	h.recordLoad(e.Name, load)
	h.readCacheEvents(ctx, e)
}

// readCacheEvents reports the pieces that an engine has evicted to the group owner. If events were missed, the owner forgets all that
// it believed the engine to have cached.
func (h *health) readCacheEvents(ctx context.Context, e *catalog.Endpoint) {
	h.mu.Lock()
	last, known := h.lastEvent[e.Name]
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
	h.lastEvent[e.Name] = last
	h.mu.Unlock()
}

func (h *health) markDown(name string) {
	h.mu.Lock()
	alreadyDown := time.Now().Before(h.downUntil[name])
	h.downUntil[name] = time.Now().Add(downPeriod)
	h.mu.Unlock()
	if !alreadyDown {
		h.node.log.Info(event.EndpointDown, "endpoint does not answer", zap.String("endpoint", name))
	}
}

func (h *health) recordLoad(name string, load engine.Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.downUntil[name].IsZero() {
		delete(h.downUntil, name)
		h.node.log.Info(event.EndpointUp, "endpoint answers", zap.String("endpoint", name))
	}
	h.versions[name] = load.Version
	h.loading[name] = load.Loading
	h.runs[name] = engineRun{id: load.RunID, readAt: time.Now()}
}

// markCrashed records that a run of an engine's process has ended; this instance's groups grant nothing on the engine until it answers.
func (h *health) markCrashed(name, runID string) {
	h.markDown(name)
	h.mu.Lock()
	h.crashes[name] = engineCrash{runID: runID, noticedAt: time.Now()}
	h.mu.Unlock()
	h.node.owner.MarkDown(name)
}

// wasCrashed reports whether a request was sent to a run of an engine's process whose end had been noticed before, so that the request was
// not in flight at the crash. If either run is unknown, they are taken to be the same for downPeriod.
func (h *health) wasCrashed(name, runID string, sent time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	crash, ok := h.crashes[name]
	if !ok || !crash.noticedAt.Before(sent) {
		return false
	}
	if runID != "" && crash.runID != "" {
		return runID == crash.runID
	}
	return sent.Sub(crash.noticedAt) < downPeriod
}

// runID returns the run of an engine's process, or "" if it hasn't been read for maxRunAge.
func (h *health) runID(name string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	run := h.runs[name]
	if time.Since(run.readAt) > maxRunAge {
		return ""
	}
	return run.id
}

// usable reports whether an endpoint may be sent new work: it isn't leaving, answers, and isn't loading weights.
func (h *health) usable(e *catalog.Endpoint) bool {
	if h.node.instances.leaving(e.Name) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return !time.Now().Before(h.downUntil[e.Name]) && !h.loading[e.Name]
}

func (h *health) version(name string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.versions[name]
}

// Members returns a group's endpoints, with what this instance knows of their state.
func (h *health) Members(key group.Key) []group.Member {
	endpoints := group.Endpoints(h.node.follower.Current(), key)
	members := make([]group.Member, len(endpoints))
	for i, e := range endpoints {
		members[i] = group.Member{
			Name: e.Name, Slots: e.Slots, Leaving: !h.usable(e), Version: h.version(e.Name), RunID: h.runID(e.Name),
		}
	}
	return members
}

// Resumed reads the platform's instance list again after this process was paused, and before the owner grants anything. If the list
// can't be read within resumeTimeout, the last known one is used.
func (h *health) Resumed(ctx context.Context) {
	h.node.log.Warn(event.ProcessPaused, "process was paused")
	ctx, cancel := context.WithTimeout(ctx, resumeTimeout)
	defer cancel()
	h.node.instances.poll(ctx)
}
