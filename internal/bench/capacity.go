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

// MeasureCapacity measures the slopes of each role in this process, and prints a line for each size.
func MeasureCapacity(w io.Writer) error {
	p := printer{w}
	for _, n := range []int{10, 1000, 12000} {
		if err := configurationSlope(p, n); err != nil {
			return fmt.Errorf("capacity of configuration: %w", err)
		}
	}
	for _, n := range []int{10, 100, 1000} {
		queueSlope(p, n)
	}
	for _, n := range []int{1000, 10000, 100000} {
		linkSlope(p, n)
	}
	for _, n := range []int{18, 72, 357} {
		if err := memberSlope(p, n); err != nil {
			return fmt.Errorf("capacity of membership: %w", err)
		}
	}
	for _, n := range []int{100, 300, 600} {
		if err := ledgerSlope(p, n); err != nil {
			return fmt.Errorf("capacity of ledger: %w", err)
		}
	}
	return nil
}

// heapBytes returns the bytes in use after a collection.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// timed returns the mean time of some runs.
func timed(runs int, run func(i int)) time.Duration {
	started := time.Now()
	for i := range runs {
		run(i)
	}
	return time.Since(started) / time.Duration(runs)
}

// memory is a key-value service in this process.
type memory struct {
	values  map[string]kv.Value
	written int
}

func (m *memory) Get(_ context.Context, key string) (kv.Value, error) {
	v, ok := m.values[key]
	if !ok {
		return kv.Value{}, kv.ErrNotFound
	}
	return v, nil
}

func (m *memory) Put(_ context.Context, key string, data []byte, version kv.Version) (kv.Version, error) {
	if m.values[key].Version != version {
		return 0, kv.ErrConflict
	}
	m.values[key] = kv.Value{Data: data, Version: version + 1}
	m.written += len(data)
	return version + 1, nil
}

func (m *memory) Delete(_ context.Context, key string, _ kv.Version) error {
	delete(m.values, key)
	return nil
}

func workspaceObject(i, share int) *catalog.Object {
	name := fmt.Sprintf("workspace-%05d", i)
	state := fmt.Sprintf(`{"key_digests":[%q],"share":%d,"deployments":["m"],"services":[]}`, catalog.KeyDigest(name), share)
	return &catalog.Object{ID: catalog.ID{Kind: catalog.KindWorkspace, Name: name}, State: []byte(state)}
}

