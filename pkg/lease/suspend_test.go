package lease

import (
	"testing"
	"time"

	"github.com/mulberryglade/mulberryglade/internal/timing"
)

// Guards against a holder on a machine that was suspended believing that its lease goes on: the monotonic clock does not
// count that time.
func TestSuspensionEndsTheHolding(t *testing.T) {
	h := New(Options{})
	h.current.Store(newHolding(Token{Revision: 7}, 1, time.Now(), timing.SinceBoot(), time.Hour))
	if _, held := h.Held(); !held {
		t.Fatal("not held")
	}
	// As if the machine had been suspended for two hours since the renewal.
	h.current.Store(newHolding(Token{Revision: 7}, 1, time.Now(), timing.SinceBoot()-2*time.Hour, time.Hour))
	if _, held := h.Held(); held {
		t.Fatal("held after a suspension")
	}
}
