package gateway

import (
	"runtime"
	"runtime/metrics"
	"time"

	"go.uber.org/zap"

	"gypsumvale/internal/event"
	"gypsumvale/internal/state/clock"
	"gypsumvale/internal/state/route"
)

const (
	// highMemoryShare is the share of the process's memory from which its use is logged: a process that is ended for its memory logs nothing then.
	highMemoryShare = 0.7
	// memoryLogPeriod is the shortest time between two lines.
	memoryLogPeriod = 5 * time.Second
)

// memoryUse logs the memory of the process while it is near its limit. One goroutine uses it.
type memoryUse struct {
	loggedAt clock.Instant
}

// report logs the memory of the process and what may hold it.
func (u *memoryUse) report(n *Node, now clock.Instant) {
	limit := int64(n.cfg.MemoryMB * (1 << 20))
	if limit == 0 || u.loggedAt != 0 && now.Sub(u.loggedAt) < memoryLogPeriod {
		return
	}
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}, {Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/memory/classes/heap/stacks:bytes"},
	}
	metrics.Read(samples)
	used := int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
	if float64(used) < highMemoryShare*float64(limit) {
		return
	}
	u.loggedAt = now
	var size route.TableSize
	if table := n.table.Load(); table != nil {
		size = table.Size()
	}
	n.log.Warn(event.MemoryHigh, "memory near its limit", zap.Int64("used_bytes", used), zap.Int64("limit_bytes", limit),
		zap.Uint64("object_bytes", samples[2].Value.Uint64()), zap.Uint64("stack_bytes", samples[3].Value.Uint64()),
		zap.Int("goroutines", runtime.NumGoroutine()), zap.Int("connections", n.guard.Connections()), zap.Int64("in_flight", n.inFlight.Load()),
		zap.Int("peers", n.members.peerConnections()), zap.Int("routes", size.Routes), zap.Int("keys", size.Keys))
}
