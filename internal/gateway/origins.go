package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/origin"
	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/coordination/rank"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/kv"
	"gypsumvale/internal/state/registration"
	"gypsumvale/internal/state/route"
)

const (
	// versionsKey holds which software versions are, or lately were, in service.
	versionsKey = "gypsum/versions"
	// streamsPrefix begins the keys of the journal of streams. They aren't among this system's other keys, which all instances read: only a new
	// leader reads them.
	streamsPrefix = "gypsum-streams/"
	// journalPeriod is the interval at which the leader writes the journal while several versions are in service.
	journalPeriod = 500 * time.Millisecond
	// versionsPeriod is the interval at which the leader compares that key with what it sees.
	versionsPeriod = 250 * time.Millisecond
	// lateTakeUp is how long after its caller's deadline a stream may still be taken up, since callers count from when they sent the request.
	lateTakeUp = time.Second
	// minStreamTime and lateNotice bound how long ago a stream that is taken up may have begun: the longest timeout of a route, and the time
	// for which an instance may have placed streams on a version after others saw it leave. Clocks may differ by less than the latter.
	minStreamTime = 15 * time.Second
	lateNotice    = 5 * time.Second
	// learningTime is how long a new leader may need until entries have told it of their streams, and engines of their caches.
	learningTime = 3 * time.Second
	// originRegistrars is how many instances are told of streams while several versions are in service: enough that one of them is probably left
	// when a third of all instances, the leader among them, fail at once. They are told once in registerPeriod.
	originRegistrars = 3
	registerPeriod   = 100 * time.Millisecond
	// findTimeout bounds the query of a registrar, and findPause is the pause between two queries for one request.
	findTimeout = 100 * time.Millisecond
	findPause   = 400 * time.Millisecond
	// maxRegistered bounds the streams in one message, and those that wait for it.
	maxRegistered = 2048
	// originWait bounds how long a take-up waits for that, and originRetryPause is the pause between two attempts to place it.
	originWait       = 2500 * time.Millisecond
	originRetryPause = 100 * time.Millisecond
)

// origins knows at which software version streams began.
//
//	known from                                    lost with
//	the entry that sent the stream's first event  that entry; it tells new leaders
//	the leader that placed the stream             that leader
//	its registrars, chosen by rank, while several   all of them
//	versions are in service
//	the versions in service, if only one was      nothing: the store has them on record
//	the journal in the store, of streams that a     nothing but the newest half second
//	leader placed while several were in service
//	the caches of engines: which version has      the engines, or their memory
//	read the last part of the prompt
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
	until := req.Deadline.Add(lateTakeUp)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Record(req.Stream, origin.Origin{Service: req.Service, Software: software, Until: until, Own: own})
	if placed && o.several[req.Service] && len(o.unregistered) < maxRegistered {
		o.unregistered = append(o.unregistered, peer.StreamOrigin{
			Stream: req.Stream, Service: req.Service, Software: software, Left: until.Sub(clock.Now()),
		})
		o.journal.Add(time.Now(), req.Stream, origin.Origin{Service: req.Service, Software: software})
	}
}

// writeJournal writes the streams that this instance has placed as the leader, after it has read those of earlier leaders.
func (o *origins) writeJournal(ctx context.Context) {
	duty.Every(ctx, journalPeriod/2, func(ctx context.Context) {
		fence, _, _ := o.node.leadership.term()
		o.mu.Lock()
		read := o.journalRead == fence
		o.mu.Unlock()
		if !o.node.leadership.holdsLease(clock.Now()) {
			return
		}
		var err error
		if !read {
			err = o.readJournal(ctx, fence)
		} else {
			err = o.writePage(ctx)
		}
		if err != nil {
			o.node.log.Warn(event.StoreUnreachable, "failed to keep the journal of streams", zap.Error(err))
		}
	})
}

