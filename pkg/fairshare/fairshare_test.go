package fairshare_test

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	// Fixes the seed of the property tests.
	_ "github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/fairshare"
)

// tokenWeights makes service equal to the number of input plus output tokens.
var tokenWeights = fairshare.Weights{InputToken: 1, OutputToken: 1}

const tolerance = 1e-6

func newAccountant(shares map[string]float64) *fairshare.Accountant {
	a := fairshare.NewAccountant(tokenWeights)
	a.SetShares(shares)
	return a
}

// exchange sends the usage of every instance to every other one twice, followed by an outdated usage.
func exchange(instances []*fairshare.Accountant) {
	for i, from := range instances {
		for j, to := range instances {
			if i != j {
				to.MergePeerUsages(fmt.Sprint(i), from.LocalUsages())
				to.MergePeerUsages(fmt.Sprint(i), from.LocalUsages())
				to.MergePeerUsages(fmt.Sprint(i), []fairshare.Usage{{Member: "a"}})
			}
		}
	}
}

// Guards against a known service that differs from the true one by more than what peers delivered since the last
// exchange. The histories have missed exchanges and calls that exceed their expected cost.
func TestServiceErrorIsBoundedByTheExchange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "instances")
		instances := make([]*fairshare.Accountant, n)
		for i := range instances {
			instances[i] = newAccountant(nil)
		}
		var total float64
		sinceExchange := make([]float64, n)
		var running []*fairshare.Charge
		var owners []int
		deliver := func(owner int, service float64) {
			total += service
			sinceExchange[owner] += service
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				owner := rapid.IntRange(0, n-1).Draw(t, "owner")
				expected := rapid.IntRange(0, 1000).Draw(t, "expected")
				running = append(running, instances[owner].Start("a", "m", fairshare.Cost{OutputTokens: expected}))
				owners = append(owners, owner)
			case 1, 2:
				if len(running) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "call")
				tokens := rapid.IntRange(1, 500).Draw(t, "tokens")
				running[i].Progress(tokens)
				deliver(owners[i], float64(tokens))
			case 3:
				exchange(instances)
				clear(sinceExchange)
			}
			for i, instance := range instances {
				unseenService := 0.0
				for j, service := range sinceExchange {
					if j != i {
						unseenService += service
					}
				}
				if diff := math.Abs(total - unseenService - instance.ReceivedService("a")); diff > tolerance {
					t.Fatalf("instance %d counts service %v of %v with %v not exchanged", i, instance.ReceivedService("a"), total, unseenService)
				}
			}
		}
	})
}

// Guards against an unfair division between members that always wait. Their counters may differ only by what all
// instances start between two exchanges.
func TestBackloggedMembersGetTheirShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "instances")
		startsPerExchange := rapid.IntRange(1, 10).Draw(t, "starts per exchange")
		const maxCost = 100
		shares := map[string]float64{
			"a": rapid.Float64Range(1, 10).Draw(t, "share a"),
			"b": rapid.Float64Range(1, 10).Draw(t, "share b"),
		}
		instances := make([]*fairshare.Accountant, n)
		for i := range instances {
			instances[i] = newAccountant(shares)
			instances[i].AddWaiting("a", "m", 1)
			instances[i].AddWaiting("b", "m", 1)
		}
		received := make(map[string]float64)
		for range rapid.IntRange(1, 40).Draw(t, "exchanges") {
			for _, instance := range instances {
				for range startsPerExchange {
					names := []string{"a", "b"}
					instance.SortMembers(names)
					cost := rapid.IntRange(1, maxCost).Draw(t, "cost")
					charge := instance.Start(names[0], "m", fairshare.Cost{OutputTokens: maxCost})
					received[names[0]] += charge.Finish(fairshare.Cost{OutputTokens: cost})
				}
			}
			exchange(instances)
			bound := float64(n*startsPerExchange+1) * maxCost
			if diff := math.Abs(received["a"]/shares["a"] - received["b"]/shares["b"]); diff > bound {
				t.Fatalf("counters differ by %v, more than %v", diff, bound)
			}
		}
	})
}

