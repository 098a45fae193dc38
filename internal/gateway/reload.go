package gateway

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gypsumvale/internal/event"
	"gypsumvale/internal/settings"
)

// settingsCheckPeriod is how often the settings file is read again without a signal.
const settingsCheckPeriod = 2 * time.Second

// WatchSettings reads the settings file again on each signal and each settingsCheckPeriod, and adopts it if it has changed.
func (n *Node) WatchSettings(ctx context.Context, path string, signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsCheckPeriod)
	defer ticker.Stop()
	inForce := n.cfg.Digest
	// seen is the digest of the last file read, or the text of its fault, so that each change is logged once.
	seen := inForce
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-signals:
			signaled = true
		}
		next, err := settings.ReadHosted(path)
		digest := ""
		if err == nil {
			digest = next.Digest
			if digest != inForce {
				err = n.Reload(next)
			}
		}
		reading := digest
		if err != nil {
			reading = err.Error()
		}
		if reading != seen || signaled {
			n.logReload(digest, inForce, err)
		}
		seen = reading
		if err == nil {
			inForce = digest
		}
	}
}

// Reload adopts the bounds of a changed settings file, all or none; requests in flight keep the deadlines that they have. If the error
// wraps settings.ErrNeedsRestart, other settings have changed too, and the old bounds stay in force.
func (n *Node) Reload(next *settings.Hosted) error {
	if err := n.cfg.CheckReload(next); err != nil {
		return fmt.Errorf("reload settings: %w", err)
	}
	bounds := next.Bounds
	n.bounds.Store(&bounds)
	n.retryBudgets.setLimits(bounds.RetryShare, bounds.RetryReserve)
	n.placer.setOldWeightsGrace(bounds.OldWeightsGrace)
	n.placer.reloadWarmupLimits()
	n.rollout.setSettleTime(bounds.Lease)
	n.metrics.SetSettings(n.cfg.Name, next.Digest, bounds.Digest())
	return nil
}

func (n *Node) logReload(digest, inForce string, err error) {
	fields := []zap.Field{zap.String("digest", digest), zap.String("before", inForce), zap.String("bounds", n.bounds.Load().Digest())}
	switch {
	case errors.Is(err, settings.ErrNeedsRestart):
		n.metrics.Reloads.WithLabelValues("needs_restart").Inc()
		n.log.Warn(event.SettingsRechecked, "changed settings need a restart; the old ones remain in effect", append(fields, zap.Error(err))...)
	case err != nil:
		n.metrics.Reloads.WithLabelValues("invalid").Inc()
		n.log.Warn(event.SettingsRechecked, "changed settings are invalid; the old ones remain in effect", append(fields, zap.Error(err))...)
	case digest == inForce:
		n.log.Info(event.SettingsRechecked, "settings unchanged after SIGHUP", fields...)
	default:
		n.metrics.Reloads.WithLabelValues("applied").Inc()
		n.log.Info(event.SettingsRechecked, "changed settings applied", fields...)
	}
}
