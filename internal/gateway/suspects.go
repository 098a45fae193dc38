package gateway

import (
	"encoding/hex"
	"hash"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/suspect"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
)

// crashWindow is how long before an endpoint was found dead an exchange with it may have broken because of that.
const crashWindow = 2 * time.Second

type brokenUse struct {
	digest string
	at     clock.Instant
}

// suspects guards the table of requests that were in flight at crashes.
//
// A broken connection alone is no crash. It becomes one when the endpoint refuses connections or registers anew shortly after.
type suspects struct {
	mu     sync.Mutex
	table  *suspect.Table
	broken map[string][]brokenUse
}

func newSuspects() *suspects {
	return &suspects{table: suspect.NewTable(), broken: make(map[string][]brokenUse)}
}

func (s *suspects) convicted(digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Status(time.Now(), digest) == suspect.Blocked
}

// noteBroken remembers that an exchange with an endpoint broke off.
func (s *suspects) noteBroken(endpoint, digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	kept := s.broken[endpoint][:0]
	for _, b := range s.broken[endpoint] {
		if now.Sub(b.at) < crashWindow {
			kept = append(kept, b)
		}
	}
	s.broken[endpoint] = append(kept, brokenUse{digest, now})
}

// crashed turns what broke off at an endpoint lately into suspects, and returns their digests.
func (s *suspects) crashed(endpoint string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	var noted []string
	for _, b := range s.broken[endpoint] {
		if now.Sub(b.at) < crashWindow && s.table.RecordCrash(time.Now(), b.digest, endpoint) {
			noted = append(noted, b.digest)
		}
	}
	delete(s.broken, endpoint)
	return noted
}

// note counts a crash that a peer has seen.
func (s *suspects) note(digest, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordCrash(time.Now(), digest, endpoint)
}

func (s *suspects) acquit(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.ClearRequest(digest)
}

// noteCrash counts an endpoint's crash against what broke off there, here and at every peer.
func (n *Node) noteCrash(endpoint string) {
	for _, digest := range n.suspects.crashed(endpoint) {
		n.log.Warn(event.EndpointCrashed, "endpoint crashed with a request in flight", zap.String("endpoint", endpoint), zap.String("digest", digest))
		for _, name := range n.members.others() {
			n.tell(name, peer.KindCrashReport, peer.CrashReport{Digest: digest, Endpoint: endpoint})
		}
	}
}

// digestOf names a request by what it asks for and who asks, not by its identifier: it may come again under another.
func digestOf(method, target, workspace string, body []byte) string {
	h := xxhash.New()
	for _, text := range []string{method, target, workspace} {
		writeString(h, text)
	}
	// A digest never returns an error.
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

func writeString(h hash.Hash, text string) {
	_, _ = h.Write(append([]byte(text), 0))
}
