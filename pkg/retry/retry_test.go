package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/retry"
)

func TestRetry(t *testing.T) {
	testkit.RunSpecs(t, "retry")
}

var _ = Describe("Budget", func() {
	// Guards against more retries than the ratio times the successes plus the floor, over any interleaving.
	It("never grants more than was earned", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			limits := retry.Limits{
				Ratio:          rapid.Float64Range(0, 1).Draw(t, "ratio"),
				FloorPerSecond: rapid.Float64Range(0, 5).Draw(t, "floor"),
				Burst:          rapid.Float64Range(1, 20).Draw(t, "burst"),
			}
			budget := retry.NewBudget(func() retry.Limits { return limits })
			start := time.Unix(1000, 0)
			now := start
			taken, succeeded := 0, 0
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				switch rapid.IntRange(0, 2).Draw(t, "step") {
				case 0:
					now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				case 1:
					budget.Succeeded("m", "e", now)
					succeeded++
				case 2:
					if budget.Take("m", "e", now) {
						taken++
					}
				}
			}
			// The floor is credited one second ahead for a new member or endpoint.
			earned := limits.Ratio*float64(succeeded) + limits.FloorPerSecond*(now.Sub(start).Seconds()+1)
			if float64(taken) > earned+1e-6 {
				t.Fatalf("%d retries taken, %.3f earned", taken, earned)
			}
		})
	})

	// Guards against failures of one member or endpoint that use up the retries of another.
	It("is kept per member and per endpoint", func() {
		budget := retry.NewBudget(func() retry.Limits { return retry.Limits{FloorPerSecond: 2, Burst: 2} })
		now := time.Unix(1000, 0)
		take := func(member, endpoint string) bool { return budget.Take(member, endpoint, now) }
		Expect(take("a", "x")).To(BeTrue())
		Expect(take("a", "y")).To(BeTrue())
		Expect(take("a", "z")).To(BeFalse(), "member a is used up")
		Expect(take("b", "x")).To(BeTrue())
		Expect(take("c", "x")).To(BeFalse(), "endpoint x is used up")
		Expect(take("c", "z")).To(BeTrue(), "the refusals spent nothing of z")
		Expect(take("c", "z")).To(BeTrue(), "the refusals spent nothing of c")
	})
})

var _ = Describe("Backoff", func() {
	// Guards against delays beyond the maximum, overflow after many retries, and delays that do not grow exponentially.
	It("grows to its maximum", func() {
		backoff := retry.Backoff{Base: 10 * time.Millisecond, Max: 80 * time.Millisecond, Rand: func() float64 { return 0.5 }}
		for i, ms := range []time.Duration{5, 10, 20, 40, 40} {
			Expect(backoff.Delay(i)).To(Equal(ms*time.Millisecond), "retry %d", i)
		}
		Expect(backoff.Delay(10_000)).To(Equal(40 * time.Millisecond))
	})
})
