package gateway

import (
	"context"
	"fmt"

	"gypsumvale/internal/protocol/peer"
	"gypsumvale/internal/state/clock"
)

// CallPeer sends a message to a peer and decodes the reply to it.
func (n *Node) CallPeer(ctx context.Context, name string, kind peer.Kind, msg, reply any) error {
	network, address, ok := n.members.peer(name)
	if !ok {
		return errNoOwner
	}
	if err := network.Call(ctx, name, address, kind, msg, reply); err != nil {
		return fmt.Errorf("call %s: %w", name, err)
	}
	return nil
}

// NotifyPeer sends a message to a peer without waiting for a reply.
func (n *Node) NotifyPeer(name string, kind peer.Kind, msg any) { n.notify(name, kind, msg) }

// AdoptRunning counts the running requests of an entry as load, and returns how many were not known.
func (p *placer) AdoptRunning(entry string, runs []peer.RunningRequest) int {
	fence, _, _ := p.node.leadership.term()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reported[entry] = fence
	now := clock.Now()
	adopted := 0
	for i := range runs {
		req := &runs[i].Request
		req.ID.Entry = entry
		req.Deadline = now.Add(runs[i].Deadline)
		if p.pool(req.Service).Adopt(now, req, &runs[i].Choice, runs[i].Begun) {
			adopted++
		}
		if runs[i].Begun {
			p.node.origins.record(req, runs[i].Choice.Software, false, false)
		}
	}
	return adopted
}

// hasReported reports whether an entry has reported its running requests in this instance's current term as the leader.
func (p *placer) hasReported(entry string) bool {
	fence, _, _ := p.node.leadership.term()
	p.mu.Lock()
	defer p.mu.Unlock()
	reported, ok := p.reported[entry]
	return ok && reported == fence
}
