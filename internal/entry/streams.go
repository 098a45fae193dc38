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

func (s *streams) register(r *peer.RegisterStream) {
	s.endpoints.Add(r.Stream, r.Endpoint)
}

func (s *streams) find(stream string) string {
	endpoint, _ := s.endpoints.Get(stream)
	return endpoint
}

// keepers is the number of instances that remember a stream, so that one may die together with the stream's entry.
const keepers = 2

func (n *Node) streamKeepers(stream string) []string {
	return rank.Top("stream/"+stream, n.members.current().All, keepers)
}

// registerStream tells the stream's keepers where it runs.
func (n *Node) registerStream(stream, endpoint string) {
	msg := peer.RegisterStream{Stream: stream, Endpoint: endpoint}
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	for _, keeper := range n.streamKeepers(stream) {
		if keeper == n.cfg.Name {
			n.streams.register(&msg)
			continue
		}
		if address, ok := n.members.address(keeper); ok {
			// A keeper that misses this is made up for by the other.
			_ = n.network.Send(ctx, keeper, address, peer.KindRegisterStream, msg)
		}
	}
}

// findStream returns the endpoint that runs a stream, or "".
func (n *Node) findStream(ctx context.Context, stream string) string {
	for _, keeper := range n.streamKeepers(stream) {
		if endpoint := n.askKeeper(ctx, keeper, stream); endpoint != "" {
			return endpoint
		}
	}
	return ""
}

func (n *Node) askKeeper(ctx context.Context, keeper, stream string) string {
	if keeper == n.cfg.Name {
		return n.streams.find(stream)
	}
	address, ok := n.members.address(keeper)
	if !ok {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	var found peer.FindStreamReply
	if err := n.network.Call(ctx, keeper, address, peer.KindFindStream, peer.FindStream{Stream: stream}, &found); err != nil {
		return ""
	}
	return found.Endpoint
}
