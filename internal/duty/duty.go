package duty

import (
	"context"
	"time"
)

// Every calls step once per period until the context ends. The first call comes after one period.
func Every(ctx context.Context, period time.Duration, step func(context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			step(ctx)
		}
	}
}

// Sleep waits for d or until the context ends, and reports whether the full time has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
