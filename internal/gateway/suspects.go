package gateway

import (
	"encoding/hex"
	"hash"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/coordination/suspect"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/prompt"
)

// suspects guards the table of requests that were in flight when endpoints crashed.
//
// A broken connection alone is not a crash; suspect.Inference decides what is.
type suspects struct {
	mu          sync.Mutex
	table       *suspect.Table
	inference   *suspect.Inference
	retractions *suspect.Retractions
	// parts holds the crashes attributed to parts of prompts, by service.
	parts map[string]*suspect.PartTable
}

func newSuspects(zone string) *suspects {
	s := &suspects{table: suspect.NewTable(), retractions: suspect.NewRetractions(), parts: make(map[string]*suspect.PartTable)}
	s.inference = suspect.NewInference(zone, func(service, part string, since clock.Instant) bool {
		return s.service(service).AnsweredSince(part, since)
	})
	return s
}

// service returns a service's table, creating it if necessary; the caller holds the lock.
func (s *suspects) service(name string) *suspect.PartTable {
	t := s.parts[name]
	if t == nil {
		t = suspect.NewPartTable()
		s.parts[name] = t
	}
	return t
}

// Check reports whether a request with some shared parts must not run, and otherwise which of the parts are suspected.
func (s *suspects) Check(now clock.Instant, service string, shared []prompt.Part) (blocked bool, suspected []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.parts[service]
	if t == nil || t.Empty() {
		return false, nil
	}
	status, suspected := t.Check(now, prompt.IDs(shared))
	return status == suspect.Blocked, suspected
}

// recordAnswer records that an answer to a request with some shared parts began at an instant, and returns those that it clears.
func (s *suspects) recordAnswer(service string, parts []string, at clock.Instant) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service(service).RecordAnswer(at, parts)
}

// takeAnswered returns the parts of a broken exchange's prompt that answers have cleared since the crash, once, and when the first of these
// answers began.
func (s *suspects) takeAnswered(endpoint string, b *suspect.BrokenExchange) ([]string, clock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service(b.Service).TakeAnswered(endpoint, b.BrokenAt, b.Parts)
}

// blocks returns the blocked combinations of parts by service.
func (s *suspects) blocks() map[string][][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	list := make(map[string][][]string)
	for name, t := range s.parts {
		if blocks := t.Blocks(now); len(blocks) > 0 {
			list[name] = blocks
		}
	}
	return list
}

// addBlock blocks a combination of parts that another instance has found, and reports whether it wasn't blocked before.
func (s *suspects) addBlock(service string, parts []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service(service).AddBlock(clock.Now(), parts)
}

// expireBlock ends a block that another instance has lifted, except where one of the blocks still held covers it, and reports whether it ended
// one that applied.
func (s *suspects) expireBlock(service string, parts []string, held [][]string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service(service).ExpireBlock(clock.Now(), parts, held)
}

func (s *suspects) blocked(digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Status(time.Now(), digest) == suspect.Blocked
}

func (s *suspects) clearDigest(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.ClearRequest(digest)
}

// announceAttribution logs to which parts of a broken exchange's prompt a crash is attributed. The leader hears of most answers, so it tells its
// peers of those that have begun since the crash: the instances that were answered may not have known that they had something to report.
func (n *Node) announceAttribution(c *countedCrash) {
	b := c.exchange
	if !b.Chargeable() {
		return
	}
	if len(c.suspected) > 0 {
		n.log.Warn(event.PartSuspected, "engine crashed while it ran a prompt with these parts", zap.String("endpoint", c.endpoint),
			zap.String("service", b.Service), zap.Strings("parts", c.suspected), zap.Bool("head", b.Answering))
	}
	for _, parts := range c.blocked {
		n.log.Warn(event.PartBlocked, "prompts with these parts are blocked", zap.String("service", b.Service), zap.Strings("parts", parts),
			zap.String("endpoint", c.endpoint))
	}
	now := clock.Now()
	if !n.leadership.holdsLease(now) {
		return
	}
	if answered, at := n.suspects.takeAnswered(c.endpoint, b); len(answered) > 0 {
		n.reportCleared(b.Service, answered, now.Sub(at))
	}
}

// clearParts records that an answer to a request has begun, and reports the parts that this clears to all peers.
func (n *Node) clearParts(req *placement.Request) {
	if req == nil || len(req.Parts) < 2 {
		return
	}
	if cleared := n.suspects.recordAnswer(req.Service, prompt.IDs(req.SharedParts()), clock.Now()); len(cleared) > 0 {
		n.reportCleared(req.Service, cleared, 0)
	}
}

// reportCleared reports to all peers that answers to prompts with some parts have begun, the first of them some time ago.
func (n *Node) reportCleared(service string, parts []string, age time.Duration) {
	n.log.Info(event.PartCleared, "an answer has begun to a prompt with suspected parts", zap.String("service", service),
		zap.Strings("parts", parts), zap.Int64("age_ms", age.Milliseconds()))
	n.notifyPeers(peer.KindPartsCleared, peer.PartsCleared{Service: service, Parts: parts, Age: age})
}

// partsBlocked reports whether engines crash on parts of a request's prompt.
func (n *Node) partsBlocked(req *placement.Request) bool {
	blocked, _ := n.suspects.Check(clock.Now(), req.Service, req.SharedParts())
	return blocked
}

// notifyPeers sends a message to all peers, to the instance that places requests first.
func (n *Node) notifyPeers(kind peer.Kind, msg any) {
	owner := n.members.owner()
	if owner != n.cfg.Name {
		n.notify(owner, kind, msg)
	}
	for _, name := range n.members.peerNames() {
		if name != owner {
			go n.notify(name, kind, msg)
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
