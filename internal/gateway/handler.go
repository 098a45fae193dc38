package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/transport/peers"
)

// handler serves the messages of peers.
type handler Node

var errUnknownKind = errors.New("unknown message kind")

// Serve answers a message by its kind.
func (h *handler) Serve(ctx context.Context, from peer.Hello, kind peer.Kind, body []byte) (any, error) {
	switch kind {
	case peer.KindPlace:
		return answer(body, func(m *peer.PlaceRequest) any { return h.place(from, m) })
	case peer.KindAwaitPlacement:
		return answer(body, func(m *peer.AwaitPlacement) any {
			received := clock.Now()
			g, err := h.placer.awaitGrant(ctx, placement.AssignmentID{Entry: from.Incarnation, Number: m.Number}, awaitTimeout)
			return h.placeReply(received, g.Request, g.Choice, err)
		})
	case peer.KindSync:
		return answer(body, func(m *peer.SyncRequest) any { return h.relay.serveSync(ctx, m) })
	case peer.KindSuccessor:
		return h.handOver.serveQuery(from.Name), nil
	case peer.KindCatchUp:
		return answer(body, func(m *peer.CatchUpRequest) any { return (*Node)(h).serveCatchUp(m) })
	case peer.KindAssignmentUpdate:
		return record(body, func(m *peer.AssignmentUpdate) { h.recordAssignmentUpdate(from, m) })
	case peer.KindCrashReport:
		return record(body, func(m *peer.CrashReport) {
			h.placer.doubtEndpoint(m.Endpoint)
			(*Node)(h).recordReportedCrash(from.Incarnation, m)
		})
	case peer.KindCrashRetraction:
		return record(body, func(m *peer.CrashRetraction) { (*Node)(h).recordRetraction(from.Incarnation, m) })
	case peer.KindPartsCleared:
		return record(body, func(m *peer.PartsCleared) { h.suspects.recordAnswer(m.Service, m.Parts, clock.Now().Add(-m.Age)) })
	case peer.KindRunning:
		return answer(body, func(m *peer.RunningReport) any { return h.adoptRunning(from, m) })
	case peer.KindStreamOrigins:
		return record(body, func(m *peer.StreamOrigins) { h.origins.recordReported(m.Streams) })
	case peer.KindFindOrigin:
		return answer(body, func(m *peer.FindOrigin) any { return h.origins.serveFind(m.Stream) })
	case peer.KindHandOver:
		return record(body, func(m *peer.HandOver) { h.leadership.invite(from.Name, m.Count) })
	case peer.KindEndpointNotice:
		return record(body, func(m *peer.EndpointNotice) { h.notices.recordReported(from.Incarnation, m) })
	}
	return nil, fmt.Errorf("kind %d: %w", kind, errUnknownKind)
}

// answer decodes a message and returns the reply to it.
func answer[M any](body []byte, reply func(*M) any) (any, error) {
	m, err := decode[M](body)
	if err != nil {
		return nil, err
	}
	return reply(m), nil
}

// record decodes a message that has an empty reply, and passes it on.
func record[M any](body []byte, accept func(*M)) (any, error) {
	return answer(body, func(m *M) any {
		accept(m)
		return peer.Empty{}
	})
}

func decode[M any](body []byte) (*M, error) {
	m := new(M)
	if err := msgpack.Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("decode message: %w", err)
	}
	return m, nil
}

func (h *handler) place(from peer.Hello, msg *peer.PlaceRequest) peer.PlaceReply {
	now := clock.Now()
	if leader, _ := h.members.leader(); !h.leadership.holdsLease(now) && leader != "" && leader != h.cfg.Name {
		return peer.PlaceReply{Verdict: peer.VerdictNotOwner}
	}
	for i := range msg.Notices {
		h.notices.recordReported(from.Incarnation, &msg.Notices[i])
	}
	req := msg.Request
	req.ID.Entry = from.Incarnation
	req.Uncoordinated = false
	req.Deadline = now.Add(msg.Deadline)
	if msg.FirstEventTimeout != 0 {
		req.FirstEventDeadline = now.Add(msg.FirstEventTimeout)
	}
	req.TargetDeadline = 0
	if msg.TargetTimeout != 0 {
		req.TargetDeadline = now.Add(msg.TargetTimeout)
	}
	choice, err := h.placer.placeLocally(&req)
	reply := h.placeReply(now, &req, choice, err)
	reply.ReportRunning = !h.placer.hasReported(from.Incarnation)
	reply.Limits = h.placer.limitsFor(now, from.Incarnation)
	return reply
}

