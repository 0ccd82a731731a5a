package residency

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

// testEngine has memory for three models and slots for eight adapters, like the engines of the present deployments.
func testEngine(models int) *routing.Engine {
	e := &routing.Engine{
		MemoryMB: 230_000, AdapterSlots: 8, LoadsPerSecond: 1.1,
		Models: make(map[string]*routing.Model),
	}
	for i := range models {
		name := fmt.Sprintf("m%02d", i)
		e.Models[name] = &routing.Model{
			Name: name, WeightsMB: 72_700, AdapterMB: 66, AdapterCount: 28,
			FromStore: 9 * time.Second, FromDisk: 2400 * time.Millisecond, FromMemory: 1200 * time.Millisecond,
		}
	}
	return e
}

func endpointWith(id string, models ...string) EndpointState {
	e := EndpointState{Announcement: fleet.Announcement{ID: id, Slots: 64}}
	for _, m := range models {
		e.Models = append(e.Models, fleet.HeldModel{Name: m})
	}
	return e
}

func modelOrders(orders []Order) []Order {
	return slices.DeleteFunc(slices.Clone(orders), func(o Order) bool { return o.Adapter != "" })
}

// At the highest load, demand shifts: a model with one copy gets most of the requests, and a rare model has no copy.
// Guards against loading the rare model first, although its requests can wait. Counting demand per copy has that
// effect.
func TestShiftLoadsTheHotModelFirst(t *testing.T) {
	in := &Input{
		Engine: testEngine(5),
		Endpoints: []EndpointState{
			endpointWith("e1", "m00", "m01"),
			endpointWith("e2", "m02"),
		},
		Demand: map[string]ModelDemand{
			"m00": {Load: 2.5, Forecast: 3, RequestRate: 20},
			"m04": {Load: 0.03, Forecast: 0.03, RequestRate: 0.2},
		},
		StoreLoadsAllowed: 1,
	}
	orders := modelOrders(Plan(in))
	if len(orders) != 1 || orders[0].Model != "m00" || orders[0].Endpoint != "e2" || orders[0].Verb != Load {
		t.Fatalf("orders are %+v", orders)
	}
}

// Guards against never reloading a model whose only copy crashed under load: the model's load alone may make a copy at
// any engine appear worse than no copy.
func TestModelWithoutACopyIsLoadedHoweverLargeItsLoad(t *testing.T) {
	for _, load := range []float64{0.01, 1, 20} {
		in := &Input{
			Engine:            testEngine(3),
			Endpoints:         []EndpointState{endpointWith("e1", "m00")},
			Demand:            map[string]ModelDemand{"m02": {Load: load, Forecast: load, RequestRate: 1, Waiting: 1}},
			StoreLoadsAllowed: 1,
		}
		if orders := modelOrders(Plan(in)); len(orders) != 1 || orders[0].Model != "m02" {
			t.Errorf("load %v: orders are %+v", load, orders)
		}
	}
}

// Guards against a hot model displacing the last copy of another model: every model stays available.
func TestLastCopiesStay(t *testing.T) {
	in := &Input{
		Engine: testEngine(6),
		Endpoints: []EndpointState{
			endpointWith("e1", "m00", "m01", "m02"),
			endpointWith("e2", "m03", "m04", "m05"),
		},
		Demand:            map[string]ModelDemand{"m00": {Load: 4, Forecast: 5, RequestRate: 30}},
		StoreLoadsAllowed: 5,
	}
	if orders := modelOrders(Plan(in)); len(orders) != 0 {
		t.Fatalf("orders are %+v", orders)
	}
}

