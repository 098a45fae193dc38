package gateway

import (
	"context"
	"encoding/hex"
	"hash"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/suspect"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
)

// crashWindow is how long before the detection of a crash an exchange with the endpoint may have failed because of it.
const crashWindow = 2 * time.Second

// brokenExchange is an exchange with an endpoint that ended prematurely.
type brokenExchange struct {
	digest string
	// shared holds the shared parts of the prompt, in order.
	shared []string
	// headReceived is true if the head of the answer had arrived, and begun if a complete event had.
	headReceived bool
	begun        bool
	sentAt       clock.Instant
	brokenAt     clock.Instant
}

// suspects guards the table of requests that were in flight when endpoints crashed.
//
// A broken connection alone is not a crash. It counts as one if the endpoint refuses connections or registers anew shortly afterwards.
type suspects struct {
	mu     sync.Mutex
	table  *suspect.Table
	broken map[string][]*brokenExchange
}

func newSuspects() *suspects {
	return &suspects{table: suspect.NewTable(), broken: make(map[string][]*brokenExchange)}
}

func (s *suspects) blocked(digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Status(time.Now(), digest) == suspect.Blocked
}

// recordBroken records that an exchange with an endpoint ended prematurely.
func (s *suspects) recordBroken(endpoint string, exchange *brokenExchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	kept := s.broken[endpoint][:0]
	for _, b := range s.broken[endpoint] {
		if now.Sub(b.brokenAt) < crashWindow {
			kept = append(kept, b)
		}
	}
	s.broken[endpoint] = append(kept, exchange)
}

// recordCrash marks the requests whose exchanges with an endpoint recently broke as suspects, and returns the exchanges of those newly
// marked.
func (s *suspects) recordCrash(endpoint string) []*brokenExchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	var suspected []*brokenExchange
	for _, b := range s.broken[endpoint] {
		if now.Sub(b.brokenAt) < crashWindow && s.table.RecordCrash(time.Now(), b.digest, endpoint) {
			suspected = append(suspected, b)
		}
	}
	delete(s.broken, endpoint)
	return suspected
}

// recordReported counts a crash reported by a peer.
func (s *suspects) recordReported(digest, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordCrash(time.Now(), digest, endpoint)
}

func (s *suspects) clearDigest(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.ClearRequest(digest)
}

// checkCrash dials an endpoint after an exchange broke, and reports a crash if it refuses the connection. The placement avoids an endpoint
// whose exchanges broke, so that it might be back before another request is sent there.
func (n *Node) checkCrash(ctx context.Context, endpoint, address string) {
	if err := n.upstreams.Probe(ctx, address); errors.Is(err, syscall.ECONNREFUSED) {
		n.reportCrash(endpoint)
	}
}

// reportCrash counts an endpoint's crash against the requests that were in flight there, on this instance and on every peer.
func (n *Node) reportCrash(endpoint string) {
	for _, b := range n.suspects.recordCrash(endpoint) {
		n.log.Warn(event.EndpointCrashed, "endpoint crashed with a request in flight", zap.String("endpoint", endpoint),
			zap.String("digest", b.digest), zap.Bool("head", b.headReceived), zap.Bool("begun", b.begun), zap.Strings("shared", b.shared),
			zap.Int64("broken_ms", clock.Now().Sub(b.brokenAt).Milliseconds()))
		for _, name := range n.members.peerNames() {
			n.notify(name, peer.KindCrashReport, peer.CrashReport{Digest: b.digest, Endpoint: endpoint})
		}
	}
}

// requestDigest identifies a request by its content and its workspace rather than by its identifier, since a caller may send it again
// under another identifier.
func requestDigest(method, target, workspace string, body []byte) string {
	h := xxhash.New()
	for _, text := range []string{method, target, workspace} {
		writeString(h, text)
	}
	// Writing to a hash never returns an error.
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

func writeString(h hash.Hash, text string) {
	_, _ = h.Write(append([]byte(text), 0))
}
