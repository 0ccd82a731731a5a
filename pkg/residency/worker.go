package residency

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

const (
	// resendPause is the time between attempts to send an order whose outcome is unknown.
	resendPause = 600 * time.Millisecond
	// orderTimeout bounds one call to an endpoint.
	orderTimeout = time.Second
	// maxOrderAttempts bounds the attempts to send one order. An order without a reply may be carried out up to twelve
	// seconds later.
	maxOrderAttempts = 20
	// completionMargin is how long after its expected end a model order still counts as in progress if the endpoint has
	// not announced its effect.
	completionMargin = 2 * time.Second
	// failurePause is the time without orders to an endpoint after a failure.
	failurePause = time.Second
	// conflictPause is the time without orders to an endpoint that has another order in progress.
	conflictPause = 300 * time.Millisecond
	// intentTimeout bounds the time from an unload to the load that it frees memory for. An unload waits for running
	// requests.
	intentTimeout = 8 * time.Second
	// leavingPause is the time for other instances to learn that a model is about to be unloaded.
	leavingPause = 80 * time.Millisecond
)

// worker carries out the orders for one lifetime of an endpoint, one call at a time. Its fields are guarded by the
// controller's lock.
type worker struct {
	controller *Controller
	target     Target
	lifetime   int64
	ledger     ledger
	queue      []Order
	running    bool
	// modelToLoad is the model that an order loads or frees memory for, until the ledger lists it or modelToLoadUntil
	// has passed. modelToUnload is the model that a queued order unloads. Plans treat both changes as done.
	modelToLoad      string
	modelToLoadUntil time.Time
	modelToUnload    string
	// blockedUntil is the end of a pause in which the endpoint gets no orders.
	blockedUntil time.Time
}

// apply replaces the announced models by those of the ledger and adds the orders in progress.
func (w *worker) apply(state *EndpointState, now time.Time) {
	w.ledger.reconcile(state.announced, now)
	state.Busy = state.Busy || w.ledger.busy(now) || w.running || now.Before(w.blockedUntil)
	if !w.ledger.known {
		return
	}
	state.Models = w.ledger.heldModels()
	state.UnloadingAdapters = w.ledger.unloadingAdapters()
	state.ChangingModels = nil
	if w.modelToLoad != "" && (now.After(w.modelToLoadUntil) || w.ledger.find(w.modelToLoad) != nil) {
		w.modelToLoad = ""
	}
	if w.modelToUnload != "" {
		state.Models = slices.DeleteFunc(state.Models, func(m fleet.HeldModel) bool { return m.Name == w.modelToUnload })
	}
	if w.modelToLoad != "" {
		state.ModelToLoad = w.modelToLoad
		state.Models = append(state.Models, fleet.HeldModel{Name: w.modelToLoad})
		state.ChangingModels = append(state.ChangingModels, w.modelToLoad)
	}
	for i := range w.ledger.models {
		if w.ledger.models[i].state != stateHeld {
			state.ChangingModels = append(state.ChangingModels, w.ledger.models[i].name)
		}
	}
}

// needsReport reports whether the endpoint's report is due. The controller's lock is held.
func (w *worker) needsReport(now time.Time) bool {
	return !w.running && w.ledger.needsReport(now) && !now.Before(w.blockedUntil)
}

// run carries out queued orders until the queue is empty.
func (w *worker) run(ctx context.Context, token int64) {
	if w.reportDue() {
		w.readReport(ctx)
	}
	for {
		order, ok := w.nextOrder()
		if !ok {
			return
		}
		w.execute(ctx, order, token)
	}
}

func (w *worker) reportDue() bool {
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	return !w.ledger.known || w.ledger.needsReport(time.Now())
}

func (w *worker) nextOrder() (Order, bool) {
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	if len(w.queue) == 0 {
		w.running = false
		return Order{}, false
	}
	order := w.queue[0]
	w.queue = w.queue[1:]
	return order, true
}

// dropQueue discards the queued orders, which were planned on an outdated state.
func (w *worker) dropQueue() {
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	w.dropQueueLocked()
}

// dropQueueLocked discards the queued orders and the changes that plans treat as done because of them. The controller's
// lock is held.
func (w *worker) dropQueueLocked() {
	w.queue = nil
	w.modelToLoad, w.modelToUnload = "", ""
}

// enqueue adds a planned order. The controller's lock is held.
func (w *worker) enqueue(order Order, now time.Time) {
	order.reportsApplied = w.ledger.reportsApplied
	w.queue = append(w.queue, order)
	if order.Adapter != "" {
		return
	}
	w.modelToLoad, w.modelToLoadUntil = order.Model, now.Add(intentTimeout)
	if order.Verb == Unload {
		w.modelToLoad, w.modelToUnload = order.ForModel, order.Model
	}
}

