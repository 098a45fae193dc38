package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/coordination/suspect"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
)

// suspects is the table of requests that were in flight on engines when they crashed, and that of the pieces of their contexts, guarded by a
// mutex.
type suspects struct {
	mu     sync.Mutex
	table  *suspect.Table
	pieces *suspect.PartTable
}

// pieceStatus returns the status of a request with some pieces of context.
func (s *suspects) pieceStatus(pieces []string) suspect.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pieces.Empty() {
		return suspect.Clear
	}
	status, _ := s.pieces.Check(clock.Now(), pieces)
	return status
}

// recordPieceCrash attributes a crash to the pieces of a request's context. The request was sent, and its exchange broke, at the instants
// given.
func (s *suspects) recordPieceCrash(endpoint string, pieces []string, sentAt, brokenAt clock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pieces.RecordCrash(clock.Now(), endpoint, brokenAt, suspect.Exchange{Parts: pieces, SentAt: sentAt})
}

// recordAnswer records that an answer to a request with some pieces has begun, and returns those that it clears.
func (s *suspects) recordAnswer(pieces []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pieces.RecordAnswer(clock.Now(), pieces)
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

// reportCrash counts a crash against a request, and against the pieces of its context if its answer had not begun, on this instance and on
// every live peer.
//
// It waits for the peers, up to streamTimeout, so that the count is known wherever the caller retries.
func (n *Node) reportCrash(ctx context.Context, endpoint string, r *peer.CrashReport) {
	if !n.suspects.recordCrash(r.Digest, endpoint) {
		return
	}
	n.log.Warn(event.EndpointCrashed, "endpoint crashed with a request in flight", zap.String("endpoint", endpoint),
		zap.String("run", r.RunID), zap.String("digest", r.Digest), zap.Strings("pieces", r.Parts))
	if len(r.Parts) > 0 {
		now := clock.Now()
		n.suspects.recordPieceCrash(endpoint, r.Parts, now.Add(-r.SentAge), now)
	}
	n.callPeers(ctx, peer.KindCrashReport, r)
}

// clearPieces records that an answer to a request has begun, and reports the pieces that this clears to every live peer.
func (n *Node) clearPieces(pieces []string) {
	cleared := n.suspects.recordAnswer(pieces)
	if len(cleared) == 0 {
		return
	}
	go n.callPeers(context.Background(), peer.KindPartsCleared, &peer.PartsCleared{Parts: cleared})
}

// callPeers sends a message to every live peer, and waits for them up to streamTimeout.
func (n *Node) callPeers(ctx context.Context, kind peer.Kind, msg any) {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	var wg sync.WaitGroup
	view := n.members.current()
	for name, info := range view.Members {
		if name == n.cfg.Name {
			continue
		}
		wg.Go(func() {
			// A peer that misses this message knows only what it observes itself.
			_ = n.network.Call(ctx, name, info.Address, kind, msg, &peer.Empty{})
		})
	}
	wg.Wait()
}
