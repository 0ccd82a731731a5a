package scheduling_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

// Guards against calls that use more of the region link than its rate, and against calls that delay control traffic.
func TestLinkBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		budget := scheduling.NewLinkBudget(8000) // 1000 bytes per second, of which 200 are kept for control traffic
		g.Expect(budget.Has(800)).To(BeTrue())
		g.Expect(budget.Has(1_000_000)).To(BeTrue(), "a call larger than the burst is sent when the bucket is full")
		budget.Take(800)
		g.Expect(budget.Has(1)).To(BeFalse())
		budget.TakeControl(200)
		time.Sleep(200 * time.Millisecond)
		g.Expect(budget.Has(1)).To(BeFalse(), "control traffic is paid back first")
		time.Sleep(500 * time.Millisecond)
		g.Expect(budget.Has(500)).To(BeTrue())
		g.Expect(budget.Has(501)).To(BeFalse())

		sent := 0
		for range 1000 {
			if budget.Has(100) {
				budget.Take(100)
				sent += 100
			}
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(sent).To(BeNumerically("<=", 10*1000+800))
		g.Expect(sent).To(BeNumerically(">=", 9*1000))
	})
}