// execute sends one order until its outcome is known or the attempts are used up.
func (w *worker) execute(ctx context.Context, order Order, token int64) {
	log := w.controller.options.Log.With(zap.String("endpoint", w.target.ID), zap.String("model", order.Model),
		zap.String("adapter", order.Adapter), zap.Bool("load", order.Verb == Load), zap.String("reason", order.Reason))
	uncertain := false
	if order.Verb == Unload && order.Adapter == "" {
		// Instances first stop sending requests for the model, since the engine refuses requests that are still waiting
		// when the unload starts.
		w.controller.options.ModelLeaving(w.target.ID, w.lifetime, order.Model)
		pause(ctx, leavingPause)
	}
	for range maxOrderAttempts {
		afterOrders, ok := w.mayOrder(ctx, &order, token)
		if !ok {
			log.Info("order dropped: lease not held, endpoint busy or its state has changed")
			w.dropQueue()
			return
		}
		reply, err := w.send(ctx, order, afterOrders, token)
		if err == nil {
			w.handleReply(ctx, order, reply, log)
			return
		}
		if errors.Is(err, engine.ErrNotSent) && !uncertain {
			log.Info("order not sent", zap.Error(err))
			w.block(failurePause)
			return
		}
		uncertain = true
		log.Info("order without a reply", zap.Int64("afterOrders", afterOrders), zap.Error(err))
		if w.acceptedSince(ctx, afterOrders) {
			// The endpoint accepted this order or a delayed one of a previous holder. The next plan starts from the
			// report.
			w.dropQueue()
			return
		}
		pause(ctx, resendPause)
	}
	log.Warn("order abandoned: outcome unknown")
	w.invalidateLedger()
	w.block(failurePause)
}

// mayOrder returns the number of accepted orders that an order must carry. It returns false if this instance must not
// give orders, if the endpoint wants no calls, or if its state is unknown or has changed since the order was planned.
func (w *worker) mayOrder(ctx context.Context, order *Order, token int64) (int64, bool) {
	w.controller.recordOrder(w.target.ID, time.Now())
	current, held := w.controller.options.Lease.Held()
	if !held || current != token || ctx.Err() != nil || w.callsAllowedIn(time.Now()) > 0 {
		return 0, false
	}
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	// After a restart of the endpoint another worker gives the orders.
	isCurrent := w.controller.workers[w.target.ID] == w
	return w.ledger.ordersAccepted, isCurrent && w.ledger.known && w.ledger.reportsApplied == order.reportsApplied
}

// callsAllowedIn returns the time for which the endpoint wants no calls.
func (w *worker) callsAllowedIn(now time.Time) time.Duration {
	return w.controller.options.Fleet.CallsAllowedIn(w.target.ID, w.lifetime, now)
}

// handleReply processes an endpoint's reply to an order.
func (w *worker) handleReply(ctx context.Context, order Order, reply OrderReply, log *zap.Logger) {
	switch reply {
	case Accepted:
		w.handleAccepted(ctx, order, log)
	case AlreadyHolds:
		w.handleAlreadyHolds(order, log)
	case Conflicting:
		log.Info("order refused: conflict")
		w.handleConflict(ctx)
	default:
		log.Warn("order refused", zap.Int("reply", int(reply)))
		w.invalidateLedger()
		w.block(failurePause)
	}
}

// handleConflict reads the report after an order was refused because of another order or another number of orders. A
// ledger that still counts more orders than the endpoint is not trusted: an unload that the endpoint had nothing to do
// for gets the same reply as one that it carried out, but does not count.
func (w *worker) handleConflict(ctx context.Context) {
	w.dropQueue()
	report, ok := w.readReport(ctx)
	w.block(conflictPause)
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	if ok && report.OrdersAccepted < w.ledger.ordersAccepted {
		w.ledger.distrust(time.Now())
	}
}

// handleAlreadyHolds processes a reply that leaves no order in progress. Unloading an adapter completes immediately and
// counts as an accepted order, unless the endpoint had nothing to do because it is already unloading the adapter or does
// not hold it. Unless that is ruled out, the report decides: an order with a number that the endpoint has not reached yet
// could be late and be accepted once it has, on other contents. Loading an adapter or model that is already there does
// not count.
func (w *worker) handleAlreadyHolds(order Order, log *zap.Logger) {
	log.Info("order completed immediately")
	if order.Adapter == "" {
		w.invalidateLedger()
		return
	}
	w.controller.mu.Lock()
	switch {
	case order.Verb == Load:
		w.ledger.recordAdapterChange(&order)
	case w.ledger.wasLoaded(order.Model, order.Adapter):
		w.ledger.recordAccepted(&order, time.Now())
	default:
		w.ledger.waitForReport(time.Now())
		w.dropQueueLocked()
	}
	w.controller.mu.Unlock()
	w.controller.options.AdapterChanged(w.target.ID, w.lifetime, order)
}