// adoptRunning counts a peer's running requests as load.
func (h *handler) adoptRunning(from peer.Hello, msg *peer.RunningReport) peer.RunningReply {
	h.origins.recordReported(msg.Streams)
	adopted := h.placer.AdoptRunning(from.Incarnation, msg.Runs)
	h.log.Info(event.RunningReported, "running requests adopted", zap.String("entry", from.Name), zap.Int("running", len(msg.Runs)),
		zap.Int("adopted", adopted))
	return peer.RunningReply{Adopted: adopted}
}

// placeReply returns the reply to a placement request that was received at an instant. With older weights it carries what is known here of the
// announcement of newer ones, which may be more than the requesting instance knows.
func (h *handler) placeReply(received clock.Instant, req *placement.Request, choice placement.Choice, err error) peer.PlaceReply {
	reply := toPlaceReply(choice, err)
	if reply.Verdict == peer.VerdictPlaced {
		reply.Held = heldTime(received, &choice)
		reply.TargetVersions = h.placer.targetsBeyond(clock.Now(), req.Model, choice.Version)
	}
	return reply
}

// toPlaceReply converts the result of a placement to a message.
func toPlaceReply(choice placement.Choice, err error) peer.PlaceReply {
	var overload *placement.OverloadError
	var unknown *placement.OriginError
	switch {
	case err == nil:
		return peer.PlaceReply{Verdict: peer.VerdictPlaced, Choice: choice}
	case errors.Is(err, placement.ErrQueued):
		return peer.PlaceReply{Verdict: peer.VerdictQueued}
	case errors.As(err, &overload):
		return peer.PlaceReply{
			Verdict: peer.VerdictOverloaded, RetryAfter: overload.RetryAt.Sub(clock.Now()), Expected: overload.Expected,
			Paused: overload.Paused, Limited: overload.Limited, Settling: overload.Settling,
		}
	case errors.Is(err, placement.ErrNoEndpoint):
		return peer.PlaceReply{Verdict: peer.VerdictNoEndpoint, ZonesEvacuated: errors.Is(err, placement.ErrZonesEvacuated)}
	case errors.Is(err, placement.ErrBlocked):
		return peer.PlaceReply{Verdict: peer.VerdictBlocked}
	case errors.As(err, &unknown):
		return peer.PlaceReply{Verdict: peer.VerdictOriginUnknown, Learning: unknown.Learning, Outdated: unknown.Outdated}
	}
	return peer.PlaceReply{Verdict: peer.VerdictNotOwner}
}

func (h *handler) recordAssignmentUpdate(from peer.Hello, msg *peer.AssignmentUpdate) {
	req := &placement.Request{ID: placement.AssignmentID{Entry: from.Incarnation, Number: msg.Number}, Service: msg.Service}
	if msg.Outcome == 0 {
		h.placer.recordFirstEvent(req)
		return
	}
	h.placer.recordEnd(req, assignmentEnd{outcome: msg.Outcome, version: msg.Version, crash: msg.Crash})
}

// ConnectionClosed drops the assignments of a peer whose connection has closed, since its process may have ended.
func (h *handler) ConnectionClosed(from peer.Hello, incoming bool) {
	if incoming {
		h.placer.dropEntry(from.Incarnation)
	}
}

// ConnectionRejected logs a rejected peer connection.
func (h *handler) ConnectionRejected(address string, err error) {
	h.log.Warn(event.PeerRefused, "peer refused", zap.String("address", address), zap.Error(err))
}