// Guards against unloading the serving copies of a model while further copies are still loading.
func TestServingCopyStaysWhileAnotherLoads(t *testing.T) {
	loading := endpointWith("e2", "m00")
	loading.Busy, loading.ChangingModels = true, []string{"m00"}
	in := &Input{
		Engine:            testEngine(4),
		Endpoints:         []EndpointState{endpointWith("e1", "m00", "m01", "m02"), loading},
		Demand:            map[string]ModelDemand{"m03": {Load: 1, Forecast: 1, RequestRate: 8, Waiting: 5}},
		StoreLoadsAllowed: 5,
	}
	for _, o := range modelOrders(Plan(in)) {
		if o.Verb == Unload && o.Model == "m00" {
			t.Fatalf("the serving copy is unloaded: %+v", o)
		}
	}
}

// Guards against using the memory that an unload freed for another model, and against consecutive plans that unload
// models at several engines for one demand.
func TestUnloadIsFollowedByTheLoadThatItWasFor(t *testing.T) {
	freed := endpointWith("e1", "m00", "m01", "m05")
	freed.ModelToLoad, freed.ChangingModels = "m05", []string{"m05"}
	in := &Input{
		Engine:            testEngine(6),
		Endpoints:         []EndpointState{freed, endpointWith("e2", "m00", "m02", "m03")},
		Demand:            map[string]ModelDemand{"m05": {Load: 0.5, Forecast: 0.5, RequestRate: 4, Waiting: 2}},
		StoreLoadsAllowed: 5,
	}
	orders := modelOrders(Plan(in))
	if len(orders) != 1 || orders[0].Verb != Load || orders[0].Model != "m05" || orders[0].Endpoint != "e1" {
		t.Fatalf("orders are %+v", orders)
	}
}

// Guards against a load after an unload that freed no memory.
func TestNoLoadWithoutTheFreedMemory(t *testing.T) {
	full := endpointWith("e1", "m00", "m01", "m02", "m05")
	full.ModelToLoad, full.ChangingModels = "m05", []string{"m05"}
	in := &Input{
		Engine: testEngine(6), Endpoints: []EndpointState{full}, StoreLoadsAllowed: 5,
		Demand: map[string]ModelDemand{"m05": {Load: 0.5, Forecast: 0.5, RequestRate: 4, Waiting: 2}},
	}
	if orders := modelOrders(Plan(in)); len(orders) != 0 {
		t.Fatalf("orders are %+v", orders)
	}
}

// Guards against loads that exceed the rate of the weight store. Loads from an endpoint's own disk are not limited by
// it.
func TestStoreLoadsAreBounded(t *testing.T) {
	onDisk := endpointWith("e3")
	onDisk.OnDisk = []string{"m00"}
	in := &Input{
		Engine:            testEngine(3),
		Endpoints:         []EndpointState{endpointWith("e1"), endpointWith("e2"), onDisk, endpointWith("e4", "m00")},
		Demand:            map[string]ModelDemand{"m00": {Load: 6, Forecast: 6, RequestRate: 50}},
		StoreLoadsAllowed: 1,
	}
	orders := modelOrders(Plan(in))
	fromStore := 0
	for _, o := range orders {
		if o.FromStore {
			fromStore++
		}
	}
	if fromStore != 1 || len(orders) != 2 {
		t.Fatalf("orders are %+v", orders)
	}
}

// Guards against loading more adapters than an engine has slots, and against unloading a recently used one.
func TestLeastRecentlyUsedAdapterIsUnloaded(t *testing.T) {
	e := endpointWith("e1", "m00")
	e.AdapterUse = make(map[AdapterKey]AdapterUse)
	for i := range 8 {
		name := fmt.Sprintf("a%d", i)
		e.Models[0].Adapters = append(e.Models[0].Adapters, name)
		e.AdapterUse[AdapterKey{"m00", name}] = AdapterUse{LastUse: start.Add(time.Duration(10-i) * time.Second)}
	}
	in := &Input{
		Engine: testEngine(1), Endpoints: []EndpointState{e},
		Adapters: []AdapterDemand{{Model: "m00", Adapter: "a20", Waiting: 1}},
	}
	orders := Plan(in)
	if len(orders) != 2 || orders[0].Verb != Unload || orders[0].Adapter != "a7" || orders[1].Adapter != "a20" {
		t.Fatalf("orders are %+v", orders)
	}
}

