package residency

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

// fakeEngine, like a real engine, accepts an order only if ExpectedOrdersAccepted equals the number of orders that it has
// accepted so far.
type fakeEngine struct {
	mu             sync.Mutex
	ordersAccepted int64
	acceptedCalls  []OrderCall
	// repliesToLose is how many of the following orders get no reply. If delayUnanswered is set, these orders reach the
	// engine only when deliverDelayed is called.
	repliesToLose   int
	delayedCalls    []OrderCall
	delayUnanswered bool
	// onReplyLost is called whenever an order gets no reply; models are the models in the engine's report.
	onReplyLost func()
	models      []fleet.HeldModel
	// waitingUnloads is set if requests use all adapters: an unload is accepted and waits for them.
	waitingUnloads bool
	// busy is set if the reports show an order in progress.
	busy bool
	// lifetime is that of the reports; zero means 1.
	lifetime int64
	// alreadyDone is set if the engine has nothing to do for any unload: it says so and does not count the order.
	alreadyDone bool
}

var errLost = errors.New("connection lost")

func (e *fakeEngine) Order(_ context.Context, _ Target, call OrderCall) (OrderReply, fleet.Statement, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	lost := e.repliesToLose > 0
	if lost {
		e.repliesToLose--
		if e.onReplyLost != nil {
			e.onReplyLost()
		}
	}
	if lost && e.delayUnanswered {
		e.delayedCalls = append(e.delayedCalls, call)
		return 0, fleet.Statement{}, errLost
	}
	reply := e.receive(call)
	if lost {
		return 0, fleet.Statement{}, errLost
	}
	return reply, fleet.Statement{}, nil
}

func (e *fakeEngine) receive(call OrderCall) OrderReply {
	if call.ExpectedOrdersAccepted != e.ordersAccepted {
		return Conflicting
	}
	if call.Verb == Unload && e.alreadyDone {
		return AlreadyHolds
	}
	e.ordersAccepted++
	e.acceptedCalls = append(e.acceptedCalls, call)
	if call.Verb == Unload && call.Adapter != "" && !e.waitingUnloads {
		return AlreadyHolds
	}
	return Accepted
}

// deliverDelayed lets the delayed orders reach the engine, which accepts or rejects them.
func (e *fakeEngine) deliverDelayed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, call := range e.delayedCalls {
		e.receive(call)
	}
	e.delayedCalls = nil
}

func (e *fakeEngine) Report(context.Context, Target) (Report, fleet.Statement, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Report{Lifetime: max(e.lifetime, 1), OrdersAccepted: e.ordersAccepted, Busy: e.busy, Models: e.models}, fleet.Statement{}, nil
}

type fakeLease struct {
	mu    sync.Mutex
	token int64
	held  bool
}

func (l *fakeLease) Held() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token, l.held
}

func (l *fakeLease) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = false
}

func newTestController(engines Engines, lease Lease) *Controller {
	return NewController(Options{
		Instance: "edge-1", Fleet: fleet.NewRegistry(), Lease: lease, Engines: engines,
		Config: func() *routing.Config { return nil }, Log: zap.NewNop(),
		OnReportRead:   func(string, Report) {},
		OnStatement:    func(string, int64, fleet.Statement) {},
		ModelLeaving:   func(string, int64, string) {},
		AdapterChanged: func(string, int64, Order) {},
	})
}

// runOrders passes orders to the endpoint's worker and waits until its queue is empty.
func runOrders(c *Controller, orders ...Order) {
	c.mu.Lock()
	c.worker(&fleet.Announcement{ID: "e1", Address: "e1:1", Lifetime: 1})
	c.mu.Unlock()
	var tasks conc.WaitGroup
	// The first call makes the worker read the engine's report; the worker sends no order before that.
	c.startWorkers(context.Background(), &tasks, nil, 7)
	tasks.Wait()
	c.startWorkers(context.Background(), &tasks, orders, 7)
	tasks.Wait()
}

// adapterSwap returns the orders that replace adapter a1 of a model by a2.
func adapterSwap() []Order {
	return []Order{
		{Endpoint: "e1", Verb: Unload, Model: "m", Adapter: "a1"},
		{Endpoint: "e1", Verb: Load, Model: "m", Adapter: "a2"},
	}
}

