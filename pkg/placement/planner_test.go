package placement

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/ledger"
)

func TestPlacement(t *testing.T) {
	testkit.RunSpecs(t, "placement")
}

// plannerInput is a short form of a planner's input.
type plannerInput struct {
	// endpoints have the form "name memory: artifact@version*bytes ..." and one accelerator each. "~" after the version
	// marks a load in progress. A leading "-" marks a leaving endpoint, a leading "?" an unreachable one. Adapters are
	// in parentheses.
	endpoints []string
	models    []config.Model
	adapters  []config.Adapter
	demand    map[string]Average
	weights   config.Deployment
}

func (input plannerInput) state() State {
	records := config.Records{Deployment: input.weights, Models: input.models, Adapters: input.adapters}
	state := State{DataCentre: "kathmandu-a", Demand: input.demand}
	for _, line := range input.endpoints {
		head, reservations, _ := strings.Cut(line, ":")
		var prefixedName string
		var memory int64
		_, _ = fmt.Sscan(head, &prefixedName, &memory)
		e := declareEndpoint(strings.TrimLeft(prefixedName, "-?"), memory)
		endpoint := EndpointState{Declaration: &e, Leaving: prefixedName[0] == '-', Unreachable: prefixedName[0] == '?'}
		for _, word := range strings.Fields(reservations) {
			endpoint.Record.Reservations = append(endpoint.Record.Reservations, parseReservation(word))
		}
		state.Endpoints = append(state.Endpoints, endpoint)
	}
	state.Snapshot = config.NewSnapshot(1, time.Time{}, records)
	return state
}

func parseReservation(word string) ledger.Reservation {
	r := ledger.Reservation{Accelerators: []int{0}, State: ledger.Loaded, Artifact: artifact(engine.KindModel, "", "")}
	if strings.HasPrefix(word, "(") {
		word = strings.Trim(word, "()")
		r.Artifact.Kind = engine.KindAdapter
		r.Base, _, _ = strings.Cut(word, "-")
	}
	named, size, _ := strings.Cut(word, "*")
	_, _ = fmt.Sscan(size, &r.BytesPerAccelerator)
	if strings.HasSuffix(named, "~") {
		named, r.State = strings.TrimSuffix(named, "~"), ledger.Loading
	}
	r.Artifact.Name, r.Artifact.Version, _ = strings.Cut(named, "@")
	return r
}

func shortSteps(plan Plan) []string {
	steps := []string{}
	for _, s := range plan.Steps {
		short := fmt.Sprintf("%s %s@%s on %s", s.Kind, s.Artifact.Name, s.Artifact.Version, s.Endpoint)
		if s.Kind == StepSetRole {
			short = "set_role " + s.Role + " on " + s.Endpoint
		}
		if s.Witness != "" {
			short += " while " + s.Witness
		}
		steps = append(steps, short)
	}
	return steps
}

func modelList(models ...config.Model) []config.Model { return models }

func withOtherService(m config.Model) config.Model {
	m.Service = "order-desk"
	return m
}

var expensiveMoves = config.Deployment{AttainmentWeight: 1, MoveWeight: 1e6}

// One copy is planned for six concurrent requests. The slow rates use all six. The fast rates of fluctuatingDemand are
// slightly higher, those of shiftedDemand tenfold.
var (
	fluctuatingDemand = Average{FastRequests: 3.5, SlowRequests: 3, FastTokens: 210, SlowTokens: 180}
	shiftedDemand     = Average{FastRequests: 30, SlowRequests: 3, FastTokens: 1800, SlowTokens: 180}
)