// configurationSlope measures the size of a configuration and the cost of one change.
func configurationSlope(p printer, workspaces int) error {
	ctx := context.Background()
	m := &memory{values: make(map[string]kv.Value)}
	office := &ticket.Committer{Store: m, Now: time.Now}
	number := uint64(1)
	objects := []*catalog.Object{{ID: catalog.ID{Kind: catalog.KindDeployment, Name: "m"}, State: []byte(`{"model":"m","version":"v"}`)}}
	const batch = 200
	for i := 0; i < workspaces; {
		for ; i < workspaces && len(objects) < batch; i++ {
			objects = append(objects, workspaceObject(i, 1))
		}
		if _, err := office.Submit(ctx, &ticket.Ticket{Number: number, Objects: objects}); err != nil {
			return fmt.Errorf("fill: %w", err)
		}
		number++
		objects = nil
	}
	total, largest := 0, 0
	for _, v := range m.values {
		total += len(v.Data)
		largest = max(largest, len(v.Data))
	}
	before := heapBytes()
	follower := ticket.NewFollower()
	whole := timed(1, func(int) { _, _ = follower.Adopt(ctx, m.values[ticket.HeadPath].Data, m) })
	used := heapBytes() - before
	m.written = 0
	var failed error
	const changes = 5
	decide := timed(changes, func(i int) {
		_, failed = office.Submit(ctx, &ticket.Ticket{Number: number + uint64(i), Objects: []*catalog.Object{workspaceObject(1, i+2)}})
	})
	if failed != nil {
		return fmt.Errorf("change: %w", failed)
	}
	one := timed(1, func(int) { _, _ = follower.Adopt(ctx, m.values[ticket.HeadPath].Data, m) })
	runtime.KeepAlive(follower)
	p.line("configuration  %6d workspaces: %8d bytes, largest value %6d, heap %6.2f MB, first adoption %7.2f ms, adopt one change %6.2f ms, decide one change %6.2f ms, written for it %6d bytes",
		workspaces, total, largest, used/(1<<20), millis(whole), millis(one), millis(decide), m.written/changes)
	return nil
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// queueSlope measures an owner's decisions while a number of asks wait.
func queueSlope(p printer, waiting int) {
	const slots = 8
	q := group.NewQueue(group.QueueConfig{MaxWaiting: 1 << 20, Seed: 1})
	members := make([]group.Member, group.MaxSize)
	for i := range members {
		members[i] = group.Member{Name: fmt.Sprintf("e%d", i), Slots: slots}
	}
	q.SetMembers(begin, members)
	ask := func(i int) group.GrantRequest {
		return group.GrantRequest{ID: uint64(i), Entry: "n", Workspace: fmt.Sprintf("w%d", i%20), Share: 1, Cost: 100 * time.Millisecond, Deadline: begin.Add(time.Hour)}
	}
	running := make([]uint64, 0, slots*group.MaxSize)
	for i := range slots*group.MaxSize + waiting {
		for _, a := range q.Add(begin, ask(i+1)) {
			running = append(running, a.ID.ID)
		}
	}
	const rounds = 20000
	next := slots*group.MaxSize + waiting
	took := timed(rounds, func(int) {
		next++
		q.Add(begin, ask(next))
		id := running[0]
		running = running[1:]
		for _, a := range q.Done(begin, group.GrantID{Entry: "n", ID: id}, 1) {
			running = append(running, a.ID.ID)
		}
	})
	p.line("group owner    %6d asks waiting: %6.1f us for an ask, a grant and an end", waiting, float64(took)/float64(time.Microsecond))
}

// linkSlope measures a link owner's directory.
func linkSlope(p printer, blocks int) {
	const pieces = 12
	before := heapBytes()
	k := link.NewManager(link.DefaultConfig(1 << 40))
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
		k.Apply(begin, events)
	}
	used := heapBytes() - before
	const rounds = 20000
	took := timed(rounds, func(i int) { k.Reserve(begin, names(i%(blocks/pieces)), time.Second) })
	p.line("link owner     %6d blocks: %5.0f bytes of heap each, %6.1f us for a fetch of %d pieces", blocks, used/float64(k.Len()), float64(took)/float64(time.Microsecond), pieces)
	runtime.KeepAlive(k)
}

// memberSlope measures one instance's table and heartbeats.
func memberSlope(p printer, n int) error {
	const zones = 7
	before := heapBytes()
	t := member.NewTable(member.DefaultConfig(1), member.Info{Name: "self", Zone: "z0", Address: "127.0.0.1:1", Incarnation: "self#1", StartMilli: 1})
	for i := range n - 1 {
		name := fmt.Sprintf("z%d-instance-%03d", i%zones, i)
		info := member.Info{Name: name, Zone: fmt.Sprintf("z%d", i%zones), Address: "127.0.0.1:20000", Incarnation: name + "#0123456789ab", StartMilli: 1, Counter: 1}
		t.Receive(begin, &member.Heartbeat{From: info})
	}
	used := heapBytes() - before
	var beat member.Heartbeat
	const rounds = 500
	tick := timed(rounds, func(int) { beat = t.Tick(begin, member.Status{Revision: 100000}).ZoneHeartbeat })
	heard := timed(rounds, func(int) { t.Receive(begin, &beat) })
	view := timed(rounds, func(int) { t.View(begin) })
	data, err := msgpack.Marshal(peer.Heartbeat{Heartbeat: beat})
	if err != nil {
		return fmt.Errorf("encode heartbeat: %w", err)
	}
	p.line("membership     %6d instances: %5.0f bytes of heap each, heartbeat %5d bytes, %6.1f us to make one, %6.1f us to take one, %6.1f us for a view",
		n, used/float64(n), len(data), micros(tick), micros(heard), micros(view))
	runtime.KeepAlive(t)
	return nil
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// ledgerSlope measures a page that takes a number of claims a second, and its encoding.
func ledgerSlope(p printer, rate int) error {
	page, err := claim.Decode(nil)
	if err != nil {
		return fmt.Errorf("make page: %w", err)
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
	took := timed(rounds, func(int) { data, err = page.Encode() })
	if err != nil {
		return fmt.Errorf("encode page: %w", err)
	}
	writes := float64(claim.Shards) / 0.04
	p.line("ledger writer  %6d claims/s: full page %6d bytes, %6.1f us to encode, at most %3.0f writes/s in all, %5.0f KB/s to the platform",
		rate, len(data), micros(took), writes, writes*float64(len(data))/2/1024)
	return nil
}
