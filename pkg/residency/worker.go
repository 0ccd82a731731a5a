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
	// resendPause is the time between sends of an order whose outcome is unknown.
	resendPause = 600 * time.Millisecond
	// orderTimeout bounds one call to an endpoint.
	orderTimeout = time.Second
	// orderAttempts bounds the sends of one order: an order without a reply may be carried out up to twelve seconds later.
	orderAttempts = 20
	// doneSlack is how long after its expected end a model order counts as under way without word from the endpoint.
	doneSlack = 2 * time.Second
	// refusedPause keeps an endpoint from further orders after a failure.
	refusedPause = time.Second
	// conflictPause keeps an endpoint from orders while another one is under way there.
	conflictPause = 300 * time.Millisecond
	// intentTime bounds the time from an unload to the load that it makes room for. An unload waits for what runs.
	intentTime = 8 * time.Second
	// leavingPause is the time in which the other instances learn that a model is about to be unloaded.
	leavingPause = 80 * time.Millisecond
)

// worker carries out the orders of one endpoint in one lifetime, one call at a time. Its fields are guarded by the
// controller's lock.
type worker struct {
	controller *Controller
	target     Target
	lifetime   int64
	ledger     ledger
	queue      []Order
	running    bool
	// intended is the model that an order loads or makes room for, until it is loaded or intendedUntil has passed; victim is
	// the model that a queued order unloads. Plans take both as done.
	intended      string
	intendedUntil time.Time
	victim        string
	// blockedUntil keeps the endpoint from orders after a failure.
	blockedUntil time.Time
}

// apply replaces what the endpoint announces by what it holds for planning, with what is under way.
func (w *worker) apply(state *EndpointState, now time.Time) {
	w.ledger.settle(state.announces, now)
	state.Busy = w.ledger.busy(now) || w.running || now.Before(w.blockedUntil)
	if !w.ledger.known {
		return
	}
	state.Models = w.ledger.held()
	state.Changing = nil
	if w.intended != "" && (now.After(w.intendedUntil) || w.ledger.find(w.intended) != nil) {
		w.intended = ""
	}
	if w.victim != "" {
		state.Models = slices.DeleteFunc(state.Models, func(m fleet.HeldModel) bool { return m.Name == w.victim })
	}
	if w.intended != "" {
		state.Intended = w.intended
		state.Models = append(state.Models, fleet.HeldModel{Name: w.intended})
		state.Changing = append(state.Changing, w.intended)
	}
	for i := range w.ledger.models {
		if w.ledger.models[i].state != stateHeld {
			state.Changing = append(state.Changing, w.ledger.models[i].name)
		}
	}
}

// needsReport tells whether the endpoint's report must be read before orders can be planned.
func (w *worker) needsReport(now time.Time) bool {
	return !w.ledger.known && !w.running && !now.Before(w.ledger.busyUntil) && !now.Before(w.blockedUntil)
}

// run carries out queued orders until there are none.
func (w *worker) run(ctx context.Context, fence int64) {
	if !w.knows() {
		w.refresh(ctx)
	}
	for {
		order, ok := w.next()
		if !ok {
			return
		}
		w.execute(ctx, order, fence)
	}
}

func (w *worker) knows() bool {
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	return w.ledger.known
}

