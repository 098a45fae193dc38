package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"gypsumvale/internal/coordination/member"
	"gypsumvale/internal/coordination/rank"
	"gypsumvale/internal/duty"
	"gypsumvale/internal/event"
	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/protocol/platform"
)

const (
	listPeriod = 500 * time.Millisecond
	// tellPeriod is the time between two tellings of an unchanged list.
	tellPeriod = 900 * time.Millisecond
	// listOld is the age at which an instance that isn't told the list reads it itself.
	listOld = 2 * time.Second
)

// instances is the duty that follows the platform's list; two instances of a zone read it and tell the others.
type instances struct {
	node *Node

	mu     sync.Mutex
	byName map[string]platform.Instance
	read   time.Time
	digest uint64
	// told is the digest of the list last passed on.
	told   uint64
	toldAt time.Time
}

func newInstances(n *Node) *instances {
	return &instances{node: n, byName: make(map[string]platform.Instance)}
}

func (s *instances) run(ctx context.Context) {
	s.poll(ctx)
	duty.Every(ctx, listPeriod, func(ctx context.Context) {
		if s.node.watcher.chosen() || s.age() > listOld {
			s.poll(ctx)
		}
	})
}

func (s *instances) age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.read)
}

func (s *instances) poll(ctx context.Context) {
	started := time.Now()
	list, err := s.node.list.List(ctx)
	if err != nil {
		s.node.log.Debug(event.ListFailed, "platform's list not read", zap.Error(err))
		return
	}
	s.take(list, started)
	if s.node.watcher.chosen() {
		s.tell(ctx, list, started)
	}
}

// hear takes the list from one of the zone's readers; an unknown digest leaves the list old, so that it is read here.
func (s *instances) hear(r *peer.InstanceList) {
	read := time.Now().Add(-r.Age)
	if len(r.Instances) > 0 {
		s.take(r.Instances, read)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.digest == r.Digest && read.After(s.read) {
		s.read = read
	}
}

// digestOf sums up a list in the platform's order.
func digestOf(list []platform.Instance) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, in := range list {
		// A digest never returns an error.
		_, _ = fmt.Fprintf(&h, "%s %s %s %s %t\n", in.Name, in.Role, in.Zone, in.Address, in.Leaving)
	}
	return h.Sum64()
}

// tell passes the list on to the zone's members.
func (s *instances) tell(ctx context.Context, list []platform.Instance, read time.Time) {
	view := s.node.members.current()
	msg := peer.InstanceList{Digest: digestOf(list)}
	s.mu.Lock()
	changed := msg.Digest != s.told
	if changed {
		msg.Instances = list
	}
	due := changed || time.Since(s.toldAt) >= tellPeriod
	if due {
		s.told, s.toldAt = msg.Digest, time.Now()
	}
	s.mu.Unlock()
	if !due {
		return
	}
	for _, name := range view.ByZone[s.node.cfg.Zone] {
		if name == s.node.cfg.Name {
			continue
		}
		info := view.Members[name]
		go func() {
			sendCtx, cancel := context.WithTimeout(ctx, listPeriod)
			defer cancel()
			// Whoever misses this reads the list itself after listOld.
			_ = s.node.network.Send(sendCtx, name, info.Address, peer.KindInstanceList, aged(msg, read))
		}()
	}
}

func aged(r peer.InstanceList, read time.Time) peer.InstanceList {
	r.Age = time.Since(read)
	return r
}

// take replaces the list by one that was read later.
func (s *instances) take(list []platform.Instance, read time.Time) {
	s.mu.Lock()
	if !read.After(s.read) {
		s.mu.Unlock()
		return
	}
	old := s.byName
	s.byName = make(map[string]platform.Instance, len(list))
	for _, in := range list {
		s.byName[in.Name] = in
	}
	s.read = read
	s.digest = digestOf(list)
	s.mu.Unlock()
	for _, in := range list {
		if in.Role == platform.RoleEntry && !in.Leaving {
			s.node.members.propose(member.Info{Name: in.Name, Zone: in.Zone, Address: in.Address})
		}
		if in.Leaving && !old[in.Name].Leaving {
			s.node.log.Info(event.EndpointLeaving, "instance leaving", zap.String("name", in.Name))
		}
	}
}

// leaving reports whether the list says that an instance leaves; one that the list doesn't name is judged by its answers.
func (s *instances) leaving(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byName[name].Leaving
}

// first reports whether this instance is ranked first for a subject in its zone.
func (n *Node) first(subject string) bool {
	return rank.First(subject, n.members.current().ByZone[n.cfg.Zone]) == n.cfg.Name
}
