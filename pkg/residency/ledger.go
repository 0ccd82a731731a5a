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
	// readyAt is the expected end of a load.
	readyAt time.Time
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
	// reportsApplied counts the reports that replaced the ledger. An order planned before the last of them must not be
	// sent: it would carry a number of accepted orders that belongs to another state.
	reportsApplied int
	models         []resident
	// busyUntil is set when a report showed an order in progress that this ledger did not record.
	busyUntil time.Time
}

// busyReportInterval is the time until a report that showed an order in progress is read again.
const busyReportInterval = 500 * time.Millisecond

// applyReport replaces the ledger by a report unless the report is older. Reports lag by some hundred milliseconds, but
// the contents of a report and its number of orders are consistent.
func (l *ledger) applyReport(report *Report, now time.Time) {
	if l.known && report.OrdersAccepted <= l.ordersAccepted || report.OrdersAccepted < l.ordersAccepted {
		return
	}
	l.known = true
	l.reportsApplied++
	l.ordersAccepted = report.OrdersAccepted
	l.models = nil
	for _, m := range report.Models {
		l.models = append(l.models, resident{name: m.Name, version: m.Version, adapters: slices.Clone(m.Adapters)})
	}
	l.busyUntil = time.Time{}
	if report.Busy || report.PendingAdapters > 0 {
		// The report does not list what an order in progress adds, so no order can be planned from it.
		l.known = false
		l.busyUntil = now.Add(busyReportInterval)
	}
}

// recordAccepted records an order that the endpoint has accepted.
func (l *ledger) recordAccepted(order *Order, now time.Time) {
	l.ordersAccepted++
	if order.Adapter != "" {
		l.recordAdapterChange(order)
		return
	}
	deadline := now.Add(2*order.Expected + completionMargin)
	if order.Verb == Load {
		l.models = append(l.models, resident{name: order.Model, state: stateLoading, readyAt: now.Add(order.Expected), deadline: deadline})
		return
	}
	if r := l.find(order.Model); r != nil {
		r.state, r.deadline = stateUnloading, deadline
	}
}

func (l *ledger) recordAdapterChange(order *Order) {
	r := l.find(order.Model)
	if r == nil {
		return
	}
	r.adapters = slices.DeleteFunc(r.adapters, func(a string) bool { return a == order.Adapter })
	if order.Verb == Load {
		r.adapters = append(r.adapters, order.Adapter)
	}
}

func (l *ledger) find(model string) *resident {
	for i := range l.models {
		if l.models[i].name == model {
			return &l.models[i]
		}
	}
	return nil
}

// reconcile completes loads and unloads whose effect the endpoint announces. If one is overdue, the ledger becomes
// unknown and the report is read.
func (l *ledger) reconcile(announces func(model string) bool, now time.Time) {
	for i := 0; i < len(l.models); i++ {
		r := &l.models[i]
		holds := announces(r.name)
		switch {
		case r.state == stateLoading && holds:
			r.state = stateHeld
		case r.state == stateUnloading && !holds:
			l.models = slices.Delete(l.models, i, i+1)
			i--
		case r.state != stateHeld && now.After(r.deadline):
			l.known = false
		}
	}
}

// busy reports whether a model order is in progress or the ledger is unknown.
func (l *ledger) busy(now time.Time) bool {
	changing := slices.ContainsFunc(l.models, func(r resident) bool { return r.state != stateHeld })
	return !l.known || changing || now.Before(l.busyUntil)
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