// placeAt requests a placement from a peer.
func (n *Node) placeAt(ctx context.Context, name string, req *placement.Request) (placement.Choice, error) {
	network, address, ok := n.members.peer(name)
	if !ok {
		return placement.Choice{}, errNoOwner
	}
	now := clock.Now()
	place := peer.PlaceRequest{Request: *req, Deadline: req.Deadline.Sub(now)}
	if req.FirstEventDeadline != 0 {
		place.FirstEventTimeout = max(1, req.FirstEventDeadline.Sub(now))
	}
	if req.TargetDeadline != 0 {
		place.TargetTimeout = max(1, req.TargetDeadline.Sub(now))
	}
	place.Notices = n.notices.unreported(now, name)
	var placed peer.PlaceReply
	var sent clock.Instant
	call := func(kind peer.Kind, msg any, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		sent = clock.Now()
		if err := network.Call(ctx, name, address, kind, msg, &placed); err != nil {
			return fmt.Errorf("%w: %w", errNoOwner, err)
		}
		return nil
	}
	err := call(peer.KindPlace, place, placementTimeout)
	limits := placed.Limits
	if err == nil && len(place.Notices) > 0 {
		n.notices.setReported(name)
	}
	for err == nil && placed.Verdict == peer.VerdictQueued {
		err = call(peer.KindAwaitPlacement, peer.AwaitPlacement{Service: req.Service, Number: req.ID.Number}, awaitTimeout+placementTimeout)
	}
	if ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, peers.ErrUnreachable) {
		// The leader may place the request after all, and would count it until its deadline.
		n.notify(name, peer.KindAssignmentUpdate, peer.AssignmentUpdate{
			Service: req.Service, Number: req.ID.Number, Outcome: placement.OutcomeWithdrawn,
		})
	}
	if ctx.Err() != nil {
		return placement.Choice{}, errQueueAborted
	}
	if err != nil {
		return placement.Choice{}, err
	}
	if all := placed.ReportRunning; all || n.running.ReportDue() {
		n.wg.Go(func() { n.running.Report(n.background, name, all) })
	}
	for i := range limits {
		n.recordReportedLimit(&limits[i])
	}
	if placed.Verdict != peer.VerdictPlaced {
		return placement.Choice{}, placementError(&placed)
	}
	if len(placed.TargetVersions) > 0 {
		n.learnTargetVersions(sent, name, placed.TargetVersions)
	}
	recordGranted(&placed.Choice, sent, placed.Held)
	return placed.Choice, nil
}

// placementError returns the error for a leader's verdict that isn't a placement.
func placementError(placed *peer.PlaceReply) error {
	switch placed.Verdict {
	case peer.VerdictNoEndpoint:
		if placed.ZonesEvacuated {
			return placement.ErrZonesEvacuated
		}
		return placement.ErrNoEndpoint
	case peer.VerdictBlocked:
		return placement.ErrBlocked
	case peer.VerdictOriginUnknown:
		return &placement.OriginError{Learning: placed.Learning, Outdated: placed.Outdated}
	case peer.VerdictOverloaded:
		return &placement.OverloadError{
			RetryAt: clock.Now().Add(placed.RetryAfter), Expected: placed.Expected, Paused: placed.Paused, Limited: placed.Limited,
			Settling: placed.Settling,
		}
	}
	return errNoOwner
}

// errNoOwner is returned when the leader is unreachable or no longer leads.
var errNoOwner = errors.New("no reachable placement owner")

// notifyTimeout is how long a message waits for a connection to its receiver.
const notifyTimeout = 500 * time.Millisecond

// notify sends a message to a peer without retries; losing one only makes the peer's data less accurate. It doesn't wait for a connection: if
// none is open, the message is sent once there is one, and may then overtake others.
func (n *Node) notify(name string, kind peer.Kind, msg any) {
	network, address, ok := n.members.peer(name)
	if !ok {
		return
	}
	err := network.SendNow(name, address, kind, msg)
	if !errors.Is(err, peers.ErrUnreachable) {
		n.logNotification(name, err)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(n.background, notifyTimeout)
		defer cancel()
		n.logNotification(name, network.Send(ctx, name, address, kind, msg))
	}()
}

// logNotification logs that a message was not sent to a peer.
func (n *Node) logNotification(name string, err error) {
	if err != nil {
		n.log.Debug(event.PeerClosed, "notification not sent", zap.String("peer", name), zap.Error(err))
	}
}
