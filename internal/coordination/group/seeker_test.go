package group_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gypsumvale/internal/coordination/group"
	"gypsumvale/internal/state/catalog"
)

// slowOwners grant after a time, and count what they are told.
type slowOwners struct {
	wait time.Duration
	err  error

	mu        sync.Mutex
	asked     []group.Key
	withdrawn int
	done      int
}

func (o *slowOwners) Acquire(ctx context.Context, _ string, key group.Key, a group.GrantRequest) (group.Action, error) {
	o.mu.Lock()
	o.asked = append(o.asked, key)
	o.mu.Unlock()
	select {
	case <-ctx.Done():
		return group.Action{}, ctx.Err()
	case <-time.After(o.wait):
	}
	endpoint := fmt.Sprintf("e-%s", key.Zone)
	return group.Action{Kind: group.ActionGrant, ID: group.GrantID{Entry: a.Entry, ID: a.ID}, Endpoint: endpoint}, o.err
}

func (o *slowOwners) Adopt(string, group.Key, group.GrantRequest, string) {}

func (o *slowOwners) Withdraw(string, group.Key, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.withdrawn++
}

func (o *slowOwners) Done(string, group.Key, uint64, float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.done++
}

// counts returns how many groups were asked, and how many grants were given back and ended.
func (o *slowOwners) counts() (asked, withdrawn, done int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.asked), o.withdrawn, o.done
}

func (o *slowOwners) Progress(string, group.Key, uint64, float64) {}
func (o *slowOwners) Candidates(zone string) []string             { return []string{"owner-of-" + zone} }

type fixedCatalog struct{ snapshot *catalog.Snapshot }

func (c fixedCatalog) Current() *catalog.Snapshot { return c.snapshot }

// newSeeker returns a seeker before one endpoint in each of some zones.
func newSeeker(t *testing.T, zones int, o group.Owners) *group.Client {
	t.Helper()
	objects := []*catalog.Object{{ID: catalog.ID{Kind: catalog.KindDeployment, Name: "m"}, State: []byte(`{"model":"m","version":"v"}`)}}
	for z := range zones {
		state := fmt.Sprintf(`{"zone":"z%d","address":"127.0.0.1:1","deployment":"m","slots":4}`, z)
		objects = append(objects, &catalog.Object{ID: catalog.ID{Kind: catalog.KindEndpoint, Name: fmt.Sprintf("e-z%d", z)}, State: []byte(state)})
	}
	snapshot, err := catalog.NewSnapshot(1, objects)
	if err != nil {
		t.Fatal(err)
	}
	return group.NewClient("n", "n#1", "z0", o, fixedCatalog{snapshot}, func(*catalog.Endpoint) bool { return true })
}

// TestAcquireWaits checks that a seeker with more zones than open asks sleeps until an answer comes.
func TestAcquireWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &slowOwners{wait: time.Second}
		g, err := newSeeker(t, 7, o).Acquire(t.Context(), "deployment/m", ask(1, group.ClassShort))
		if err != nil {
			t.Fatal(err)
		}
		g.Done(1)
		g.Done(1)
		synctest.Wait()
		if asked, _, done := o.counts(); asked != 3 || done != 1 {
			t.Errorf("%d groups asked, %d ends told; want 3 and 1", asked, done)
		}
	})
}

// TestAcquireFallsBack checks that an endpoint is used while no owner can be reached.
func TestAcquireFallsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &slowOwners{err: errors.New("unreachable")}
		g, err := newSeeker(t, 3, o).Acquire(t.Context(), "deployment/m", ask(1, group.ClassShort))
		if err != nil || g.Endpoint.Zone != "z0" {
			t.Fatalf("fallback: %+v, %v", g, err)
		}
		g.Done(1)
		if _, _, done := o.counts(); done != 0 {
			t.Error("an owner was told of a grant that it did not give")
		}
	})
}

// stubbornOwners grant after a time even if the asking has ended, as an owner does whose answer is on its way.
type stubbornOwners struct{ slowOwners }

func (o *stubbornOwners) Acquire(_ context.Context, owner string, key group.Key, a group.GrantRequest) (group.Action, error) {
	return o.slowOwners.Acquire(context.Background(), owner, key, a)
}

// TestAcquireGivesBack checks that grants which come too late are given back.
func TestAcquireGivesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &stubbornOwners{slowOwners{wait: 10 * time.Millisecond}}
		g, err := newSeeker(t, 3, o).Acquire(t.Context(), "deployment/m", ask(1, group.ClassShort))
		if err != nil {
			t.Fatal(err)
		}
		defer g.Done(0)
		time.Sleep(time.Second)
		if asked, withdrawn, _ := o.counts(); asked != 3 || withdrawn != 2 {
			t.Errorf("%d groups asked, %d grants given back; want 3 and 2", asked, withdrawn)
		}
	})
}
