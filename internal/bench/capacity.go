package bench

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"time"

	"gypsumvale/internal/coordination/group"
	"gypsumvale/internal/coordination/link"
	"gypsumvale/internal/coordination/member"
	"gypsumvale/internal/coordination/ticket"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/catalog"
	"gypsumvale/internal/state/claim"
	"gypsumvale/internal/state/kv"
	"gypsumvale/internal/state/piece"

	"github.com/vmihailenco/msgpack/v5"
)

// MeasureCapacity measures how the memory and CPU time of each role grow with its load, in this process, and prints a line for each size.
func MeasureCapacity(w io.Writer) error {
	p := printer{w}
	for _, n := range []int{10, 1000, 12000} {
		if err := measureConfiguration(p, n); err != nil {
			return fmt.Errorf("measure configuration: %w", err)
		}
	}
	for _, n := range []int{10, 100, 1000} {
		measureQueue(p, n)
	}
	for _, n := range []int{1000, 10000, 100000} {
		measureLink(p, n)
	}
	for _, n := range []int{18, 72, 357} {
		if err := measureMembership(p, n); err != nil {
			return fmt.Errorf("measure membership: %w", err)
		}
	}
	for _, n := range []int{100, 300, 600} {
		if err := measureLedger(p, n); err != nil {
			return fmt.Errorf("measure ledger: %w", err)
		}
	}
	return nil
}

// heapBytes returns the bytes of live heap objects after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// meanTime returns the mean duration of a number of calls.
func meanTime(runs int, run func(i int)) time.Duration {
	started := time.Now()
	for i := range runs {
		run(i)
	}
	return time.Since(started) / time.Duration(runs)
}

// memoryStore is an in-memory key-value service. It counts the bytes written.
type memoryStore struct {
	values  map[string]kv.Value
	written int
}

func (m *memoryStore) Get(_ context.Context, key string) (kv.Value, error) {
	v, ok := m.values[key]
	if !ok {
		return kv.Value{}, kv.ErrNotFound
	}
	return v, nil
}

func (m *memoryStore) Put(_ context.Context, key string, data []byte, version kv.Version) (kv.Version, error) {
	if m.values[key].Version != version {
		return 0, kv.ErrConflict
	}
	m.values[key] = kv.Value{Data: data, Version: version + 1}
	m.written += len(data)
	return version + 1, nil
}

func (m *memoryStore) Delete(_ context.Context, key string, _ kv.Version) error {
	delete(m.values, key)
	return nil
}

func workspaceObject(i, share int) *catalog.Object {
	name := fmt.Sprintf("workspace-%05d", i)
	state := fmt.Sprintf(`{"key_digests":[%q],"share":%d,"deployments":["m"],"services":[]}`, catalog.KeyDigest(name), share)
	return &catalog.Object{ID: catalog.ID{Kind: catalog.KindWorkspace, Name: name}, State: []byte(state)}
}

