package residency

import (
	"slices"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// residentState is the state of a model in a ledger.
type residentState int

const (
	stateHeld residentState = iota
	stateLoading
	stateUnloading
)

// resident is a model that occupies memory at an endpoint.
type resident struct {
	name     string
	version  int
	state    residentState
	adapters []string
	// unloading lists those of the adapters whose unload waits for requests that use them. They occupy their slots.
	unloading []string
	// loaded lists those of the adapters that were loaded by an order in this ledger. The endpoint holds them and is not
	// unloading them, which a report alone does not show.
	loaded []string
	// readyAt is the expected end of a load.
	readyAt time.Time
	// afterOrders is the number of accepted orders including the one that loads or unloads the model.
	afterOrders int64
	// deadline is when a load or unload counts as overdue if the endpoint has not announced its effect.
	deadline time.Time
}

// ledger is what one endpoint holds after a known number of accepted orders. Each order carries that number, and the
// endpoint refuses an order whose number differs from the number of orders that it has accepted. An order therefore
// never acts on a state other than the one it was planned for, even if other instances have sent orders or an order
// arrives late.
type ledger struct {
	// known is false until a report of the endpoint has been read.
	known          bool
	ordersAccepted int64
	// countedAt is when ordersAccepted last changed. A report with fewer orders that is read much later shows that the
	// endpoint did not count an order.
	countedAt time.Time
	// reportsApplied counts the reports that replaced the ledger. An order planned before the last of them must not be
	// sent: it would carry a number of accepted orders that belongs to another state.
	reportsApplied int
	models         []resident
	// busyUntil is set when a report showed an order in progress that this ledger did not record.
	busyUntil time.Time
	// unloadAcceptedAt is when the last unload of an adapter was accepted that waits for requests; unloadCheckAt is when
	// the report is read to see whether it has ended.
	unloadAcceptedAt time.Time
	unloadCheckAt    time.Time
	// The ledger differs from the endpoint's entry since differsSince, if set. The report is read at entryCheckAt to see
	// which of them is right.
	differsSince time.Time
	entryCheckAt time.Time
}

// listing is what an endpoint's announcement lists.
type listing struct {
	models []fleet.HeldModel
	// ordersAccepted is the number of orders that the endpoint had accepted when it listed the models; zero if not known.
	ordersAccepted int64
}

func (a listing) find(model string) *fleet.HeldModel {
	for i := range a.models {
		if a.models[i].Name == model {
			return &a.models[i]
		}
	}
	return nil
}

// maxReportLag is the age that a report may have when it is read. Reports lag by some hundred milliseconds.
const maxReportLag = 2 * time.Second

const (
	// firstCheckAfter is how long the ledger may differ from the endpoint's entry until the report is read to check it.
	// The entry is written and read some time after the endpoint has changed.
	firstCheckAfter = 2500 * time.Millisecond
	// maxCheckInterval bounds the time between two checks, which doubles each time. An entry that stays old, as during an
	// outage of the store, must not cost a report every few seconds.
	maxCheckInterval = 40 * time.Second
)

// busyReportInterval is the time until a report that showed an order in progress is read again.
const busyReportInterval = 500 * time.Millisecond

// unloadCheckDivisor divides the time for which an unload has waited. The quotient is the time until the report is read
// again, if it exceeds busyReportInterval: a stream that goes on for minutes does not cost two reports a second.
const unloadCheckDivisor = 4

// applyReport replaces the ledger by a report unless the report is older. Reports lag by some hundred milliseconds, but
// the contents of a report and its number of orders are consistent. A report without an order in progress is therefore a
// safe base for orders however old it is: the endpoint refuses them if it has accepted more orders since.
func (l *ledger) applyReport(report *Report, now time.Time) {
	if !l.differsSince.IsZero() {
		l.entryCheckAt = now.Add(min(max(firstCheckAfter, now.Sub(l.differsSince)), maxCheckInterval))
	}
	switch {
	case report.OrdersAccepted < l.ordersAccepted && now.Sub(l.countedAt) < maxReportLag:
	case l.known && report.OrdersAccepted == l.ordersAccepted:
		l.applyReportOfSameOrders(report, now)
	default:
		l.replace(report, now)
	}
}

// replace replaces the ledger by a report. If the report shows an order in progress, it does not list what that order
// adds, so that no order can be planned from it, and the ledger becomes unknown.
func (l *ledger) replace(report *Report, now time.Time) {
	sameOrders := report.OrdersAccepted == l.ordersAccepted
	l.known = !report.Busy && report.PendingAdapters == 0
	l.reportsApplied++
	l.ordersAccepted, l.countedAt = report.OrdersAccepted, now
	l.busyUntil = time.Time{}
	if !l.known {
		l.busyUntil = now.Add(busyReportInterval)
		if sameOrders {
			return
		}
	}
	models := residentsOf(report)
	if sameOrders {
		l.keepMarks(models)
	}
	l.models = models
}

func residentsOf(report *Report) []resident {
	var models []resident
	for _, m := range report.Models {
		models = append(models, resident{name: m.Name, version: m.Version, adapters: slices.Clone(m.Adapters)})
	}
	return models
}

// applyReportOfSameOrders corrects a known ledger by a report after the same orders. It shows which unloads of adapters
// have ended, and a ledger that lists other contents than the endpoint is wrong although its number of orders is right.
//
// A report that shows an order in progress is not used for the contents. It may be from before the end of that order, and
// then it lacks a model that has been loaded since. Or it shows an order that the ledger lacks. A later report tells.
func (l *ledger) applyReportOfSameOrders(report *Report, now time.Time) {
	l.unloadCheckAt = now.Add(max(busyReportInterval, now.Sub(l.unloadAcceptedAt)/unloadCheckDivisor))
	if l.changesModels() || report.PendingAdapters > 0 {
		// The report does not list what is being loaded.
		return
	}
	if report.Busy {
		l.waitForReport(now)
		return
	}
	models := residentsOf(report)
	l.keepMarks(models)
	if !slices.EqualFunc(l.models, models, sameContents) {
		// Queued orders were planned on other contents.
		l.reportsApplied++
	}
	l.models = models
}

// keepMarks marks, in a list after the same orders, the adapters that are being unloaded or were loaded by an order, and
// that the endpoint still holds.
func (l *ledger) keepMarks(models []resident) {
	for i := range models {
		m := &models[i]
		isGone := func(adapter string) bool { return !slices.Contains(m.adapters, adapter) }
		if r := l.find(m.name); r != nil {
			m.unloading = slices.DeleteFunc(slices.Clone(r.unloading), isGone)
			m.loaded = slices.DeleteFunc(slices.Clone(r.loaded), isGone)
		}
	}
}

// explains reports whether a newer ledger after the same orders lists the same contents, except for adapters that were
// being unloaded.
func (l *ledger) explains(newer *ledger) bool {
	if l.ordersAccepted != newer.ordersAccepted || len(l.models) != len(newer.models) {
		return false
	}
	for i := range l.models {
		expected, found := l.models[i], newer.find(l.models[i].name)
		if found == nil {
			return false
		}
		ended := func(a string) bool {
			return slices.Contains(expected.unloading, a) && !slices.Contains(found.adapters, a)
		}
		expected.adapters = slices.DeleteFunc(slices.Clone(expected.adapters), ended)
		if !sameContents(expected, *found) {
			return false
		}
	}
	return true
}

// sameContents reports whether two residents are the same model with the same adapters, in any order.
func sameContents(a, b resident) bool {
	if a.name != b.name || a.version != b.version || len(a.adapters) != len(b.adapters) {
		return false
	}
	for _, adapter := range a.adapters {
		if !slices.Contains(b.adapters, adapter) {
			return false
		}
	}
	return true
}

// distrust makes the ledger accept the next report, whatever its number of orders, and wait for it until the report no
// longer lags behind this moment.
func (l *ledger) distrust(now time.Time) {
	l.ordersAccepted = 0
	l.waitForReport(now)
}

// waitForReport makes the ledger unknown until a report has been read that no longer lags behind this moment.
func (l *ledger) waitForReport(now time.Time) {
	l.known = false
	l.busyUntil = now.Add(busyReportInterval)
}

// countOrder counts an order that the endpoint has accepted. Entries written before it say nothing about its effect.
func (l *ledger) countOrder(now time.Time) {
	l.ordersAccepted++
	l.countedAt = now
	l.differsSince = time.Time{}
}

// recordAccepted records an order that the endpoint has accepted.
func (l *ledger) recordAccepted(order *Order, now time.Time) {
	l.countOrder(now)
	if order.Adapter != "" {
		l.recordAdapterChange(order)
		return
	}
	deadline := now.Add(2*order.Expected + completionMargin)
	if order.Verb == Load {
		l.models = append(l.models, resident{
			name: order.Model, state: stateLoading, afterOrders: l.ordersAccepted, readyAt: now.Add(order.Expected), deadline: deadline,
		})
		return
	}
	if r := l.find(order.Model); r != nil {
		r.state, r.afterOrders, r.deadline = stateUnloading, l.ordersAccepted, deadline
	}
}

func (l *ledger) recordAdapterChange(order *Order) {
	r := l.find(order.Model)
	if r == nil {
		return
	}
	isAdapter := func(a string) bool { return a == order.Adapter }
	r.adapters = slices.DeleteFunc(r.adapters, isAdapter)
	r.unloading = slices.DeleteFunc(r.unloading, isAdapter)
	r.loaded = slices.DeleteFunc(r.loaded, isAdapter)
	if order.Verb == Load {
		r.adapters = append(r.adapters, order.Adapter)
	}
}

// recordLoaded records that an accepted order loads an adapter.
func (l *ledger) recordLoaded(order *Order) {
	if r := l.find(order.Model); r != nil {
		r.loaded = append(r.loaded, order.Adapter)
	}
}

// wasLoaded reports whether an adapter was loaded by an order in this ledger and not unloaded since.
func (l *ledger) wasLoaded(model, adapter string) bool {
	r := l.find(model)
	return r != nil && slices.Contains(r.loaded, adapter)
}

// recordUnloadWaiting records an accepted unload of an adapter that waits for the requests that use the adapter.
func (l *ledger) recordUnloadWaiting(order *Order, now time.Time) {
	l.countOrder(now)
	l.unloadAcceptedAt, l.unloadCheckAt = now, now.Add(busyReportInterval)
	if r := l.find(order.Model); r != nil && slices.Contains(r.adapters, order.Adapter) && !slices.Contains(r.unloading, order.Adapter) {
		r.unloading = append(r.unloading, order.Adapter)
		r.loaded = slices.DeleteFunc(r.loaded, func(a string) bool { return a == order.Adapter })
	}
}

// unloadingAdapters returns the adapters whose unload waits for requests that use them.
func (l *ledger) unloadingAdapters() []AdapterKey {
	var keys []AdapterKey
	for i := range l.models {
		for _, adapter := range l.models[i].unloading {
			keys = append(keys, AdapterKey{Model: l.models[i].name, Adapter: adapter})
		}
	}
	return keys
}

func (l *ledger) find(model string) *resident {
	for i := range l.models {
		if l.models[i].name == model {
			return &l.models[i]
		}
	}
	return nil
}

// reconcile completes loads and unloads whose effect the endpoint announces. An announcement from before the order does
// not show its effect. If an order is overdue, the ledger becomes unknown and the report is read.
func (l *ledger) reconcile(announced listing, now time.Time) {
	for i := 0; i < len(l.models); i++ {
		r := &l.models[i]
		listed := announced.find(r.name)
		reflectsOrder := announced.ordersAccepted >= r.afterOrders
		switch {
		case r.state == stateLoading && listed != nil && reflectsOrder:
			r.state, r.version = stateHeld, listed.Version
		case r.state == stateUnloading && listed == nil && reflectsOrder:
			l.models = slices.Delete(l.models, i, i+1)
			i--
		case r.state != stateHeld && now.After(r.deadline):
			l.known = false
		}
	}
	if !l.differsFrom(announced) {
		l.differsSince = time.Time{}
	} else if l.differsSince.IsZero() {
		l.differsSince, l.entryCheckAt = now, now.Add(firstCheckAfter)
	}
}

// differsFrom reports whether a known ledger without model orders in progress differs from what the endpoint announces.
// Either may be the older one.
func (l *ledger) differsFrom(announced listing) bool {
	if !l.known || l.changesModels() {
		return false
	}
	if announced.ordersAccepted != 0 && announced.ordersAccepted != l.ordersAccepted {
		return true
	}
	sameAdapters := func(r resident) bool {
		m := announced.find(r.name)
		return m != nil && len(m.Adapters) == len(r.adapters) &&
			!slices.ContainsFunc(r.adapters, func(a string) bool { return !slices.Contains(m.Adapters, a) })
	}
	return len(l.models) != len(announced.models) || slices.ContainsFunc(l.models, func(r resident) bool { return !sameAdapters(r) })
}

// busy reports whether a model order is in progress or the ledger is unknown.
func (l *ledger) busy(now time.Time) bool {
	return !l.known || l.changesModels() || now.Before(l.busyUntil)
}

// changesModels reports whether a model is being loaded or unloaded.
func (l *ledger) changesModels() bool {
	return slices.ContainsFunc(l.models, func(r resident) bool { return r.state != stateHeld })
}

// needsReport reports whether the endpoint's report must be read: to know what the endpoint holds, to see whether the
// unload of an adapter has ended, or because the endpoint's entry differs.
func (l *ledger) needsReport(now time.Time) bool {
	if !l.known {
		return !now.Before(l.busyUntil)
	}
	if !l.differsSince.IsZero() && !now.Before(l.entryCheckAt) {
		return true
	}
	return len(l.unloadingAdapters()) > 0 && !now.Before(l.unloadCheckAt)
}

// heldModels returns the models that occupy memory.
func (l *ledger) heldModels() []fleet.HeldModel {
	held := make([]fleet.HeldModel, 0, len(l.models))
	for i := range l.models {
		r := &l.models[i]
		held = append(held, fleet.HeldModel{Name: r.name, Version: r.version, Adapters: r.adapters})
	}
	return held
}