// readJournal reads the streams of earlier leaders.
func (o *origins) readJournal(ctx context.Context, fence uint64) error {
	ctx, cancel := context.WithTimeout(ctx, 2*storeReadTimeout)
	defer cancel()
	within, known := o.streamTime(), 0
	for after := ""; ; {
		list, err := o.node.deps.Store.Range(ctx, streamsPrefix, after)
		o.node.countStoreCall("read_streams", err)
		if err != nil {
			return fmt.Errorf("read streams: %w", err)
		}
		for _, item := range list.Items {
			streams, err := origin.ReadPage(item.Data, time.Now(), within)
			if err != nil {
				o.node.log.Warn(event.RegistrationInvalid, "invalid page of streams skipped", zap.String("key", item.Key), zap.Error(err))
			}
			known += len(streams)
			o.recordStored(streams, clock.Now().Add(within))
		}
		if after = list.After; after == "" {
			break
		}
	}
	o.mu.Lock()
	o.journal.Restart(time.Now())
	o.journalRead = fence
	o.mu.Unlock()
	o.node.log.Info(event.StreamsRead, "journal of streams read", zap.Int("streams", known))
	return nil
}

func (o *origins) recordStored(streams map[uint64]origin.Origin, until clock.Instant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for stream, began := range streams {
		began.Until = until
		o.table.Record(stream, began)
	}
}

func (o *origins) writePage(ctx context.Context) error {
	now := clock.Now()
	o.mu.Lock()
	if now.Before(o.nextPage) {
		o.mu.Unlock()
		return nil
	}
	name, data, due, err := o.journal.Due()
	o.nextPage = now.Add(journalPeriod)
	o.mu.Unlock()
	if err != nil || !due {
		return err //nolint:wrapcheck // It says what failed.
	}
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	_, err = o.node.deps.Store.Commit(ctx, kv.Transaction{Writes: []kv.Write{{Key: streamsPrefix + name, Data: data}}})
	o.node.countStoreCall("write_streams", err)
	if err != nil {
		return fmt.Errorf("write streams: %w", err)
	}
	return nil
}

// registrars returns the instances that are told of streams; all instances choose the same ones.
func (o *origins) registrars() []string {
	names := append(o.node.members.peerNames(), o.node.cfg.Name)
	list := rank.Top("origins", names, originRegistrars)
	return slices.DeleteFunc(list, func(name string) bool { return name == o.node.cfg.Name })
}

// register tells the registrars of the streams that this instance has placed.
func (o *origins) register(ctx context.Context) {
	duty.Every(ctx, registerPeriod, func(context.Context) {
		o.mu.Lock()
		streams := o.unregistered
		o.unregistered = nil
		o.mu.Unlock()
		if len(streams) == 0 {
			return
		}
		for _, name := range o.registrars() {
			o.node.notify(name, peer.KindStreamOrigins, peer.StreamOrigins{Streams: streams})
		}
	})
}

// serveFind answers a query for the origin of a stream.
func (o *origins) serveFind(stream uint64) peer.FindOriginReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	known, _ := o.table.Lookup(stream)
	return peer.FindOriginReply{Service: known.Service, Software: known.Software}
}

// find asks the registrars where a request's stream began, and records it if one of them knows.
func (o *origins) find(ctx context.Context, req *placement.Request) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	var queries sync.WaitGroup
	for _, name := range o.registrars() {
		queries.Go(func() {
			var reply peer.FindOriginReply
			// A registrar that is gone, or is of an earlier release, knows nothing.
			if err := o.node.CallPeer(ctx, name, peer.KindFindOrigin, peer.FindOrigin{Stream: req.Stream}, &reply); err != nil || reply.Software == "" {
				return
			}
			o.mu.Lock()
			defer o.mu.Unlock()
			o.table.Record(req.Stream, origin.Origin{Service: reply.Service, Software: reply.Software, Until: req.Deadline.Add(lateTakeUp)})
		})
	}
	queries.Wait()
}

