package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/origin"
	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
	"gypsumvale/internal/state/registration"
	"gypsumvale/internal/state/route"
)

const (
	// lateTakeUp is how long after its caller's deadline a stream may still be taken up, since callers count from when they sent the request.
	lateTakeUp = time.Second
	// minStreamTime is the shortest time for which streams are assumed to last at most; a route's timeout may be longer.
	minStreamTime = 15 * time.Second
	// learningTime is how long a new leader may need until entries have told it of their streams, and engines of their caches.
	learningTime = 3 * time.Second
	// originWait bounds how long a take-up waits for that, and originRetryPause is the pause between two attempts to place it.
	originWait       = 2500 * time.Millisecond
	originRetryPause = 100 * time.Millisecond
)

// origins knows at which software version streams began.
//
//	known from                                      lost with
//	the entry that sent the stream's first event    that entry; it tells new leaders
//	the leader that placed the stream               that leader
//	registrars, while several versions serve        all of them
//	the versions in service, if only one was and    nothing: they are on record in the store
//	the list of endpoints is new
//	the journal in the store, of streams that a     what was placed just before
//	leader placed while several were in service
//	the caches of engines: which version has read   the engines, or their memory
//	the last part of the prompt
type origins struct {
	node *Node

	mu      sync.Mutex
	table   *origin.Table
	readers *origin.Readers
	history *origin.History
	// recordedAt is the revision of the record in the store, zero if there is none.
	recordedAt kv.Revision
	// several holds the services at which streams may have begun at several versions, as of the last sweep.
	several map[string]bool
	// outdated is true if the list of endpoints was too old at the last sweep to tell the only version in service.
	outdated bool
	// journal holds the streams for the store; journalRead is the fencing number of the term in which it was read.
	journal     origin.Journal
	journalRead uint64
	// nextPage is when the journal is written next.
	nextPage clock.Instant
	// unregistered holds the streams that this instance has placed and not told the registrars of.
	unregistered []peer.StreamOrigin
}

func newOrigins(n *Node) *origins {
	return &origins{node: n, table: origin.NewTable(), readers: origin.NewReaders(), history: origin.NewHistory()}
}

// streamOf returns the identity of a request's stream, or zero if it is none that another endpoint may go on with.
func streamOf(r *route.Route, id, resumes string) uint64 {
	if r.Kind != route.Stream || !r.Resumable && resumes == "" {
		return 0
	}
	if resumes != "" {
		id = resumes
	}
	return max(1, xxhash.Sum64String(id))
}