// Guards against loading into the slot of an adapter whose unload waits for the requests that use it: the endpoint would
// hold one adapter more than it has slots for, and crash.
func TestAdapterIsNotLoadedWhileTheUnloadBeforeItWaits(t *testing.T) {
	e := &fakeEngine{waitingUnloads: true, models: []fleet.HeldModel{{Name: "m", Adapters: []string{"a1"}}}}
	c := newTestController(e, &fakeLease{token: 7, held: true})
	runOrders(c, adapterSwap()...)
	if len(e.acceptedCalls) != 1 || e.acceptedCalls[0].Verb != Unload {
		t.Fatalf("carried out %+v", e.acceptedCalls)
	}
	state := EndpointState{Announcement: fleet.Announcement{ID: "e1"}, announced: announces("m")}
	c.workers["e1"].apply(&state, time.Now())
	if state.AdapterCount() != 1 || len(state.UnloadingAdapters) != 1 {
		t.Fatalf("%d adapters, unloading %v", state.AdapterCount(), state.UnloadingAdapters)
	}
}

// Guards against a slot that stays reserved after the requests have ended that an unload waited for.
func TestSlotIsFreeOnceTheReportNoLongerListsTheAdapter(t *testing.T) {
	e := &fakeEngine{waitingUnloads: true, models: []fleet.HeldModel{{Name: "m", Adapters: []string{"a1"}}}}
	c := newTestController(e, &fakeLease{token: 7, held: true})
	runOrders(c, adapterSwap()...)
	w := c.workers["e1"]
	if w.needsReport(time.Now()) || !w.needsReport(time.Now().Add(busyReportInterval)) {
		t.Fatal("the report is not read after the usual interval")
	}
	e.models = []fleet.HeldModel{{Name: "m"}}
	w.readReport(context.Background())
	state := EndpointState{Announcement: fleet.Announcement{ID: "e1"}, announced: announcedAfter(1, "m")}
	w.apply(&state, time.Now())
	if state.AdapterCount() != 0 || len(state.UnloadingAdapters) != 0 || w.needsReport(time.Now().Add(time.Minute)) {
		t.Fatalf("%d adapters, unloading %v", state.AdapterCount(), state.UnloadingAdapters)
	}
}

// Guards against an order that loads a model into memory which another one occupies: the entry already lists the model
// that was loaded last, while the report is from a time at which it was still being loaded.
func TestMemoryOfALoadedModelStaysOccupiedAfterALaggingReport(t *testing.T) {
	e := &fakeEngine{waitingUnloads: true, models: []fleet.HeldModel{{Name: "a", Adapters: []string{"a1", "a2"}}}}
	c := newTestController(e, &fakeLease{token: 7, held: true})
	runOrders(c, Order{Endpoint: "e1", Verb: Unload, Model: "a", Adapter: "a1"})
	runOrders(c, Order{Endpoint: "e1", Verb: Load, Model: "b", Expected: time.Second})
	if len(e.acceptedCalls) != 2 {
		t.Fatalf("carried out %+v", e.acceptedCalls)
	}
	w, now := c.workers["e1"], time.Now()
	w.apply(&EndpointState{Announcement: fleet.Announcement{ID: "e1"}, announced: announces("a", "b")}, now)
	e.busy, e.models = true, []fleet.HeldModel{{Name: "a", Adapters: []string{"a2"}}}
	w.readReport(context.Background())
	state := EndpointState{Announcement: fleet.Announcement{ID: "e1"}, announced: announces("a", "b")}
	w.apply(&state, now.Add(2*busyReportInterval))
	if !state.Busy && !state.HoldsModel("b") {
		t.Fatalf("the memory of the loaded model counts as free: the endpoint holds %+v", state.Models)
	}
}

// Guards against a ledger that counts an order which the endpoint did not count, and then never agrees with it again: an
// unload of an adapter that is already being unloaded gets the reply of one that was carried out.
func TestLedgerRecoversFromAnUnloadThatDidNotCount(t *testing.T) {
	e := &fakeEngine{alreadyDone: true, models: []fleet.HeldModel{{Name: "m", Adapters: []string{"a1"}}}}
	c := newTestController(e, &fakeLease{token: 7, held: true})
	runOrders(c, adapterSwap()...)
	if len(e.acceptedCalls) != 0 {
		t.Fatalf("carried out %+v", e.acceptedCalls)
	}
	w := c.workers["e1"]
	if w.ledger.known {
		t.Fatal("a ledger that disagrees with the endpoint is trusted")
	}
	w.readReport(context.Background())
	if held := w.ledger.heldModels(); !w.ledger.known || w.ledger.ordersAccepted != 0 || len(held[0].Adapters) != 1 {
		t.Fatalf("ledger is %+v", w.ledger)
	}
}

