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

	"gypsumvale/internal/coordination/placement"
	"gypsumvale/internal/coordination/suspect"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/prompt"
)

// suspects guards the table of requests that were in flight when endpoints crashed.
//
// A broken connection alone is not a crash. It counts as one if the endpoint refuses connections or registers anew shortly afterwards.
type suspects struct {
	mu     sync.Mutex
	table  *suspect.Table
	broken *suspect.BrokenExchanges
	// parts holds the crashes attributed to parts of prompts, by service.
	parts map[string]*suspect.PartTable
}

func newSuspects() *suspects {
	return &suspects{table: suspect.NewTable(), broken: suspect.NewBrokenExchanges(), parts: make(map[string]*suspect.PartTable)}
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

// recordPartCrash attributes a crash to the parts of a broken exchange's prompt, and returns the combinations of parts that are blocked from
// now on and the suspected parts of the prompt.
func (s *suspects) recordPartCrash(endpoint string, b *suspect.BrokenExchange) (blocked [][]string, suspected []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	t := s.service(b.Service)
	blocked = t.RecordCrash(now, endpoint, b.BrokenAt, b.Exchange)
	_, suspected = t.Check(now, b.Parts)
	return blocked, suspected
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

// recordBroken records that an exchange with an endpoint ended prematurely.
func (s *suspects) recordBroken(endpoint string, e suspect.BrokenExchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken.Record(endpoint, e)
}

// recordCrash counts an endpoint's crash against the requests whose exchanges with it recently broke, and returns the exchanges to report.
func (s *suspects) recordCrash(endpoint string, refused bool) []suspect.BrokenExchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reported []suspect.BrokenExchange
	for _, b := range s.broken.Crashed(clock.Now(), endpoint, refused) {
		if counted := s.table.RecordCrash(time.Now(), b.Digest, endpoint); counted || refused && b.Chargeable() {
			reported = append(reported, b)
		}
	}
	return reported
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

// checkCrash dials an endpoint after an exchange broke, and reports a crash if it refuses the connection. It returns whether it did. The
// placement avoids an endpoint whose exchanges broke, so that it might be back before another request is sent there.
func (n *Node) checkCrash(ctx context.Context, endpoint, address string) bool {
	if err := n.upstreams.Probe(ctx, address); !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	n.reportCrash(endpoint, true)
	return true
}

// reportCrash counts an endpoint's crash against the requests that were in flight there, on this instance and on every peer.
//
// Parts of prompts are charged only if the endpoint refused a connection: one that can't be reached may be cut off.
func (n *Node) reportCrash(endpoint string, refused bool) {
	var reports []*peer.CrashReport
	for _, b := range n.suspects.recordCrash(endpoint, refused) {
		n.log.Warn(event.EndpointCrashed, "endpoint crashed with a request in flight", zap.String("endpoint", endpoint),
			zap.String("digest", b.Digest), zap.Bool("head", b.Answering), zap.Bool("begun", b.Begun), zap.Strings("shared", b.Parts),
			zap.Int64("broken_ms", clock.Now().Sub(b.BrokenAt).Milliseconds()))
		report := &peer.CrashReport{Digest: b.Digest, Endpoint: endpoint}
		if refused && b.Chargeable() {
			report = crashReport(endpoint, &b)
			n.attributeCrash(endpoint, &b)
		}
		reports = append(reports, report)
	}
	// A peer that reads slowly must not delay the attribution of the other exchanges.
	for _, report := range reports {
		n.notifyPeers(peer.KindCrashReport, report)
	}
}

// crashReport reports a crash that broke an exchange, and charges the parts of its prompt.
func crashReport(endpoint string, b *suspect.BrokenExchange) *peer.CrashReport {
	now := clock.Now()
	return &peer.CrashReport{
		Digest: b.Digest, Endpoint: endpoint, Service: b.Service, Parts: b.Parts, Answering: b.Answering,
		SentAge: now.Sub(b.SentAt), BrokenAge: now.Sub(b.BrokenAt),
	}
}

// attributeCrash attributes a crash to the parts of a broken exchange's prompt. The leader hears of most answers, so it tells its peers of those
// that have begun since the crash: the instances that were answered may not have known that they had something to report.
func (n *Node) attributeCrash(endpoint string, b *suspect.BrokenExchange) {
	blocked, suspected := n.suspects.recordPartCrash(endpoint, b)
	if len(suspected) > 0 {
		n.log.Warn(event.PartSuspected, "engine crashed while it ran a prompt with these parts", zap.String("endpoint", endpoint),
			zap.String("service", b.Service), zap.Strings("parts", suspected), zap.Bool("head", b.Answering))
	}
	for _, parts := range blocked {
		n.log.Warn(event.PartBlocked, "prompts with these parts are blocked", zap.String("service", b.Service), zap.Strings("parts", parts),
			zap.String("endpoint", endpoint))
	}
	now := clock.Now()
	if !n.leadership.holdsLease(now) {
		return
	}
	if answered, at := n.suspects.takeAnswered(endpoint, b); len(answered) > 0 {
		n.reportCleared(b.Service, answered, now.Sub(at))
	}
}

// recordReportedCrash counts a crash that a peer reported.
func (n *Node) recordReportedCrash(r *peer.CrashReport) {
	n.suspects.recordReported(r.Digest, r.Endpoint)
	if len(r.Parts) == 0 {
		return
	}
	now := clock.Now()
	n.attributeCrash(r.Endpoint, &suspect.BrokenExchange{
		Exchange: suspect.Exchange{Parts: r.Parts, Answering: r.Answering, SentAt: now.Add(-r.SentAge)},
		Service:  r.Service, BrokenAt: now.Add(-r.BrokenAge),
	})
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
