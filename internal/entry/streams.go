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

// streams remembers which endpoint runs each named answer; losing it costs a run of a prompt, never of a claimed call.
type streams struct{ endpoints *lru.Cache[string, string] }

func newStreams() *streams {
	// New fails only for a size below one.
	c, _ := lru.New[string, string](maxStreams)
	return &streams{endpoints: c}
}

func (s *streams) register(r *peer.Register) {
	s.endpoints.Add(r.Stream, r.Endpoint)
}

func (s *streams) find(stream string) string {
	endpoint, _ := s.endpoints.Get(stream)
	return endpoint
}

// registrarsPerStream is the number of instances that remember a stream, so that one may die together with the stream's entry.
const registrarsPerStream = 2

func (n *Node) streamRegistrars(stream string) []string {
	return rank.Top("stream/"+stream, n.members.current().All, registrarsPerStream)
}

// registerStream tells the stream's keepers where it runs.
func (n *Node) registerStream(stream, endpoint string) {
	msg := peer.Register{Stream: stream, Endpoint: endpoint}
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	for _, registrar := range n.streamRegistrars(stream) {
		if registrar == n.cfg.Name {
			n.streams.register(&msg)
			continue
		}
		if address, ok := n.members.address(registrar); ok {
			// A keeper that misses this is made up for by the other.
			_ = n.network.Send(ctx, registrar, address, peer.KindRegister, msg)
		}
	}
}

// findStream returns the endpoint that runs a stream, or "".
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
	var found peer.Found
	if err := n.network.Call(ctx, registrar, address, peer.KindFind, peer.Find{Stream: stream}, &found); err != nil {
		return ""
	}
	return found.Endpoint
}
