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
	listPollPeriod = 500 * time.Millisecond
	// resendPeriod is the least time between two notifications of an unchanged list.
	resendPeriod = 900 * time.Millisecond
	// maxListAge is the age of the list above which an instance that isn't notified reads it from the platform itself.
	maxListAge = 2 * time.Second
)

// instances follows the platform's list of instances: two entry instances of a zone read it and send it to the others.
type instances struct {
	node *Node

	mu     sync.Mutex
	byName map[string]platform.Instance
	readAt time.Time
	digest uint64
	// sentDigest is the digest of the list last sent to the zone's members.
	sentDigest uint64
	sentAt     time.Time
}

func newInstances(n *Node) *instances {
	return &instances{node: n, byName: make(map[string]platform.Instance)}
}

func (i *instances) run(ctx context.Context) {
	i.poll(ctx)
	duty.Every(ctx, listPollPeriod, func(ctx context.Context) {
		if i.node.watcher.isDesignated() || i.age() > maxListAge {
			i.poll(ctx)
		}
	})
}

func (i *instances) age() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return time.Since(i.readAt)
}

func (i *instances) poll(ctx context.Context) {
	started := time.Now()
	list, err := i.node.roster.List(ctx)
	if err != nil {
		i.node.log.Debug(event.ListFailed, "could not read the platform's instance list", zap.Error(err))
		return
	}
	i.replace(list, started)
	if i.node.watcher.isDesignated() {
		i.broadcast(ctx, list, started)
	}
}

// receive handles the list from one of the zone's readers. A message with only a digest confirms the known list; if the digest differs,
// the list ages until this instance reads it from the platform.
func (i *instances) receive(r *peer.InstanceList) {
	read := time.Now().Add(-r.Age)
	if len(r.Instances) > 0 {
		i.replace(r.Instances, read)
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.digest == r.Digest && read.After(i.readAt) {
		i.readAt = read
	}
}

// listDigest returns a hash of the list, which depends on the platform's order.
func listDigest(list []platform.Instance) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, in := range list {
		// A digest never returns an error.
		_, _ = fmt.Fprintf(&h, "%s %s %s %s %t\n", in.Name, in.Role, in.Zone, in.Address, in.Leaving)
	}
	return h.Sum64()
}

// broadcast sends the list to the zone's members, or only its digest if it is unchanged.
func (i *instances) broadcast(ctx context.Context, list []platform.Instance, read time.Time) {
	view := i.node.members.current()
	msg := peer.InstanceList{Digest: listDigest(list)}
	i.mu.Lock()
	changed := msg.Digest != i.sentDigest
	if changed {
		msg.Instances = list
	}
	due := changed || time.Since(i.sentAt) >= resendPeriod
	if due {
		i.sentDigest, i.sentAt = msg.Digest, time.Now()
	}
	i.mu.Unlock()
	if !due {
		return
	}
	for _, name := range view.ByZone[i.node.cfg.Zone] {
		if name == i.node.cfg.Name {
			continue
		}
		info := view.Members[name]
		go func() {
			sendCtx, cancel := context.WithTimeout(ctx, listPollPeriod)
			defer cancel()
			// A member that misses this message reads the list itself after maxListAge.
			_ = i.node.network.Send(sendCtx, name, info.Address, peer.KindInstanceList, withAge(msg, read))
		}()
	}
}

// withAge sets the time since the list was read, which travels instead of a timestamp as the clocks of two instances may differ.
func withAge(r peer.InstanceList, read time.Time) peer.InstanceList {
	r.Age = time.Since(read)
	return r
}

// replace replaces the list by one that was read later. It adds listed entry instances as candidates for membership, and logs
// instances that have started to leave.
func (i *instances) replace(list []platform.Instance, read time.Time) {
	i.mu.Lock()
	if !read.After(i.readAt) {
		i.mu.Unlock()
		return
	}
	old := i.byName
	i.byName = make(map[string]platform.Instance, len(list))
	for _, in := range list {
		i.byName[in.Name] = in
	}
	i.readAt = read
	i.digest = listDigest(list)
	i.mu.Unlock()
	for _, in := range list {
		if in.Role == platform.RoleEntry && !in.Leaving {
			i.node.members.addCandidate(member.Info{Name: in.Name, Zone: in.Zone, Address: in.Address})
		}
		if in.Leaving && !old[in.Name].Leaving {
			i.node.log.Info(event.EndpointLeaving, "instance leaving", zap.String("name", in.Name))
		}
	}
}

// leaving reports whether the list marks an instance as leaving. An instance that isn't listed counts as not leaving; whether it is
// usable then depends on its answers alone.
func (i *instances) leaving(name string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.byName[name].Leaving
}

// ranksFirst reports whether this instance is ranked first in its zone for a subject, such as the ownership of a store.
func (n *Node) ranksFirst(subject string) bool {
	return rank.First(subject, n.members.current().ByZone[n.cfg.Zone]) == n.cfg.Name
}