func (w *worker) next() (Order, bool) {
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

// dropQueue gives up the orders that were planned on a state that no longer holds.
func (w *worker) dropQueue() {
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	w.drop()
}

// drop gives up queued orders and what they were meant for. The controller's lock is held.
func (w *worker) drop() {
	w.queue = nil
	w.intended, w.victim = "", ""
}

// enqueue adds a planned order. The controller's lock is held.
func (w *worker) enqueue(order Order, now time.Time) {
	order.adoptions = w.ledger.adoptions
	w.queue = append(w.queue, order)
	if order.Adapter != "" {
		return
	}
	w.intended, w.intendedUntil = order.Model, now.Add(intentTime)
	if order.Verb == Unload {
		w.intended, w.victim = order.For, order.Model
	}
}

// execute sends one order until its outcome is known.
func (w *worker) execute(ctx context.Context, order Order, fence int64) {
	log := w.controller.options.Log.With(zap.String("endpoint", w.target.ID), zap.String("model", order.Model),
		zap.String("adapter", order.Adapter), zap.Bool("load", order.Verb == Load), zap.String("reason", order.Reason))
	uncertain := false
	if order.Verb == Unload && order.Adapter == "" {
		// Instances stop sending requests for the model first: the engine refuses those that the unload finds waiting.
		w.controller.options.ModelLeaving(w.target.ID, w.lifetime, order.Model)
		pause(ctx, leavingPause)
	}
	for range orderAttempts {
		after, ok := w.mayOrder(ctx, &order, fence)
		if !ok {
			log.Info("order dropped: lease not held or the endpoint's state is another one")
			w.dropQueue()
			return
		}
		reply, err := w.send(ctx, order, after, fence)
		if err == nil {
			w.conclude(ctx, order, reply, log)
			return
		}
		if errors.Is(err, engine.ErrNotSent) && !uncertain {
			log.Info("order not sent", zap.Error(err))
			w.stopFor(refusedPause)
			return
		}
		uncertain = true
		log.Info("order without a reply", zap.Int64("afterOrders", after), zap.Error(err))
		if w.ordersSince(ctx, after) {
			// This order or a late one of a former holder was accepted; the next plan starts from what the report says.
			w.dropQueue()
			return
		}
		pause(ctx, resendPause)
	}
	log.Warn("order given up: outcome unknown")
	w.forgetState()
	w.stopFor(refusedPause)
}

// mayOrder returns the number of accepted orders that an order builds on. It is false when this instance must not give
// orders, or the endpoint's state is not known or not the one that the order was decided on.
func (w *worker) mayOrder(ctx context.Context, order *Order, fence int64) (int64, bool) {
	w.controller.noteOrder(w.target.ID, time.Now())
	current, held := w.controller.options.Lease.Held()
	if !held || current != fence || ctx.Err() != nil {
		return 0, false
	}
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	return w.ledger.orders, w.ledger.known && w.ledger.adoptions == order.adoptions
}

// conclude takes over an endpoint's reply.
func (w *worker) conclude(ctx context.Context, order Order, reply OrderReply, log *zap.Logger) {
	switch reply {
	case Accepted:
		w.accepted(ctx, order, log)
	case AlreadyHolds:
		w.alreadyHolds(order, log)
	case Conflicting:
		log.Info("order refused: conflict")
		w.dropQueue()
		w.refresh(ctx)
		w.stopFor(conflictPause)
	default:
		log.Warn("order refused", zap.Int("reply", int(reply)))
		w.forgetState()
		w.stopFor(refusedPause)
	}
}

// alreadyHolds handles a reply that says that nothing is under way. An adapter was unloaded at once, which counts as an
// accepted order; an adapter or model that was there needed no load, which does not.
func (w *worker) alreadyHolds(order Order, log *zap.Logger) {
	log.Info("order done at once")
	if order.Adapter == "" {
		w.forgetState()
		return
	}
	w.controller.mu.Lock()
	if order.Verb == Unload {
		w.ledger.accepted(&order, time.Now())
	} else {
		w.ledger.adapterChanged(&order)
	}
	w.controller.mu.Unlock()
	w.controller.options.AdapterChanged(w.target.ID, w.lifetime, order)
}

// accepted records an accepted order and waits for an adapter.
func (w *worker) accepted(ctx context.Context, order Order, log *zap.Logger) {
	w.controller.mu.Lock()
	now := time.Now()
	w.ledger.accepted(&order, now)
	if order.Adapter == "" {
		w.victim = ""
	}
	orders := w.ledger.orders
	w.controller.mu.Unlock()
	log.Info("order accepted", zap.Int64("orders", orders), zap.Duration("expected", order.Expected),
		zap.Strings("held", order.Held), zap.Float64("gain", order.Gain))
	if order.Adapter == "" {
		return
	}
	if order.Verb == Load {
		pause(ctx, order.Expected)
	}
	// The endpoint's own report lags by some hundred milliseconds, so the effect is taken from the reply.
	w.controller.options.AdapterChanged(w.target.ID, w.lifetime, order)
}

func (w *worker) send(ctx context.Context, order Order, after, fence int64) (OrderReply, error) {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return w.controller.options.Engines.Order(call, w.target, OrderCall{
		Verb:        order.Verb,
		Model:       order.Model,
		Adapter:     order.Adapter,
		AfterOrders: after,
		Holder:      w.controller.options.Instance,
		Fence:       fence,
	})
}

// ordersSince reads the report and tells whether the endpoint has accepted an order since the given number; the ledger then
// follows the report.
func (w *worker) ordersSince(ctx context.Context, after int64) bool {
	report, ok := w.refresh(ctx)
	return ok && report.OrdersAccepted > after
}

// refresh reads the endpoint's own state into the ledger and passes it on.
func (w *worker) refresh(ctx context.Context) (Report, bool) {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := w.controller.options.Engines.Report(call, w.target)
	if err != nil {
		w.controller.options.Log.Info("endpoint report not read", zap.String("endpoint", w.target.ID), zap.Error(err))
		w.stopFor(refusedPause)
		return Report{}, false
	}
	if report.Lifetime != 0 && w.lifetime != 0 && report.Lifetime != w.lifetime {
		w.controller.options.Log.Info("endpoint has restarted", zap.String("endpoint", w.target.ID))
		w.stopFor(refusedPause)
		return Report{}, false
	}
	w.controller.mu.Lock()
	w.ledger.adopt(&report, time.Now())
	w.controller.mu.Unlock()
	report.Lifetime = w.lifetime
	w.controller.options.Published(w.target.ID, report)
	return report, true
}

// forgetState makes the next plan wait for the endpoint's report.
func (w *worker) forgetState() {
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	w.ledger.known = false
}

// stopFor gives up queued orders and keeps the endpoint from new ones.
func (w *worker) stopFor(d time.Duration) {
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	w.drop()
	w.blockedUntil = time.Now().Add(d)
}