// Guards against plans with a missing, unnecessary or forbidden step, and against different plans for the same input.
var _ = ginkgo.DescribeTable("Weighted plans",
	func(input plannerInput, want []string, unplaced int) {
		plan := Weighted{}.Plan(input.state())
		gomega.Expect(shortSteps(plan)).To(gomega.Equal(want))
		gomega.Expect(plan.Unplaced).To(gomega.HaveLen(unplaced))
		gomega.Expect(Weighted{}.Plan(input.state())).To(gomega.Equal(plan), "deterministic")
	},
	ginkgo.Entry("the new version beside the old one", plannerInput{endpoints: []string{"e1 100: menus@1*45"},
		models: modelList(declareModel("menus", "2", 50, 1))}, []string{"load menus@2 on e1"}, 0),
	ginkgo.Entry("nothing while the new version loads", plannerInput{endpoints: []string{"e1 100: menus@1*45 menus@2~*50"},
		models: modelList(declareModel("menus", "2", 50, 1))}, []string{}, 0),
	ginkgo.Entry("to unload the old version when the new one serves", plannerInput{endpoints: []string{"e1 100: menus@1*45 menus@2*50"},
		models: modelList(declareModel("menus", "2", 50, 1))}, []string{"unload menus@1 on e1"}, 0),
	ginkgo.Entry("a version change through another endpoint", plannerInput{endpoints: []string{"e1 100: menus@1*60", "e2 100:"},
		models: modelList(declareModel("menus", "2", 60, 1))}, []string{"load menus@2 on e2"}, 0),
	ginkgo.Entry("to unload the old version while another endpoint serves", plannerInput{endpoints: []string{"e1 100: menus@1*60", "e2 100: menus@2*60"},
		models: modelList(declareModel("menus", "2", 60, 1))}, []string{"unload menus@1 on e1 while e2"}, 0),
	ginkgo.Entry("to keep an old version that nothing can replace", plannerInput{endpoints: []string{"e1 100: menus@1*60"},
		models: modelList(declareModel("menus", "2", 60, 1))}, []string{}, 1),
	ginkgo.Entry("a swap in place while the second copy serves", plannerInput{endpoints: []string{"e1 100: menus@1*60", "e2 100: menus@1*60"},
		models: modelList(declareModel("menus", "2", 60, 2))}, []string{"unload menus@1 on e1 while e2", "load menus@2 on e1"}, 0),
	ginkgo.Entry("a leaving endpoint's copy elsewhere", plannerInput{endpoints: []string{"-e1 100: menus@1*60", "e2 100:"},
		models: modelList(declareModel("menus", "1", 60, 1))}, []string{"load menus@1 on e2"}, 0),
	ginkgo.Entry("an unreachable endpoint's copy elsewhere", plannerInput{endpoints: []string{"?e1 100: menus@1*60", "e2 100:"},
		models: modelList(declareModel("menus", "1", 60, 1))}, []string{"load menus@1 on e2"}, 0),
	ginkgo.Entry("a waiting model in place of the least valuable spare copy", plannerInput{
		endpoints: []string{"e1 100: menus@1*60 notes@1*40", "e2 100: notes@1*40 menus@1*60"},
		models:    modelList(declareModel("menus", "1", 60, 1), declareModel("notes", "1", 40, 1), declareModel("orders", "1", 40, 1)),
		demand:    map[string]Average{"menus": shiftedDemand, "notes": {}, "orders": {Waiting: 3}},
	}, []string{"unload notes@1 on e1 while e2", "load orders@1 on e1"}, 0),
	ginkgo.Entry("a move that frees memory for a larger model", plannerInput{endpoints: []string{"e1 60: notes@1*40", "e2 40:"},
		models: modelList(declareModel("notes", "1", 40, 1), declareModel("large", "1", 60, 1))}, []string{"load notes@1 on e2"}, 0),
	ginkgo.Entry("an unload and a load after a move that frees memory", plannerInput{endpoints: []string{"e1 60: notes@1*40", "e2 40: notes@1*40"},
		models: modelList(declareModel("notes", "1", 40, 1), declareModel("large", "1", 60, 1))},
		[]string{"unload notes@1 on e1 while e2", "load large@1 on e1"}, 0),
	ginkgo.Entry("never to unload a last copy", plannerInput{endpoints: []string{"e1 60: notes@1*40"},
		models: modelList(declareModel("notes", "1", 40, 1), declareModel("large", "1", 60, 1)),
		demand: map[string]Average{"large": {Waiting: 9}}}, []string{}, 1),
	ginkgo.Entry("never to unload the model of an adapter's last copy", plannerInput{
		endpoints: []string{"e1 60: menus@1*40 (menus-ilam@1*5)", "e2 60: menus@1*40 notes@1*20"},
		models:    modelList(declareModel("menus", "1", 40, 1), declareModel("notes", "1", 20, 1), declareModel("orders", "1", 40, 1)),
		adapters:  []config.Adapter{declareAdapter("menus-ilam", "menus", 5)},
	}, []string{"unload menus@1 on e2 while e1", "load orders@1 on e2"}, 0),
	ginkgo.Entry("an adapter where its model serves", plannerInput{endpoints: []string{"e1 60: notes@1*40", "e2 60: menus@1*40"},
		models:   modelList(declareModel("menus", "1", 40, 1), declareModel("notes", "1", 40, 1)),
		adapters: []config.Adapter{declareAdapter("menus-ilam", "menus", 5)}}, []string{"load menus-ilam@1 on e2"}, 0),
	ginkgo.Entry("a second copy of a busy adapter", plannerInput{endpoints: []string{"e1 60: menus@1*40 (menus-ilam@1*5)", "e2 60: menus@1*40"},
		models: modelList(declareModel("menus", "1", 40, 1)), adapters: []config.Adapter{declareAdapter("menus-ilam", "menus", 5)},
		demand: map[string]Average{"menus-ilam": shiftedDemand}}, []string{"load menus-ilam@1 on e2"}, 0),
	ginkgo.Entry("nothing for models of services without endpoints here", plannerInput{endpoints: []string{"e1 60:"},
		models: []config.Model{withOtherService(declareModel("menus", "1", 40, 1))}, adapters: []config.Adapter{declareAdapter("menus-ilam", "menus", 5)}}, []string{}, 0),
	ginkgo.Entry("to unload what is no longer declared, adapters first", plannerInput{endpoints: []string{"e1 60: menus@1*40 (menus-ilam@1*5)"}},
		[]string{"unload menus-ilam@1 on e1", "unload menus@1 on e1"}, 0),
	ginkgo.Entry("copies for a shift of demand", plannerInput{endpoints: []string{"e1 60: menus@1*40", "e2 60:", "e3 60:"},
		models: modelList(declareModel("menus", "1", 40, 1)), demand: map[string]Average{"menus": shiftedDemand}},
		[]string{"load menus@1 on e2", "load menus@1 on e3"}, 0),
	ginkgo.Entry("nothing for random fluctuations", plannerInput{endpoints: []string{"e1 60: menus@1*40", "e2 60:"},
		models: modelList(declareModel("menus", "1", 40, 1)), demand: map[string]Average{"menus": fluctuatingDemand}}, []string{}, 0),
	ginkgo.Entry("nothing for a shift when moves weigh more", plannerInput{endpoints: []string{"e1 60: menus@1*40", "e2 60:"}, weights: expensiveMoves,
		models: modelList(declareModel("menus", "1", 40, 1)), demand: map[string]Average{"menus": shiftedDemand}}, []string{}, 0),
	ginkgo.Entry("no unload of idle copies that nothing else needs", plannerInput{endpoints: []string{"e1 60: menus@1*40", "e2 60: menus@1*40"},
		models: modelList(declareModel("menus", "1", 40, 1))}, []string{}, 0),
)