// record records that a stream began, or goes on, at an endpoint of a software version. own is true if this instance sends it to its caller, and
// placed if it has chosen the endpoint.
func (o *origins) record(req *placement.Request, software string, own, placed bool) {
	if req.Stream == 0 || software == "" {
		return
	}
	until, now, listedAt, source := req.Deadline.Add(lateTakeUp), clock.Now(), o.node.discovery.listedAt(), origin.Begun
	if own {
		source = origin.Sent
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	began := origin.Origin{Service: req.Service, Software: software, Until: until, Own: own, Source: source, At: now}
	o.recordBegun(req.Stream, began)
	if placed && (o.several[req.Service] || !origin.Current(now, listedAt)) {
		// There are several versions, or may be.
		o.tellRegistrars(req.Stream, began)
	}
}

// recordBegun records where a stream began, and adds it to the journal if that is new, or the stream may be taken up for longer than was known. The
// caller holds the lock.
func (o *origins) recordBegun(stream uint64, began origin.Origin) {
	held, ok := o.table.Lookup(stream)
	o.table.Record(stream, began)
	if !o.several[began.Service] {
		return
	}
	if !ok || held.Placed || began.Until.Sub(held.Until) > lateTakeUp {
		o.journal.Add(time.Now(), stream, began)
	}
}

// tell has the registrars told of a stream, and adds it to the journal; the caller holds the lock.
func (o *origins) tell(stream uint64, began origin.Origin) {
	o.tellRegistrars(stream, began)
	o.journal.Add(time.Now(), stream, began)
}

// tellRegistrars has the registrars told of a stream; the caller holds the lock.
func (o *origins) tellRegistrars(stream uint64, began origin.Origin) {
	if len(o.unregistered) < maxRegistered {
		o.unregistered = append(o.unregistered, peer.StreamOrigin{
			Stream: stream, Service: began.Service, Software: began.Software, Left: began.Until.Sub(clock.Now()),
		})
	}
}

// recordPlaced records that a request that begins a stream was placed at an endpoint of a software version, so that the stream is known to the
// next leader even if all instances are killed right after its first event.
func (o *origins) recordPlaced(req *placement.Request, software string) {
	if req.Stream == 0 || req.Software != "" || software == "" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.several[req.Service] {
		o.journal.Add(time.Now(), req.Stream, origin.Origin{Service: req.Service, Software: software, Placed: true})
	}
}

// recordReported records the streams of an entry.
func (o *origins) recordReported(streams []peer.StreamOrigin) {
	now := clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range streams {
		o.recordBegun(s.Stream, origin.Origin{Service: s.Service, Software: s.Software, Until: now.Add(s.Left), Source: origin.Told, At: now})
	}
}

// Streams returns the streams that this instance has sent to their callers.
func (o *origins) Streams() []peer.StreamOrigin {
	now := clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	own := o.table.Own()
	list := make([]peer.StreamOrigin, 0, len(own))
	for stream, s := range own {
		list = append(list, peer.StreamOrigin{Stream: stream, Service: s.Service, Software: s.Software, Left: s.Until.Sub(now)})
	}
	return list
}

// recordReads records what an engine's cache has added.
func (o *origins) recordReads(c followedCache, events []placement.CacheEvent) {
	registered := o.node.discovery.registration(c.name)
	if registered == nil || registered.StartMilli != c.startMilli || registered.Software == "" {
		return
	}
	now := clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range events {
		if events[i].Added {
			o.readers.Record(now, partHash(c.service, events[i].Part), registered.Software)
		}
	}
}

func partHash(service, part string) uint64 {
	h := xxhash.New()
	writeString(h, service)
	writeString(h, part)
	return h.Sum64()
}

// recordGap records that no list of endpoints was read between two instants.
func (o *origins) recordGap(since, now clock.Instant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.RecordGap(since, now)
}

// observe records the versions that are in service.
func (o *origins) observe(byService map[string][]*registration.Registration) {
	present := make(map[string]map[string]bool)
	for service, endpoints := range byService {
		for _, r := range endpoints {
			if present[service] == nil {
				present[service] = make(map[string]bool)
			}
			present[service][r.Software] = true
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.Observe(clock.Now(), present)
}

// settling returns the versions at which no streams may begin yet that may go on elsewhere, by service, given when the list of endpoints was read.
func (o *origins) settling(listedAt clock.Instant) map[string]map[string]clock.Instant {
	now, wall, within := clock.Now(), time.Now(), o.streamTime()
	o.mu.Lock()
	defer o.mu.Unlock()
	var settling map[string]map[string]clock.Instant
	for _, service := range o.history.Services() {
		if versions := o.history.Settling(now, wall, service, within, listedAt); len(versions) > 0 {
			if settling == nil {
				settling = make(map[string]map[string]clock.Instant)
			}
			settling[service] = versions
		}
	}
	return settling
}

// hasSeveral reports whether streams of a service may have begun at several versions.
func (o *origins) hasSeveral(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.several[service]
}

// resolveRecorded sets the software version at which a request's stream began if there is a record of that here. The error is
// *placement.OriginError if the records contradict each other.
func (o *origins) resolveRecorded(req *placement.Request) error {
	if !req.TakesUp || req.Software != "" {
		return nil
	}
	now := clock.Now()
	learning := !o.node.leadership.hasLedFor(now, learningTime)
	o.mu.Lock()
	defer o.mu.Unlock()
	known, ok := o.table.Lookup(req.Stream)
	switch {
	case !ok:
		return nil
	case known.Placed && !known.Known():
		// The request was placed at several versions.
		return &placement.OriginError{Learning: learning}
	case known.Service != req.Service:
		// The operator has moved the route since.
		return &placement.OriginError{}
	case known.Placed:
		// An entry that the reply hasn't reached may have begun the stream elsewhere.
		return nil
	}
	req.Software = known.Software
	req.Origin = placement.StreamOrigin{Source: known.Source, Age: now.Sub(known.At)}
	return nil
}

// resolve sets the software version at which a request's stream began: from a record of it, or since it can have begun at one version only. The
// error is *placement.OriginError.
func (o *origins) resolve(req *placement.Request) error {
	if err := o.resolveRecorded(req); err != nil || !req.TakesUp || req.Software != "" {
		return err
	}
	now := clock.Now()
	within, learning, listedAt := o.streamTime(), !o.node.leadership.hasLedFor(now, learningTime), o.node.discovery.listedAt()
	current := origin.Current(now, listedAt)
	// Only the leader follows the caches of engines, and of those that it has heard of.
	followsCaches := current && o.node.leadership.holdsLease(now)
	o.mu.Lock()
	defer o.mu.Unlock()
	software, source := "", placement.StreamOrigin{}
	if sole, ok := o.history.Sole(now, time.Now(), req.Service, within); ok && current {
		software, source = sole, placement.StreamOrigin{Source: origin.Sole, Age: now.Sub(listedAt)}
	} else if reader, ok := o.readers.Lookup(lastPartHash(req)); ok && followsCaches {
		software, source = reader, placement.StreamOrigin{Source: origin.Cache}
	}
	// Where the request was placed doesn't tell the version, but may contradict what does.
	known, ok := o.table.Lookup(req.Stream)
	if software == "" || ok && known.Software != software {
		return &placement.OriginError{Learning: learning && current, Outdated: !current}
	}
	source.Placed = known.Placed
	req.Software, req.Origin = software, source
	return nil
}

// lastPartHash returns the hash of the last part of a request's prompt.
func lastPartHash(req *placement.Request) uint64 {
	if len(req.Parts) == 0 {
		return 0
	}
	return partHash(req.Service, req.Parts[len(req.Parts)-1].ID)
}

// streamTime returns how long ago a version may have left at which a stream began that is taken up now. Clocks may differ by less than
// origin.LateNotice.
func (o *origins) streamTime() time.Duration {
	longest := minStreamTime
	if table := o.node.table.Load(); table != nil {
		longest = max(longest, table.LongestStream())
	}
	return longest + origin.LateNotice
}

func (o *origins) run(ctx context.Context) {
	duty.Every(ctx, versionsPeriod, func(ctx context.Context) {
		o.sweep()
		o.node.placer.setSettling()
		if !o.node.leadership.holdsLease(clock.Now()) || !o.node.discovery.loaded.Load() {
			return
		}
		if err := o.publish(ctx); err != nil {
			o.node.log.Warn(event.StoreUnreachable, "failed to record the software versions in service", zap.Error(err))
		}
	})
}

// sweep drops old streams, and determines which services have several versions. When a service gets a second one, a leader tells of the streams
// that began before, and other instances of those that they have sent. The latter also holds when the list of endpoints grows old, since the instance
// may be cut off with its zone.
func (o *origins) sweep() {
	now, within, listedAt := clock.Now(), o.streamTime(), o.node.discovery.listedAt()
	leads := o.node.leadership.holdsLease(now)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Sweep(now)
	several, added := make(map[string]bool), false
	for _, service := range o.history.Services() {
		if _, sole := o.history.Sole(now, time.Now(), service, within); !sole {
			several[service], added = true, added || !o.several[service]
		}
	}
	previous, wasOutdated := o.several, o.outdated
	o.several, o.outdated = several, !origin.Current(now, listedAt)
	if !added && (!o.outdated || wasOutdated) {
		return
	}
	for stream, began := range o.table.All() {
		switch {
		case began.Placed || !leads && !began.Own:
		case several[began.Service] && !previous[began.Service]:
			o.tell(stream, began)
		case o.outdated && !wasOutdated && began.Own:
			o.tellRegistrars(stream, began)
		}
	}
}