// fullEndpoint returns an endpoint whose eight adapter slots are taken. Requests use the first of the adapters.
func fullEndpoint(inUse int) EndpointState {
	e := endpointWith("e1", "m00")
	e.AdapterUse = make(map[AdapterKey]AdapterUse)
	for i := range 8 {
		name := fmt.Sprintf("a%d", i)
		e.Models[0].Adapters = append(e.Models[0].Adapters, name)
		use := AdapterUse{LastUse: start.Add(time.Duration(i) * time.Second)}
		if i < inUse {
			use.Requests = 1
		}
		e.AdapterUse[AdapterKey{"m00", name}] = use
	}
	return e
}

// Guards against unloading an adapter that requests use while another one is idle: its slot stays occupied until they
// have ended.
func TestIdleAdapterIsUnloadedBeforeOneInUse(t *testing.T) {
	in := &Input{
		Engine: testEngine(1), Endpoints: []EndpointState{fullEndpoint(7)},
		Adapters: []AdapterDemand{{Model: "m00", Adapter: "a20", Waiting: 1}},
	}
	orders := Plan(in)
	if len(orders) != 2 || orders[0].Verb != Unload || orders[0].Adapter != "a7" || orders[1].Adapter != "a20" {
		t.Fatalf("orders are %+v", orders)
	}
}

// Guards against a load into a slot whose adapter is in use, and against one more unload for a demand that already waits
// for a slot.
func TestNoAdapterIsLoadedIntoASlotInUse(t *testing.T) {
	in := &Input{
		Engine: testEngine(1), Endpoints: []EndpointState{fullEndpoint(8)},
		Adapters: []AdapterDemand{{Model: "m00", Adapter: "a20", Waiting: 1}},
	}
	orders := Plan(in)
	if len(orders) != 1 || orders[0].Verb != Unload || orders[0].Adapter != "a0" {
		t.Fatalf("orders are %+v", orders)
	}
	in.Endpoints = []EndpointState{fullEndpoint(8)}
	in.Endpoints[0].UnloadingAdapters = []AdapterKey{{"m00", "a0"}}
	if orders := Plan(in); len(orders) != 0 {
		t.Fatalf("orders are %+v while an unload waits", orders)
	}
}

// Guards, over arbitrary states, against orders that exceed an engine's memory or adapter slots, orders for a busy or
// leaving endpoint, and two model orders for one endpoint.
func TestPlanKeepsTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine := testEngine(rapid.IntRange(1, 8).Draw(t, "models"))
		var names []string
		for name := range engine.Models {
			names = append(names, name)
		}
		slices.Sort(names)
		in := &Input{Engine: engine, Demand: make(map[string]ModelDemand), StoreLoadsAllowed: rapid.IntRange(0, 5).Draw(t, "loads")}
		for i := range rapid.IntRange(0, 5).Draw(t, "endpoints") {
			held := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, min(3, len(names)), rapid.ID[string]).Draw(t, "held")
			e := endpointWith(fmt.Sprintf("e%d", i), held...)
			e.Busy = rapid.Bool().Draw(t, "busy")
			e.Leaving = rapid.Bool().Draw(t, "leaving")
			e.OnDisk = rapid.SliceOf(rapid.SampledFrom(names)).Draw(t, "disk")
			drawAdapters(t, &e, engine.AdapterSlots)
			in.Endpoints = append(in.Endpoints, e)
		}
		for _, name := range names {
			load := rapid.Float64Range(0, 5).Draw(t, "load")
			in.Demand[name] = ModelDemand{Load: load, Forecast: load, RequestRate: load * 8, Waiting: rapid.IntRange(0, 3).Draw(t, "waiting")}
		}
		for range rapid.IntRange(0, 12).Draw(t, "wants") {
			in.Adapters = append(in.Adapters, AdapterDemand{
				Model: rapid.SampledFrom(names).Draw(t, "model"), Adapter: rapid.StringMatching(`a[0-9]`).Draw(t, "adapter"), Waiting: 1,
			})
		}
		before := make(map[string]EndpointState)
		for _, e := range in.Endpoints {
			before[e.ID] = e
		}
		checkOrders(t, engine, before, Plan(in))
	})
}

