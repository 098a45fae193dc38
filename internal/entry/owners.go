package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gypsumvale/internal/coordination/group"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/transport/peers"
)

// ownerClient calls the owners of groups, in this process or at a peer.
type ownerClient Node

const notifyTimeout = time.Second

// Acquire waits for a grant or a refusal.
func (o *ownerClient) Acquire(ctx context.Context, owner string, key group.Key, request group.GrantRequest) (group.Action, error) {
	if owner == o.cfg.Name {
		return o.owner.Acquire(ctx, key, request)
	}
	address, ok := o.members.address(owner)
	if !ok {
		return group.Action{}, errNotLiveMember
	}
	var reply peer.GrantReply
	if err := o.network.Call(ctx, owner, address, peer.KindGrantRequest, grantRequest(key, request, ""), &reply); err != nil {
		switch {
		case ctx.Err() != nil:
			o.Withdraw(owner, key, request.ID)
		case errors.Is(err, peers.ErrClosed), errors.Is(err, peers.ErrUnreachable):
			o.members.markDisconnected(owner, "")
		}
		return group.Action{}, err
	}
	action := group.Action{
		Kind: group.ActionRefuse, Endpoint: reply.Endpoint, Version: reply.Version, RunID: reply.RunID, Warm: reply.Warm,
	}
	if reply.Granted {
		action.Kind = group.ActionGrant
	}
	action.RetryAfter = time.Now().Add(reply.RetryAfter)
	return action, nil
}

// grantRequest encodes the deadline as the remaining time, since the clocks of two instances may differ.
func grantRequest(key group.Key, request group.GrantRequest, adopt string) peer.GrantRequest {
	remaining := time.Until(request.Deadline)
	request.Deadline = time.Time{}
	return peer.GrantRequest{Group: key, Request: request, Remaining: remaining, AdoptEndpoint: adopt}
}

// Adopt reports to a group's new owner a grant that another owner gave.
func (o *ownerClient) Adopt(owner string, key group.Key, request group.GrantRequest, endpoint string) {
	if owner == o.cfg.Name {
		o.owner.Adopt(key, request, endpoint)
		return
	}
	o.notify(owner, peer.KindGrantRequest, grantRequest(key, request, endpoint))
}

// Withdraw cancels a pending request or an unused grant.
func (o *ownerClient) Withdraw(owner string, key group.Key, id uint64) {
	if owner == o.cfg.Name {
		o.owner.Withdraw(key, group.GrantID{Entry: o.incarnation, ID: id})
		return
	}
	o.notify(owner, peer.KindWithdraw, peer.WithdrawGrant{Group: key, ID: id})
}

// Done ends a grant.
func (o *ownerClient) Done(owner string, key group.Key, id uint64, ratio float64) {
	if owner == o.cfg.Name {
		o.owner.Done(key, group.GrantID{Entry: o.incarnation, ID: id}, ratio)
		return
	}
	o.notify(owner, peer.KindGrantDone, peer.GrantUpdate{Group: key, ID: id, Ratio: ratio})
}

// Progress reports the ratio of measured to expected time to first token of a grant in use.
func (o *ownerClient) Progress(owner string, key group.Key, id uint64, ratio float64) {
	if owner == o.cfg.Name {
		o.owner.Progress(key, group.GrantID{Entry: o.incarnation, ID: id}, ratio)
		return
	}
	o.notify(owner, peer.KindGrantProgress, peer.GrantUpdate{Group: key, ID: id, Ratio: ratio})
}

// notify sends a message without waiting for a reply, and ignores errors. A lost message makes the owner's counts inaccurate only until
// the connection closes, since the owner then drops everything of this entry.
func (o *ownerClient) notify(owner string, kind peer.Kind, msg any) {
	address, ok := o.members.address(owner)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	_ = o.network.Send(ctx, owner, address, kind, msg)
}

// Candidates returns the instances of a zone that may own groups.
func (o *ownerClient) Candidates(zone string) []string {
	return o.members.current().ByZone[zone]
}
