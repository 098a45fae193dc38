package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/coordination/group"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/transport/peers"
)

// owners reaches group owners: this node's own, or a peer's.
type owners Node

const noteTimeout = time.Second

// Acquire waits for a grant or a refusal.
func (o *owners) Acquire(ctx context.Context, owner string, key group.Key, a group.GrantRequest) (group.Action, error) {
	if owner == o.cfg.Name {
		return o.owner.Acquire(ctx, key, a)
	}
	address, ok := o.members.address(owner)
	if !ok {
		return group.Action{}, errNoMember
	}
	var granted peer.GrantReply
	if err := o.network.Call(ctx, owner, address, peer.KindGrantRequest, askMessage(key, a, ""), &granted); err != nil {
		switch {
		case ctx.Err() != nil:
			o.Withdraw(owner, key, a.ID)
		case errors.Is(err, peers.ErrClosed), errors.Is(err, peers.ErrUnreachable):
			o.members.lost(owner, "")
		}
		return group.Action{}, err
	}
	action := group.Action{Kind: group.ActionRefuse, Endpoint: granted.Endpoint, Version: granted.Version, Warm: granted.Warm}
	if granted.Granted {
		action.Kind = group.ActionGrant
	}
	action.RetryAfter = time.Now().Add(granted.RetryAfter)
	return action, nil
}

// askMessage replaces the deadline by the time that remains, so that no clock is shared.
func askMessage(key group.Key, a group.GrantRequest, adopt string) peer.GrantRequest {
	remaining := time.Until(a.Deadline)
	a.Deadline = time.Time{}
	return peer.GrantRequest{Group: key, Request: a, Remaining: remaining, AdoptEndpoint: adopt}
}

// Adopt tells a new owner of a grant that another one gave.
func (o *owners) Adopt(owner string, key group.Key, a group.GrantRequest, endpoint string) {
	if owner == o.cfg.Name {
		o.owner.Adopt(key, a, endpoint)
		return
	}
	o.note(owner, peer.KindGrantRequest, askMessage(key, a, endpoint))
}

// Withdraw drops an ask or an unused grant.
func (o *owners) Withdraw(owner string, key group.Key, id uint64) {
	if owner == o.cfg.Name {
		o.owner.Withdraw(key, group.GrantID{Entry: o.incarnation, ID: id})
		return
	}
	o.note(owner, peer.KindWithdraw, peer.WithdrawGrant{Group: key, ID: id})
}

// Done ends a grant.
func (o *owners) Done(owner string, key group.Key, id uint64, ratio float64) {
	if owner == o.cfg.Name {
		o.owner.Done(key, group.GrantID{Entry: o.incarnation, ID: id}, ratio)
		return
	}
	o.note(owner, peer.KindGrantDone, peer.GrantUpdate{Group: key, ID: id, Ratio: ratio})
}

// Progress reports on a running grant.
func (o *owners) Progress(owner string, key group.Key, id uint64, ratio float64) {
	if owner == o.cfg.Name {
		o.owner.Progress(key, group.GrantID{Entry: o.incarnation, ID: id}, ratio)
		return
	}
	o.note(owner, peer.KindGrantProgress, peer.GrantUpdate{Group: key, ID: id, Ratio: ratio})
}

// note sends a message whose loss costs accuracy only, since an owner drops all of an entry when its connection closes.
func (o *owners) note(owner string, kind peer.Kind, msg any) {
	address, ok := o.members.address(owner)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
	defer cancel()
	_ = o.network.Send(ctx, owner, address, kind, msg)
}

// Candidates returns the instances of a zone that may own groups.
func (o *owners) Candidates(zone string) []string {
	return o.members.current().ByZone[zone]
}
