package placement

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/decisions"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/ledger"
)

// Pacer limits the rate and number of loads.
type Pacer interface {
	// Acquire waits until a load may start and returns a function that ends it. Errors: the context's error.
	Acquire(ctx context.Context) (release func(), err error)
}

// errUnresolved means that the outcome of an order is unknown. The endpoint's remaining steps are dropped.
var errUnresolved = errors.New("order outcome unknown")

// errSuperseded means that the latest plan no longer contains the step, for example because another endpoint loaded the
// model while this endpoint waited.
var errSuperseded = errors.New("step is no longer planned")

// dependencies are shared by all workers of a controller.
type dependencies struct {
	ledger       *ledger.Ledger
	guard        ledger.Guard
	dialer       engine.OrderDialer
	modelPacer   Pacer
	adapterPacer Pacer
	recorder     *decisions.Recorder
	log          *zap.Logger
	newOrderID   func() string
	now          func() time.Time
	// orderTimeout bounds the wait for the reply to an order. After it, the order counts as unresolved.
	orderTimeout time.Duration
	// verifyInterval is the longest time between two reports. A report reveals a restart of the engine or the loss of
	// an artifact.
	verifyInterval time.Duration
}

// worker sends the orders of one endpoint, one at a time. Only one goroutine uses a worker, except for the fields under
// mu.
type worker struct {
	dependencies
	endpoint ledger.Endpoint
	// stillPlanned reports whether the latest plan contains a step that waited for pacing. If nil, every step counts as
	// planned.
	stillPlanned func(Step) bool

	session engine.OrderSession
	fence   ledger.FenceOrder
	// lastOrderID and lastFencingToken identify the last order that the engine carried out on the session.
	lastOrderID      string
	lastFencingToken int64
	// reconciled is true once the record was compared with a report of the session. verifiedAt is the time of the last
	// comparison.
	reconciled bool
	verifiedAt time.Time
	// unrecordedOutcomes holds outcomes of this worker's orders by order id until the ledger records them. They remain
	// valid after the lease is lost.
	unrecordedOutcomes map[string]ledger.Outcome

	mu     sync.Mutex
	record ledger.Record
	role   string
}

func newWorker(deps dependencies, endpoint ledger.Endpoint, record ledger.Record) *worker {
	return &worker{dependencies: deps, endpoint: endpoint, record: record, unrecordedOutcomes: make(map[string]ledger.Outcome)}
}

// Record returns a copy of the record that was read or written last.
func (w *worker) Record() ledger.Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.record.Clone()
}

func (w *worker) setRecord(record ledger.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record = record
}

// Role returns the role in the engine's last report. It is empty before the first report.
func (w *worker) Role() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.role
}

func (w *worker) setRole(role string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.role = role
}

func (w *worker) checkLease() error {
	if _, held := w.guard.Condition(); !held {
		return ledger.ErrLeaseNotHeld
	}
	return nil
}

// reconcileAndExecute reconciles the ledger with the engine and carries out the steps. It closes a failed session; the
// next call opens a new one.
func (w *worker) reconcileAndExecute(ctx context.Context, declaration *config.Endpoint, steps []Step) error {
	err := w.executeRound(ctx, declaration, steps)
	if closesSession(err) {
		w.closeSession()
	}
	return err
}

// sessionKeepingErrors are the errors after which the session is kept, because its last order cannot be outstanding.
// The session is also kept when the store is unavailable, because the ledger rejects its orders if another session was
// opened in the meantime.
var sessionKeepingErrors = []error{
	ledger.ErrReportTooOld,
	ledger.ErrOrderPending,
	ledger.ErrNotLoaded,
	ledger.ErrAlreadyLoaded,
	ledger.ErrLastCopy,
	ledger.ErrBaseNotLoaded,
	engine.ErrOrderRejected,
	errSuperseded,
	kvstore.ErrUnavailable,
}

func closesSession(err error) bool {
	var doesNotFit *ledger.DoesNotFitError
	return err != nil && !errors.IsAny(err, sessionKeepingErrors...) && !errors.As(err, &doesNotFit)
}

func (w *worker) executeRound(ctx context.Context, declaration *config.Endpoint, steps []Step) error {
	if err := w.checkLease(); err != nil {
		return err
	}
	if err := w.recordOutcomes(ctx); err != nil {
		return err
	}
	if err := w.openSession(ctx, declaration); err != nil {
		// A session is used only after its fence order was accepted.
		w.closeSession()
		return err
	}
	if err := w.reconcile(ctx, declaration); err != nil {
		return err
	}
	for _, step := range steps {
		if err := w.carryOut(ctx, declaration, step); err != nil {
			return err
		}
	}
	return nil
}

