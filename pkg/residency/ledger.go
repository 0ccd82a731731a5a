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

// resident is a model that takes memory at an endpoint.
type resident struct {
	name     string
	version  int
	state    residentState
	adapters []string
	// ready is when a load is expected to end.
	ready time.Time
	// until is when a load or unload counts as ended without word from the endpoint.
	until time.Time
}

// ledger is what one endpoint holds after a known number of accepted orders. Each order names that number, and the
// endpoint refuses it when it has accepted another one meanwhile. An order therefore never acts on a state that differs
// from the one it was decided on, whoever else has given orders and however late those arrive.
type ledger struct {
	// known is false until the endpoint's report was read.
	known  bool
	orders int64
	// adoptions counts the reports that replaced the ledger. An order that was decided on before the last of them must not
	// be sent: it would name a count of orders that belongs to another state.
	adoptions int
	models    []resident
	// busyUntil is set when the report showed an order under way that this ledger did not record.
	busyUntil time.Time
}

// reportBusyPause is the time before a report that showed an order under way is read again.
const reportBusyPause = 500 * time.Millisecond

// adopt replaces the ledger by a report unless the report is older. Reports lag by some hundred milliseconds, but what they
// say and the number of orders in them belong together.
func (l *ledger) adopt(report *Report, now time.Time) {
	if l.known && report.OrdersAccepted <= l.orders || report.OrdersAccepted < l.orders {
		return
	}
	l.known = true
	l.adoptions++
	l.orders = report.OrdersAccepted
	l.models = nil
	for _, m := range report.Models {
		l.models = append(l.models, resident{name: m.Name, version: m.Version, adapters: slices.Clone(m.Adapters)})
	}
	l.busyUntil = time.Time{}
	if report.Busy || report.PendingAdapters > 0 {
		// What an order under way adds is not listed, so the report is no base for another one.
		l.known = false
		l.busyUntil = now.Add(reportBusyPause)
	}
}

// accepted records an order that the endpoint has accepted.
func (l *ledger) accepted(order *Order, now time.Time) {
	l.orders++
	if order.Adapter != "" {
		l.adapterChanged(order)
		return
	}
	until := now.Add(2*order.Expected + doneSlack)
	if order.Verb == Load {
		l.models = append(l.models, resident{name: order.Model, state: stateLoading, ready: now.Add(order.Expected), until: until})
		return
	}
	if r := l.find(order.Model); r != nil {
		r.state, r.until = stateUnloading, until
	}
}

func (l *ledger) adapterChanged(order *Order) {
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

// settle ends loads and unloads whose effect the endpoint announces. One whose time is over without that makes the
// ledger unknown, so that the report is read.
func (l *ledger) settle(announces func(model string) bool, now time.Time) {
	for i := 0; i < len(l.models); i++ {
		r := &l.models[i]
		holds := announces(r.name)
		switch {
		case r.state == stateLoading && holds:
			r.state = stateHeld
		case r.state == stateUnloading && !holds:
			l.models = slices.Delete(l.models, i, i+1)
			i--
		case r.state != stateHeld && now.After(r.until):
			l.known = false
		}
	}
}

// busy tells whether a model order is under way.
func (l *ledger) busy(now time.Time) bool {
	changing := slices.ContainsFunc(l.models, func(r resident) bool { return r.state != stateHeld })
	return !l.known || changing || now.Before(l.busyUntil)
}

// held returns the models that take memory.
func (l *ledger) held() []fleet.HeldModel {
	held := make([]fleet.HeldModel, 0, len(l.models))
	for i := range l.models {
		r := &l.models[i]
		held = append(held, fleet.HeldModel{Name: r.name, Version: r.version, Adapters: r.adapters})
	}
	return held
}
