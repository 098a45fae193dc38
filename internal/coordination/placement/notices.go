package placement

import (
	"gypsumvale/internal/coordination/notice"
	"gypsumvale/internal/state/clock"
)

// notice returns why an endpoint gets no requests from an entry, and the end of its pause if it is paused.
func (p *Pool) notice(now clock.Instant, s *endpointState, entry string) (notice.Reason, clock.Instant) {
	if p.cfg.Notices == nil || p.cfg.Notices.Empty() {
		return notice.None, 0
	}
	return p.cfg.Notices.Check(now, entry, s.Incarnation())
}

// barred reports whether an endpoint has said that it wants no requests of the entry that asks.
func (p *Pool) barred(now clock.Instant, s *endpointState, req *Request) bool {
	reason, _ := p.notice(now, s, req.ID.Entry)
	return reason != notice.None
}

// leaves reports whether an endpoint has said that it leaves. It stays in the pool while it is registered, since others may fetch from its
// cache.
func (p *Pool) leaves(now clock.Instant, s *endpointState) bool {
	reason, _ := p.notice(now, s, "")
	return reason == notice.Leaving
}
