package residency

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

const (
	// lateOrderWindow is how long an order without a reply may still take effect.
	lateOrderWindow = 14 * time.Second
	// resendPause is the time between sends of an order whose outcome is unknown.
	resendPause = 600 * time.Millisecond
	// orderTimeout bounds one call to an endpoint.
	orderTimeout = time.Second
	// orderAttempts bounds the sends of one order.
	orderAttempts = 20
	// doneSlack is how long after its expected end a model order counts as under way without word from the endpoint.
	doneSlack = 2 * time.Second
	// refusedPause keeps an endpoint from further orders after a failure.
	refusedPause = time.Second
)

// modelOrder is a model order that was accepted or may have been.
type modelOrder struct {
	order Order
	// until is the time after which the order counts as ended without word from the endpoint.
	until time.Time
}

// worker carries out the orders of one endpoint in one lifetime, one call at a time. Its fields are guarded by the
// controller's lock.
type worker struct {
	controller *Controller
	target     Target
	lifetime   int64
	created    time.Time
	// formerly lists models whose loads were under way in the endpoint's former lifetime: such an order may still arrive.
	formerly []string
	// orders is the highest known count of accepted orders; negative until the endpoint's report was read.
	orders  int64
	queue   []Order
	running bool
	model   *modelOrder
	// blockedUntil keeps the endpoint from orders after a failure.
	blockedUntil time.Time
}

// unresolvedModels lists models whose loads may still take effect.
func (w *worker) unresolvedModels() []string {
	if w == nil {
		return nil
	}
	var names []string
	for _, order := range w.queue {
		if order.Verb == Load && order.Adapter == "" {
			names = append(names, order.Model)
		}
	}
	if w.model != nil && w.model.order.Verb == Load {
		names = append(names, w.model.order.Model)
	}
	return names
}

// apply adds what is under way to the planner's view of the endpoint.
func (w *worker) apply(state *EndpointState, spec *routing.Engine, now time.Time) {
	w.settle(state, now)
	if now.Sub(w.created) < lateOrderWindow {
		state.Reserved = append(state.Reserved, w.formerly...)
	}
	state.Reserved = append(state.Reserved, w.unresolvedModels()...)
	for _, order := range w.queue {
		if order.Adapter != "" && order.Verb == Load {
			state.ReservedAdapters++
		}
	}
	queuedModel := slices.ContainsFunc(w.queue, func(o Order) bool { return o.Adapter == "" })
	state.Busy = w.model != nil || queuedModel || now.Before(w.blockedUntil)
	if now.Before(w.blockedUntil) {
		state.ReservedAdapters = spec.AdapterSlots
	}
}

// settle ends the model order under way when the endpoint shows its effect or its time is over.
func (w *worker) settle(state *EndpointState, now time.Time) {
	m := w.model
	if m == nil {
		return
	}
	holds := state.HoldsModel(m.order.Model)
	effect := holds == (m.order.Verb == Load)
	if effect || now.After(m.until) {
		w.model = nil
	}
}

// run carries out queued orders until there are none.
func (w *worker) run(ctx context.Context, fence int64) {
	for {
		order, ok := w.next()
		if !ok {
			return
		}
		w.execute(ctx, order, fence)
		w.done()
	}
}

func (w *worker) next() (Order, bool) {
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	if len(w.queue) == 0 {
		w.running = false
		return Order{}, false
	}
	return w.queue[0], true
}

func (w *worker) done() {
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	w.queue = w.queue[1:]
}

