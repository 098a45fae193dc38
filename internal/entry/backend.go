package entry

import (
	"context"
	"net/http"
	"sort"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/rank"
	"gypsumvale/internal/coordination/ticket"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/api"
	"gypsumvale/internal/state/catalog"
	"gypsumvale/internal/transport/admin"
	"gypsumvale/internal/transport/caller"
)

// callerBackend implements caller.Backend.
type callerBackend Node

// Ready reports whether the node accepts requests.
func (b *callerBackend) Ready() bool { return (*Node)(b).Ready() }

// HasConfiguration reports whether a configuration has been read and the member table is considered complete.
func (b *callerBackend) HasConfiguration() bool {
	return b.watcher.hasConfig.Load() && b.members.warmedUp.Load()
}

// Admit admits or refuses a request. It counts the request before it checks whether the node is stopping, so that a stopping node can't
// count zero requests while one is being admitted.
func (b *callerBackend) Admit(hasClaim bool) *api.Error {
	n := b.inFlight.Add(1)
	var failure *api.Error
	switch {
	case b.closed.Load() || b.stopping.Load() && !hasClaim:
		failure = api.NewError(http.StatusServiceUnavailable, api.CodeStopping, api.RunNo, "instance is stopping").WithRetry(time.Now())
	case n > int64(b.cfg.MaxRequests):
		failure = api.NewError(http.StatusServiceUnavailable, api.CodeOverloaded, api.RunNo, "instance holds %d requests", b.cfg.MaxRequests).WithRetry(time.Now().Add(time.Second))
	}
	if failure != nil {
		b.inFlight.Add(-1)
		b.metrics.Requests.WithLabelValues("any", string(failure.Code)).Inc()
		return failure
	}
	b.metrics.InFlight.Set(float64(n))
	return nil
}

// Finish ends an admitted request and counts its result.
func (b *callerBackend) Finish(kind string, failure *api.Error) {
	b.metrics.InFlight.Set(float64(b.inFlight.Add(-1)))
	code := "ok"
	if failure != nil {
		code = string(failure.Code)
		eventNumber, text := event.RequestRefused, "request refused"
		if failure.Run != api.RunNo {
			eventNumber, text = event.RequestFailed, "request failed"
		}
		b.log.Debug(eventNumber, text, zap.String("code", code), zap.String("run", string(failure.Run)))
	}
	b.metrics.Requests.WithLabelValues(kind, code).Inc()
}

// NotFound returns the error for a caller that names what the configuration lacks. While the platform can't be reached, a newer configuration may
// have it.
func (b *callerBackend) NotFound(apiErr *api.Error) *api.Error { return (*Node)(b).notFound(apiErr) }

func (n *Node) notFound(apiErr *api.Error) *api.Error {
	if !n.watcher.possiblyBehind.Load() {
		return apiErr
	}
	return api.NewError(http.StatusServiceUnavailable, api.CodePlatform, api.RunNo, "%s; the configuration may be out of date", apiErr.Message).
		WithRetry(time.Now().Add(time.Second))
}

// WorkspaceByKey returns the workspace that a bearer key belongs to, or nil.
func (b *callerBackend) WorkspaceByKey(key string) *catalog.Workspace {
	return b.follower.Current().WorkspaceByKey(key)
}

// Prompt serves a prompt; see Node.Prompt.
func (b *callerBackend) Prompt(ctx context.Context, p *caller.Prompt, s caller.Sink) (*caller.Completion, *api.Error) {
	return (*Node)(b).Prompt(ctx, p, s)
}

// Call serves a call to a plain service; see Node.Call.
func (b *callerBackend) Call(ctx context.Context, c *caller.Call) (*caller.Answer, *api.Error) {
	return (*Node)(b).Call(ctx, c)
}

// adminBackend implements admin.Backend.
type adminBackend Node

