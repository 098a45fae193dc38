package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/suspect"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
)

// suspects guards the table of requests that were in flight at crashes.
type suspects struct {
	mu    sync.Mutex
	table *suspect.Table
}

func (s *suspects) standing(digest string) suspect.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Status(time.Now(), digest)
}

func (s *suspects) note(digest, endpoint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.RecordCrash(time.Now(), digest, endpoint)
}

func (s *suspects) acquit(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.ClearRequest(digest)
}

// noteCrash counts a crash against a request, here and at every live peer.
//
// It waits for the peers, within a limit, so that the caller's next try meets the count wherever it goes.
func (n *Node) noteCrash(ctx context.Context, digest, endpoint string) {
	if !n.suspects.note(digest, endpoint) {
		return
	}
	n.log.Warn(event.EndpointCrashed, "endpoint crashed with a request in flight", zap.String("endpoint", endpoint), zap.String("digest", digest))
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	var wg sync.WaitGroup
	view := n.members.current()
	for name, info := range view.Members {
		if name == n.cfg.Name {
			continue
		}
		wg.Go(func() {
			// A peer that misses this counts the crashes that it sees itself.
			_ = n.network.Call(ctx, name, info.Address, peer.KindCrashReport, peer.CrashReport{Digest: digest, Endpoint: endpoint}, &peer.Empty{})
		})
	}
	wg.Wait()
}
