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
		m, err := decode[peer.PlaceRequest](body)
		if err != nil {
			return nil, err
		}
		return h.place(from, m), nil
	case peer.KindAwaitPlacement:
		m, err := decode[peer.AwaitPlacement](body)
		if err != nil {
			return nil, err
		}
		g, err := h.placer.awaitGrant(ctx, placement.AssignmentID{Entry: from.Incarnation, Number: m.Number}, awaitTimeout)
		return h.placeReply(g.Request, g.Choice, err), nil
	case peer.KindAssignmentUpdate:
		m, err := decode[peer.AssignmentUpdate](body)
		if err != nil {
			return nil, err
		}
		h.recordAssignmentUpdate(from, m)
		return peer.Empty{}, nil
	case peer.KindSync:
		m, err := decode[peer.SyncRequest](body)
		if err != nil {
			return nil, err
		}
		return h.relay.serveSync(ctx, m), nil
	case peer.KindCrashReport:
		m, err := decode[peer.CrashReport](body)
		if err != nil {
			return nil, err
		}
		(*Node)(h).recordReportedCrash(m)
		return peer.Empty{}, nil
	case peer.KindPartsCleared:
		m, err := decode[peer.PartsCleared](body)
		if err != nil {
			return nil, err
		}
		h.suspects.recordAnswer(m.Service, m.Parts, clock.Now().Add(-m.Age))
		return peer.Empty{}, nil
	case peer.KindSuccessor:
		return h.handOver.serveQuery(from.Name), nil
	case peer.KindHandOver:
		m, err := decode[peer.HandOver](body)
		if err != nil {
			return nil, err
		}
		h.leadership.invite(from.Name, m.Count)
		return peer.Empty{}, nil
	case peer.KindCatchUp:
		m, err := decode[peer.CatchUpRequest](body)
		if err != nil {
			return nil, err
		}
		return (*Node)(h).serveCatchUp(m), nil
	}
	return nil, fmt.Errorf("kind %d: %w", kind, errUnknownKind)
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
	return h.placeReply(&req, choice, err)
}

// placeReply returns the reply to a placement request. With older weights it carries what is known here of the announcement of newer ones,
// which may be more than the requesting instance knows.
func (h *handler) placeReply(req *placement.Request, choice placement.Choice, err error) peer.PlaceReply {
	reply := toPlaceReply(choice, err)
	if reply.Verdict == peer.VerdictPlaced {
		reply.TargetVersions = h.placer.targetsBeyond(clock.Now(), req.Model, choice.Version)
	}
	return reply
}

// toPlaceReply converts the result of a placement to a message.
func toPlaceReply(choice placement.Choice, err error) peer.PlaceReply {
	var overload *placement.OverloadError
	switch {
	case err == nil:
		return peer.PlaceReply{Verdict: peer.VerdictPlaced, Choice: choice}
	case errors.Is(err, placement.ErrQueued):
		return peer.PlaceReply{Verdict: peer.VerdictQueued}
	case errors.As(err, &overload):
		return peer.PlaceReply{Verdict: peer.VerdictOverloaded, RetryAfter: overload.RetryAt.Sub(clock.Now()), Expected: overload.Expected}
	case errors.Is(err, placement.ErrNoEndpoint):
		return peer.PlaceReply{Verdict: peer.VerdictNoEndpoint}
	case errors.Is(err, placement.ErrBlocked):
		return peer.PlaceReply{Verdict: peer.VerdictBlocked}
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
	switch placed.Verdict {
	case peer.VerdictPlaced:
		if len(placed.TargetVersions) > 0 {
			n.learnTargetVersions(sent, name, placed.TargetVersions)
		}
		return placed.Choice, nil
	case peer.VerdictNoEndpoint:
		return placement.Choice{}, placement.ErrNoEndpoint
	case peer.VerdictBlocked:
		return placement.Choice{}, placement.ErrBlocked
	case peer.VerdictOverloaded:
		return placement.Choice{}, &placement.OverloadError{RetryAt: clock.Now().Add(placed.RetryAfter), Expected: placed.Expected}
	}
	return placement.Choice{}, errNoOwner
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
