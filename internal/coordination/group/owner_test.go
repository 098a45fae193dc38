package group_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gypsumvale/internal/coordination/group"
)

// fixedDirectory lists the same endpoints for each group.
type fixedDirectory []group.Member

func (d fixedDirectory) Members(group.Key) []group.Member { return d }

func (fixedDirectory) Resumed(context.Context) {}

// TestRequestRepeatedAfterConnectionClosed checks that a request that is repeated after its connection has closed is granted, though the
// call over the closed connection is canceled after the owner has dropped the entry.
func TestRequestRepeatedAfterConnectionClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		owner := group.NewOwner(fixedDirectory{{Name: "e0", Slots: 1}})
		go owner.Run(ctx)
		defer cancel()
		acquire := func(ctx context.Context, entry string, connection, id uint64) (group.Action, error) {
			req := newRequest(id, group.ClassShort)
			req.Entry, req.Connection, req.Deadline = entry, connection, time.Now().Add(10*time.Second)
			return owner.Acquire(ctx, group.Key{Pool: "p"}, req)
		}
		if _, err := acquire(ctx, "y", 1, 1); err != nil {
			t.Fatal(err)
		}
		connCtx, closeConn := context.WithCancel(ctx)
		go func() { _, _ = acquire(connCtx, "x", 2, 7) }()
		synctest.Wait()
		owner.DropConnection(2)
		synctest.Wait()
		closeConn()
		synctest.Wait()
		owner.Done(group.Key{Pool: "p"}, group.GrantID{Entry: "y", ID: 1}, 0)
		action, err := acquire(ctx, "x", 3, 7)
		if err != nil || action.Kind != group.ActionGrant {
			t.Errorf("the repeated request was answered with %+v, %v; want a grant", action, err)
		}
	})
}