// applyPlan carries out the steps immediately on a copy of the state. It returns an error for a step that breaks a
// rule.
func applyPlan(state State, plan Plan) (State, error) {
	next := state
	next.Endpoints = nil
	for _, e := range state.Endpoints {
		e.Record = e.Record.Clone()
		next.Endpoints = append(next.Endpoints, e)
	}
	for _, step := range plan.Steps {
		index := slices.IndexFunc(next.Endpoints, func(e EndpointState) bool { return e.Declaration.Name == step.Endpoint })
		if err := applyStep(next, &next.Endpoints[index], step); err != nil {
			return next, fmt.Errorf("%s: %w", step, err)
		}
	}
	return next, nil
}

func applyStep(state State, e *EndpointState, step Step) error {
	if !e.usable() {
		return fmt.Errorf("order for a leaving or unreachable endpoint")
	}
	if step.Kind == StepUnload {
		before := len(e.Record.Reservations)
		e.Record.Reservations = slices.DeleteFunc(e.Record.Reservations, func(r ledger.Reservation) bool { return r.Artifact == step.Artifact })
		if before == len(e.Record.Reservations) || !step.Withdrawn && newLayout(state).countEndpoints(artifactNameOf(step.Artifact), (*artifactCopy).servingOrLoading) == 0 {
			return fmt.Errorf("artifact is the last copy or is not loaded")
		}
		return nil
	}
	target := newLayout(State{Snapshot: state.Snapshot, Endpoints: []EndpointState{*e}}).endpoints[0]
	count := max(step.AcceleratorCount, 1)
	bytesEach := ledger.SplitBytes(step.Bytes, count)
	accelerators := target.pickAccelerators(count, bytesEach)
	if accelerators == nil {
		return fmt.Errorf("artifact does not fit")
	}
	e.Record.Reservations = append(e.Record.Reservations, ledger.Reservation{
		Artifact: step.Artifact, Base: step.Base, Accelerators: accelerators, BytesPerAccelerator: bytesEach, State: ledger.Loaded,
	})
	return nil
}