func (w *worker) closeSession() {
	if w.session != nil {
		w.session.Close()
	}
	w.session = nil
	w.reconciled = false
}

// recordOutcomes writes the outcomes of this worker's orders that are not recorded yet.
func (w *worker) recordOutcomes(ctx context.Context) error {
	for id, outcome := range w.unrecordedOutcomes {
		record, err := w.ledger.Resolve(ctx, w.guard, w.endpoint, id, outcome)
		if err != nil {
			return err
		}
		delete(w.unrecordedOutcomes, id)
		w.setRecord(record)
	}
	return nil
}

// openSession dials a session and sends a fence order, unless a session is open. The fencing token of the fence order
// is newer than that of every earlier order. An engine that checks tokens then rejects the earlier orders.
func (w *worker) openSession(ctx context.Context, declaration *config.Endpoint) error {
	if w.session != nil {
		return nil
	}
	session, err := w.dialer.DialOrders(ctx, engine.Target{Name: declaration.Name, URL: declaration.URL})
	if err != nil {
		return err
	}
	w.session = session
	id := w.newOrderID()
	record, err := w.ledger.Fence(ctx, w.guard, w.endpoint, id, capacityOf(declaration))
	if err != nil {
		return err
	}
	w.setRecord(record)
	w.fence = *record.Fence
	if err := w.checkLease(); err != nil {
		return err
	}
	order := engine.Order{ID: id, FencingToken: w.fence.FencingToken, Verb: engine.VerbFence}
	if err := w.send(ctx, order); err != nil {
		return err
	}
	w.lastOrderID, w.lastFencingToken = id, order.FencingToken
	return nil
}

func (w *worker) send(ctx context.Context, order engine.Order) error {
	ctx, cancel := context.WithTimeout(ctx, w.orderTimeout)
	defer cancel()
	return w.session.Send(ctx, order)
}

// reconcile compares the record with a report if the session is new, an order is unresolved or verifyInterval has
// passed.
func (w *worker) reconcile(ctx context.Context, declaration *config.Endpoint) error {
	verifiedRecently := w.now().Sub(w.verifiedAt) < w.verifyInterval
	if w.reconciled && verifiedRecently && !hasPendingOrder(w.Record()) {
		return nil
	}
	report, err := w.session.Report(ctx)
	if err != nil {
		return err
	}
	record, err := w.ledger.Reconcile(ctx, w.guard, w.Record(), ledger.Observation{
		Incarnation:      w.session.Incarnation(),
		Report:           report,
		ChecksFencing:    declaration.ChecksFencing,
		Fence:            w.fence,
		LastOrderID:      w.lastOrderID,
		LastFencingToken: w.lastFencingToken,
	})
	if err != nil {
		return err
	}
	w.setRecord(record)
	w.setRole(report.Role)
	w.reconciled = true
	w.verifiedAt = w.now()
	return nil
}

func hasPendingOrder(record ledger.Record) bool {
	for _, reservation := range record.Reservations {
		if reservation.Pending() {
			return true
		}
	}
	return record.RoleOrder != nil
}

// carryOut reserves, sends and resolves one order. If the ledger rejects the step, the ledger's error ends the round,
// and the next plan starts from the worker's record.
func (w *worker) carryOut(ctx context.Context, declaration *config.Endpoint, step Step) error {
	release, err := w.acquirePacer(ctx, step)
	if err != nil {
		return err
	}
	defer release()
	if w.stillPlanned != nil && !w.stillPlanned(step) {
		return errSuperseded
	}
	order, err := w.reserve(ctx, declaration, step)
	if err != nil {
		w.recordDecision(step, order, "refused", err)
		return err
	}
	err = w.sendReserved(ctx, order)
	outcome := outcomeOf(err)
	w.recordDecision(step, order, string(outcome), err)
	return w.recordOutcome(ctx, order, outcome, err)
}

// acquirePacer waits until the weight store's limits allow the load. It runs before memory is reserved, so that waiting
// loads reserve none.
func (w *worker) acquirePacer(ctx context.Context, step Step) (func(), error) {
	if step.Kind != StepLoad {
		return func() {}, nil
	}
	if step.Artifact.Kind == engine.KindAdapter {
		return w.adapterPacer.Acquire(ctx)
	}
	return w.modelPacer.Acquire(ctx)
}

// sendReserved sends a reserved order if the lease is still held. An order that was not sent is never sent later,
// because its id is used only once.
func (w *worker) sendReserved(ctx context.Context, order engine.Order) error {
	if err := w.checkLease(); err != nil {
		return errors.Mark(err, engine.ErrNotSent)
	}
	err := w.send(ctx, order)
	if err != nil {
		return err
	}
	w.lastOrderID, w.lastFencingToken = order.ID, order.FencingToken
	if order.Verb == engine.VerbSetRole {
		w.setRole(order.Role)
	}
	return nil
}

