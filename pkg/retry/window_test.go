package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/mulberryglade/mulberryglade/internal/testkit"
)

// Guards against instances that together repeat more within any window than the deployment allows.
func TestWindowBudgetHoldsOverAllInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := WindowLimits{Window: 10 * time.Second, Ratio: 0.2, Slack: 54, Instances: rapid.IntRange(1, 8).Draw(t, "instances")}
		var budgets []*WindowBudget
		for range limits.Instances {
			budgets = append(budgets, NewWindowBudget(func() WindowLimits { return limits }))
		}
		now := time.Unix(1000, 0)
		var requests, repeats []time.Time
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "step")) * time.Millisecond)
			budget := budgets[rapid.IntRange(0, limits.Instances-1).Draw(t, "instance")]
			if rapid.Bool().Draw(t, "request") {
				budget.Requested("s", now)
				requests = append(requests, now)
			} else if budget.Take("s", now) {
				repeats = append(repeats, now)
			}
			recent := func(times []time.Time) int {
				count := 0
				for _, sentAt := range times {
					if now.Sub(sentAt) < limits.Window {
						count++
					}
				}
				return count
			}
			if got, allowed := float64(recent(repeats)), limits.Ratio*float64(recent(requests)+20)+limits.Slack; got > allowed {
				t.Fatalf("%v repeats, allowed are %v", got, allowed)
			}
		}
	})
}

// Guards against a budget that stays used up, and against one service that uses up another's budget.
func TestWindowBudgetRecovers(t *testing.T) {
	limits := WindowLimits{Window: 10 * time.Second, Ratio: 0.2, Slack: 10, Instances: 1}
	budget := NewWindowBudget(func() WindowLimits { return limits })
	now := time.Unix(1000, 0)
	for budget.Take("s", now) {
	}
	if !budget.Take("t", now) {
		t.Fatal("another service has no budget")
	}
	if !budget.Take("s", now.Add(11*time.Second)) {
		t.Fatal("no budget after the window")
	}
}