// Guards against carrying out an order twice after its reply was lost.
func TestOrderWithALostReplyIsCarriedOutOnce(t *testing.T) {
	e := &fakeEngine{repliesToLose: 1}
	c := newTestController(e, &fakeLease{token: 7, held: true})
	runOrders(c, Order{Endpoint: "e1", Verb: Load, Model: "m", Expected: time.Second})
	if len(e.acceptedCalls) != 1 {
		t.Fatalf("%d orders carried out", len(e.acceptedCalls))
	}
}

// Guards against an order that arrives seconds late and acts on a state that newer orders have changed.
func TestLateOrderHasNoEffect(t *testing.T) {
	e := &fakeEngine{repliesToLose: 1, delayUnanswered: true}
	c := newTestController(e, &fakeLease{token: 7, held: true})
	runOrders(c, Order{Endpoint: "e1", Verb: Load, Model: "m", Expected: time.Second})
	if len(e.acceptedCalls) != 1 || len(e.delayedCalls) != 1 {
		t.Fatalf("%d orders carried out, %d delayed", len(e.acceptedCalls), len(e.delayedCalls))
	}
	e.deliverDelayed()
	if len(e.acceptedCalls) != 1 {
		t.Fatal("the delayed order was carried out as well")
	}
}

// A delayed order of a previous holder is accepted while an unload is delayed and gets no reply. Guards against
// concluding from the higher number of accepted orders that the unload was carried out, and then loading more than fits
// into the memory.
func TestDelayedOrderOfPreviousHolderDoesNotConfirmUnload(t *testing.T) {
	e := &fakeEngine{repliesToLose: 1, delayUnanswered: true, models: []fleet.HeldModel{{Name: "old"}}}
	e.onReplyLost = func() { e.ordersAccepted++ }
	c := newTestController(e, &fakeLease{token: 7, held: true})
	runOrders(c, Order{Endpoint: "e1", Verb: Unload, Model: "old", ForModel: "new", Expected: time.Second},
		Order{Endpoint: "e1", Verb: Load, Model: "new", Expected: time.Second})
	w := c.workers["e1"]
	if w.modelToLoad != "" || w.modelToUnload != "" || len(e.acceptedCalls) != 0 {
		t.Fatalf("model to load %q, model to unload %q, carried out %v", w.modelToLoad, w.modelToUnload, e.acceptedCalls)
	}
	if held := w.ledger.heldModels(); len(held) != 1 || held[0].Name != "old" {
		t.Fatalf("ledger lists %v", held)
	}
}

// Guards against orders of an instance that no longer holds the lease, or holds it under a token other than the plan's.
func TestNoOrderWithoutTheLease(t *testing.T) {
	for name, lease := range map[string]*fakeLease{
		"lost":      {token: 7},
		"new token": {token: 8, held: true},
	} {
		e := &fakeEngine{}
		runOrders(newTestController(e, lease), Order{Endpoint: "e1", Verb: Load, Model: "m"})
		if len(e.acceptedCalls) != 0 {
			t.Errorf("%s: order was carried out", name)
		}
	}
}

// Guards against a worker that, after the lease was lost, still resends an order to an endpoint that does not reply.
func TestUnansweredOrderEndsWithTheLease(t *testing.T) {
	lease := &fakeLease{token: 7, held: true}
	e := &noReplyEngine{lease: lease}
	runOrders(newTestController(e, lease), Order{Endpoint: "e1", Verb: Load, Model: "m"})
	if e.calls != 1 {
		t.Fatalf("%d calls", e.calls)
	}
}

// busyEngine answers each call with a Retry-After header.
type busyEngine struct{ orders, reports int }

func (e *busyEngine) Order(context.Context, Target, OrderCall) (OrderReply, fleet.Statement, error) {
	e.orders++
	return 0, fleet.Statement{RetryAfter: "9"}, errors.New("order returned unexpected status 503")
}

func (e *busyEngine) Report(context.Context, Target) (Report, fleet.Statement, error) {
	e.reports++
	return Report{Lifetime: 1}, fleet.Statement{}, nil
}

