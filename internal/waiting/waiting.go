// Package waiting pauses duties that end with a context.
package waiting

import (
	"context"
	"time"
)

// For waits for d; it returns false when ctx has ended before.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Until waits until done is closed, d has passed or ctx has ended.
func Until(ctx context.Context, done <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}
