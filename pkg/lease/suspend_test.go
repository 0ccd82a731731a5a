package lease

import (
	"testing"
	"time"

	"github.com/mulberryglade/mulberryglade/internal/timing"
)

// Guards against a holder on a suspended machine that reports its lease as held: the monotonic clock does not count the
// time of the suspension.
func TestSuspensionEndsTheHolding(t *testing.T) {
	h := New(Options{})
	h.current.Store(newHeldLease(Token{Revision: 7}, 1, time.Now(), timing.SinceBoot(), time.Hour))
	if _, held := h.Held(); !held {
		t.Fatal("not held")
	}
	// Simulates a suspension of two hours since the renewal.
	h.current.Store(newHeldLease(Token{Revision: 7}, 1, time.Now(), timing.SinceBoot()-2*time.Hour, time.Hour))
	if _, held := h.Held(); held {
		t.Fatal("held after a suspension")
	}
}
