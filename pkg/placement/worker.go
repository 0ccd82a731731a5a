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

// Pacer limits loads.
type Pacer interface {
	// Acquire waits until a load may start and returns a function that ends it. Errors: the context's error.
	Acquire(ctx context.Context) (release func(), err error)
}

// errUnresolved means that an order's outcome is unknown; the endpoint's remaining steps are dropped.
var errUnresolved = errors.New("order outcome unknown")

// errSuperseded means that the latest plan no longer has the step, for example because another endpoint has loaded the
// model while this one waited.
var errSuperseded = errors.New("step is no longer planned")

// tools are the dependencies of the workers.
type tools struct {
	ledger       *ledger.Ledger
	guard        ledger.Guard
	dialer       engine.OrderDialer
	modelPacer   Pacer
	adapterPacer Pacer
	recorder     *decisions.Recorder
	log          *zap.Logger
	newOrderID   func() string
	now          func() time.Time
	// orderTimeout is how long a worker waits for an order's reply before it treats the order as unresolved.
	orderTimeout time.Duration
	// verifyInterval is the longest time between two reports, which show a restart or an artifact that is gone.
	verifyInterval time.Duration
}

// worker sends the orders of one endpoint, one at a time. Only its own goroutine uses it, except for the record.
type worker struct {
	tools
	endpoint ledger.Endpoint
	// wanted tells whether the latest plan still has a step that waited for pacing; nil means that it has.
	wanted func(Step) bool

	session engine.OrderSession
	fence   ledger.FenceOrder
	// lastID and lastNumber name the last order that the engine carried out on the session.
	lastID     string
	lastNumber int64
	reconciled bool
	verified   time.Time
	// outcomes holds what this process knows of its own orders and could not record yet. They stay true when the lease
	// was lost in between.
	outcomes map[string]ledger.Outcome

	mu     sync.Mutex
	record ledger.Record
	role   string
}

func newWorker(t tools, endpoint ledger.Endpoint, record ledger.Record) *worker {
	return &worker{tools: t, endpoint: endpoint, record: record, outcomes: make(map[string]ledger.Outcome)}
}

// Record returns a copy of the last record that was read or written.
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

// Role returns the role that the engine reported last; empty before the first report.
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

func (w *worker) held() error {
	if _, held := w.guard.Condition(); !held {
		return ledger.ErrLeaseNotHeld
	}
	return nil
}

// round brings the ledger in line with the engine and carries out the steps. A session that failed is closed and opened
// anew in the next round.
func (w *worker) round(ctx context.Context, declared *config.Endpoint, steps []Step) error {
	err := w.attempt(ctx, declared, steps)
	if closesSession(err) {
		w.close()
	}
	return err
}

// keepsSession lists the errors after which nothing of the round's last order can be outstanding on the session. With an
// unavailable store the session stays: the ledger refuses it if another one was opened in the meantime.
var keepsSession = []error{
	ledger.ErrReportTooOld,
	ledger.ErrOrderPending,
	ledger.ErrNotLoaded,
	ledger.ErrAlreadyReserved,
	ledger.ErrLastCopy,
	ledger.ErrBaseNotLoaded,
	engine.ErrOrderRejected,
	errSuperseded,
	kvstore.ErrUnavailable,
}

func closesSession(err error) bool {
	var full *ledger.DoesNotFitError
	return err != nil && !errors.IsAny(err, keepsSession...) && !errors.As(err, &full)
}

func (w *worker) attempt(ctx context.Context, declared *config.Endpoint, steps []Step) error {
	if err := w.held(); err != nil {
		return err
	}
	if err := w.recordOutcomes(ctx); err != nil {
		return err
	}
	if err := w.open(ctx, declared); err != nil {
		// A session without an accepted fence order is not used.
		w.close()
		return err
	}
	if err := w.reconcile(ctx, declared); err != nil {
		return err
	}
	for _, step := range steps {
		if err := w.carryOut(ctx, declared, step); err != nil {
			return err
		}
	}
	return nil
}