// Guards against orders, their repetitions and report calls to an endpoint that has asked for no calls.
func TestBusyEndpointGetsNoOrdersOrReportCalls(t *testing.T) {
	e := &busyEngine{}
	c := newTestController(e, &fakeLease{token: 7, held: true})
	c.options.OnStatement = func(id string, lifetime int64, s fleet.Statement) {
		if s.RetryAfter != "" {
			c.options.Fleet.StatedBusy(id, lifetime, 9*time.Second, time.Now())
		}
	}
	runOrders(c, Order{Endpoint: "e1", Verb: Load, Model: "m"}, Order{Endpoint: "e1", Verb: Load, Model: "n"})
	if e.orders != 1 || e.reports != 1 {
		t.Fatalf("%d orders and %d reports", e.orders, e.reports)
	}
	c.workers["e1"].ledger.known = false
	runOrders(c)
	if e.reports != 1 {
		t.Fatalf("%d reports", e.reports)
	}
}

// noReplyEngine loses every reply; the lease is lost with the first one.
type noReplyEngine struct {
	lease *fakeLease
	calls int
}

func (e *noReplyEngine) Order(context.Context, Target, OrderCall) (OrderReply, fleet.Statement, error) {
	e.calls++
	e.lease.lose()
	return 0, fleet.Statement{}, errLost
}

func (e *noReplyEngine) Report(context.Context, Target) (Report, fleet.Statement, error) {
	return Report{Lifetime: 1}, fleet.Statement{}, nil
}

// Guards against treating the outcome of an order that was certainly not sent as unknown: such an order can be planned
// again.
func TestOrderThatWasNotSentIsDropped(t *testing.T) {
	e := &unreachableEngine{}
	c := newTestController(e, &fakeLease{token: 7, held: true})
	runOrders(c, Order{Endpoint: "e1", Verb: Load, Model: "m"})
	if e.calls != 1 || c.workers["e1"].modelToLoad != "" {
		t.Fatalf("%d calls, model to load %q", e.calls, c.workers["e1"].modelToLoad)
	}
}

type unreachableEngine struct{ calls int }

func (e *unreachableEngine) Order(context.Context, Target, OrderCall) (OrderReply, fleet.Statement, error) {
	e.calls++
	return 0, fleet.Statement{}, errors.Wrap(engine.ErrNotSent, "connection refused")
}

func (e *unreachableEngine) Report(context.Context, Target) (Report, fleet.Statement, error) {
	return Report{Lifetime: 1}, fleet.Statement{}, nil
}

// Guards against sending orders while orders of the previous holder may still arrive, and against pausing again when a
// lease that has not expired is renewed late.
func TestLeaseTerm(t *testing.T) {
	term := leaseTerm{pause: 3 * time.Second, log: zap.NewNop()}
	for i, c := range []struct {
		token     int64
		held      bool
		elapsed   time.Duration
		isNewTerm bool
		mayOrder  bool
	}{
		{0, false, 0, false, false},
		{7, true, 1 * time.Second, true, false},
		{7, true, 3 * time.Second, false, false},
		{7, true, 4 * time.Second, false, true},
		{7, false, 5 * time.Second, false, false},
		{7, true, 6 * time.Second, false, true},
		{9, true, 7 * time.Second, true, false},
		{9, true, 10 * time.Second, false, true},
	} {
		if got := term.isNewTerm(c.token, c.held); got != c.isNewTerm {
			t.Errorf("step %d: isNewTerm is %v", i, got)
		}
		if got := term.mayOrder(c.token, c.held, start.Add(c.elapsed)); got != c.mayOrder {
			t.Errorf("step %d: mayOrder is %v", i, got)
		}
	}
}