// handleAccepted records an accepted order, which the endpoint has not carried out yet, and waits until an adapter is
// loaded.
func (w *worker) handleAccepted(ctx context.Context, order Order, log *zap.Logger) {
	unloadsAdapter := order.Adapter != "" && order.Verb == Unload
	w.controller.mu.Lock()
	now := time.Now()
	if unloadsAdapter {
		// The orders that follow in the queue need the slot, which stays occupied until the adapter's requests have ended.
		w.ledger.recordUnloadWaiting(&order, now)
		w.dropQueueLocked()
	} else {
		w.ledger.recordAccepted(&order, now)
	}
	if order.Adapter != "" && order.Verb == Load {
		w.ledger.recordLoaded(&order)
	}
	if order.Adapter == "" {
		w.modelToUnload = ""
	}
	ordersAccepted := w.ledger.ordersAccepted
	w.controller.mu.Unlock()
	log.Info("order accepted", zap.Int64("orders", ordersAccepted), zap.Duration("expected", order.Expected),
		zap.Strings("held", order.Held), zap.Float64("gain", order.Gain), zap.Bool("waitsForRequests", unloadsAdapter))
	if order.Adapter == "" {
		return
	}
	if order.Verb == Load {
		pause(ctx, order.Expected)
	}
	// The endpoint's own report lags by some hundred milliseconds, so the effect is derived from the reply.
	w.controller.options.AdapterChanged(w.target.ID, w.lifetime, order)
}

func (w *worker) send(ctx context.Context, order Order, afterOrders, token int64) (OrderReply, error) {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, statement, err := w.controller.options.Engines.Order(call, w.target, OrderCall{
		Verb:                   order.Verb,
		Model:                  order.Model,
		Adapter:                order.Adapter,
		ExpectedOrdersAccepted: afterOrders,
		Holder:                 w.controller.options.Instance,
		FencingToken:           token,
	})
	w.controller.options.OnStatement(w.target.ID, w.lifetime, statement)
	return reply, err
}

// acceptedSince reads the endpoint's report into the ledger. It reports whether the endpoint has accepted more orders
// than the given number.
func (w *worker) acceptedSince(ctx context.Context, afterOrders int64) bool {
	report, ok := w.readReport(ctx)
	return ok && report.OrdersAccepted > afterOrders
}

// readReport reads the endpoint's report into the ledger and passes it to Options.OnReportRead.
func (w *worker) readReport(ctx context.Context) (Report, bool) {
	if wait := w.callsAllowedIn(time.Now()); wait > 0 {
		w.block(wait)
		return Report{}, false
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, statement, err := w.controller.options.Engines.Report(call, w.target)
	w.controller.options.OnStatement(w.target.ID, w.lifetime, statement)
	if err != nil {
		w.controller.options.Log.Info("endpoint report not read", zap.String("endpoint", w.target.ID), zap.Error(err))
		w.block(failurePause)
		return Report{}, false
	}
	if report.Lifetime != 0 && w.lifetime != 0 && report.Lifetime != w.lifetime {
		w.controller.options.Log.Info("endpoint has restarted", zap.String("endpoint", w.target.ID))
		w.invalidateLedger()
		w.block(failurePause)
		return Report{}, false
	}
	w.controller.mu.Lock()
	before := w.ledger
	before.models = slices.Clone(before.models)
	w.ledger.applyReport(&report, time.Now())
	unloading := w.ledger.unloadingAdapters()
	corrected := before.known && w.ledger.known && !before.explains(&w.ledger)
	w.controller.mu.Unlock()
	if corrected {
		w.logCorrection(&before, &report)
	}
	report.Lifetime = w.lifetime
	w.controller.options.OnReportRead(w.target.ID, report)
	for _, key := range unloading {
		// The report and the endpoint's entry list the adapter until its unload has ended.
		w.controller.options.AdapterChanged(w.target.ID, w.lifetime, Order{Verb: Unload, Model: key.Model, Adapter: key.Adapter})
	}
	return report, true
}

// logCorrection records that the endpoint held other models or adapters than its ledger listed.
func (w *worker) logCorrection(before *ledger, report *Report) {
	w.controller.options.Log.Info("ledger corrected by the endpoint's report", zap.String("endpoint", w.target.ID),
		zap.Int64("orders", before.ordersAccepted), zap.Int64("reportedOrders", report.OrdersAccepted),
		zap.Any("listed", before.heldModels()), zap.Any("reported", report.Models))
	if w.controller.options.OnLedgerCorrected != nil {
		w.controller.options.OnLedgerCorrected()
	}
}

// invalidateLedger makes the next plan wait for the endpoint's report.
func (w *worker) invalidateLedger() {
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	w.ledger.known = false
}

// block discards the queued orders and keeps the endpoint from new ones for the given time.
func (w *worker) block(d time.Duration) {
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	w.dropQueueLocked()
	w.blockedUntil = time.Now().Add(d)
}