// recordReported records the streams of an entry.
func (o *origins) recordReported(streams []peer.StreamOrigin) {
	now := clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range streams {
		o.table.Record(s.Stream, origin.Origin{Service: s.Service, Software: s.Software, Until: now.Add(s.Left)})
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

// resolve sets the software version at which a request's stream began. The error is *placement.OriginError.
func (o *origins) resolve(req *placement.Request) error {
	if !req.TakesUp || req.Software != "" {
		return nil
	}
	now := clock.Now()
	within, learning := o.streamTime(), !o.node.leadership.hasLedFor(now, learningTime)
	o.mu.Lock()
	defer o.mu.Unlock()
	known, ok := o.table.Lookup(req.Stream)
	switch {
	case ok && known.Service != req.Service:
		// The operator has moved the route since.
		return &placement.OriginError{}
	case ok:
		req.Software = known.Software
		return nil
	}
	if sole, ok := o.history.Sole(now, time.Now(), req.Service, within); ok {
		req.Software = sole
		return nil
	}
	if len(req.Parts) > 0 {
		if reader, ok := o.readers.Lookup(partHash(req.Service, req.Parts[len(req.Parts)-1].ID)); ok {
			req.Software = reader
			return nil
		}
	}
	return &placement.OriginError{Learning: learning}
}

// streamTime returns how long ago a stream may have begun that is taken up now.
func (o *origins) streamTime() time.Duration {
	longest := minStreamTime
	if table := o.node.table.Load(); table != nil {
		longest = max(longest, table.LongestStream())
	}
	return longest + lateNotice
}

// apply takes over the record of versions from this system's keys.
func (o *origins) apply(items []kv.Item) {
	var recorded map[string]origin.Versions
	var revision kv.Revision
	for _, item := range items {
		if item.Key != versionsKey {
			continue
		}
		revision = item.Revision
		if err := msgpack.Unmarshal(item.Data, &recorded); err != nil {
			o.node.log.Warn(event.RegistrationInvalid, "invalid record of software versions skipped", zap.Error(err))
			recorded = nil
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.SetRecorded(recorded)
	o.recordedAt = revision
}

func (o *origins) run(ctx context.Context) {
	duty.Every(ctx, versionsPeriod, func(ctx context.Context) {
		o.sweep()
		if !o.node.leadership.holdsLease(clock.Now()) || !o.node.discovery.loaded.Load() {
			return
		}
		if err := o.publish(ctx); err != nil {
			o.node.log.Warn(event.StoreUnreachable, "failed to record the software versions in service", zap.Error(err))
		}
	})
}

// sweep drops old streams, and determines which services have several versions.
func (o *origins) sweep() {
	now, within := clock.Now(), o.streamTime()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Sweep(now)
	o.several = make(map[string]bool)
	for _, service := range o.history.Services() {
		if _, sole := o.history.Sole(now, time.Now(), service, within); !sole {
			o.several[service] = true
		}
	}
}

// publish writes the record of versions once these have changed, which takes a few writes for each release.
func (o *origins) publish(ctx context.Context) error {
	o.mu.Lock()
	due, changed := o.history.Due(clock.Now(), time.Now())
	revision := o.recordedAt
	o.mu.Unlock()
	if !changed {
		return nil
	}
	data, err := msgpack.Marshal(due)
	if err != nil {
		return fmt.Errorf("encode software versions: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	written, err := o.node.deps.Store.Commit(ctx, kv.Transaction{
		Conditions: []kv.Condition{{Key: versionsKey, Revision: revision}}, Writes: []kv.Write{{Key: versionsKey, Data: data}},
	})
	o.node.countStoreCall("versions", err)
	if errors.Is(err, kv.ErrConflict) {
		// Another leader has written since this instance read the key.
		o.node.poller.wake()
		return nil
	}
	if err != nil {
		return fmt.Errorf("write software versions: %w", err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.SetRecorded(due)
	o.recordedAt = written
	return nil
}
