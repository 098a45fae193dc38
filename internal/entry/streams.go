package entry

import (
	"context"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"gypsumvale/internal/coordination/rank"
	"gypsumvale/internal/protocol/peer"
)

const (
	maxStreams    = 8192
	streamTimeout = 200 * time.Millisecond
)

// streams maps the answers in progress to the endpoints that generate them, so that a retry can resume there. If a
// registration is lost, the prompt runs again; claimed calls don't depend on it.
type streams struct{ endpoints *lru.Cache[string, string] }

func newStreams() *streams {
	// New fails only for a size below one.
	c, _ := lru.New[string, string](maxStreams)
	return &streams{endpoints: c}
}

func (s *streams) register(r *peer.RegisterStream) {
	s.endpoints.Add(r.Stream, r.Endpoint)
}

func (s *streams) find(stream string) string {
	endpoint, _ := s.endpoints.Get(stream)
	return endpoint
}

// registrarsPerStream is the number of instances with which a stream is registered. With two, the stream is still found if one of them
// fails together with the entry instance that serves the stream.
const registrarsPerStream = 2

// streamRegistrars returns the instances with which a stream is registered; every instance picks the same ones.
func (n *Node) streamRegistrars(stream string) []string {
	return rank.Top("stream/"+stream, n.members.current().All, registrarsPerStream)
}

// registerStream notifies the stream's registrars of the endpoint that generates it.
func (n *Node) registerStream(stream, endpoint string) {
	msg := peer.RegisterStream{Stream: stream, Endpoint: endpoint}
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	for _, registrar := range n.streamRegistrars(stream) {
		if registrar == n.cfg.Name {
			n.streams.register(&msg)
			continue
		}
		if address, ok := n.members.address(registrar); ok {
			// If the message is lost, the other registrar still has the stream.
			_ = n.network.Send(ctx, registrar, address, peer.KindRegisterStream, msg)
		}
	}
}

// findStream returns the endpoint that generates a stream, or "".
func (n *Node) findStream(ctx context.Context, stream string) string {
	for _, registrar := range n.streamRegistrars(stream) {
		if endpoint := n.queryRegistrar(ctx, registrar, stream); endpoint != "" {
			return endpoint
		}
	}
	return ""
}

func (n *Node) queryRegistrar(ctx context.Context, registrar, stream string) string {
	if registrar == n.cfg.Name {
		return n.streams.find(stream)
	}
	address, ok := n.members.address(registrar)
	if !ok {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	var reply peer.FindStreamReply
	if err := n.network.Call(ctx, registrar, address, peer.KindFindStream, peer.FindStream{Stream: stream}, &reply); err != nil {
		return ""
	}
	return reply.Endpoint
}
