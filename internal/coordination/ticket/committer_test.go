package ticket_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumvale/internal/coordination/ticket"
	"gypsumvale/internal/state/catalog"
	"gypsumvale/internal/state/kv"
)

// values is an in-memory key-value service that loses replies at random.
type values struct {
	mu       sync.Mutex
	random   *rand.Rand
	data     map[string]kv.Value
	lossRate float64
}

func newValues(seed uint64, lossRate float64) *values {
	return &values{random: rand.New(rand.NewPCG(seed, seed)), data: make(map[string]kv.Value), lossRate: lossRate}
}

func (v *values) loseReply() bool { return v.random.Float64() < v.lossRate }

func (v *values) Get(_ context.Context, key string) (kv.Value, error) {
	time.Sleep(time.Millisecond)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.loseReply() {
		return kv.Value{}, kv.ErrUnavailable
	}
	value, ok := v.data[key]
	if !ok {
		return kv.Value{}, kv.ErrNotFound
	}
	return value, nil
}

func (v *values) Put(_ context.Context, key string, data []byte, version kv.Version) (kv.Version, error) {
	time.Sleep(time.Millisecond)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.data[key].Version != version {
		return 0, kv.ErrConflict
	}
	v.data[key] = kv.Value{Data: data, Version: version + 1}
	if v.loseReply() {
		return 0, kv.ErrUnavailable
	}
	return version + 1, nil
}

func (v *values) Delete(_ context.Context, key string, _ kv.Version) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.data, key)
	return nil
}

func deployment(name, version string) *catalog.Object {
	return &catalog.Object{ID: catalog.ID{Kind: catalog.KindDeployment, Name: name}, State: []byte(fmt.Sprintf(`{"model":"m","version":%q}`, version))}
}

func newCommitter(v *values) *ticket.Committer { return &ticket.Committer{Store: v, Now: time.Now} }

func newTicket(number uint64, objects ...*catalog.Object) *ticket.Ticket {
	return &ticket.Ticket{Number: number, Operator: "op", Objects: objects}
}

// expectResult submits tickets in order and checks the error of the last one.
func expectResult(want error, tickets ...*ticket.Ticket) {
	c := newCommitter(newValues(1, 0))
	var err error
	for _, t := range tickets {
		_, err = c.Submit(context.Background(), t)
	}
	if want == nil {
		So(err, ShouldBeNil)
		return
	}
	So(errors.Is(err, want), ShouldBeTrue)
}

func TestSubmit(t *testing.T) {
	a, b, changed := deployment("a", "v1"), deployment("b", "v1"), deployment("a", "v2")
	Convey("a ticket", t, func() {
		Convey("is accepted", func() { expectResult(nil, newTicket(5, a)) })
		Convey("is accepted when submitted twice", func() { expectResult(nil, newTicket(5, a), newTicket(5, a)) })
		Convey("is accepted when submitted again after a higher ticket", func() {
			expectResult(nil, newTicket(5, a), newTicket(6, changed), newTicket(5, a))
		})
		Convey("is refused if its number was used for different content", func() {
			expectResult(ticket.ErrNumberReused, newTicket(5, a), newTicket(5, changed))
		})
		Convey("is refused if one of its objects has a higher ticket number", func() {
			expectResult(ticket.ErrOvertaken, newTicket(5, a), newTicket(4, a, b))
		})
		Convey("is accepted with a lower number if no higher ticket changed its objects", func() {
			expectResult(nil, newTicket(5, a), newTicket(4, b))
		})
		Convey("is invalid without objects", func() { expectResult(ticket.ErrInvalid, newTicket(5)) })
		Convey("is invalid if an endpoint refers to an unknown deployment", func() {
			expectResult(ticket.ErrInvalid, newTicket(5, &catalog.Object{ID: catalog.ID{Kind: catalog.KindEndpoint, Name: "e"},
				State: []byte(`{"zone":"z","address":"127.0.0.1:1","deployment":"none","slots":1}`)}))
		})
		Convey("is invalid if it deletes an object that others refer to", func() {
			w := &catalog.Object{ID: catalog.ID{Kind: catalog.KindWorkspace, Name: "w"}, State: []byte(`{"key_digests":["d"],"share":1,"deployments":["a"]}`)}
			deletion := &catalog.Object{ID: a.ID, Deleted: true}
			expectResult(ticket.ErrInvalid, newTicket(5, a, w), newTicket(6, deletion))
		})
	})
	Convey("a refused ticket changes nothing and is recorded in the audit trail", t, func() {
		v := newValues(1, 0)
		c := newCommitter(v)
		_, err := c.Submit(context.Background(), newTicket(5, a))
		So(err, ShouldBeNil)
		_, err = c.Submit(context.Background(), newTicket(4, a, b))
		So(err, ShouldNotBeNil)
		records, err := c.Audit(context.Background(), 10)
		So(err, ShouldBeNil)
		So(len(records), ShouldEqual, 2)
		So(records[1].Result, ShouldEqual, ticket.ResultOvertaken)
		So(len(follow(v).Current().Deployments), ShouldEqual, 1)
	})
}