// execute sends one order until its outcome is known.
func (w *worker) execute(ctx context.Context, order Order, fence int64) {
	log := w.controller.options.Log.With(zap.String("endpoint", w.target.ID), zap.String("model", order.Model),
		zap.String("adapter", order.Adapter), zap.Bool("load", order.Verb == Load), zap.String("reason", order.Reason))
	uncertain := false
	for range orderAttempts {
		current, held := w.controller.options.Lease.Held()
		if !held || current != fence || ctx.Err() != nil {
			log.Info("order dropped: lease not held")
			return
		}
		after, known := w.knownOrders(ctx)
		if !known {
			w.block()
			return
		}
		reply, err := w.send(ctx, order, after, fence)
		switch {
		case err != nil && errors.Is(err, engine.ErrNotSent) && !uncertain:
			log.Info("order not sent", zap.Error(err))
			w.block()
			return
		case err != nil:
			uncertain = true
			log.Info("order without a reply", zap.Int64("afterOrders", after), zap.Error(err))
			if w.confirm(ctx, order, after) {
				w.accepted(ctx, order, log)
				return
			}
			pause(ctx, resendPause)
			continue
		}
		switch reply {
		case Accepted:
			w.count(after + 1)
			w.accepted(ctx, order, log)
			return
		case AlreadyHolds:
			log.Info("order needless: endpoint holds that state")
			if order.Adapter != "" {
				w.controller.options.AdapterChanged(w.target.ID, w.lifetime, order)
				return
			}
			w.refresh(ctx)
			return
		case Conflicting:
			if uncertain && w.confirm(ctx, order, after) {
				w.accepted(ctx, order, log)
				return
			}
			log.Info("order refused: conflict", zap.Int64("afterOrders", after))
			w.refresh(ctx)
			w.blockFor(conflictPause)
			return
		default:
			log.Warn("order refused", zap.Int("reply", int(reply)))
			w.block()
			return
		}
	}
	log.Warn("order given up: outcome unknown")
	w.block()
}

// conflictPause keeps an endpoint from orders while another one is under way there.
const conflictPause = 300 * time.Millisecond

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

// confirm asks the endpoint whether it accepted an order whose reply was lost: only this worker gives it orders, so a
// higher count proves it.
func (w *worker) confirm(ctx context.Context, _ Order, after int64) bool {
	report, ok := w.refresh(ctx)
	return ok && report.OrdersAccepted > after
}

// accepted notes a model order as under way, or waits for an adapter.
func (w *worker) accepted(ctx context.Context, order Order, log *zap.Logger) {
	log.Info("order accepted", zap.Int64("orders", w.acceptedOrders()), zap.Duration("expected", order.Expected))
	if order.Adapter == "" {
		w.controller.mu.Lock()
		w.model = &modelOrder{order: order, until: time.Now().Add(2*order.Expected + doneSlack)}
		w.controller.mu.Unlock()
		return
	}
	if order.Verb == Load {
		pause(ctx, order.Expected)
	}
	// The endpoint's own report lags by some hundred milliseconds, so the effect is taken from the reply.
	w.controller.options.AdapterChanged(w.target.ID, w.lifetime, order)
}

// refresh reads the endpoint's own state and passes it on.
func (w *worker) refresh(ctx context.Context) (Report, bool) {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := w.controller.options.Engines.Report(call, w.target)
	if err != nil {
		w.controller.options.Log.Info("endpoint report not read", zap.String("endpoint", w.target.ID), zap.Error(err))
		return Report{}, false
	}
	if report.Lifetime != 0 && w.lifetime != 0 && report.Lifetime != w.lifetime {
		return Report{}, false
	}
	w.count(report.OrdersAccepted)
	report.Lifetime = w.lifetime
	w.controller.options.Published(w.target.ID, report)
	return report, true
}

// knownOrders returns the endpoint's count of accepted orders, which its report tells at first.
func (w *worker) knownOrders(ctx context.Context) (int64, bool) {
	if orders := w.acceptedOrders(); orders >= 0 {
		return orders, true
	}
	_, ok := w.refresh(ctx)
	return w.acceptedOrders(), ok
}

func (w *worker) acceptedOrders() int64 {
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	return w.orders
}

func (w *worker) count(orders int64) {
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	w.orders = max(w.orders, orders)
}

func (w *worker) block() { w.blockFor(refusedPause) }

func (w *worker) blockFor(d time.Duration) {
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	w.blockedUntil = time.Now().Add(d)
}
