package placement

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	"github.com/mulberryglade/mulberryglade/pkg/config"
)

// newFleetState returns a data centre without copies. Each endpoint has two accelerators with memory for about five
// copies in total.
func newFleetState(models, endpoints int, weights config.Deployment) State {
	records := config.Records{Deployment: weights}
	state := State{DataCentre: "kathmandu-a", Demand: make(map[string]Average)}
	for i := range models {
		m := declareModel(fmt.Sprintf("m%04d", i), "1", int64(8+i%25), 1)
		m.MaxCopies = 8
		records.Models = append(records.Models, m)
	}
	for i := range endpoints {
		e := declareEndpoint(fmt.Sprintf("e%04d", i), 50, 50)
		e.MaxConcurrentRequests = 64
		state.Endpoints = append(state.Endpoints, EndpointState{Declaration: &e})
	}
	state.Snapshot = config.NewSnapshot(1, time.Time{}, records)
	return state
}

// demandAt returns one second of a seeded trace. Each model has a base rate with random fluctuation. With shifts, the
// rate rises and falls tenfold at times that differ between models.
func demandAt(random *rand.Rand, models, second int, shifts bool) []Demand {
	rates := make([]Demand, models)
	for i := range rates {
		base := 0.5 + 4*float64(i*7919%100)/100
		if shifts && (second+i*37)/600%6 == 0 {
			base *= 10
		}
		arrivals := math.Max(0, base+math.Sqrt(base)*random.NormFloat64())
		rates[i] = Demand{Model: fmt.Sprintf("m%04d", i), RequestsPerSecond: arrivals, TokensPerSecond: 60 * arrivals}
	}
	return rates
}

// BenchmarkPlan measures the planning time for a data centre with loaded copies. The capacity page quotes it.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ models, endpoints int }{{17, 10}, {170, 40}, {425, 100}, {850, 195}, {1700, 390}} {
		b.Run(fmt.Sprintf("models=%d/endpoints=%d", size.models, size.endpoints), func(b *testing.B) {
			state := newStateInUse(b, size.models, size.endpoints)
			b.ReportAllocs()
			for b.Loop() {
				Weighted{}.Plan(state)
			}
		})
	}
}

// BenchmarkPlanEmpty measures the planning time for a data centre without copies, which needs the longest plan.
func BenchmarkPlanEmpty(b *testing.B) {
	state := newFleetState(1700, 390, config.Deployment{})
	for b.Loop() {
		Weighted{}.Plan(state)
	}
}

func newStateInUse(b *testing.B, models, endpoints int) State {
	state := newFleetState(models, endpoints, config.Deployment{AttainmentWeight: 1, MoveWeight: 1, ConcurrentModelLoads: 12})
	averages := NewAverages()
	random := rand.New(rand.NewPCG(1, 1))
	for second := range 200 {
		averages.Observe(time.Second, demandAt(random, models, second, true))
		state.Demand = averages.Snapshot()
		state = mustApply(b, state, Weighted{}.Plan(state))
	}
	return state
}

func mustApply(b *testing.B, state State, plan Plan) State {
	next, err := applyPlan(state, plan)
	if err != nil {
		b.Fatal(err)
	}
	return next
}

// BenchmarkMoves compares the planners on a trace of one hour. It reports the steps and the requests that meet their
// latency targets, as ratios to those of the baselines. For all planners, loads take effect immediately.
func BenchmarkMoves(b *testing.B) {
	for _, c := range []struct {
		attainment, move float64
		shifts           bool
		endpoints        int
	}{{4, 1, true, 24}, {1, 100, true, 24}, {1, 1000, true, 24}, {1, 4000, true, 24}, {1, 1, false, 24}, {4, 1, true, 15}, {1, 100, true, 15}} {
		weights := config.Deployment{AttainmentWeight: c.attainment, MoveWeight: c.move, ConcurrentModelLoads: 12}
		b.Run(fmt.Sprintf("attainment=%g/move=%g/shifts=%t/endpoints=%d", c.attainment, c.move, c.shifts, c.endpoints), func(b *testing.B) {
			for b.Loop() {
				reactive := runTrace(b, Reactive{}, weights, c.shifts, c.endpoints)
				static := runTrace(b, Static{}, weights, c.shifts, c.endpoints)
				weighted := runTrace(b, Weighted{}, weights, c.shifts, c.endpoints)
				b.ReportMetric(weighted.moves/reactive.moves, "moves/reactive")
				b.ReportMetric(weighted.attained/reactive.attained, "attained/reactive")
				b.ReportMetric(weighted.moves/static.moves, "moves/static")
				b.ReportMetric(weighted.attained/static.attained, "attained/static")
				b.ReportMetric(weighted.moves, "moves")
			}
		})
	}
}

type traceResult struct{ moves, attained float64 }

func runTrace(b *testing.B, planner Planner, weights config.Deployment, shifts bool, endpoints int) traceResult {
	const models, seconds = 60, 3600
	state := newFleetState(models, endpoints, weights)
	averages := NewAverages()
	random := rand.New(rand.NewPCG(7, 7))
	var total traceResult
	for second := range seconds {
		rates := demandAt(random, models, second, shifts)
		averages.Observe(time.Second, rates)
		state.Demand = averages.Snapshot()
		plan := planner.Plan(state)
		state = mustApply(b, state, plan)
		total.moves += float64(len(plan.Steps))
		total.attained += attained(state, rates)
	}
	return total
}

// attained returns the requests of one second that meet their latency targets with the loaded copies.
func attained(state State, rates []Demand) float64 {
	l := newLayout(state)
	sum := 0.0
	for _, rate := range rates {
		m := state.Snapshot.Model(rate.Model)
		copies := l.countEndpoints(artifactNameOf(ModelArtifact(m)), (*artifactCopy).serving)
		sum += modelDemandOf(rate.RequestsPerSecond, rate.TokensPerSecond, m).attainedRequests(copies, concurrencyPerCopy(m, l.byService[m.Service]))
	}
	return sum
}

// BenchmarkOrderCalls counts the store calls per order of a lease holder that loads copies on empty endpoints.
func BenchmarkOrderCalls(b *testing.B) {
	for _, models := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("orders=%d", models), func(b *testing.B) {
			for b.Loop() {
				var records config.Records
				for i := range models {
					records.Models = append(records.Models, declareModel(fmt.Sprintf("m%04d", i), "1", 20, 1))
				}
				for i := range (models + 3) / 4 {
					records.Endpoints = append(records.Endpoints, declareEndpoint(fmt.Sprintf("e%04d", i), 100))
				}
				f := newControllerFixture(Static{}, records)
				before := storeCalls(f.store)
				ctx, cancel := context.WithCancel(context.Background())
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					_ = f.Run(ctx)
				}()
				for len(f.engines.sent()) < models {
					time.Sleep(time.Millisecond)
				}
				cancel()
				<-ended
				after := storeCalls(f.store)
				b.ReportMetric((after.writes-before.writes)/float64(models), "writes/order")
				b.ReportMetric((after.reads-before.reads)/float64(models), "reads/order")
			}
		})
	}
}

// callCounts are numbers of store calls.
type callCounts struct{ reads, writes float64 }

func storeCalls(store *kv.Memory) callCounts {
	return callCounts{
		reads:  float64(store.Faults.Count(kv.CallGet) + store.Faults.Count(kv.CallRange)),
		writes: float64(store.Faults.Count(kv.CallCommit)),
	}
}
