package gateway

import (
	"context"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/event"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/route"
)

// currentWorkspace returns the workspace that the caller's key belongs to now, or nil. It is asked for when a request arrives and again before
// each attempt. Once the configuration is older than the revocation bound, what is taken from it is used as follows; requests on routes that
// need a key are refused with 503.
//
//	from the configuration                            on a public route
//	workspace: name, priority, isolation of its       not used: no Tenant-Id is sent, the route's own priority applies, there is no isolation
//	cache; its name in the request's digest           key; a placement made with the workspace is given up, and the request placed anew
//	no route for a path                               refused with 503 instead of 404, since a newer configuration may have the route; so is
//	                                                  an unknown key, and both already once the configuration is older than its own bound
//	route: public, service, kind, attempts, timeout,  used as it is: public routes stay available while the store is down
//	targets of latency, priority
//	limits of bodies and header sections, services    used as they are, for the same reason
//	and their engines
func (j *job) currentWorkspace(now clock.Instant) *route.Workspace {
	n := j.node
	table := n.table.Load()
	if !table.RequiresKeys() || j.route.Public && !n.configurationFresh(now) {
		return nil
	}
	return table.Workspace(j.head.Key)
}

// applyWorkspace takes over from the workspace what depends on it.
func (j *job) applyWorkspace() {
	j.appliedWorkspace, j.placementReq.IsolationKey = "", ""
	if j.workspace != nil {
		j.appliedWorkspace = j.workspace.Name
		if j.workspace.Isolated {
			j.placementReq.IsolationKey = j.workspace.Name
		}
	}
	j.placementReq.Priority = route.RequestPriority(j.route, j.workspace)
	j.digest = requestDigest(j.r.Method, j.target, j.appliedWorkspace, j.body)
}

// workspaceApplied reports whether the current placement was made for the current workspace.
func (j *job) workspaceApplied() bool {
	if j.workspace == nil {
		return j.appliedWorkspace == ""
	}
	return j.workspace.Name == j.appliedWorkspace
}

// withdrawFromWorkspace gives up a placement that was made for a workspace whose key has been revoked or moved since, and prepares the request
// for another one.
func (j *job) withdrawFromWorkspace(ctx context.Context, choice *placement.Choice, owner string) *refusal {
	n := j.node
	n.placer.reportEnd(&j.placementReq, owner, assignmentEnd{outcome: placement.OutcomeWithdrawn})
	n.log.Info(event.AttemptFailed, "placement withdrawn: the key's workspace has changed", zap.String("request", j.head.ID),
		zap.String("endpoint", choice.Endpoint))
	j.applyWorkspace()
	j.withdrawals++
	switch {
	case ctx.Err() != nil:
		return unavailable("deadline", clock.Now().Add(shortRetryDelay))
	case j.withdrawals > maxWithdrawals:
		return unavailable("no_endpoint", clock.Now().Add(shortRetryDelay))
	}
	return nil
}
