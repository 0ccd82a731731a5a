package loadtest

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/examples"
	"github.com/mulberryglade/mulberryglade/internal/testbed"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
)

func loadParameters(t *testing.T, deployment string) LoadParameters {
	t.Helper()
	records, err := testbed.Declarations(testbed.Options{Declarations: examples.Files, Folder: deployment})
	if err != nil {
		t.Fatal(err)
	}
	return LoadParameters{Records: records, Rate: 12, Warmup: 5 * time.Second, Duration: 20 * time.Second}
}

// Guards against comparing policies under different loads: the same seed must yield the same schedule.
func TestScheduleIsDeterministic(t *testing.T) {
	g := NewWithT(t)
	for _, deployment := range []string{"sindhuli", "lusorenda"} {
		load := loadParameters(t, deployment)
		for _, name := range ScenarioNames() {
			draw := func(seed uint64) []Arrival {
				return Schedule(Scenarios()[name].Mixes(load), load.Warmup+load.Duration, seed)
			}
			first := draw(1)
			g.Expect(first).NotTo(BeEmpty())
			g.Expect(draw(1)).To(Equal(first), name)
			g.Expect(draw(2)).NotTo(Equal(first), name)
		}
	}
}

// Guards against a scenario that does not produce the load that its name states. Its runs would not test the policies.
func TestScenariosChangeTheLoad(t *testing.T) {
	count := func(arrivals []Arrival, from, to time.Duration, matches func(Arrival) bool) float64 {
		n := 0
		for _, a := range arrivals {
			if a.At >= from && a.At < to && matches(a) {
				n++
			}
		}
		return float64(n) / (to - from).Seconds()
	}
	for _, deployment := range []string{"sindhuli", "lusorenda"} {
		g := NewWithT(t)
		load := loadParameters(t, deployment)
		change, end := load.timeAt(changeFraction), load.Warmup+load.Duration
		draw := func(name string) []Arrival { return Schedule(Scenarios()[name].Mixes(load), end, 1) }

		mix := growth(load)[0]
		model := mix.Models[len(mix.Models)/growthFactor]
		isGrowing := func(a Arrival) bool { return a.Member == mix.Member && a.Model == model }
		arrivals := draw("growth")
		g.Expect(count(arrivals, change, end, isGrowing)).To(BeNumerically(">", 4*count(arrivals, 0, change, isGrowing)))

		noisiest := ""
		for _, m := range noisy(load) {
			if m.RateFactor != nil {
				noisiest = m.Member
			}
		}
		isNoisy := func(a Arrival) bool { return a.Member == noisiest }
		rate := count(draw("noisy"), load.Warmup, end, isNoisy)
		share := count(draw("steady"), load.Warmup, end, isNoisy)
		g.Expect(rate / share).To(BeNumerically("~", noisyFactor, 0.25*noisyFactor))
	}
}

// Guards against counting a late, truncated or failed call as in time.
func TestInTime(t *testing.T) {
	targets := map[string]Targets{"m": {FirstToken: 300 * time.Millisecond, BetweenTokens: 27 * time.Millisecond}}
	good := Observation{
		Arrival: Arrival{Kind: ModelCall, Model: "m"}, Complete: true,
		FirstToken: 300 * time.Millisecond, BetweenTokens: 27 * time.Millisecond,
	}
	order := Observation{Arrival: Arrival{Kind: OrderCall}, Complete: true, Total: time.Second}
	cases := map[string]struct {
		from    Observation
		change  func(*Observation)
		inTime  bool
		outcome string
	}{
		"at the targets":       {good, func(*Observation) {}, true, "complete"},
		"first token late":     {good, func(o *Observation) { o.FirstToken++ }, false, "complete"},
		"tokens too far apart": {good, func(o *Observation) { o.BetweenTokens++ }, false, "complete"},
		"stream without end":   {good, func(o *Observation) { o.Complete = false }, false, "truncated"},
		"connection broken":    {good, func(o *Observation) { o.Complete, o.Err = false, "reset" }, false, "broken"},
		"refused":              {good, func(o *Observation) { o.Complete, o.Outcome = false, problem.NotRun }, false, "not_run"},
		"order at its target":  {order, func(*Observation) {}, true, "complete"},
		"order late":           {order, func(o *Observation) { o.Total++ }, false, "complete"},
	}
	for name, c := range cases {
		g := NewWithT(t)
		o := c.from
		c.change(&o)
		g.Expect(InTime(o, targets, time.Second)).To(Equal(c.inTime), name)
		g.Expect(outcomeName(o)).To(Equal(c.outcome), name)
	}
}

