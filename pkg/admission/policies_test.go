package admission_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/pkg/admission"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

// seeds generate the traces on which policies are compared.
var seeds = []uint64{1, 2, 3, 4, 5}

func twoMembers() config.Records {
	return config.Records{
		Deployment: config.Deployment{QueueRequests: 500, QueueBytes: 1 << 30},
		Members: []config.Member{
			{Header: config.Header{Name: "quiet"}, Share: 1},
			{Header: config.Header{Name: "noisy"}, Share: 1},
		},
		Models: []config.Model{{Header: config.Header{Name: "m"}, Service: "s", AcceleratorsPerCopy: 1}},
	}
}

func controller(s *testEnv) admission.Gate { return s.controller }

// singleMemberGate assigns all calls to one member, so that they start in order of arrival.
type singleMemberGate struct{ admission.Gate }

func (g singleMemberGate) Acquire(ctx context.Context, r scheduling.Request) (admission.Ticket, error) {
	r.Member = "all"
	return g.Gate.Acquire(ctx, r)
}

func arrivalOrderGate(s *testEnv) admission.Gate { return singleMemberGate{s.controller} }

// capacityCallsPerSecond approximates the rate at which two engines with full batches finish calls of 200 input and 100
// output tokens on average: 16 calls per 0.05 s + 100 * 16 ms.
const capacityCallsPerSecond = 9.5

// Guards against a noisy member that lowers a quiet member's attainment by more than two percentage points compared
// with the quiet member alone on its share of the endpoints.
func TestNoisyMemberDoesNotAffectQuietOne(t *testing.T) {
	for _, seed := range seeds {
		g := NewWithT(t)
		quiet := load{member: "quiet", callsPerSecond: 0.6 * capacityCallsPerSecond, deadline: 8 * time.Second, inputTokens: 200, outputTokens: 100}
		noisy := quiet
		noisy.member, noisy.callsPerSecond = "noisy", 100*capacityCallsPerSecond
		const length = 10 * time.Second
		alone := simulate(t, 2, twoMembers(), drawArrivals(seed, length, []load{quiet}), controller)
		both := drawArrivals(seed, length, []load{quiet, noisy})
		fair := simulate(t, 4, twoMembers(), both, controller)
		fcfs := simulate(t, 4, twoMembers(), both, arrivalOrderGate)
		t.Logf("seed %d: quiet member's attainment alone %.3f, fair share %.3f, FCFS %.3f; calls in time %d fair, %d FCFS", seed,
			alone.attainment("quiet"), fair.attainment("quiet"), fcfs.attainment("quiet"), fair.totalInTime(), fcfs.totalInTime())
		t.Logf("fair late %v refused %v", fair.lateByMember, fair.refused)
		g.Expect(fair.attainment("quiet")).To(BeNumerically(">=", alone.attainment("quiet")-0.02))
	}
}

// Guards against a collapse of goodput under overload: at 3 times the capacity it must stay within 5% of the goodput at
// capacity and exceed that of the FIFO baseline.
func TestGoodputUnderOverload(t *testing.T) {
	for _, seed := range seeds {
		g := NewWithT(t)
		const length = 40 * time.Second
		run := func(factor float64, p policy) *simResult {
			l := load{member: "quiet", callsPerSecond: factor * 2 * capacityCallsPerSecond, deadline: 6 * time.Second, inputTokens: 200, outputTokens: 100}
			return simulate(t, 4, twoMembers(), drawArrivals(seed, length, []load{l}), p)
		}
		atCapacity, overloaded := run(1, controller), run(3, controller)
		atCapacityFIFO, overloadedFIFO := run(1, fifo), run(3, fifo)
		t.Logf("seed %d: calls in time at 1x and 3x: admission %d, %d (late %d, %d; refused %v, %v); FIFO %d, %d (late %d, %d)",
			seed, atCapacity.totalInTime(), overloaded.totalInTime(), atCapacity.late, overloaded.late, atCapacity.refused, overloaded.refused,
			atCapacityFIFO.totalInTime(), overloadedFIFO.totalInTime(), atCapacityFIFO.late, overloadedFIFO.late)
		g.Expect(float64(overloaded.totalInTime())).To(BeNumerically(">=", 0.95*float64(atCapacity.totalInTime())))
		g.Expect(overloaded.totalInTime()).To(BeNumerically(">", overloadedFIFO.totalInTime()))
	}
}

