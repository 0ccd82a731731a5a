package ledger

import (
	"cmp"
	"context"
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

// Outcome is what the sender of an order knows of it.
type Outcome string

const (
	// Executed means that the engine replied that it carried the order out.
	Executed Outcome = "executed"
	// NotRun means that the order did not and will not run: it was never sent, or the engine refused it.
	NotRun Outcome = "not_run"
	// Unknown means that the order may still run.
	Unknown Outcome = "unknown"
)

// Resolve records the outcome of the holder's own order: an executed load is loaded, an executed unload releases the
// reservation, a load that did not run releases it, an unload that did not run leaves the artifact loaded. An order that
// the record no longer names is no error. Errors: ErrLeaseNotHeld, ErrContended, kvstore.ErrUnavailable,
// kvstore.ErrOutcomeUnknown; after any of them the call may be repeated.
func (l *Ledger) Resolve(ctx context.Context, guard Guard, endpoint Endpoint, orderID string, outcome Outcome) (Record, error) {
	return l.update(ctx, guard, endpoint, noConditions, func(record *Record) (bool, error) {
		return resolve(record, orderID, outcome), nil
	})
}

func resolve(record *Record, orderID string, outcome Outcome) bool {
	if record.RoleOrder != nil && record.RoleOrder.OrderID == orderID {
		if outcome == Unknown {
			return false
		}
		record.RoleOrder = nil
		return true
	}
	for i := range record.Reservations {
		held := &record.Reservations[i]
		if held.OrderID == orderID && held.Pending() {
			return held.resolve(record, outcome)
		}
	}
	return false
}

func (r *Reservation) resolve(record *Record, outcome Outcome) bool {
	if outcome == Unknown {
		changed := r.State != Unresolved
		r.State = Unresolved
		return changed
	}
	holds := (r.Verb == engine.VerbLoad) == (outcome == Executed)
	if holds {
		r.State = Loaded
		r.NoneOutstanding = true
		return true
	}
	record.remove(r.Artifact)
	return true
}

// Fence reserves a fence order on a session to the given incarnation, whose fencing number is newer than that of every
// earlier order for the endpoint. Orders of other sessions that have no recorded outcome become unresolved. Errors: as
// Resolve.
func (l *Ledger) Fence(ctx context.Context, guard Guard, endpoint Endpoint, orderID string, capacityBytes []int64) (Record, error) {
	return l.update(ctx, guard, endpoint, noConditions, func(record *Record) (bool, error) {
		if record.Fence != nil && record.Fence.OrderID == orderID {
			return false, nil
		}
		record.CapacityBytes = slices.Clone(capacityBytes)
		record.Fence = &FenceOrder{OrderID: orderID}
		for i := range record.Reservations {
			if record.Reservations[i].Pending() {
				record.Reservations[i].State = Unresolved
			}
		}
		return true, nil
	})
}

// ReserveRole records a set_role order before it is sent. Errors: ErrOrderPending, ErrStaleSession, and as Resolve.
func (l *Ledger) ReserveRole(ctx context.Context, guard Guard, endpoint Endpoint, request Request) (RoleOrder, Record, error) {
	record, err := l.update(ctx, guard, endpoint, noConditions, func(record *Record) (bool, error) {
		if !record.fencedBy(request.SessionFence) || record.Incarnation != request.Incarnation {
			return false, ErrStaleSession
		}
		if record.RoleOrder != nil && record.RoleOrder.OrderID == request.OrderID {
			return false, nil
		}
		if record.RoleOrder != nil {
			return false, errors.Wrapf(ErrOrderPending, "set_role order %s", record.RoleOrder.OrderID)
		}
		record.RoleOrder = &RoleOrder{OrderID: request.OrderID, Role: request.Role, Incarnation: request.Incarnation}
		return true, nil
	})
	if err != nil {
		return RoleOrder{}, record, err
	}
	return *record.RoleOrder, record, nil
}

// ErrFenceNeeded means that an earlier report showed something that newer reports are only certain to show after another
// order. The caller closes the session; the fence order of the next one is such an order.
var ErrFenceNeeded = errors.New("reports are used only after another order")

// ErrReportTooOld means that a report was not proven to be made after the session's last order; it must not be used.
var ErrReportTooOld = errors.New("report may be older than the last order")

// Observation is a report with what is needed to trust it. A report lags, so that it proves nothing by its arrival time:
// it counts only when it shows that it was made after the last order that was carried out on the session.
type Observation struct {
	// Incarnation is that of the session on which the orders and the report were exchanged. The report must have been
	// requested after Fence read the record: the incarnation that answers is then the newest one.
	Incarnation   string
	Report        engine.Report
	ChecksFencing bool
	// Fence is the fence order that the engine carried out when the session was opened.
	Fence FenceOrder
	// LastOrderID and LastFencingNumber name the last order that the engine carried out on the session; the fence order
	// when there was none after it.
	LastOrderID       string
	LastFencingNumber int64
}

// fresh tells whether the report was made after the engine began the last order.
func (o Observation) fresh() bool {
	if o.Report.Incarnation != o.Incarnation {
		return false
	}
	if slices.Contains(o.Report.LastOrders, o.LastOrderID) {
		return true
	}
	return o.ChecksFencing && o.Report.HighestFencingNumber >= o.LastFencingNumber
}

// outdates tells whether the engine refuses an order with this number from now on. The report must show the number, so
// that an engine which is wrongly declared to check fencing numbers is not trusted.
func (o Observation) outdates(fencingNumber int64) bool {
	checks := o.ChecksFencing && o.Report.HighestFencingNumber >= o.Fence.FencingNumber
	return checks && fencingNumber < o.Fence.FencingNumber
}

// Reconcile brings the record in line with a report. The caller passes the record that it last read or wrote: a report
// that confirms it costs no store call, because 390 endpoints in each of 14 data centres that are verified every few
// seconds would use half of the store's reads. It must not run while an order of the caller is outstanding on the
// session. Errors: ErrReportTooOld, ErrFenceNeeded, ErrStaleSession, and as Resolve.
func (l *Ledger) Reconcile(ctx context.Context, guard Guard, known Record, seen Observation) (Record, error) {
	if !seen.fresh() {
		return Record{}, ErrReportTooOld
	}
	if known.confirmedBy(seen) {
		return known, nil
	}
	return l.update(ctx, guard, known.Endpoint, noConditions, func(record *Record) (bool, error) {
		if !record.fencedBy(seen.Fence.OrderID) {
			return false, ErrStaleSession
		}
		if seen.LastFencingNumber < record.ReportsAfter {
			return false, ErrFenceNeeded
		}
		before := record.Clone()
		reconcile(record, seen)
		return !reflect.DeepEqual(before, *record), nil
	})
}

// confirmedBy tells whether the report changes nothing in the record.
func (r *Record) confirmedBy(seen Observation) bool {
	if r.Revision == 0 || !r.fencedBy(seen.Fence.OrderID) || seen.LastFencingNumber < r.ReportsAfter {
		return false
	}
	after := r.Clone()
	reconcile(&after, seen)
	return reflect.DeepEqual(r.Clone(), after)
}

// fencedBy tells whether the session that sent this fence order is the latest one.
func (r *Record) fencedBy(orderID string) bool {
	return r.Fence != nil && r.Fence.OrderID == orderID
}

func reconcile(record *Record, seen Observation) {
	reported := make(map[engine.Artifact]engine.LoadedArtifact, len(seen.Report.Artifacts))
	for _, artifact := range seen.Report.Artifacts {
		reported[artifact.Artifact] = artifact
	}
	// An empty list and none are stored differently; a record must not be rewritten for that.
	kept := make([]Reservation, 0, len(record.Reservations))
	for _, held := range record.Reservations {
		actual, present := reported[held.Artifact]
		if news(held, actual, present, seen) {
			record.ReportsAfter = seen.LastFencingNumber + 1
		}
		delete(reported, held.Artifact)
		if updated, keep := settle(held, actual, present, seen); keep {
			kept = append(kept, updated)
		}
	}
	kept = append(kept, adopt(reported, seen.Incarnation)...)
	record.Reservations = kept
	record.Incarnation = seen.Incarnation
	settleRole(record, seen)
}

// settle decides about one reservation; false releases it.
func settle(held Reservation, actual engine.LoadedArtifact, present bool, seen Observation) (Reservation, bool) {
	if held.Pending() && !conclusive(held, actual, present, seen) {
		held.State = Unresolved
		return held, true
	}
	if !present {
		return held, false
	}
	if held.Incarnation != seen.Incarnation {
		current := adopted(actual, seen.Incarnation)
		current.Base = held.Base
		return current, true
	}
	held.NoneOutstanding = true
	held.Accelerators = slices.Clone(actual.Accelerators)
	held.BytesPerAccelerator = actual.BytesPerAccelerator
	held.State = stateOf(actual.State)
	return held, true
}

// news tells whether the report shows something that the session's orders do not account for: the arrival of an order of
// another session, or the loss of a loaded artifact.
func news(held Reservation, actual engine.LoadedArtifact, present bool, seen Observation) bool {
	if held.Incarnation != seen.Incarnation {
		return false
	}
	if !held.Pending() {
		return !present
	}
	known := held.NoneOutstanding || seen.outdates(held.FencingNumber)
	return !known && conclusive(held, actual, present, seen)
}

// conclusive tells whether no order for the reservation's artifact can arrive any more.
func conclusive(held Reservation, actual engine.LoadedArtifact, present bool, seen Observation) bool {
	// The order's session was bound to an earlier incarnation, whose process and sockets are gone.
	if held.Incarnation != seen.Incarnation {
		return true
	}
	if held.NoneOutstanding || seen.outdates(held.FencingNumber) {
		return true
	}
	// The order arrived: it is executed, or the load has begun.
	if slices.Contains(seen.Report.LastOrders, held.OrderID) {
		return true
	}
	return present && held.Verb == engine.VerbLoad && actual.OrderID == held.OrderID
}

// adopt makes reservations of artifacts that the engine holds and the record does not name, in the report's order.
func adopt(unknown map[engine.Artifact]engine.LoadedArtifact, incarnation string) []Reservation {
	var found []Reservation
	for _, actual := range unknown {
		found = append(found, adopted(actual, incarnation))
	}
	slices.SortFunc(found, func(a, b Reservation) int { return compareArtifacts(a.Artifact, b.Artifact) })
	return found
}

func adopted(actual engine.LoadedArtifact, incarnation string) Reservation {
	return Reservation{
		Artifact:            actual.Artifact,
		Accelerators:        slices.Clone(actual.Accelerators),
		BytesPerAccelerator: actual.BytesPerAccelerator,
		State:               stateOf(actual.State),
		Verb:                engine.VerbLoad,
		OrderID:             actual.OrderID,
		NoneOutstanding:     true,
		Incarnation:         incarnation,
	}
}

func stateOf(state engine.ArtifactState) State {
	switch state {
	case engine.StateLoaded:
		return Loaded
	case engine.StateLoading:
		return Loading
	default:
		return Unloading
	}
}

// settleRole releases a set_role order that can no longer arrive.
func settleRole(record *Record, seen Observation) {
	order := record.RoleOrder
	if order == nil {
		return
	}
	other := order.Incarnation != seen.Incarnation
	if other || seen.outdates(order.FencingNumber) || slices.Contains(seen.Report.LastOrders, order.OrderID) {
		record.RoleOrder = nil
	}
}

func compareArtifacts(a, b engine.Artifact) int {
	return cmp.Or(
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Name, b.Name),
		cmp.Compare(a.Version, b.Version),
	)
}
