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
)

// handler serves the messages of peers.
type handler Node

var errKind = errors.New("unknown kind of message")

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
		choice, err := h.placer.await(ctx, placement.AssignmentID{Entry: from.Incarnation, Number: m.Number}, awaitSpan)
		return placed(choice, err), nil
	case peer.KindAssignmentUpdate:
		m, err := decode[peer.AssignmentUpdate](body)
		if err != nil {
			return nil, err
		}
		h.use(from, m)
		return peer.Empty{}, nil
	case peer.KindSync:
		m, err := decode[peer.SyncRequest](body)
		if err != nil {
			return nil, err
		}
		return h.relay.answer(ctx, m), nil
	case peer.KindCrashReport:
		m, err := decode[peer.CrashReport](body)
		if err != nil {
			return nil, err
		}
		h.suspects.note(m.Digest, m.Endpoint)
		return peer.Empty{}, nil
	}
	return nil, fmt.Errorf("kind %d: %w", kind, errKind)
}

func decode[M any](body []byte) (*M, error) {
	m := new(M)
	if err := msgpack.Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("decode message: %w", err)
	}
	return m, nil
}

func (h *handler) place(from peer.Hello, m *peer.PlaceRequest) peer.PlaceReply {
	now := clock.Now()
	if leader, _ := h.members.leader(); !h.tenure.held(now) && leader != "" && leader != h.cfg.Name {
		return peer.PlaceReply{Verdict: peer.VerdictNotOwner}
	}
	a := m.Request
	a.ID.Entry = from.Incarnation
	a.Uncoordinated = false
	a.Deadline = now.Add(m.Deadline)
	if m.FirstEventTimeout != 0 {
		a.FirstEventDeadline = now.Add(m.FirstEventTimeout)
	}
	choice, err := h.placer.chooseHere(&a)
	return placed(choice, err)
}

// placed puts the result of a placement into a message.
func placed(choice placement.Choice, err error) peer.PlaceReply {
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
	}
	return peer.PlaceReply{Verdict: peer.VerdictNotOwner}
}

func (h *handler) use(from peer.Hello, m *peer.AssignmentUpdate) {
	a := &placement.Request{ID: placement.AssignmentID{Entry: from.Incarnation, Number: m.Number}, Service: m.Service}
	if m.Outcome == 0 {
		h.placer.firstEventHere(a)
		return
	}
	h.placer.doneHere(a, m.Outcome)
}

// ConnectionClosed forgets the uses of a peer whose connection has closed, since its process may be gone.
func (h *handler) ConnectionClosed(from peer.Hello, incoming bool) {
	if incoming {
		h.placer.dropEntry(from.Incarnation)
	}
}

// ConnectionRejected logs a peer that was turned away.
func (h *handler) ConnectionRejected(address string, err error) {
	h.log.Warn(event.PeerRefused, "peer refused", zap.String("address", address), zap.Error(err))
}

// placeAt asks a peer to place a request.
func (n *Node) placeAt(ctx context.Context, name string, a *placement.Request) (placement.Choice, error) {
	network, address, ok := n.members.peer(name)
	if !ok {
		return placement.Choice{}, errNoOwner
	}
	now := clock.Now()
	m := peer.PlaceRequest{Request: *a, Deadline: a.Deadline.Sub(now)}
	if a.FirstEventDeadline != 0 {
		m.FirstEventTimeout = max(1, a.FirstEventDeadline.Sub(now))
	}
	var placed peer.PlaceReply
	call := func(kind peer.Kind, msg any, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		if err := network.Call(ctx, name, address, kind, msg, &placed); err != nil {
			return fmt.Errorf("%w: %w", errNoOwner, err)
		}
		return nil
	}
	err := call(peer.KindPlace, m, placeTimeout)
	for err == nil && placed.Verdict == peer.VerdictQueued {
		err = call(peer.KindAwaitPlacement, peer.AwaitPlacement{Service: a.Service, Number: a.ID.Number}, awaitSpan+placeTimeout)
	}
	if ctx.Err() != nil {
		n.tell(name, peer.KindAssignmentUpdate, peer.AssignmentUpdate{Service: a.Service, Number: a.ID.Number, Outcome: placement.OutcomeWithdrawn})
		return placement.Choice{}, errWaited
	}
	if err != nil {
		return placement.Choice{}, err
	}
	switch placed.Verdict {
	case peer.VerdictPlaced:
		return placed.Choice, nil
	case peer.VerdictNoEndpoint:
		return placement.Choice{}, placement.ErrNoEndpoint
	case peer.VerdictOverloaded:
		return placement.Choice{}, &placement.OverloadError{RetryAt: clock.Now().Add(placed.RetryAfter), Expected: placed.Expected}
	}
	return placement.Choice{}, errNoOwner
}

// errNoOwner says that the leader can't be reached or doesn't lead any more.
var errNoOwner = errors.New("no owner of the placement in reach")

// noteTimeout bounds sending a note to a peer.
const noteTimeout = 500 * time.Millisecond

// tell sends a note whose loss costs accuracy only.
func (n *Node) tell(name string, kind peer.Kind, m any) {
	network, address, ok := n.members.peer(name)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(n.duties, noteTimeout)
	defer cancel()
	if err := network.Send(ctx, name, address, kind, m); err != nil {
		n.log.Debug(event.PeerClosed, "note not sent", zap.String("peer", name), zap.Error(err))
	}
}