// measureConfiguration measures the size of a configuration, and the cost of committing one change and of adopting it.
func measureConfiguration(p printer, workspaces int) error {
	ctx := context.Background()
	store := &memoryStore{values: make(map[string]kv.Value)}
	tickets := &ticket.Committer{Store: store, Now: time.Now}
	number := uint64(1)
	objects := []*catalog.Object{{ID: catalog.ID{Kind: catalog.KindDeployment, Name: "m"}, State: []byte(`{"model":"m","version":"v"}`)}}
	const batch = 200
	for i := 0; i < workspaces; {
		for ; i < workspaces && len(objects) < batch; i++ {
			objects = append(objects, workspaceObject(i, 1))
		}
		if _, err := tickets.Submit(ctx, &ticket.Ticket{Number: number, Objects: objects}); err != nil {
			return fmt.Errorf("submit initial configuration: %w", err)
		}
		number++
		objects = nil
	}
	total, largest := 0, 0
	for _, v := range store.values {
		total += len(v.Data)
		largest = max(largest, len(v.Data))
	}
	before := heapBytes()
	follower := ticket.NewFollower()
	firstAdoption := meanTime(1, func(int) { _, _ = follower.Adopt(ctx, store.values[ticket.HeadPath].Data, store) })
	heap := heapBytes() - before
	store.written = 0
	var submitErr error
	const changes = 5
	submit := meanTime(changes, func(i int) {
		_, submitErr = tickets.Submit(ctx, &ticket.Ticket{Number: number + uint64(i), Objects: []*catalog.Object{workspaceObject(1, i+2)}})
	})
	if submitErr != nil {
		return fmt.Errorf("submit change: %w", submitErr)
	}
	nextAdoption := meanTime(1, func(int) { _, _ = follower.Adopt(ctx, store.values[ticket.HeadPath].Data, store) })
	runtime.KeepAlive(follower)
	p.line("configuration  %6d workspaces: %8d bytes, largest value %6d, heap %6.2f MB, first adoption %7.2f ms, adopt one change %6.2f ms, commit one change %6.2f ms, written per change %6d bytes",
		workspaces, total, largest, heap/(1<<20), millis(firstAdoption), millis(nextAdoption), millis(submit), store.written/changes)
	return nil
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measureQueue measures the cost of a group owner's decisions while a number of requests wait.
func measureQueue(p printer, waiting int) {
	const slots = 8
	q := group.NewQueue(group.QueueConfig{MaxWaiting: 1 << 20, Seed: 1})
	members := make([]group.Member, group.MaxSize)
	for i := range members {
		members[i] = group.Member{Name: fmt.Sprintf("e%d", i), Slots: slots}
	}
	q.SetMembers(startTime, members)
	request := func(i int) group.GrantRequest {
		return group.GrantRequest{ID: uint64(i), Entry: "n", Workspace: fmt.Sprintf("w%d", i%20), Share: 1, Cost: 100 * time.Millisecond, Deadline: startTime.Add(time.Hour)}
	}
	running := make([]uint64, 0, slots*group.MaxSize)
	for i := range slots*group.MaxSize + waiting {
		for _, a := range q.Add(startTime, request(i+1)) {
			running = append(running, a.ID.ID)
		}
	}
	const rounds = 20000
	next := slots*group.MaxSize + waiting
	elapsed := meanTime(rounds, func(int) {
		next++
		q.Add(startTime, request(next))
		id := running[0]
		running = running[1:]
		for _, a := range q.Done(startTime, group.GrantID{Entry: "n", ID: id}, 1) {
			running = append(running, a.ID.ID)
		}
	})
	p.line("group owner    %6d requests waiting: %6.1f us to enqueue, grant and complete a request", waiting, float64(elapsed)/float64(time.Microsecond))
}

// measureLink measures the directory of blocks that the owner of a store's link keeps.
func measureLink(p printer, blocks int) {
	const pieces = 12
	before := heapBytes()
	owner := link.NewManager(link.DefaultConfig(1 << 40))
	names := func(context int) []piece.Name {
		list := make([]piece.Name, pieces)
		for i := range list {
			list[i] = piece.Name(fmt.Sprintf("%016x%016x", context, i))
		}
		return list
	}
	for c := range blocks / pieces {
		var events []link.Event
		for _, name := range names(c) {
			events = append(events, link.Event{Name: name, Generation: uint64(c), Digest: catalog.KeyDigest(string(name)), Bytes: 1 << 20})
		}
		owner.Apply(startTime, events)
	}
	used := heapBytes() - before
	const rounds = 20000
	elapsed := meanTime(rounds, func(i int) { owner.Reserve(startTime, names(i%(blocks/pieces)), time.Second) })
	p.line("link owner     %6d blocks: %5.0f bytes of heap each, %6.1f us to reserve a fetch of %d pieces", blocks, used/float64(owner.Len()), float64(elapsed)/float64(time.Microsecond), pieces)
	runtime.KeepAlive(owner)
}

// measureMembership measures one instance's membership table and heartbeats.
func measureMembership(p printer, n int) error {
	const zones = 7
	before := heapBytes()
	table := member.NewTable(member.DefaultConfig(1), member.Info{Name: "self", Zone: "z0", Address: "127.0.0.1:1", Incarnation: "self#1", StartMilli: 1})
	for i := range n - 1 {
		name := fmt.Sprintf("z%d-instance-%03d", i%zones, i)
		info := member.Info{Name: name, Zone: fmt.Sprintf("z%d", i%zones), Address: "127.0.0.1:20000", Incarnation: name + "#0123456789ab", StartMilli: 1, Counter: 1}
		table.Receive(startTime, &member.Heartbeat{From: info})
	}
	used := heapBytes() - before
	var beat member.Heartbeat
	const rounds = 500
	send := meanTime(rounds, func(int) { beat = table.Tick(startTime, member.Status{Revision: 100000}).ZoneHeartbeat })
	receive := meanTime(rounds, func(int) { table.Receive(startTime, &beat) })
	view := meanTime(rounds, func(int) { table.View(startTime) })
	data, err := msgpack.Marshal(peer.Heartbeat{Heartbeat: beat})
	if err != nil {
		return fmt.Errorf("encode heartbeat: %w", err)
	}
	p.line("membership     %6d instances: %5.0f bytes of heap each, heartbeat %5d bytes, %6.1f us to create one, %6.1f us to process one, %6.1f us for a view",
		n, used/float64(n), len(data), micros(send), micros(receive), micros(view))
	runtime.KeepAlive(table)
	return nil
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// measureLedger measures the size and the encoding time of a ledger page at a number of claims per second.
func measureLedger(p printer, rate int) error {
	page, err := claim.Decode(nil)
	if err != nil {
		return fmt.Errorf("create page: %w", err)
	}
	records := int(float64(rate) * claim.BucketLength.Seconds() / claim.Shards)
	for i := range records {
		op := claim.Op{Kind: claim.OpClaim, Key: claim.Digest{byte(i), byte(i >> 8), 1}, Holder: "z0-instance-001#0123456789ab", Nonce: claim.Nonce{1}}
		page.Apply(&op)
		op.Kind = claim.OpFinish
		op.Outcome = &claim.Outcome{Code: 200, Type: "application/json", Body: make([]byte, 100)}
		page.Apply(&op)
	}
	var data []byte
	const rounds = 200
	encode := meanTime(rounds, func(int) { data, err = page.Encode() })
	if err != nil {
		return fmt.Errorf("encode page: %w", err)
	}
	writes := float64(claim.Shards) / 0.04
	p.line("ledger writer  %6d claims/s: full page %6d bytes, %6.1f us to encode, at most %3.0f writes/s in total, %5.0f KB/s to the platform",
		rate, len(data), micros(encode), writes, writes*float64(len(data))/2/1024)
	return nil
}
