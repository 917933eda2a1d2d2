// Package pause provides waits that end early when a context is done.
package pause

import (
	"context"
	"time"
)

// For waits for the given time, or until ctx is done if that is earlier.
func For(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Every calls do at the given interval until ctx is done. The first call is after
// one interval; if do takes longer than the interval, calls are skipped.
func Every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}