func (w *worker) close() {
	if w.session != nil {
		w.session.Close()
	}
	w.session = nil
	w.reconciled = false
}

// recordOutcomes writes the outcomes of own orders that could not be written when they became known.
func (w *worker) recordOutcomes(ctx context.Context) error {
	for id, outcome := range w.outcomes {
		record, err := w.ledger.Resolve(ctx, w.guard, w.endpoint, id, outcome)
		if err != nil {
			return err
		}
		delete(w.outcomes, id)
		w.setRecord(record)
	}
	return nil
}

// open dials a session and fences it, unless one is open. The fence order gets a number newer than that of all earlier
// orders; on an engine that checks numbers its acceptance outdates them.
func (w *worker) open(ctx context.Context, declared *config.Endpoint) error {
	if w.session != nil {
		return nil
	}
	session, err := w.dialer.DialOrders(ctx, engine.Target{Name: declared.Name, URL: declared.URL})
	if err != nil {
		return err
	}
	w.session = session
	id := w.newOrderID()
	record, err := w.ledger.Fence(ctx, w.guard, w.endpoint, id, capacityOf(declared))
	if err != nil {
		return err
	}
	w.setRecord(record)
	w.fence = *record.Fence
	if err := w.held(); err != nil {
		return err
	}
	order := engine.Order{ID: id, FencingNumber: w.fence.FencingNumber, Verb: engine.VerbFence}
	if err := w.send(ctx, order); err != nil {
		return err
	}
	w.lastID, w.lastNumber = id, order.FencingNumber
	return nil
}

func (w *worker) send(ctx context.Context, order engine.Order) error {
	ctx, cancel := context.WithTimeout(ctx, w.orderTimeout)
	defer cancel()
	return w.session.Send(ctx, order)
}

// reconcile reads a report when the session is new, when an order is unresolved and at intervals.
func (w *worker) reconcile(ctx context.Context, declared *config.Endpoint) error {
	recent := w.now().Sub(w.verified) < w.verifyInterval
	if w.reconciled && recent && !hasPending(w.Record()) {
		return nil
	}
	report, err := w.session.Report(ctx)
	if err != nil {
		return err
	}
	record, err := w.ledger.Reconcile(ctx, w.guard, w.Record(), ledger.Observation{
		Incarnation:       w.session.Incarnation(),
		Report:            report,
		ChecksFencing:     declared.ChecksFencing,
		Fence:             w.fence,
		LastOrderID:       w.lastID,
		LastFencingNumber: w.lastNumber,
	})
	if err != nil {
		return err
	}
	w.setRecord(record)
	w.setRole(report.Role)
	w.reconciled = true
	w.verified = w.now()
	return nil
}

func hasPending(record ledger.Record) bool {
	for _, held := range record.Reservations {
		if held.Pending() {
			return true
		}
	}
	return record.RoleOrder != nil
}

// carryOut reserves, sends and resolves one order. A step that the ledger refuses ends the round without error; the next
// plan is made from the record that refused it.
func (w *worker) carryOut(ctx context.Context, declared *config.Endpoint, step Step) error {
	release, err := w.pace(ctx, step)
	if err != nil {
		return err
	}
	defer release()
	if w.wanted != nil && !w.wanted(step) {
		return errSuperseded
	}
	order, err := w.reserve(ctx, declared, step)
	if err != nil {
		w.decide(step, order, "refused", err)
		return err
	}
	err = w.sendReserved(ctx, order)
	outcome := outcomeOf(err)
	w.decide(step, order, string(outcome), err)
	return w.recordOutcome(ctx, order, outcome, err)
}

// pace waits for the weight store's rate before memory is reserved, so that waiting loads hold none.
func (w *worker) pace(ctx context.Context, step Step) (func(), error) {
	if step.Kind != StepLoad {
		return func() {}, nil
	}
	if step.Artifact.Kind == engine.KindAdapter {
		return w.adapterPacer.Acquire(ctx)
	}
	return w.modelPacer.Acquire(ctx)
}