// Operator returns the name of the operator that a token belongs to, or "".
func (b *adminBackend) Operator(token string) string {
	if token == "" {
		return ""
	}
	digest := catalog.KeyDigest(token)
	for _, o := range b.cfg.Administrators {
		if o.TokenDigest == digest {
			return o.Name
		}
	}
	return ""
}

// OperatorRefused logs an operator request that was refused for its token.
func (b *adminBackend) OperatorRefused(address string) {
	b.log.Warn(event.AdministratorRefused, "operator refused", zap.String("address", address))
}

// SubmitTicket accepts or rejects a ticket. An accepted ticket is in force on this instance when SubmitTicket returns, unless its pages
// can't be read yet.
func (b *adminBackend) SubmitTicket(ctx context.Context, t *ticket.Ticket) (catalog.Revision, error) {
	revision, err := b.tickets.Submit(ctx, t)
	result := "accepted"
	if err != nil {
		result = err.Error()
	}
	b.log.Info(event.TicketDecided, "ticket decided", zap.Uint64("number", t.Number), zap.String("operator", t.Operator),
		zap.Uint64("revision", uint64(revision)), zap.String("result", result))
	if err == nil {
		b.watcher.refresh(ctx)
	}
	return revision, err
}

// Audit returns the newest records of the audit trail.
func (b *adminBackend) Audit(ctx context.Context, limit int) ([]ticket.Record, error) {
	return b.tickets.Audit(ctx, limit)
}

// Snapshot returns the configuration in force.
func (b *adminBackend) Snapshot() *catalog.Snapshot { return b.follower.Current() }

// State returns this instance's identity, configuration revision, load and traffic counters.
func (b *adminBackend) State() admin.State {
	n := (*Node)(b)
	snapshot := b.follower.Current()
	traffic := &b.network.Traffic
	return admin.State{
		Name: b.cfg.Name, Zone: b.cfg.Zone, Incarnation: b.incarnation, Ready: n.Ready(), Stopping: b.stopping.Load(),
		Revision: snapshot.Revision, PossiblyBehind: b.watcher.possiblyBehind.Load(), PlatformDown: b.platform.BreakerOpen(),
		InFlight: b.inFlight.Load(), Members: len(b.members.current().All), Objects: len(snapshot.Objects),
		ControlBytesIn: traffic.BytesIn.Load(), ControlBytesOut: traffic.BytesOut.Load(), PlatformCalls: b.platform.Calls.Load(),
	}
}

// Instances lists the live entry instances.
func (b *adminBackend) Instances() []admin.Instance {
	list := []admin.Instance{}
	for _, info := range b.members.current().Members {
		revision := catalog.Revision(info.Revision)
		if info.Name == b.cfg.Name {
			revision = b.follower.Current().Revision
		}
		list = append(list, admin.Instance{
			Name: info.Name, Zone: info.Zone, Address: info.Address, Incarnation: info.Incarnation, Revision: revision, Leaving: info.Leaving,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Endpoints lists the configured endpoints.
func (b *adminBackend) Endpoints() []admin.Endpoint {
	list := []admin.Endpoint{}
	for _, e := range b.follower.Current().Endpoints {
		list = append(list, admin.Endpoint{
			Name: e.Name, Zone: e.Zone, Pool: e.Pool(), Address: e.Address, Slots: e.Slots,
			Version: b.health.version(e.Name), Leaving: b.instances.leaving(e.Name), Usable: b.health.usable(e),
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Stores lists the configured stores.
func (b *adminBackend) Stores() []admin.Store {
	list := []admin.Store{}
	for _, s := range b.follower.Current().Stores {
		owner := rank.First("link/"+s.Name, b.members.current().ByZone[s.Zone])
		list = append(list, admin.Store{Name: s.Name, Zone: s.Zone, Address: s.Address, Owner: owner})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// BlockPeers drops the traffic with the named peers from now on, and with no others, for tests of partitions.
func (b *adminBackend) BlockPeers(names []string) { b.blockedPeers.set(names) }