// Guards against a report that misses a duplicate order, or an order that ran although its caller received not_run.
func TestCheckOrders(t *testing.T) {
	g := NewWithT(t)
	executions := map[string]int{"twice": 2, "despite-not-run": 1, "once": 1, "unknown": 1}
	order := func(id string, outcome problem.Outcome) Observation {
		return Observation{Arrival: Arrival{Kind: OrderCall, OrderID: id}, Outcome: outcome}
	}
	var report Report
	CheckOrders(&report, []Observation{
		order("once", ""), order("twice", ""), order("unknown", problem.Unknown), order("despite-not-run", problem.NotRun),
		order("refused", problem.NotRun), {Arrival: Arrival{Kind: ModelCall, OrderID: "twice"}},
	}, func(id string) int { return executions[id] })
	g.Expect(report.DuplicateOrders).To(Equal(1))
	g.Expect(report.NotRunOrdersThatRan).To(Equal(1))
}

// Guards against counting tokens that a member did not request as an error of the policy.
func TestShareError(t *testing.T) {
	shares := map[string]float64{"a": 3, "b": 1}
	cases := map[string]struct {
		a, b MemberReport
		want float64
	}{
		"tokens divided by shares under overload":        {MemberReport{Tokens: 75, DemandedTokens: 1000}, MemberReport{Tokens: 25, DemandedTokens: 1000}, 0},
		"tokens that an idle member leaves to the other": {MemberReport{Tokens: 10, DemandedTokens: 10}, MemberReport{Tokens: 90, DemandedTokens: 1000}, 0},
		"half of the tokens for a quarter of the shares": {MemberReport{Tokens: 50, DemandedTokens: 1000}, MemberReport{Tokens: 50, DemandedTokens: 1000}, 0.25},
		"a small demand that is not met":                 {MemberReport{Tokens: 0, DemandedTokens: 10}, MemberReport{Tokens: 100, DemandedTokens: 1000}, 0.1},
	}
	for name, c := range cases {
		g := NewWithT(t)
		g.Expect(ShareError(map[string]MemberReport{"a": c.a, "b": c.b}, shares)).To(BeNumerically("~", c.want, 1e-9), name)
	}
}

// Guards against parsing the wrong field, also in a stat file whose command name contains blanks and parentheses.
func TestParseUsage(t *testing.T) {
	g := NewWithT(t)
	stat := "77 (a ) b) S 1 77 77 0 -1 4194560 100 0 0 0 250 150 0 0 20 0 9 0 1 2 3"
	g.Expect(parseCPUTime(stat)).To(Equal(4 * time.Second))
	g.Expect(parseCPUTime("")).To(BeZero())
	g.Expect(parseMaxRSS("VmPeak:\t 900 kB\nVmHWM:\t    40 kB\nVmRSS:\t 30 kB\n")).To(BeEquivalentTo(40 * 1024))
	g.Expect(parseMaxRSS("")).To(BeZero())
}

// Guards against a balancer that distributes calls evenly, which would favour a policy that counts only the calls of
// its own instance, and against calls to an instance that is not ready.
func TestBalancer(t *testing.T) {
	g := NewWithT(t)
	b := NewBalancer([]string{"a", "b", "c"}, 1)
	b.ready[1] = false
	picks := make(map[string]int)
	for range 3000 {
		picks[b.PickAddress("m")]++
	}
	g.Expect(picks["b"]).To(BeZero())
	g.Expect(max(picks["a"], picks["c"])).To(BeNumerically("~", 2000, 150))
}
