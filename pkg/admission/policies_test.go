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

// seeds are the traces on which policies are compared.
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

func controller(s *system) admission.Gate { return s.controller }

// oneQueue makes the controller serve all members in order of arrival.
type oneQueue struct{ admission.Gate }

func (g oneQueue) Acquire(ctx context.Context, r scheduling.Request) (admission.Ticket, error) {
	r.Member = "all"
	return g.Gate.Acquire(ctx, r)
}

func inOrderOfArrival(s *system) admission.Gate { return oneQueue{s.controller} }

// capacityPerSecond is about the number of calls of 200 input and 100 output tokens on average that two engines with full
// batches finish in a second: 16 calls of 0.05 s + 100 * 16 ms.
const capacityPerSecond = 9.5

// Guards against a noisy member that changes a quiet member's attainment by more than two points against running alone on
// its share.
func TestNoisyMemberDoesNotAffectQuietOne(t *testing.T) {
	for _, seed := range seeds {
		g := NewWithT(t)
		quiet := load{member: "quiet", perSec: 0.6 * capacityPerSecond, deadline: 8 * time.Second, input: 200, output: 100}
		noisy := quiet
		noisy.member, noisy.perSec = "noisy", 100*capacityPerSecond
		const length = 10 * time.Second
		alone := simulate(t, 2, twoMembers(), trace(seed, length, []load{quiet}), controller)
		both := trace(seed, length, []load{quiet, noisy})
		fair := simulate(t, 4, twoMembers(), both, controller)
		fcfs := simulate(t, 4, twoMembers(), both, inOrderOfArrival)
		t.Logf("seed %d: quiet member's attainment alone %.3f, fair share %.3f, FCFS %.3f; calls in time %d fair, %d FCFS", seed,
			alone.attainment("quiet"), fair.attainment("quiet"), fcfs.attainment("quiet"), fair.total(), fcfs.total())
		t.Logf("fair late %v refused %v", fair.lateBy, fair.refused)
		g.Expect(fair.attainment("quiet")).To(BeNumerically(">=", alone.attainment("quiet")-0.02))
	}
}

// Guards against goodput that collapses under overload: at 3 times capacity it stays within 5% of that at capacity.
func TestGoodputUnderOverload(t *testing.T) {
	for _, seed := range seeds {
		g := NewWithT(t)
		const length = 40 * time.Second
		run := func(factor float64, p policy) *outcome {
			l := load{member: "quiet", perSec: factor * 2 * capacityPerSecond, deadline: 6 * time.Second, input: 200, output: 100}
			return simulate(t, 4, twoMembers(), trace(seed, length, []load{l}), p)
		}
		one, three := run(1, controller), run(3, controller)
		oneFIFO, threeFIFO := run(1, fifo), run(3, fifo)
		t.Logf("seed %d: calls in time at 1x and 3x: admission %d, %d (late %d, %d; refused %v, %v); FIFO %d, %d (late %d, %d)",
			seed, one.total(), three.total(), one.late, three.late, one.refused, three.refused,
			oneFIFO.total(), threeFIFO.total(), oneFIFO.late, threeFIFO.late)
		g.Expect(float64(three.total())).To(BeNumerically(">=", 0.95*float64(one.total())))
		g.Expect(three.total()).To(BeNumerically(">", threeFIFO.total()))
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

// Guards against routing that does no better than policies that ignore cached prefixes and prefill time.
func TestRoutingByFirstToken(t *testing.T) {
	for _, seed := range seeds {
		g := NewWithT(t)
		l := load{
			member: "quiet", perSec: 16, deadline: 20 * time.Second, input: 1224, output: 60, prefixes: 40, prefixBlocks: 16,
		}
		arrivals := trace(seed, 40*time.Second, []load{l})
		run := func(r routing) time.Duration {
			return simulateRouting(t, 6, twoMembers(), arrivals, controller, r).firstTokenP95()
		}
		leastInFlight := []scheduling.Weighted{{Scorer: scheduling.LeastInFlight(), Weight: 1}}
		byCost := run(defaultRouting())
		turns := run(routing{scorers: leastInFlight, picker: &roundRobin{}})
		least := run(routing{scorers: leastInFlight, picker: scheduling.NewPicker(64, nil, 1)})
		t.Logf("seed %d: time to first token p95: cost %v, round robin %v, least in flight %v", seed, byCost, turns, least)
		g.Expect(byCost).To(BeNumerically("<", turns))
		g.Expect(byCost).To(BeNumerically("<", least))
	}
}

// exchangeUntil sends each instance's state to the other once a second, until the given time, after which they are
// partitioned.
func exchangeUntil(end time.Duration) func(a, b *system) func() {
	return func(a, b *system) func() {
		stop, done := make(chan struct{}), make(chan struct{})
		began := time.Now()
		go func() {
			defer close(done)
			for {
				if time.Since(began) <= end {
					a.registry.SetPeer("b", b.registry.Local())
					a.shares.SetPeer("b", b.shares.Local())
					b.registry.SetPeer("a", a.registry.Local())
					b.shares.SetPeer("a", a.shares.Local())
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

// byMember sends the quiet member's calls to the second instance.
type byMember struct{ quiet, others admission.Gate }

func (g byMember) Acquire(ctx context.Context, r scheduling.Request) (admission.Ticket, error) {
	if r.Member == "quiet" {
		return g.quiet.Acquire(ctx, r)
	}
	return g.others.Acquire(ctx, r)
}

// Guards against a noisy member at one instance that keeps the calls of a quiet member at another out of the endpoints,
// with current in-flight counts and when the instances are partitioned from the start or half way.
func TestNoisyMemberAtAnotherInstance(t *testing.T) {
	const length = 10 * time.Second
	quiet := load{member: "quiet", perSec: 0.6 * capacityPerSecond, deadline: 8 * time.Second, input: 200, output: 100}
	noisy := quiet
	noisy.member, noisy.perSec = "noisy", 20*capacityPerSecond
	for _, connected := range []time.Duration{time.Hour, 0, length / 2} {
		for _, seed := range seeds {
			g := NewWithT(t)
			alone := simulate(t, 2, twoMembers(), trace(seed, length, []load{quiet}), controller)
			r := defaultRouting()
			r.second = exchangeUntil(connected)
			both := simulateRouting(t, 4, twoMembers(), trace(seed, length, []load{quiet, noisy}),
				func(s *system) admission.Gate { return byMember{quiet: s.second.controller, others: s.controller} }, r)
			t.Logf("connected for %v, seed %d: quiet member's attainment alone %.3f, shared %.3f; in time %v late %v", connected, seed,
				alone.attainment("quiet"), both.attainment("quiet"), both.inTime, both.lateBy)
			g.Expect(both.attainment("quiet")).To(BeNumerically(">=", alone.attainment("quiet")-0.02))
		}
	}
}
