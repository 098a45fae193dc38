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

// suspects is the table of requests that were in flight on engines when they crashed, guarded by a mutex.
type suspects struct {
	mu    sync.Mutex
	table *suspect.Table
}

func (s *suspects) status(digest string) suspect.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Status(time.Now(), digest)
}

func (s *suspects) recordCrash(digest, endpoint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.RecordCrash(time.Now(), digest, endpoint)
}

func (s *suspects) markClear(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.ClearRequest(digest)
}

// reportCrash counts a crash against a request, on this instance and on every live peer.
//
// It waits for the peers, up to streamTimeout, so that the count is known wherever the caller retries.
func (n *Node) reportCrash(ctx context.Context, digest, endpoint string) {
	if !n.suspects.recordCrash(digest, endpoint) {
		return
	}
	n.log.Warn(event.EndpointCrashed, "endpoint crashed with a request in flight", zap.String("endpoint", endpoint),
		zap.String("digest", digest))
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	var wg sync.WaitGroup
	view := n.members.current()
	for name, info := range view.Members {
		if name == n.cfg.Name {
			continue
		}
		wg.Go(func() {
			// A peer that misses this message counts only the crashes that it observes itself.
			_ = n.network.Call(ctx, name, info.Address, peer.KindCrashReport, peer.CrashReport{Digest: digest, Endpoint: endpoint}, &peer.Empty{})
		})
	}
	wg.Wait()
}