func follow(v *values) *ticket.Follower {
	f := ticket.NewFollower()
	head := v.data[ticket.HeadPath]
	lossless := &values{data: v.data, random: rand.New(rand.NewPCG(1, 1))}
	if _, err := f.Adopt(context.Background(), head.Data, lossless); err != nil {
		panic(err)
	}
	return f
}

// TestConcurrentOperators checks the configuration and the audit trail after operators have concurrently submitted tickets for the same
// objects while replies were lost.
func TestConcurrentOperators(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { submitConcurrently(t, seed) })
		})
	}
}

func submitConcurrently(t *testing.T, seed uint64) {
	v := newValues(seed, 0.15)
	var mu sync.Mutex
	accepted := make(map[uint64]*ticket.Ticket)
	var wg sync.WaitGroup
	for operator := range 5 {
		random := rand.New(rand.NewPCG(seed, uint64(operator)))
		wg.Go(func() {
			c := newCommitter(v)
			for n := range 30 {
				number := uint64(n*5 + operator + 1)
				version := fmt.Sprintf("v%d", number)
				submitted := newTicket(number, deployment(fmt.Sprintf("d%d", random.IntN(4)), version))
				if extra := deployment(fmt.Sprintf("d%d", random.IntN(4)), version); extra.ID != submitted.Objects[0].ID {
					submitted.Objects = append(submitted.Objects, extra)
				}
				_, err := c.Submit(context.Background(), submitted)
				if err == nil {
					mu.Lock()
					accepted[number] = submitted
					mu.Unlock()
				}
				time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	checkAccepted(t, v, accepted)
}

// checkAccepted checks that each object has the state of the highest accepted ticket that changed it, and that the audit trail has every
// accepted ticket exactly once, with consecutive revisions.
func checkAccepted(t *testing.T, v *values, accepted map[uint64]*ticket.Ticket) {
	highest := make(map[catalog.ID]uint64)
	for number, submitted := range accepted {
		for _, o := range submitted.Objects {
			highest[o.ID] = max(highest[o.ID], number)
		}
	}
	snapshot := follow(v).Current()
	for id, number := range highest {
		if o := snapshot.Objects[id]; o.Ticket != number || !strings.Contains(string(o.State), fmt.Sprintf(`"v%d"`, number)) {
			t.Errorf("%s has ticket %d and state %s, not ticket %d", id, o.Ticket, o.State, number)
		}
	}
	v.lossRate = 0
	records, err := newCommitter(v).Audit(context.Background(), 10000)
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[uint64]bool)
	revision := catalog.Revision(0)
	for _, r := range records {
		if r.Result != ticket.ResultAccepted {
			continue
		}
		if seen[r.Number] || accepted[r.Number] == nil || r.Revision != revision+1 {
			t.Errorf("audit trail has ticket %d (accepted %t, seen before %t) at revision %d after %d",
				r.Number, accepted[r.Number] != nil, seen[r.Number], r.Revision, revision)
		}
		seen[r.Number] = true
		revision = r.Revision
	}
	if len(seen) != len(accepted) || snapshot.Revision != revision {
		t.Errorf("%d tickets accepted, %d in the audit trail; revision %d, in the audit trail %d",
			len(accepted), len(seen), snapshot.Revision, revision)
	}
}

func TestFollower(t *testing.T) {
	Convey("a follower never adopts a lower revision", t, func() {
		v := newValues(1, 0)
		c := newCommitter(v)
		_, err := c.Submit(context.Background(), newTicket(1, deployment("a", "v1")))
		So(err, ShouldBeNil)
		old := v.data[ticket.HeadPath].Data
		oldValues := &values{data: map[string]kv.Value{}, random: v.random}
		for k, value := range v.data {
			oldValues.data[k] = value
		}
		_, err = c.Submit(context.Background(), newTicket(2, deployment("a", "v2")))
		So(err, ShouldBeNil)
		f := follow(v)
		adopted, err := f.Adopt(context.Background(), old, oldValues)
		So(err, ShouldBeNil)
		So(adopted, ShouldBeFalse)
		So(f.Current().Deployments["a"].Version, ShouldEqual, "v2")
	})
	Convey("a damaged page is not adopted", t, func() {
		v := newValues(1, 0)
		_, err := newCommitter(v).Submit(context.Background(), newTicket(1, deployment("a", "v1")))
		So(err, ShouldBeNil)
		for k, value := range v.data {
			if strings.HasPrefix(k, "config/page/") {
				value.Data = append([]byte(nil), value.Data...)
				value.Data[len(value.Data)-1] ^= 1
				v.data[k] = value
			}
		}
		_, err = ticket.NewFollower().Adopt(context.Background(), v.data[ticket.HeadPath].Data, v)
		So(errors.Is(err, ticket.ErrDamaged), ShouldBeTrue)
	})
}

func FuzzDecodeHead(f *testing.F) {
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := ticket.DecodeHead(data)
		if err != nil {
			return
		}
		if _, err := h.Encode(); err != nil {
			t.Fatal(err)
		}
	})
}