// sendReserved sends a reserved order unless the lease was lost meanwhile. An order that was not sent will never be
// sent: its id is used once.
func (w *worker) sendReserved(ctx context.Context, order engine.Order) error {
	if err := w.held(); err != nil {
		return errors.Mark(err, engine.ErrNotSent)
	}
	err := w.send(ctx, order)
	if err != nil {
		return err
	}
	w.lastID, w.lastNumber = order.ID, order.FencingNumber
	if order.Verb == engine.VerbSetRole {
		w.setRole(order.Role)
	}
	return nil
}

func outcomeOf(err error) ledger.Outcome {
	switch {
	case err == nil:
		return ledger.Executed
	case errors.Is(err, engine.ErrNotSent), errors.Is(err, engine.ErrStaleFencingNumber), errors.Is(err, engine.ErrOrderRejected):
		return ledger.NotRun
	default:
		return ledger.Unknown
	}
}

func (w *worker) recordOutcome(ctx context.Context, order engine.Order, outcome ledger.Outcome, sendErr error) error {
	if outcome == ledger.Unknown {
		return errors.Mark(sendErr, errUnresolved)
	}
	w.outcomes[order.ID] = outcome
	if err := w.recordOutcomes(ctx); err != nil {
		return err
	}
	return sendErr
}

func (w *worker) reserve(ctx context.Context, declared *config.Endpoint, step Step) (engine.Order, error) {
	order := engine.Order{ID: w.newOrderID(), Verb: verbOf(step.Kind), Artifact: step.Artifact, Base: step.Base, Role: step.Role}
	request := w.request(declared, step, order)
	if step.Kind == StepSetRole {
		reserved, record, err := w.ledger.ReserveRole(ctx, w.guard, w.endpoint, request)
		if err != nil {
			return order, w.refused(order, err)
		}
		w.setRecord(record)
		order.FencingNumber = reserved.FencingNumber
		return order, nil
	}
	reserved, record, err := w.ledger.Reserve(ctx, w.guard, w.endpoint, request)
	if err != nil {
		return order, w.refused(order, err)
	}
	w.setRecord(record)
	order.FencingNumber = reserved.FencingNumber
	order.Accelerators = reserved.Accelerators
	order.BytesPerAccelerator = reserved.BytesPerAccelerator
	return order, nil
}

// refused remembers that the order was not sent when its reservation may exist nevertheless.
func (w *worker) refused(order engine.Order, err error) error {
	if !errors.Is(err, kvstore.ErrOutcomeUnknown) {
		return err
	}
	w.outcomes[order.ID] = ledger.NotRun
	return err
}

func (w *worker) request(declared *config.Endpoint, step Step, order engine.Order) ledger.Request {
	request := ledger.Request{
		OrderID:          order.ID,
		Verb:             order.Verb,
		Artifact:         step.Artifact,
		Base:             step.Base,
		AcceleratorCount: step.AcceleratorCount,
		Bytes:            step.Bytes,
		CapacityBytes:    capacityOf(declared),
		Incarnation:      w.session.Incarnation(),
		SessionFence:     w.fence.OrderID,
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

func capacityOf(declared *config.Endpoint) []int64 {
	var capacity []int64
	for _, accelerator := range declared.Accelerators {
		capacity = append(capacity, accelerator.MemoryBytes)
	}
	return capacity
}

// orderDetail is the decision record of an order.
type orderDetail struct {
	Endpoint      string `json:"endpoint"`
	Step          Step   `json:"step"`
	FencingNumber int64  `json:"fencingNumber"`
	Accelerators  []int  `json:"accelerators,omitempty"`
	Outcome       string `json:"outcome"`
	Error         string `json:"error,omitempty"`
}

func (w *worker) decide(step Step, order engine.Order, outcome string, err error) {
	detail := orderDetail{
		Endpoint:      w.endpoint.Name,
		Step:          step,
		FencingNumber: order.FencingNumber,
		Accelerators:  order.Accelerators,
		Outcome:       outcome,
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