// Guards against credit for idle time and against debt for the use of idle capacity.
func TestCounterIsLiftedAfterIdleTime(t *testing.T) {
	g := NewWithT(t)
	a := newAccountant(nil)
	a.AddWaiting("busy", "m", 1)
	a.Start("busy", "m", fairshare.Cost{}).Finish(fairshare.Cost{OutputTokens: 1000})
	a.AddWaiting("quiet", "m", 1)
	g.Expect(a.Counter("quiet")).To(Equal(a.Counter("busy")))
	a.Start("busy", "m", fairshare.Cost{OutputTokens: 1})
	names := []string{"busy", "quiet"}
	a.SortMembers(names)
	g.Expect(names).To(Equal([]string{"quiet", "busy"}))

	a.AddWaiting("busy", "m", -1)
	a.AddWaiting("quiet", "m", -1)
	a.AddWaiting("late", "m", 1)
	g.Expect(a.Counter("late")).To(BeNumerically(">=", 1000), "no other member waited when member late began to wait")
}

// Guards against a member that waits only at another instance and holds down the minimum at this one.
func TestMemberThatWaitsAtAnotherInstanceIsLifted(t *testing.T) {
	g := NewWithT(t)
	a := newAccountant(nil)
	a.AddWaiting("busy", "m", 1)
	a.Start("busy", "m", fairshare.Cost{}).Finish(fairshare.Cost{OutputTokens: 1000})
	a.MergePeerUsages("p", []fairshare.Usage{{Member: "elsewhere", Waiting: 1}})
	a.AddWaiting("late", "m", 1)
	g.Expect(a.Counter("late")).To(BeNumerically(">=", 1000))
	a.RemovePeer("p")
	a.MergePeerUsages("p", []fairshare.Usage{{Member: "elsewhere", Service: 7}})
	a.RemovePeer("p")
	a.MergePeerUsages("p", []fairshare.Usage{{Member: "elsewhere", Service: 7}})
	g.Expect(a.ReceivedService("elsewhere")).To(Equal(7.0), "a peer that returns is counted once")
}

// Guards against a burst of credit or debt after a change of shares.
func TestShareChangeKeepsTheCounter(t *testing.T) {
	g := NewWithT(t)
	a := newAccountant(map[string]float64{"a": 1})
	a.Start("a", "m", fairshare.Cost{}).Finish(fairshare.Cost{OutputTokens: 100})
	a.SetShares(map[string]float64{"a": 4})
	g.Expect(a.Counter("a")).To(BeNumerically("~", 100, tolerance))
	a.Start("a", "m", fairshare.Cost{}).Finish(fairshare.Cost{OutputTokens: 100})
	g.Expect(a.Counter("a")).To(BeNumerically("~", 125, tolerance))
}

// Guards against undercharging a running call whose response is longer than expected, and against a counter that keeps
// the expected cost of a call that ended early.
func TestChargeMatchesDeliveredTokens(t *testing.T) {
	g := NewWithT(t)
	a := newAccountant(nil)
	charge := a.Start("a", "m", fairshare.Cost{InputTokens: 10, OutputTokens: 50})
	g.Expect(a.Counter("a")).To(Equal(60.0))
	g.Expect(a.LocalUsages()[0].Service).To(BeZero())
	charge.Progress(20)
	g.Expect(a.Counter("a")).To(Equal(60.0))
	g.Expect(a.LocalUsages()[0].Service).To(Equal(30.0))
	charge.Progress(200)
	g.Expect(a.Counter("a")).To(Equal(230.0))
	g.Expect(charge.Finish(fairshare.Cost{InputTokens: 12, OutputTokens: 220})).To(Equal(232.0))

	a.Start("b", "m", fairshare.Cost{OutputTokens: 500}).Finish(fairshare.Cost{OutputTokens: 5})
	g.Expect(a.Counter("b")).To(Equal(5.0))
}

// Guards against a model that starves the member's other models.
func TestModelsOfAMemberAlternate(t *testing.T) {
	g := NewWithT(t)
	a := newAccountant(nil)
	a.AddWaiting("a", "busy", 1)
	a.Start("a", "busy", fairshare.Cost{}).Finish(fairshare.Cost{OutputTokens: 100})
	a.AddWaiting("a", "quiet", 1)
	a.Start("a", "busy", fairshare.Cost{OutputTokens: 1})
	models := []string{"busy", "quiet"}
	a.SortModels("a", models)
	g.Expect(models).To(Equal([]string{"quiet", "busy"}))
}

