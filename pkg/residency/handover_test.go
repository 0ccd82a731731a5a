package residency

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

const testPause = 3 * time.Second

// formerHolder returns a controller that has given orders to e1 under token 7, and its lease.
func formerHolder(settled bool) (*Controller, *fakeLease) {
	lease := &fakeLease{fence: 7, held: true}
	c := newTestController(&fakeEngine{}, lease)
	c.options.HandoverPause = testPause
	c.noteTurn(7, settled, time.Now())
	runOrders(c, Order{Endpoint: "e1", Verb: Load, Model: "m", Expected: time.Second, FromStore: true})
	return c, lease
}

// Guards against a former holder that says it has left an endpoint alone though an order of its own may still arrive there,
// and against one that says so while it may give orders or does not know what was ordered before it.
func TestFormerHolderTellsItsOrders(t *testing.T) {
	c, lease := formerHolder(true)
	now := time.Now()
	if _, ok := c.Handover(now); ok {
		t.Fatal("a holder says that it gives no more orders")
	}
	lease.lose()
	h, ok := c.Handover(now)
	if !ok || h.Fence != 7 || !slices.Equal(h.Ordered, []string{"e1"}) || len(h.StoreLoads) != 1 {
		t.Fatalf("handover %+v, %v", h, ok)
	}
	if h, ok := c.Handover(now.Add(testPause)); !ok || len(h.Ordered) != 0 {
		t.Fatalf("handover %+v, %v after the pause", h, ok)
	}
	if _, ok := c.Handover(now.Add(handoverTime)); ok {
		t.Fatal("a handover is told for ever")
	}
	c, lease = formerHolder(false)
	lease.lose()
	if _, ok := c.Handover(now); ok {
		t.Fatal("a turn that was shorter than its pause is handed over")
	}
}

// Guards against an order that was checked right before the lease was lost and is not in the handover.
func TestOrderIsNotedBeforeTheLeaseIsChecked(t *testing.T) {
	lease := &fakeLease{fence: 7, held: true}
	c := newTestController(&fakeEngine{}, lease)
	c.options.HandoverPause = testPause
	c.noteTurn(7, true, time.Now())
	c.worker(&fleet.Announcement{ID: "e1", Lifetime: 1})
	lease.lose()
	c.workers["e1"].mayOrder(context.Background(), &Order{}, 7)
	if h, ok := c.Handover(time.Now()); !ok || !slices.Equal(h.Ordered, []string{"e1"}) {
		t.Fatalf("handover %+v, %v", h, ok)
	}
}

// Guards against a new holder that orders an endpoint within its pause on a word that is not that of the instance which held
// right before, or that names the endpoint; and against waiting for the whole pause where nothing can still arrive.
func TestHandoverShortensThePause(t *testing.T) {
	for _, c := range []struct {
		name     string
		from     string
		fence    int64
		previous string
		known    bool
		ordered  []string
		age      time.Duration
		early    bool
	}{
		{"left alone", "edge-1", 7, "edge-1", true, []string{"e2"}, 0, true},
		{"ordered lately", "edge-1", 7, "edge-1", true, []string{"e1"}, 0, false},
		{"not the last holder", "edge-1", 7, "edge-2", true, nil, 0, false},
		{"an earlier turn", "edge-1", 5, "edge-1", true, nil, 0, false},
		{"last holder not known", "edge-1", 7, "", false, nil, 0, false},
		{"said before the lease was lost for good", "edge-1", 7, "edge-1", true, nil, time.Millisecond, false},
	} {
		controller := newTestController(&fakeEngine{}, &fakeLease{fence: 9, held: true})
		controller.options.Demands = noDemands{}
		controller.options.Previous = func(int64) (string, int64, bool) { return c.previous, 7, c.known }
		now := time.Now()
		announced := fleet.Announcement{ID: "e1", Service: "s", Lifetime: 1}
		controller.options.Fleet.Announce(announced, now)
		controller.TakeHandover(c.from, Handover{Fence: c.fence, Ordered: c.ordered}, now.Add(-c.age))
		controller.beginTurn(now)
		controller.worker(&announced).ledger.known = true
		service := &routing.Service{Name: "s"}
		pausing := controller.endpointStates(service, permission{token: 9}, now)
		settled := controller.endpointStates(service, permission{token: 9, settled: true}, now)
		if pausing[0].Busy == c.early || settled[0].Busy {
			t.Errorf("%s: busy in the pause is %v, afterwards %v", c.name, pausing[0].Busy, settled[0].Busy)
		}
	}
}

// Guards against two holders in a row that together exceed the weight store's rate.
func TestFormerHoldersLoadsCount(t *testing.T) {
	c := newTestController(&fakeEngine{}, &fakeLease{fence: 9, held: true})
	c.options.StoreWindow = func() (time.Duration, float64) { return 5 * time.Second, 1 }
	c.options.Previous = func(int64) (string, int64, bool) { return "edge-1", 7, true }
	now := time.Now()
	engine := &routing.Engine{LoadsPerSecond: 1}
	alone := c.storeLoadsAllowed(engine, 9, now)
	c.TakeHandover("edge-1", Handover{Fence: 7, StoreLoads: []time.Duration{time.Second, 4 * time.Second, 9 * time.Second}}, now)
	if got := c.storeLoadsAllowed(engine, 9, now); got != alone-2 {
		t.Fatalf("%d loads are allowed, %d without the former holder's", got, alone)
	}
	if got := c.storeLoadsAllowed(engine, 9, now.Add(2*time.Second)); got != alone-1 {
		t.Fatalf("%d loads are allowed two seconds later", got)
	}
}

// Guards against a new holder that orders further copies of what is loading already, on the word of the right former holder
// while others speak too, and against loads that count for ever.
func TestFormerHoldersLoadsAreKnown(t *testing.T) {
	c := newTestController(&fakeEngine{}, &fakeLease{fence: 9, held: true})
	c.options.Demands = noDemands{}
	c.options.Previous = func(int64) (string, int64, bool) { return "edge-1", 7, true }
	now := time.Now()
	announced := fleet.Announcement{ID: "e1", Service: "s", Lifetime: 1}
	c.options.Fleet.Announce(announced, now)
	c.worker(&announced).ledger.known = true
	ready := now.Add(5 * time.Second)
	c.TakeHandover("edge-1", Handover{Fence: 7, Loading: []Loading{{Endpoint: "e1", Model: "m", Ready: ready}}}, now)
	c.TakeHandover("edge-2", Handover{Fence: 5}, now)
	state := func(now time.Time) EndpointState {
		return c.endpointStates(&routing.Service{Name: "s"}, permission{token: 9, settled: true}, now)[0]
	}
	if s := state(now); !s.HoldsModel("m") || !slices.Contains(s.Changing, "m") {
		t.Fatalf("the endpoint has %v, changing %v", s.Models, s.Changing)
	}
	if s := state(ready.Add(doneSlack)); s.HoldsModel("m") {
		t.Fatal("a load that must have ended still counts")
	}
}

type noDemands struct{}

func (noDemands) ModelDemand(string, time.Time) map[string]ModelDemand { return nil }
func (noDemands) AdapterWants(string, time.Time) []AdapterWant         { return nil }
func (noDemands) AdapterUse(string) map[string]time.Time               { return nil }
