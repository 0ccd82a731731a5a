package timing_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/internal/timing"
)

// Guards against a wait that outlives its context or ends early, and against an ended context that goes unnoticed.
func TestSleep(t *testing.T) {
	for name, c := range map[string]struct {
		span, cancelAfter, waited time.Duration
		err                       error
	}{
		"whole":             {span: 3 * time.Second, cancelAfter: time.Minute, waited: 3 * time.Second},
		"cancelled":         {span: time.Hour, cancelAfter: 2 * time.Second, waited: 2 * time.Second, err: context.DeadlineExceeded},
		"nothing":           {cancelAfter: time.Minute},
		"negative":          {span: -time.Second, cancelAfter: time.Minute},
		"nothing, but late": {cancelAfter: 0, err: context.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithTimeout(t.Context(), c.cancelAfter)
				defer cancel()
				began := time.Now()
				err := timing.Sleep(ctx, c.span)
				if c.err == nil {
					g.Expect(err).NotTo(HaveOccurred())
				} else {
					g.Expect(err).To(MatchError(c.err))
				}
				g.Expect(time.Since(began)).To(Equal(c.waited))
			})
		})
	}
}

// Guards against a panic on very short durations and against a jitter outside of its range.
func TestJitter(t *testing.T) {
	g := NewWithT(t)
	for _, d := range []time.Duration{0, 1, 2, time.Second} {
		for range 100 {
			g.Expect(timing.Jitter(d)).To(And(BeNumerically(">=", d/2), BeNumerically("<=", d)))
		}
	}
}