// drawAdapters gives the endpoint adapters, some of them in use or being unloaded.
func drawAdapters(t *rapid.T, e *EndpointState, slots int) {
	e.AdapterUse = make(map[AdapterKey]AdapterUse)
	for i := range e.Models {
		drawn := rapid.SliceOfNDistinct(rapid.StringMatching(`a[0-9]`), 0, slots-e.AdapterCount(), rapid.ID[string]).Draw(t, "adapters")
		e.Models[i].Adapters = drawn
		for _, adapter := range drawn {
			key := AdapterKey{e.Models[i].Name, adapter}
			e.AdapterUse[key] = AdapterUse{Requests: rapid.IntRange(0, 1).Draw(t, "requests")}
			if rapid.Bool().Draw(t, "unloading") {
				e.UnloadingAdapters = append(e.UnloadingAdapters, key)
			}
		}
	}
}

func checkOrders(t *rapid.T, engine *routing.Engine, before map[string]EndpointState, orders []Order) {
	modelOrders := make(map[string]int)
	adapters := make(map[string]int)
	for _, o := range orders {
		e := before[o.Endpoint]
		if e.Leaving {
			t.Fatalf("order for a leaving endpoint: %+v", o)
		}
		if o.Adapter != "" {
			key := AdapterKey{o.Model, o.Adapter}
			switch {
			case o.Verb == Load:
				adapters[o.Endpoint]++
			case slices.Contains(e.UnloadingAdapters, key):
				t.Fatalf("second unload of an adapter: %+v", o)
			case e.AdapterUse[key].Requests == 0:
				adapters[o.Endpoint]--
			}
			if e.AdapterCount()+adapters[o.Endpoint] > engine.AdapterSlots {
				t.Fatalf("too many adapters at %s", o.Endpoint)
			}
			continue
		}
		modelOrders[o.Endpoint]++
		if e.Busy || modelOrders[o.Endpoint] > 1 {
			t.Fatalf("model order for a busy endpoint: %+v", o)
		}
		if o.Verb == Load && len(e.Models) >= 3 {
			t.Fatalf("order exceeds the memory: %+v at %+v", o, e.Models)
		}
	}
}

// Guards against sending requests of a region over the link between regions while the region has memory for a copy.
func TestCopyGoesToTheRegionThatLacksOne(t *testing.T) {
	withCopy, otherRegion := endpointWith("e1", "m00"), endpointWith("e2")
	sameRegion := endpointWith("e3")
	withCopy.DataCentre, otherRegion.DataCentre, sameRegion.DataCentre = "a", "b", "a"
	otherRegion.OnDisk, sameRegion.OnDisk = []string{"m00"}, []string{"m00"}
	in := &Input{
		Engine: testEngine(2), Endpoints: []EndpointState{withCopy, sameRegion, otherRegion}, StoreLoadsAllowed: 5,
		RegionOf: func(dataCentre string) string { return "region-" + dataCentre },
		Demand: map[string]ModelDemand{
			"m00": {Load: 0.4, Forecast: 0.4, RequestRate: 3, ByRegion: map[string]float64{"region-a": 0.1, "region-b": 0.3}},
		},
	}
	orders := modelOrders(Plan(in))
	if len(orders) == 0 || orders[0].Endpoint != "e2" {
		t.Fatalf("orders are %+v", orders)
	}
}