func outcomeOf(err error) ledger.Outcome {
	switch {
	case err == nil:
		return ledger.Executed
	case errors.Is(err, engine.ErrNotSent), errors.Is(err, engine.ErrStaleFencingToken), errors.Is(err, engine.ErrOrderRejected):
		return ledger.NotRun
	default:
		return ledger.Unknown
	}
}

func (w *worker) recordOutcome(ctx context.Context, order engine.Order, outcome ledger.Outcome, sendErr error) error {
	if outcome == ledger.Unknown {
		return errors.Mark(sendErr, errUnresolved)
	}
	w.unrecordedOutcomes[order.ID] = outcome
	if err := w.recordOutcomes(ctx); err != nil {
		return err
	}
	return sendErr
}

func (w *worker) reserve(ctx context.Context, declaration *config.Endpoint, step Step) (engine.Order, error) {
	order := engine.Order{ID: w.newOrderID(), Verb: verbOf(step.Kind), Artifact: step.Artifact, Base: step.Base, Role: step.Role}
	request := w.request(declaration, step, order)
	if step.Kind == StepSetRole {
		reserved, record, err := w.ledger.ReserveRole(ctx, w.guard, w.endpoint, request)
		if err != nil {
			return order, w.recordUnsent(order, err)
		}
		w.setRecord(record)
		order.FencingToken = reserved.FencingToken
		return order, nil
	}
	reserved, record, err := w.ledger.Reserve(ctx, w.guard, w.endpoint, request)
	if err != nil {
		return order, w.recordUnsent(order, err)
	}
	w.setRecord(record)
	order.FencingToken = reserved.FencingToken
	order.Accelerators = reserved.Accelerators
	order.BytesPerAccelerator = reserved.BytesPerAccelerator
	return order, nil
}

// recordUnsent stores the outcome NotRun for an order that was not sent but whose reservation may have been written.
func (w *worker) recordUnsent(order engine.Order, err error) error {
	if !errors.Is(err, kvstore.ErrOutcomeUnknown) {
		return err
	}
	w.unrecordedOutcomes[order.ID] = ledger.NotRun
	return err
}

func (w *worker) request(declaration *config.Endpoint, step Step, order engine.Order) ledger.Request {
	request := ledger.Request{
		OrderID:          order.ID,
		Verb:             order.Verb,
		Artifact:         step.Artifact,
		Base:             step.Base,
		AcceleratorCount: step.AcceleratorCount,
		Bytes:            step.Bytes,
		CapacityBytes:    capacityOf(declaration),
		Incarnation:      w.session.Incarnation(),
		SessionFenceID:   w.fence.OrderID,
		Withdrawn:        step.Withdrawn,
		Role:             step.Role,
	}
	if step.Witness != "" {
		request.Witness = &ledger.Endpoint{DataCentre: w.endpoint.DataCentre, Name: step.Witness}
	}
	return request
}

func verbOf(kind StepKind) engine.OrderVerb {
	switch kind {
	case StepLoad:
		return engine.VerbLoad
	case StepUnload:
		return engine.VerbUnload
	default:
		return engine.VerbSetRole
	}
}

func capacityOf(declaration *config.Endpoint) []int64 {
	var capacity []int64
	for _, accelerator := range declaration.Accelerators {
		capacity = append(capacity, accelerator.MemoryBytes)
	}
	return capacity
}

// orderDetail is the detail of an order's decision record.
type orderDetail struct {
	Endpoint     string `json:"endpoint"`
	Step         Step   `json:"step"`
	FencingToken int64  `json:"fencingNumber"`
	Accelerators []int  `json:"accelerators,omitempty"`
	Outcome      string `json:"outcome"`
	Error        string `json:"error,omitempty"`
}

func (w *worker) recordDecision(step Step, order engine.Order, outcome string, err error) {
	detail := orderDetail{
		Endpoint:     w.endpoint.Name,
		Step:         step,
		FencingToken: order.FencingToken,
		Accelerators: order.Accelerators,
		Outcome:      outcome,
	}
	if err != nil {
		detail.Error = err.Error()
	}
	w.recorder.Add(decisions.Record{
		Kind:    decisions.Placement,
		ID:      order.ID,
		Time:    w.now(),
		Subject: string(step.Artifact.Kind) + "/" + step.Artifact.Name + "@" + step.Artifact.Version,
		Chosen:  string(step.Kind) + " on " + w.endpoint.Name + ": " + outcome,
		Reason:  step.Reason,
		Detail:  detail,
	})
}
