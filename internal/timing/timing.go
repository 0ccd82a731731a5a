// Package timing has functions for waiting, jitter and the time since boot.
package timing

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d, or until the context ends and then returns the context's error. If d is zero or negative, Sleep
// does not wait, but returns the error of a context that has ended.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Jitter returns a random duration between d/2 and d, so that instances that failed at the same time do not all retry a
// recovered service at the same time. d must not be negative.
func Jitter(d time.Duration) time.Duration {
	return d - rand.N(d/2+1)
}