// Guards against a slot that counts as free although its adapter is still being unloaded: the reply to a second unload
// is that of one that was carried out, but does not count, and a late order of the previous holder then makes up for the
// number of orders.
func TestLateOrderDoesNotMakeUpForAnUnloadThatDidNotCount(t *testing.T) {
	e := &fakeEngine{alreadyDone: true, models: []fleet.HeldModel{{Name: "m", Adapters: []string{"a1"}}}}
	c := newTestController(e, &fakeLease{token: 7, held: true})
	late := OrderCall{Verb: Load, Model: "m", Adapter: "a3", Holder: "edge-2"}
	c.options.AdapterChanged = func(string, int64, Order) { e.receive(late) }
	runOrders(c, adapterSwap()...)
	if len(e.acceptedCalls) != 1 || e.acceptedCalls[0].Adapter != "a3" {
		t.Fatalf("carried out %+v", e.acceptedCalls)
	}
	state := EndpointState{Announcement: fleet.Announcement{ID: "e1"}}
	c.workers["e1"].apply(&state, time.Now().Add(time.Minute))
	if !state.Busy && !state.Holds("m", "a1") {
		t.Fatalf("the slot of the adapter counts as free: %+v", state.Models)
	}
}

// Guards against an order that was planned for an earlier run of the endpoint and is sent after the endpoint is known to
// have restarted. The number of orders does not protect: the new run may have accepted the same number.
func TestNoOrderAfterTheEndpointHasRestarted(t *testing.T) {
	for name, restart := range map[string]func(c *Controller, e *fakeEngine){
		"announced": func(c *Controller, _ *fakeEngine) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.worker(&fleet.Announcement{ID: "e1", Address: "e1:1", Lifetime: 2})
		},
		"seen in a report": func(c *Controller, e *fakeEngine) {
			e.lifetime = 2
			c.workers["e1"].readReport(context.Background())
			c.workers["e1"].blockedUntil = time.Time{}
		},
	} {
		e := &fakeEngine{models: []fleet.HeldModel{{Name: "a"}}}
		c := newTestController(e, &fakeLease{token: 7, held: true})
		runOrders(c)
		w := c.workers["e1"]
		order := Order{Endpoint: "e1", Verb: Load, Model: "b"}
		order.reportsApplied = w.ledger.reportsApplied
		restart(c, e)
		w.execute(context.Background(), order, 7)
		if len(e.acceptedCalls) != 0 {
			t.Errorf("%s: the order was sent", name)
		}
	}
}

// Guards against an order with a number of accepted orders that the endpoint has not reached: the reply to an unload
// leaves open whether it counted. Such an order can be late and be carried out seconds later on other contents.
func TestNoOrderAfterAnUnloadThatMayNotHaveCounted(t *testing.T) {
	held := []fleet.HeldModel{{Name: "m", Adapters: []string{"a1"}}}
	e := &fakeEngine{models: held}
	c := newTestController(e, &fakeLease{token: 7, held: true})
	runOrders(c, Order{Endpoint: "e1", Verb: Load, Model: "m", Adapter: "a3"})
	runOrders(c, adapterSwap()...)
	if len(e.acceptedCalls) != 2 {
		t.Fatalf("after the unload of an adapter that only the report lists: carried out %+v", e.acceptedCalls)
	}
	// The endpoint cannot be unloading an adapter that it was ordered to load since the ledger was read.
	e = &fakeEngine{models: []fleet.HeldModel{{Name: "m"}}}
	c = newTestController(e, &fakeLease{token: 7, held: true})
	runOrders(c, Order{Endpoint: "e1", Verb: Load, Model: "m", Adapter: "a1"})
	runOrders(c, adapterSwap()...)
	if len(e.acceptedCalls) != 3 {
		t.Fatalf("after the unload of an adapter that was loaded before: carried out %+v", e.acceptedCalls)
	}
}

// Guards against a ledger that was wrong without a trace for operators, and against counting the first report of an
// endpoint, or one that only shows the end of an unload that was waited for.
func TestCorrectionsOfTheLedgerAreReported(t *testing.T) {
	e := &fakeEngine{waitingUnloads: true, models: []fleet.HeldModel{{Name: "m", Adapters: []string{"a1"}}}}
	c := newTestController(e, &fakeLease{token: 7, held: true})
	corrections := 0
	c.options.OnLedgerCorrected = func() { corrections++ }
	runOrders(c, Order{Endpoint: "e1", Verb: Unload, Model: "m", Adapter: "a1"})
	e.models = []fleet.HeldModel{{Name: "m"}}
	c.workers["e1"].readReport(context.Background())
	if corrections != 0 {
		t.Fatalf("%d corrections although the ledger was right", corrections)
	}
	e.models = []fleet.HeldModel{{Name: "m"}, {Name: "n"}}
	c.workers["e1"].readReport(context.Background())
	if corrections != 1 {
		t.Fatalf("%d corrections", corrections)
	}
}
