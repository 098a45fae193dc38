package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/group"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
)

// handler serves the messages of peers.
type handler Node

var errUnknownKind = errors.New("unknown kind of message")

// Serve decodes a message and dispatches it by its kind.
func (h *handler) Serve(ctx context.Context, from peer.Hello, kind peer.Kind, body []byte) (any, error) {
	h.metrics.ControlMessages.WithLabelValues(kind.String()).Inc()
	switch kind {
	case peer.KindHeartbeat:
		return serve(body, func(m *peer.Heartbeat) (any, error) { h.members.receive(&m.Heartbeat); return nil, nil })
	case peer.KindMemberRequest:
		return serve(body, func(m *peer.MemberRequest) (any, error) { h.members.sendInfo(from.Name, m.IDs); return nil, nil })
	case peer.KindGrantRequest:
		return serve(body, func(m *peer.GrantRequest) (any, error) { return h.requestGrant(ctx, from, m) })
	case peer.KindWithdraw:
		return serve(body, func(m *peer.WithdrawGrant) (any, error) {
			h.owner.Withdraw(m.Group, group.GrantID{Entry: from.Incarnation, ID: m.ID})
			return nil, nil
		})
	case peer.KindGrantDone:
		return serve(body, func(m *peer.GrantUpdate) (any, error) {
			h.owner.Done(m.Group, group.GrantID{Entry: from.Incarnation, ID: m.ID}, m.Ratio)
			return nil, nil
		})
	case peer.KindGrantProgress:
		return serve(body, func(m *peer.GrantUpdate) (any, error) {
			h.owner.Progress(m.Group, group.GrantID{Entry: from.Incarnation, ID: m.ID}, m.Ratio)
			return nil, nil
		})
	case peer.KindClaim:
		return serve(body, func(m *peer.Claim) (any, error) { return h.claim(ctx, m) })
	case peer.KindClaimStatus:
		return serve(body, func(m *peer.ClaimStatusRequest) (any, error) { return h.inquire(ctx, m) })
	case peer.KindConfig:
		return serve(body, func(m *peer.ConfigRequest) (any, error) { return h.pull(ctx, m) })
	case peer.KindRevision:
		return serve(body, func(m *peer.RevisionNotice) (any, error) {
			h.watcher.onRevision(m.Revision, from.Name)
			return nil, nil
		})
	case peer.KindInstanceList:
		return serve(body, func(m *peer.InstanceList) (any, error) {
			h.instances.receive(m)
			return nil, nil
		})
	}
	return h.serveData(ctx, kind, body)
}

// serveData dispatches the messages about cached contexts, streams and crashes.
func (h *handler) serveData(ctx context.Context, kind peer.Kind, body []byte) (any, error) {
	switch kind {
	case peer.KindLink:
		return serve(body, func(m *peer.LinkRequest) (any, error) { return h.links.reserve(m.Store, m.Pieces, m.MaxTime), nil })
	case peer.KindExport:
		return serve(body, func(m *peer.ExportRequest) (any, error) { h.links.export(ctx, m); return nil, nil })
	case peer.KindRegisterStream:
		return serve(body, func(m *peer.RegisterStream) (any, error) { h.streams.register(m); return nil, nil })
	case peer.KindFindStream:
		return serve(body, func(m *peer.FindStream) (any, error) {
			return peer.FindStreamReply{Endpoint: h.streams.find(m.Stream)}, nil
		})
	case peer.KindCrashReport:
		return serve(body, func(m *peer.CrashReport) (any, error) {
			h.suspects.recordCrash(m.Digest, m.Endpoint)
			if now := clock.Now(); len(m.Parts) > 0 {
				h.suspects.recordPieceCrash(m.Endpoint, m.Parts, now.Add(-m.SentAge), now.Add(-m.BrokenAge))
			}
			h.health.markCrashed(m.Endpoint, m.RunID)
			return peer.Empty{}, nil
		})
	case peer.KindPartsCleared:
		return serve(body, func(m *peer.PartsCleared) (any, error) {
			h.suspects.recordAnswer(m.Parts)
			return peer.Empty{}, nil
		})
	}
	return nil, fmt.Errorf("kind %d: %w", kind, errUnknownKind)
}

// serve decodes a message and passes it to its handler.
func serve[M any](body []byte, handle func(*M) (any, error)) (any, error) {
	m := new(M)
	if err := msgpack.Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("decode message: %w", err)
	}
	return handle(m)
}

func (h *handler) requestGrant(ctx context.Context, from peer.Hello, m *peer.GrantRequest) (any, error) {
	request := m.Request
	request.Entry, request.Connection = from.Incarnation, from.Connection
	request.Deadline = time.Now().Add(m.Remaining)
	if m.AdoptEndpoint != "" {
		h.owner.Adopt(m.Group, request, m.AdoptEndpoint)
		return nil, nil
	}
	action, err := h.owner.Acquire(ctx, m.Group, request)
	if err != nil {
		return nil, fmt.Errorf("ask: %w", err)
	}
	return peer.GrantReply{
		Granted:    action.Kind == group.ActionGrant,
		Endpoint:   action.Endpoint,
		Version:    action.Version,
		RunID:      action.RunID,
		Warm:       action.Warm,
		RetryAfter: time.Until(action.RetryAfter),
	}, nil
}

func (h *handler) claim(ctx context.Context, m *peer.Claim) (any, error) {
	result, err := h.committer.Submit(ctx, m.Op)
	if err != nil {
		return nil, fmt.Errorf("claim: %w", err)
	}
	return peer.ClaimReply{Result: result}, nil
}

// inquire reports on claims of this incarnation only. Another incarnation's nonces aren't known here, and mustn't be invalidated for
// that reason.
func (h *handler) inquire(ctx context.Context, m *peer.ClaimStatusRequest) (any, error) {
	if m.Holder != h.incarnation {
		return peer.ClaimStatusReply{Gone: true}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.Remaining)
	defer cancel()
	return peer.ClaimStatusReply{Report: h.attempts.Inquire(ctx, m.Nonce)}, nil
}

func (h *handler) pull(ctx context.Context, m *peer.ConfigRequest) (any, error) {
	if len(m.Pages) == 0 {
		if uint64(h.follower.Current().Revision) <= m.Above {
			return peer.ConfigReply{}, nil
		}
		return peer.ConfigReply{Head: h.follower.Head()}, nil
	}
	var reply peer.ConfigReply
	for _, path := range m.Pages {
		value, err := h.follower.Get(ctx, path)
		if err != nil {
			return nil, fmt.Errorf("pull: %w", err)
		}
		reply.Pages = append(reply.Pages, peer.Page{Path: path, Data: value.Data})
	}
	return reply, nil
}

// ConnectionClosed drops the requests and grants that came over an incoming connection that has closed, since its process may have ended. A closed
// outgoing connection marks the peer as disconnected.
func (h *handler) ConnectionClosed(from peer.Hello, incoming bool) {
	if incoming {
		h.owner.DropConnection(from.Connection)
		return
	}
	h.members.markDisconnected(from.Name, from.Incarnation)
}

// ConnectionRejected logs a peer whose connection was refused.
func (h *handler) ConnectionRejected(address string, err error) {
	h.log.Warn(event.PeerRefused, "peer refused", zap.String("address", address), zap.Error(err))
}
