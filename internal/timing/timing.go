// Package timing has the waits that several packages share.
package timing

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d or until the context ends, and then returns the context's error. A d of zero or less does not wait.
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

// Jitter returns a random duration between half of d and d, so that instances that failed together do not return to the
// recovered service at the same time. d must not be negative.
func Jitter(d time.Duration) time.Duration {
	return d - rand.N(d/2+1)
}
