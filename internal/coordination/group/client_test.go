package group_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gypsumvale/internal/coordination/group"
	"gypsumvale/internal/state/catalog"
)

// delayedOwners grants every request after a delay, and counts the calls.
type delayedOwners struct {
	delay time.Duration
	err   error

	mu        sync.Mutex
	requested []group.Key
	withdrawn int
	done      int
}

func (o *delayedOwners) Acquire(ctx context.Context, _ string, key group.Key, req group.GrantRequest) (group.Action, error) {
	o.mu.Lock()
	o.requested = append(o.requested, key)
	o.mu.Unlock()
	select {
	case <-ctx.Done():
		return group.Action{}, ctx.Err()
	case <-time.After(o.delay):
	}
	endpoint := fmt.Sprintf("e-%s", key.Zone)
	return group.Action{Kind: group.ActionGrant, ID: group.GrantID{Entry: req.Entry, ID: req.ID}, Endpoint: endpoint}, o.err
}

func (o *delayedOwners) Adopt(string, group.Key, group.GrantRequest, string) {}

func (o *delayedOwners) Withdraw(string, group.Key, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.withdrawn++
}

func (o *delayedOwners) Done(string, group.Key, uint64, float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.done++
}

// counts returns the number of requests, withdrawals and ended grants.
func (o *delayedOwners) counts() (requested, withdrawn, done int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.requested), o.withdrawn, o.done
}

func (o *delayedOwners) Progress(string, group.Key, uint64, float64) {}
func (o *delayedOwners) Candidates(zone string) []string             { return []string{"owner-of-" + zone} }

type fixedCatalog struct{ snapshot *catalog.Snapshot }

func (c fixedCatalog) Current() *catalog.Snapshot { return c.snapshot }

// newClient returns a client with a configuration of one endpoint in each of the zones.
func newClient(t *testing.T, zones int, owners group.Owners) *group.Client {
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
	return group.NewClient("n", "n#1", "z0", owners, fixedCatalog{snapshot}, func(*catalog.Endpoint) bool { return true })
}

// TestAcquireLimitsOpenRequests checks that Acquire, with more zones than it may query at once, waits for a response before it queries
// another one.
func TestAcquireLimitsOpenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owners := &delayedOwners{delay: time.Second}
		grant, err := newClient(t, 7, owners).Acquire(t.Context(), "deployment/m", newRequest(1, group.ClassShort))
		if err != nil {
			t.Fatal(err)
		}
		grant.Done(1)
		grant.Done(1)
		synctest.Wait()
		if requested, _, done := owners.counts(); requested != 3 || done != 1 {
			t.Errorf("%d groups queried, %d grants ended; want 3 and 1", requested, done)
		}
	})
}

// TestAcquireFallsBack checks that Acquire returns an endpoint of the own zone while no owner is reachable.
func TestAcquireFallsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owners := &delayedOwners{err: errors.New("unreachable")}
		grant, err := newClient(t, 3, owners).Acquire(t.Context(), "deployment/m", newRequest(1, group.ClassShort))
		if err != nil || grant.Endpoint.Zone != "z0" {
			t.Fatalf("fallback: %+v, %v", grant, err)
		}
		grant.Done(1)
		if _, _, done := owners.counts(); done != 0 {
			t.Error("Done was sent to an owner for a grant that it did not give")
		}
	})
}

// uncanceledOwners grants every request after a delay even if its context has been canceled, as if the response were already in transit.
type uncanceledOwners struct{ delayedOwners }

func (o *uncanceledOwners) Acquire(_ context.Context, owner string, key group.Key, req group.GrantRequest) (group.Action, error) {
	return o.delayedOwners.Acquire(context.Background(), owner, key, req)
}

// TestAcquireWithdrawsLateGrants checks that Acquire withdraws the grants that arrive after the first one.
func TestAcquireWithdrawsLateGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owners := &uncanceledOwners{delayedOwners{delay: 10 * time.Millisecond}}
		grant, err := newClient(t, 3, owners).Acquire(t.Context(), "deployment/m", newRequest(1, group.ClassShort))
		if err != nil {
			t.Fatal(err)
		}
		defer grant.Done(0)
		time.Sleep(time.Second)
		if requested, withdrawn, _ := owners.counts(); requested != 3 || withdrawn != 2 {
			t.Errorf("%d groups queried, %d grants withdrawn; want 3 and 2", requested, withdrawn)
		}
	})
}

// changingOwners has one owner, which the test replaces, and takes withdrawDelay for each withdrawal.
type changingOwners struct {
	delayedOwners
	owner         atomic.Pointer[string]
	withdrawDelay time.Duration
	adopted       atomic.Int64
}

func (o *changingOwners) Candidates(string) []string { return []string{*o.owner.Load()} }

func (o *changingOwners) Withdraw(owner string, key group.Key, id uint64) {
	time.Sleep(o.withdrawDelay)
	o.delayedOwners.Withdraw(owner, key, id)
}

func (o *changingOwners) Adopt(string, group.Key, group.GrantRequest, string) { o.adopted.Add(1) }

// TestGrantEndsBeforeReassignment checks that a grant that ends while the withdrawal at the previous owner is being sent is not reported
// to the new one.
func TestGrantEndsBeforeReassignment(t *testing.T) {
	for _, ends := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			owners := &changingOwners{withdrawDelay: time.Second}
			previous, next := "a", "b"
			owners.owner.Store(&previous)
			client := newClient(t, 1, owners)
			grant, err := client.Acquire(t.Context(), "deployment/m", newRequest(1, group.ClassShort))
			if err != nil {
				t.Fatal(err)
			}
			owners.owner.Store(&next)
			client.ReassignGrants()
			synctest.Wait()
			want := int64(1)
			if ends {
				grant.Done(0)
				want = 0
			}
			time.Sleep(2 * time.Second)
			synctest.Wait()
			if adopted := owners.adopted.Load(); adopted != want {
				t.Errorf("ended is %v: the grant was reported to the new owner %d times, want %d", ends, adopted, want)
			}
		})
	}
}

// unreachableOwners fails the first calls, as if their connections had closed, and records the IDs of all.
type unreachableOwners struct {
	delayedOwners
	failures int

	requests []uint64
	ended    uint64
}

func (o *unreachableOwners) Acquire(ctx context.Context, owner string, key group.Key, req group.GrantRequest) (group.Action, error) {
	o.requests = append(o.requests, req.ID)
	if len(o.requests) <= o.failures {
		return group.Action{}, errors.New("connection closed")
	}
	return o.delayedOwners.Acquire(ctx, owner, key, req)
}

func (o *unreachableOwners) Done(_ string, _ group.Key, id uint64, _ float64) { o.ended = id }

// TestRepeatedRequestHasOwnID checks that each repetition of a request has an ID of its own, so that the end of an earlier one doesn't
// concern it, and that the grant ends under the ID that it was given for.
func TestRepeatedRequestHasOwnID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owners := &unreachableOwners{failures: 2}
		grant, err := newClient(t, 1, owners).Acquire(t.Context(), "deployment/m", newRequest(1, group.ClassShort))
		if err != nil {
			t.Fatal(err)
		}
		grant.Done(0)
		r := owners.requests
		if len(r) != 3 || r[0] == r[1] || r[1] == r[2] || r[0] == r[2] {
			t.Fatalf("the repetitions have the IDs %d, want three different ones", r)
		}
		if owners.ended != r[2] {
			t.Errorf("the grant ended with the ID %d, want %d", owners.ended, r[2])
		}
	})
}