// Guards against a local fraction that ignores a member at another instance, or still counts a member that has become
// idle.
func TestLocalFraction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := newAccountant(map[string]float64{"a": 1, "b": 3})
		g.Expect(a.LocalFraction()).To(BeZero())
		a.AddWaiting("a", "m", 1)
		g.Expect(a.LocalFraction()).To(Equal(1.0))
		a.MergePeerUsages("p", []fairshare.Usage{{Member: "b", Service: 100}})
		g.Expect(a.LocalFraction()).To(Equal(0.25))
		a.MergePeerUsages("p", []fairshare.Usage{{Member: "a", Waiting: 3}})
		g.Expect(a.LocalFraction()).To(Equal(0.25 / 4))
		time.Sleep(time.Minute)
		g.Expect(a.LocalFraction()).To(Equal(0.25), "b is idle again")
	})
}

// Guards against a member above its share that counts as within it, and against the reverse.
func TestWithinShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := fairshare.NewAccountant(fairshare.DefaultWeights())
		a.SetShares(map[string]float64{"quiet": 3, "noisy": 1})
		g.Expect(a.WithinShare("quiet")).To(BeTrue(), "without any service")
		for member, tokens := range map[string]int{"quiet": 100, "noisy": 900} {
			a.Start(member, "m", fairshare.Cost{}).Finish(fairshare.Cost{OutputTokens: tokens})
		}
		g.Expect(a.WithinShare("quiet")).To(BeTrue())
		g.Expect(a.WithinShare("noisy")).To(BeFalse())
	})
}

// Guards against a member above its share that fills endpoints completely, against limiting a member within its share,
// and against headroom that no member uses.
func TestHeadroom(t *testing.T) {
	cases := map[string]struct {
		quiet, noisy int
		want         float64
	}{
		"quiet member idle":                     {quiet: 0, noisy: 900, want: 0},
		"quiet member just began":               {quiet: 10, noisy: 990, want: 0.1},
		"quiet member uses a fifth":             {quiet: 200, noisy: 800, want: 0.2},
		"quiet member uses half":                {quiet: 500, noisy: 500, want: 0.5},
		"noisy member slightly above its share": {quiet: 700, noisy: 300, want: 0.1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				a := fairshare.NewAccountant(fairshare.DefaultWeights())
				a.SetShares(map[string]float64{"quiet": 3, "noisy": 1})
				a.Start("quiet", "m", fairshare.Cost{}).Finish(fairshare.Cost{OutputTokens: c.quiet})
				a.Start("noisy", "m", fairshare.Cost{}).Finish(fairshare.Cost{OutputTokens: c.noisy})
				g.Expect(a.Headroom("noisy")).To(BeNumerically("~", c.want, 1e-9))
				g.Expect(a.Headroom("quiet")).To(BeZero())
			})
		})
	}
}

// Guards against a member above its share that is not recognized as such, and against reserving capacity for members that
// ask for nothing.
func TestStandingComparesMembersByRecentService(t *testing.T) {
	a := newAccountant(nil)
	receive := func(member string, tokens int) {
		a.Start(member, "m", fairshare.Cost{}).Finish(fairshare.Cost{InputTokens: tokens})
	}
	receive("hot", 600)
	if s := a.Standing("hot"); s.Relative != 1 || s.LowerFraction != 0 || s.LowerWaits {
		t.Fatalf("a member alone: %+v", s)
	}
	receive("small", 100)
	receive("large", 500)
	near := func(got, want float64) bool { return math.Abs(got-want) < 0.01 }
	if s := a.Standing("hot"); !near(s.Relative, 1.5) || !near(s.LowerFraction, 0.5) || s.LowerWaits {
		t.Fatalf("hot: %+v", s)
	}
	if s := a.Standing("large"); !near(s.Relative, 1.25) || !near(s.LowerFraction, 1.0/12) {
		t.Fatalf("large: %+v", s)
	}
	a.AddWaiting("new", "m", 1)
	if s := a.Standing("hot"); !s.LowerWaits {
		t.Fatalf("hot while another member waits: %+v", s)
	}
	if s := a.Standing("new"); s.Relative != 0 || s.LowerFraction != 0 || s.LowerWaits {
		t.Fatalf("new: %+v", s)
	}
}