// Guards against plans that overcommit memory, unload a last copy or send orders to leaving endpoints, and against
// plans that alternate without end while the demand is constant.
func TestPlansKeepInvariantsAndConverge(t *testing.T) {
	// A plan takes far less time than a simulated interleaving, so this test checks more states.
	defaultChecks := flag.Lookup("rapid.checks").Value.String()
	gomega.NewWithT(t).Expect(flag.Set("rapid.checks", "5000")).To(gomega.Succeed())
	defer func() { _ = flag.Set("rapid.checks", defaultChecks) }()
	rapid.Check(t, func(t *rapid.T) {
		state := drawState(t)
		var history []string
		for round := 0; ; round++ {
			plan := Weighted{}.Plan(state)
			if len(plan.Steps) == 0 {
				return
			}
			if round == 60 {
				t.Fatalf("plans do not converge: %s", strings.Join(history, "\n"))
			}
			history = append(history, fmt.Sprint(plan.Steps))
			next, err := applyPlan(state, plan)
			if err != nil {
				t.Fatal(err)
			}
			state = next
		}
	})
}

func drawState(t *rapid.T) State {
	input := plannerInput{weights: config.Deployment{AttainmentWeight: 1, MoveWeight: rapid.Float64Range(0, 100).Draw(t, "move weight")}}
	input.weights.ConcurrentModelLoads = rapid.IntRange(0, 4).Draw(t, "load limit")
	input.demand = make(map[string]Average)
	for i := range rapid.IntRange(1, 8).Draw(t, "models") {
		name := fmt.Sprintf("m%d", i)
		version := rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")
		input.models = append(input.models, declareModel(name, version, rapid.Int64Range(10, 60).Draw(t, "bytes"), rapid.IntRange(0, 2).Draw(t, "minimum")))
		rate := rapid.Float64Range(0, 20).Draw(t, "rate")
		input.demand[name] = Average{FastRequests: rate, SlowRequests: rate, FastTokens: 60 * rate, SlowTokens: 60 * rate, Waiting: rapid.IntRange(0, 2).Draw(t, "waiting")}
		if rapid.Bool().Draw(t, "has adapter") {
			input.adapters = append(input.adapters, declareAdapter(name+"-a", name, 2))
			input.demand[name+"-a"] = input.demand[name]
		}
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "endpoints") {
		input.endpoints = append(input.endpoints, fmt.Sprintf("%se%d %d:", rapid.SampledFrom([]string{"", "", "", "-", "?"}).Draw(t, "status"), i, rapid.IntRange(40, 130).Draw(t, "memory")))
	}
	state := input.state()
	for i := range state.Endpoints {
		m := rapid.SampledFrom(input.models).Draw(t, "loaded")
		if m.WeightBytes <= state.Endpoints[i].Declaration.Accelerators[0].MemoryBytes {
			state.Endpoints[i].Record.Reservations = []ledger.Reservation{parseReservation(fmt.Sprintf("%s@1*%d", m.Name, m.WeightBytes))}
		}
	}
	return state
}

// Guards against a demand shift that is detected only after minutes, and against loads for random fluctuations.
func TestPlannerReactsToShiftsWithinSecondsAndIgnoresFluctuations(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	random := rand.New(rand.NewPCG(3, 3))
	averages := NewAverages()
	state := plannerInput{endpoints: []string{"e1 60: menus@1*40", "e2 60:", "e3 60:"}, models: modelList(declareModel("menus", "1", 40, 1))}.state()
	observe := func(mean float64) []string {
		rate := math.Max(0, mean+math.Sqrt(mean)*random.NormFloat64())
		averages.Observe(time.Second, []Demand{{Model: "menus", RequestsPerSecond: rate, TokensPerSecond: 60 * rate}})
		state.Demand = averages.Snapshot()
		return shortSteps(Weighted{}.Plan(state))
	}
	for range 3600 {
		expect(observe(2)).To(gomega.BeEmpty())
	}
	seconds := 1
	for len(observe(20)) == 0 {
		seconds++
	}
	expect(seconds).To(gomega.BeNumerically("<=", 3))
}