// roundRobin picks candidates in turn, without regard to their cost.
type roundRobin struct{ next int }

func (p *roundRobin) Sample(_ *scheduling.Request, _ []endpoints.State, passed []int) []int {
	return passed
}

func (p *roundRobin) Pick(candidates []scheduling.Candidate) int {
	p.next++
	return p.next % len(candidates)
}

// Guards against default routing that is no better than policies that ignore cached prefixes and prefill time.
func TestRoutingByFirstToken(t *testing.T) {
	for _, seed := range seeds {
		g := NewWithT(t)
		l := load{
			member: "quiet", callsPerSecond: 16, deadline: 20 * time.Second, inputTokens: 1224, outputTokens: 60, prefixes: 40, prefixBlocks: 16,
		}
		arrivals := drawArrivals(seed, 40*time.Second, []load{l})
		run := func(r routingConfig) time.Duration {
			return simulateRouting(t, 6, twoMembers(), arrivals, controller, r).firstTokenP95()
		}
		leastInFlight := []scheduling.WeightedScorer{{Scorer: scheduling.LeastInFlight(), Weight: 1}}
		costP95 := run(defaultRouting())
		roundRobinP95 := run(routingConfig{scorers: leastInFlight, picker: &roundRobin{}})
		leastInFlightP95 := run(routingConfig{scorers: leastInFlight, picker: scheduling.NewPicker(64, nil, 1)})
		t.Logf("seed %d: time to first token p95: cost %v, round robin %v, least in flight %v", seed, costP95, roundRobinP95, leastInFlightP95)
		g.Expect(costP95).To(BeNumerically("<", roundRobinP95))
		g.Expect(costP95).To(BeNumerically("<", leastInFlightP95))
	}
}

// exchangeUntil sends each instance's state to the other once a second. The instances are partitioned after the given
// time.
func exchangeUntil(connectedFor time.Duration) func(a, b *testEnv) func() {
	return func(a, b *testEnv) func() {
		stop, done := make(chan struct{}), make(chan struct{})
		startedAt := time.Now()
		go func() {
			defer close(done)
			for {
				if time.Since(startedAt) <= connectedFor {
					a.registry.MergePeerLoads("b", b.registry.LocalLoads())
					a.shares.MergePeerUsages("b", b.shares.LocalUsages())
					b.registry.MergePeerLoads("a", a.registry.LocalLoads())
					b.shares.MergePeerUsages("a", a.shares.LocalUsages())
				}
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
			}
		}()
		return func() {
			close(stop)
			<-done
		}
	}
}

// memberRouter sends the quiet member's calls to the second instance.
type memberRouter struct{ quiet, others admission.Gate }

func (g memberRouter) Acquire(ctx context.Context, r scheduling.Request) (admission.Ticket, error) {
	if r.Member == "quiet" {
		return g.quiet.Acquire(ctx, r)
	}
	return g.others.Acquire(ctx, r)
}

// Guards against a noisy member at one instance that keeps calls of a quiet member at another instance from starting.
// The instances are connected all the time, partitioned from the start, or partitioned half way.
func TestNoisyMemberAtAnotherInstance(t *testing.T) {
	const length = 10 * time.Second
	quiet := load{member: "quiet", callsPerSecond: 0.6 * capacityCallsPerSecond, deadline: 8 * time.Second, inputTokens: 200, outputTokens: 100}
	noisy := quiet
	noisy.member, noisy.callsPerSecond = "noisy", 20*capacityCallsPerSecond
	for _, connected := range []time.Duration{time.Hour, 0, length / 2} {
		for _, seed := range seeds {
			g := NewWithT(t)
			alone := simulate(t, 2, twoMembers(), drawArrivals(seed, length, []load{quiet}), controller)
			r := defaultRouting()
			r.secondInstance = exchangeUntil(connected)
			both := simulateRouting(t, 4, twoMembers(), drawArrivals(seed, length, []load{quiet, noisy}),
				func(s *testEnv) admission.Gate {
					return memberRouter{quiet: s.secondInstance.controller, others: s.controller}
				}, r)
			t.Logf("connected for %v, seed %d: quiet member's attainment alone %.3f, shared %.3f; in time %v late %v", connected, seed,
				alone.attainment("quiet"), both.attainment("quiet"), both.inTime, both.lateByMember)
			g.Expect(both.attainment("quiet")).To(BeNumerically(">=", alone.attainment("quiet")-0.02))
		}
	}
}
