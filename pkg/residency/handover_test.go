package residency

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

const testHandoverPause = 3 * time.Second

// newPreviousHolder returns a controller that has given an order to e1 under token 7, and its lease.
func newPreviousHolder(pauseOver bool) (*Controller, *fakeLease) {
	lease := &fakeLease{token: 7, held: true}
	c := newTestController(&fakeEngine{}, lease)
	c.options.HandoverPause = testHandoverPause
	c.recordTerm(7, pauseOver, time.Now())
	runOrders(c, Order{Endpoint: "e1", Verb: Load, Model: "m", Expected: time.Second, FromStore: true})
	return c, lease
}

// Guards against a previous holder whose handover omits an endpoint where one of its orders may still arrive. Also
// guards against a handover from a holder that may still give orders or does not know the orders given before it.
func TestPreviousHolderReportsItsOrders(t *testing.T) {
	c, lease := newPreviousHolder(true)
	now := time.Now()
	if _, ok := c.Handover(now); ok {
		t.Fatal("the lease holder sends a handover")
	}
	lease.lose()
	h, ok := c.Handover(now)
	if !ok || h.FencingToken != 7 || !slices.Equal(h.Ordered, []string{"e1"}) || len(h.StoreLoadAges) != 1 {
		t.Fatalf("handover %+v, %v", h, ok)
	}
	if h, ok := c.Handover(now.Add(testHandoverPause)); !ok || len(h.Ordered) != 0 {
		t.Fatalf("handover %+v, %v after the pause", h, ok)
	}
	if _, ok := c.Handover(now.Add(handoverReportTime)); ok {
		t.Fatal("the handover is still sent after handoverReportTime")
	}
	c, lease = newPreviousHolder(false)
	lease.lose()
	if _, ok := c.Handover(now); ok {
		t.Fatal("a term shorter than its handover pause is handed over")
	}
}

// Guards against an order that is checked right before the lease is lost and is missing from the handover.
func TestOrderIsRecordedBeforeTheLeaseIsChecked(t *testing.T) {
	lease := &fakeLease{token: 7, held: true}
	c := newTestController(&fakeEngine{}, lease)
	c.options.HandoverPause = testHandoverPause
	c.recordTerm(7, true, time.Now())
	c.worker(&fleet.Announcement{ID: "e1", Lifetime: 1})
	lease.lose()
	c.workers["e1"].mayOrder(context.Background(), &Order{}, 7)
	if h, ok := c.Handover(time.Now()); !ok || !slices.Equal(h.Ordered, []string{"e1"}) {
		t.Fatalf("handover %+v, %v", h, ok)
	}
}

// Guards against a new holder that sends orders to an endpoint during its handover pause although the handover is not
// from the instance that held the lease right before, or lists the endpoint. Also guards against waiting for the whole
// pause where no order can still arrive.
func TestHandoverShortensThePause(t *testing.T) {
	for _, c := range []struct {
		name               string
		from               string
		handoverToken      int64
		previous           string
		known              bool
		ordered            []string
		age                time.Duration
		allowedDuringPause bool
	}{
		{"no recent order", "edge-1", 7, "edge-1", true, []string{"e2"}, 0, true},
		{"recent order", "edge-1", 7, "edge-1", true, []string{"e1"}, 0, false},
		{"not the previous holder", "edge-1", 7, "edge-2", true, nil, 0, false},
		{"an earlier term", "edge-1", 5, "edge-1", true, nil, 0, false},
		{"previous holder not known", "edge-1", 7, "", false, nil, 0, false},
		{"received before the new term", "edge-1", 7, "edge-1", true, nil, time.Millisecond, false},
	} {
		controller := newTestController(&fakeEngine{}, &fakeLease{token: 9, held: true})
		controller.options.Demands = noDemands{}
		controller.options.PreviousHolder = func(int64) (string, int64, bool) { return c.previous, 7, c.known }
		now := time.Now()
		announced := fleet.Announcement{ID: "e1", Service: "s", Lifetime: 1}
		controller.options.Fleet.Announce(announced, now)
		controller.ReceiveHandover(c.from, Handover{FencingToken: c.handoverToken, Ordered: c.ordered}, now.Add(-c.age))
		controller.beginTerm(now)
		controller.worker(&announced).ledger.known = true
		service := &routing.Service{Name: "s"}
		duringPause := controller.endpointStates(service, orderScope{token: 9}, now)
		afterPause := controller.endpointStates(service, orderScope{token: 9, pauseOver: true}, now)
		if duringPause[0].Busy == c.allowedDuringPause || afterPause[0].Busy {
			t.Errorf("%s: busy in the pause is %v, afterwards %v", c.name, duringPause[0].Busy, afterPause[0].Busy)
		}
	}
}

// Guards against two consecutive holders that together exceed the weight store's rate.
func TestPreviousHoldersLoadsCount(t *testing.T) {
	c := newTestController(&fakeEngine{}, &fakeLease{token: 9, held: true})
	c.options.StoreWindow = func() (time.Duration, float64) { return 5 * time.Second, 1 }
	c.options.PreviousHolder = func(int64) (string, int64, bool) { return "edge-1", 7, true }
	now := time.Now()
	engine := &routing.Engine{LoadsPerSecond: 1}
	alone := c.storeLoadsAllowed(engine, 9, now)
	c.ReceiveHandover("edge-1", Handover{FencingToken: 7, StoreLoadAges: []time.Duration{time.Second, 4 * time.Second, 9 * time.Second}}, now)
	if got := c.storeLoadsAllowed(engine, 9, now); got != alone-2 {
		t.Fatalf("%d loads are allowed, %d without the previous holder's", got, alone)
	}
	if got := c.storeLoadsAllowed(engine, 9, now.Add(2*time.Second)); got != alone-1 {
		t.Fatalf("%d loads are allowed two seconds later", got)
	}
}

// Guards against a new holder that orders more copies of a model that is already loading. The previous holder's
// handover must count even if other instances send theirs. Also guards against loads that count indefinitely.
func TestPreviousHoldersLoadsAreKnown(t *testing.T) {
	c := newTestController(&fakeEngine{}, &fakeLease{token: 9, held: true})
	c.options.Demands = noDemands{}
	c.options.PreviousHolder = func(int64) (string, int64, bool) { return "edge-1", 7, true }
	now := time.Now()
	announced := fleet.Announcement{ID: "e1", Service: "s", Lifetime: 1}
	c.options.Fleet.Announce(announced, now)
	c.worker(&announced).ledger.known = true
	ready := now.Add(5 * time.Second)
	c.ReceiveHandover("edge-1", Handover{FencingToken: 7, Loading: []Loading{{Endpoint: "e1", Model: "m", ReadyAt: ready}}}, now)
	c.ReceiveHandover("edge-2", Handover{FencingToken: 5}, now)
	state := func(now time.Time) EndpointState {
		return c.endpointStates(&routing.Service{Name: "s"}, orderScope{token: 9, pauseOver: true}, now)[0]
	}
	if s := state(now); !s.HoldsModel("m") || !slices.Contains(s.ChangingModels, "m") {
		t.Fatalf("the endpoint has %v, changing %v", s.Models, s.ChangingModels)
	}
	if s := state(ready.Add(completionMargin)); s.HoldsModel("m") {
		t.Fatal("a load that must have ended still counts")
	}
}

type noDemands struct{}

func (noDemands) ModelDemand(string, time.Time) map[string]ModelDemand   { return nil }
func (noDemands) AdapterDemand(string, time.Time) []AdapterDemand        { return nil }
func (noDemands) AdapterUse(string, time.Time) map[AdapterKey]AdapterUse { return nil }
