package residency

import (
	"math"
	"testing"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

var start = time.Unix(1000, 0)

func knownLedger(orders int64, models ...fleet.HeldModel) *ledger {
	l := &ledger{}
	l.applyReport(&Report{OrdersAccepted: orders, Models: models}, start)
	return l
}

// announces returns an announcement that is newer than all orders.
func announces(models ...string) listing {
	return announcedAfter(math.MaxInt64, models...)
}

// announcedAfter returns an announcement after a number of accepted orders.
func announcedAfter(orders int64, models ...string) listing {
	l := listing{ordersAccepted: orders}
	for _, name := range models {
		l.models = append(l.models, fleet.HeldModel{Name: name})
	}
	return l
}

// Guards against a lagging report that discards the record of accepted orders. Plans based on such a report load more
// adapters than the engine has slots.
func TestLaggingReportDoesNotReplaceNewerKnowledge(t *testing.T) {
	l := knownLedger(4, fleet.HeldModel{Name: "m"})
	l.recordAccepted(&Order{Verb: Load, Model: "m", Adapter: "a1"}, start)
	l.applyReport(&Report{OrdersAccepted: 4, Models: []fleet.HeldModel{{Name: "m"}}}, start)
	if held := l.heldModels(); len(held[0].Adapters) != 1 || l.ordersAccepted != 5 {
		t.Fatalf("ledger is %+v after %d orders", held, l.ordersAccepted)
	}
	// The order count alone determines the age of a report, even if the ledger is unknown.
	l.known = false
	l.applyReport(&Report{OrdersAccepted: 4, Models: []fleet.HeldModel{{Name: "m"}}}, start)
	if l.known {
		t.Fatal("an older report was applied")
	}
}

// Guards against planning from a report while an order in progress, which the report does not list, adds to what the
// endpoint holds.
func TestBusyReportIsNoBaseForOrders(t *testing.T) {
	for name, report := range map[string]Report{
		"model order in progress": {OrdersAccepted: 1, Busy: true},
		"adapter being loaded":    {OrdersAccepted: 1, PendingAdapters: 1},
	} {
		l := &ledger{}
		l.applyReport(&report, start)
		if !l.busy(start) {
			t.Errorf("%s: ledger is not busy", name)
		}
	}
}

// Guards against counting a model as loaded or unloaded before the endpoint announces it.
func TestModelOrdersEndByAnnouncement(t *testing.T) {
	l := knownLedger(0, fleet.HeldModel{Name: "old"})
	l.recordAccepted(&Order{Verb: Unload, Model: "old", Expected: time.Second}, start)
	l.reconcile(announces("old"), start)
	if !l.busy(start) || len(l.heldModels()) != 1 {
		t.Fatal("unload counts as done while the endpoint announces the model")
	}
	l.reconcile(announces(), start)
	if l.busy(start) || len(l.heldModels()) != 0 {
		t.Fatal("unload does not count as done")
	}
	l.recordAccepted(&Order{Verb: Load, Model: "new", Expected: time.Second}, start)
	l.reconcile(announces(), start)
	if !l.busy(start) || len(l.heldModels()) != 1 {
		t.Fatal("a model being loaded does not occupy memory")
	}
	l.reconcile(announces("new"), start)
	if l.busy(start) {
		t.Fatal("load does not count as done")
	}
}

// Guards against an endpoint that stays busy indefinitely when an accepted order has no effect.
func TestOverdueOrderMakesTheLedgerUnknown(t *testing.T) {
	l := knownLedger(0)
	l.recordAccepted(&Order{Verb: Load, Model: "m", Expected: time.Second}, start)
	l.reconcile(announces(), start.Add(time.Minute))
	if l.known {
		t.Fatal("the ledger stays known, so that the endpoint's report is not read")
	}
}

// Guards against a ledger that has the right number of orders and the wrong contents for good.
func TestReportAfterTheSameOrdersCorrectsTheContents(t *testing.T) {
	l := knownLedger(4, fleet.HeldModel{Name: "m", Adapters: []string{"a1"}})
	applied := l.reportsApplied
	l.applyReport(&Report{OrdersAccepted: 4, Models: []fleet.HeldModel{{Name: "m", Adapters: []string{"a1", "a2"}}}}, start)
	if held := l.heldModels(); len(held[0].Adapters) != 2 || l.reportsApplied == applied {
		t.Fatalf("ledger is %+v", l)
	}
	// A report that does not list what is on its way shows less than the endpoint holds.
	l.applyReport(&Report{OrdersAccepted: 4, PendingAdapters: 1, Models: []fleet.HeldModel{{Name: "m"}}}, start)
	if held := l.heldModels(); len(held[0].Adapters) != 2 {
		t.Fatalf("ledger is %+v", l)
	}
}

// Guards against two reports a second for as long as one stream keeps an adapter from being unloaded.
func TestReportsAreReadMoreRarelyTheLongerAnUnloadWaits(t *testing.T) {
	l := knownLedger(4, fleet.HeldModel{Name: "m", Adapters: []string{"a1"}})
	l.recordUnloadWaiting(&Order{Verb: Unload, Model: "m", Adapter: "a1"}, start)
	reports := 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(100 * time.Millisecond) {
		if l.needsReport(now) {
			reports++
			l.applyReport(&Report{OrdersAccepted: 5, Models: []fleet.HeldModel{{Name: "m", Adapters: []string{"a1"}}}}, now)
		}
	}
	if reports < 4 || reports > 24 {
		t.Fatalf("%d reports in a minute", reports)
	}
}

// Guards against a lagging report of an endpoint that was still loading a model: it does not list the model, which has
// been loaded since, and the next plan loads another model into the same memory.
func TestReportFromDuringALoadDoesNotRemoveTheLoadedModel(t *testing.T) {
	l := knownLedger(4, fleet.HeldModel{Name: "a", Adapters: []string{"a1", "a2"}})
	l.recordUnloadWaiting(&Order{Verb: Unload, Model: "a", Adapter: "a1"}, start)
	l.recordAccepted(&Order{Verb: Load, Model: "b", Expected: time.Second}, start)
	l.reconcile(announces("a", "b"), start)
	lagging := Report{OrdersAccepted: 6, Busy: true, Models: []fleet.HeldModel{{Name: "a", Adapters: []string{"a2"}}}}
	l.applyReport(&lagging, start)
	if l.find("b") == nil {
		t.Fatalf("the loaded model is missing: %+v", l.models)
	}
	later := start.Add(busyReportInterval)
	if !l.busy(later) || !l.needsReport(later) {
		t.Fatal("orders are planned although the last report shows an order in progress")
	}
	l.applyReport(&Report{OrdersAccepted: 6, Models: []fleet.HeldModel{{Name: "a", Adapters: []string{"a2"}}, {Name: "b"}}}, later)
	if l.busy(later) || len(l.models) != 2 || len(l.unloadingAdapters()) != 0 {
		t.Fatalf("ledger is %+v", l)
	}
}

// Guards against an entry from before an order that counts as its effect. An entry from before a model was loaded does
// not show that its unload has ended, and one from before an earlier unload does not show that a load has ended.
func TestEntryFromBeforeAnOrderDoesNotShowItsEffect(t *testing.T) {
	l := knownLedger(4, fleet.HeldModel{Name: "a"})
	l.recordAccepted(&Order{Verb: Unload, Model: "a", Expected: time.Second}, start)
	l.reconcile(announcedAfter(3), start)
	if l.find("a") == nil || !l.busy(start) {
		t.Fatal("the memory counts as free although the entry is older than the order")
	}
	l.reconcile(announcedAfter(5), start)
	if l.find("a") != nil || l.busy(start) {
		t.Fatal("unload does not count as done")
	}
	l.recordAccepted(&Order{Verb: Load, Model: "a", Expected: time.Second}, start)
	l.reconcile(announcedAfter(4, "a"), start)
	if !l.busy(start) {
		t.Fatal("load counts as done although the entry is older than the order")
	}
	l.reconcile(announcedAfter(6, "a"), start)
	if l.busy(start) {
		t.Fatal("load does not count as done")
	}
}

// Guards against a ledger that stays unknown because it counts one order more than the endpoint and takes all reports
// for older ones.
func TestUnknownLedgerThatCountsTooManyOrdersRecovers(t *testing.T) {
	l := knownLedger(4, fleet.HeldModel{Name: "m", Adapters: []string{"a1"}})
	l.recordAccepted(&Order{Verb: Unload, Model: "m", Adapter: "a1"}, start)
	l.known = false
	report := Report{OrdersAccepted: 4, Models: []fleet.HeldModel{{Name: "m", Adapters: []string{"a1"}}}}
	l.applyReport(&report, start.Add(maxReportLag-time.Millisecond))
	if l.known {
		t.Fatal("a report that may be older was applied")
	}
	l.applyReport(&report, start.Add(maxReportLag))
	if !l.known || l.ordersAccepted != 4 || len(l.models[0].adapters) != 1 {
		t.Fatalf("ledger is %+v", l)
	}
}

// Guards against a ledger that differs from the endpoint for good while no order is given. A new holder does not know
// that an adapter which the report lists is being unloaded; only the endpoint's entry shows the end.
func TestLedgerThatDiffersFromTheEntryIsCheckedByReports(t *testing.T) {
	l := knownLedger(4, fleet.HeldModel{Name: "m", Adapters: []string{"a1"}})
	held := announcedAfter(4, "m")
	held.models[0].Adapters = []string{"a1"}
	l.reconcile(held, start)
	if l.needsReport(start.Add(time.Minute)) {
		t.Fatal("the report is read although ledger and entry agree")
	}
	l.reconcile(announcedAfter(4, "m"), start)
	if l.needsReport(start) || !l.known {
		t.Fatal("the report is read although the entry may be older")
	}
	now := start.Add(firstCheckAfter)
	l.reconcile(announcedAfter(4, "m"), now)
	if !l.needsReport(now) {
		t.Fatal("the report is not read")
	}
	l.applyReport(&Report{OrdersAccepted: 4, Models: []fleet.HeldModel{{Name: "m"}}}, now)
	l.reconcile(announcedAfter(4, "m"), now)
	if len(l.models[0].adapters) != 0 || l.needsReport(now.Add(time.Minute)) {
		t.Fatalf("ledger is %+v", l)
	}
}

// Guards against two reports a second from each endpoint whose entry stays old, as during an outage of the store.
func TestReportsAreReadMoreRarelyTheLongerTheEntryDiffers(t *testing.T) {
	l := knownLedger(4, fleet.HeldModel{Name: "m"})
	reports := 0
	for now := start; now.Before(start.Add(5 * time.Minute)); now = now.Add(100 * time.Millisecond) {
		l.reconcile(announcedAfter(3), now)
		if l.needsReport(now) {
			reports++
			l.applyReport(&Report{OrdersAccepted: 4, Models: []fleet.HeldModel{{Name: "m"}}}, now)
		}
	}
	if reports < 5 || reports > 15 {
		t.Fatalf("%d reports in five minutes", reports)
	}
}
