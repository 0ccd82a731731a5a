package residency

import (
	"testing"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

var start = time.Unix(1000, 0)

func knownLedger(orders int64, models ...fleet.HeldModel) *ledger {
	l := &ledger{}
	l.adopt(&Report{OrdersAccepted: orders, Models: models}, start)
	return l
}

func announces(models ...string) func(string) bool {
	return func(name string) bool {
		for _, m := range models {
			if m == name {
				return true
			}
		}
		return false
	}
}

// Guards against a report that lags behind accepted orders undoing them, which let an engine be ordered to load more
// adapters than it has slots.
func TestLaggingReportDoesNotReplaceNewerKnowledge(t *testing.T) {
	l := knownLedger(4, fleet.HeldModel{Name: "m"})
	l.accepted(&Order{Verb: Load, Model: "m", Adapter: "a1"}, start)
	l.adopt(&Report{OrdersAccepted: 4, Models: []fleet.HeldModel{{Name: "m"}}}, start)
	if held := l.held(); len(held[0].Adapters) != 1 || l.orders != 5 {
		t.Fatalf("ledger is %+v after %d orders", held, l.orders)
	}
	// The count alone tells the age, also after the ledger was found doubtful.
	l.known = false
	l.adopt(&Report{OrdersAccepted: 4, Models: []fleet.HeldModel{{Name: "m"}}}, start)
	if l.known {
		t.Fatal("an older report was adopted")
	}
}

// Guards against deciding on what an endpoint holds while an order under way, which its report does not list, adds to it.
func TestBusyReportIsNoBaseForOrders(t *testing.T) {
	for name, report := range map[string]Report{
		"model order under way": {OrdersAccepted: 1, Busy: true},
		"adapter in transit":    {OrdersAccepted: 1, PendingAdapters: 1},
	} {
		l := &ledger{}
		l.adopt(&report, start)
		if !l.busy(start) {
			t.Errorf("%s: ledger is not busy", name)
		}
	}
}

// Guards against counting a model as loaded or unloaded before the endpoint itself says so.
func TestModelOrdersSettleByAnnouncement(t *testing.T) {
	l := knownLedger(0, fleet.HeldModel{Name: "old"})
	l.accepted(&Order{Verb: Unload, Model: "old", Expected: time.Second}, start)
	l.settle(announces("old"), start)
	if !l.busy(start) || len(l.held()) != 1 {
		t.Fatal("unload counts as done while the endpoint announces the model")
	}
	l.settle(announces(), start)
	if l.busy(start) || len(l.held()) != 0 {
		t.Fatal("unload does not count as done")
	}
	l.accepted(&Order{Verb: Load, Model: "new", Expected: time.Second}, start)
	l.settle(announces(), start)
	if !l.busy(start) || len(l.held()) != 1 {
		t.Fatal("a model being loaded must take memory")
	}
	l.settle(announces("new"), start)
	if l.busy(start) {
		t.Fatal("load does not count as done")
	}
}

// Guards against an endpoint that stays busy for ever when an accepted order has no effect.
func TestOverdueOrderMakesTheLedgerUnknown(t *testing.T) {
	l := knownLedger(0)
	l.accepted(&Order{Verb: Load, Model: "m", Expected: time.Second}, start)
	l.settle(announces(), start.Add(time.Minute))
	if l.known {
		t.Fatal("the endpoint's report must be read")
	}
}
