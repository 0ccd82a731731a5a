package timing_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/internal/timing"
)

// Guards against a wait that ends early or continues after its context has ended, and against a nil error for an ended
// context.
func TestSleep(t *testing.T) {
	for name, c := range map[string]struct {
		d, cancelAfter, want time.Duration
		err                  error
	}{
		"whole":               {d: 3 * time.Second, cancelAfter: time.Minute, want: 3 * time.Second},
		"cancelled":           {d: time.Hour, cancelAfter: 2 * time.Second, want: 2 * time.Second, err: context.DeadlineExceeded},
		"nothing":             {cancelAfter: time.Minute},
		"negative":            {d: -time.Second, cancelAfter: time.Minute},
		"zero after deadline": {cancelAfter: 0, err: context.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithTimeout(t.Context(), c.cancelAfter)
				defer cancel()
				start := time.Now()
				err := timing.Sleep(ctx, c.d)
				if c.err == nil {
					g.Expect(err).NotTo(HaveOccurred())
				} else {
					g.Expect(err).To(MatchError(c.err))
				}
				g.Expect(time.Since(start)).To(Equal(c.want))
			})
		})
	}
}

// Guards against a panic on very short durations and against a result out of range.
func TestJitter(t *testing.T) {
	g := NewWithT(t)
	for _, d := range []time.Duration{0, 1, 2, time.Second} {
		for range 100 {
			g.Expect(timing.Jitter(d)).To(And(BeNumerically(">=", d/2), BeNumerically("<=", d)))
		}
	}
}
