package placement

import (
	"context"
	"encoding/json"
	"fmt"
	"iter"
	"slices"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	standinengine "github.com/mulberryglade/mulberryglade/internal/standin/engine"
	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/decisions"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/ledger"
)

// fault is the fault of the next call of a resumed holder.
type fault int

const (
	noFault    fault = iota
	refuseCall       // The store or the engine's address refuses the call.
	dropReply
)

const leaseTTL = 10 * time.Second

// simulation runs the workers of competing holders as coroutines. Only one runs at a time, so the seed determines every
// interleaving. A holder pauses before and after each call and can stay paused for any time.
type simulation struct {
	t       *rapid.T
	now     time.Time
	store   *kv.Memory
	engines []*simEngine
	holders []*simHolder
	lastID  int
	// restarts counts engine restarts. After one, last copies are no longer checked, because a restart can lose copies.
	restarts int
	// withdrawn marks all unloads as unloads of artifacts that are no longer declared, which may remove a last copy.
	withdrawn bool
	// artifactCount is the number of loadable artifacts in use. With few artifacts, concurrent orders for the same one
	// are more frequent.
	artifactCount int
	failure       string
}

// simEngine is an engine with the orders that it has not read yet and the orders that it is carrying out.
type simEngine struct {
	declared     config.Endpoint
	memory       *standinengine.Memory
	unreadOrders []*sentOrder
	// lateOrders holds orders whose sender no longer waits. They can arrive at any later time.
	lateOrders    []*sentOrder
	runningOrders []*sentOrder
	// reportHistory holds all reports of the incarnation, because a report may be outdated when it arrives.
	reportHistory []engine.Report
}

type sentOrder struct {
	order   engine.Order
	replied bool
	err     error
}

// simHolder is one candidate for the lease of one endpoint's shard.
type simHolder struct {
	simulation    *simulation
	engine        *simEngine
	worker        *worker
	leaseRevision kvstore.Revision
	// localTime is the holder's own clock. It can stand still: only acquire and expireLeases set it. deadline is the
	// end of the lease on this clock.
	deadline, localTime time.Time
	resume              func() (struct{}, bool)
	stop                func()
	yield               func(struct{}) bool
	// idle is true while the holder is paused between two rounds.
	idle      bool
	nextFault fault
	reportLag int
	steps     []Step
}

// stopHolder is the panic value that ends a holder's coroutine.
type stopHolder struct{}

func newSimulation(t *rapid.T, checksFencing bool) *simulation {
	s := &simulation{t: t, now: time.Unix(1000, 0), store: kv.NewMemory()}
	s.store.Now = func() time.Time { return s.now }
	for _, name := range []string{"e1", "e2"} {
		e := &simEngine{declared: declareEndpoint(name, 100, 50)}
		e.declared.ChecksFencing = checksFencing
		e.memory = standinengine.NewMemory(capacityOf(&e.declared), name+"-0", checksFencing)
		e.recordReport()
		s.engines = append(s.engines, e)
	}
	for range 2 {
		for _, e := range s.engines {
			s.holders = append(s.holders, s.newHolder(e))
		}
	}
	return s
}

func (s *simulation) newHolder(e *simEngine) *simHolder {
	h := &simHolder{simulation: s, engine: e, localTime: s.now}
	h.worker = newWorker(dependencies{
		ledger:       ledger.New(h, "t/"),
		guard:        h,
		dialer:       h,
		modelPacer:   noPacing{},
		adapterPacer: noPacing{},
		recorder:     decisions.NewRecorder(zap.NewNop(), 10),
		log:          zap.NewNop(),
		newOrderID:   s.newID,
		now:          func() time.Time { return s.now },
		orderTimeout: time.Hour,
	}, ledger.Endpoint{DataCentre: "dc", Name: e.declared.Name}, ledger.Record{})
	h.resume, h.stop = iter.Pull(h.run)
	h.resume()
	return h
}

func (s *simulation) newID() string {
	s.lastID++
	return fmt.Sprintf("order-%d", s.lastID)
}

func (s *simulation) stopHolders() {
	for _, h := range s.holders {
		h.stop()
	}
}

func (s *simulation) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
	}
}

func (h *simHolder) run(yield func(struct{}) bool) {
	h.yield = yield
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(stopHolder); !ok {
				panic(r)
			}
		}
	}()
	for {
		h.idle = true
		h.pause()
		h.idle = false
		_ = h.worker.reconcileAndExecute(context.Background(), &h.engine.declared, h.steps)
	}
}

// pause yields to the scheduler and returns the fault of the next call.
func (h *simHolder) pause() fault {
	if !h.yield(struct{}{}) {
		panic(stopHolder{})
	}
	return h.nextFault
}

func (h *simHolder) leaseKey() string { return "holder/" + h.engine.declared.Name }

// Condition implements ledger.Guard with the holder's own clock.
func (h *simHolder) Condition() (kvstore.Condition, bool) {
	return kvstore.Condition{Key: h.leaseKey(), Field: kvstore.CreateRevision, Equals: h.leaseRevision}, h.localTime.Before(h.deadline)
}

// acquire acquires the lease if no other holder has it.
func (h *simHolder) acquire() {
	ctx := context.Background()
	id, ttl, err := h.simulation.store.Grant(ctx, leaseTTL)
	if err != nil {
		return
	}
	results, err := h.simulation.store.Commit(ctx, []kvstore.ConditionalWrite{{
		Conditions: []kvstore.Condition{{Key: h.leaseKey(), Field: kvstore.CreateRevision}},
		Puts:       []kvstore.Put{{Key: h.leaseKey(), Lease: id}},
	}})
	if err != nil || !results[0].Applied {
		return
	}
	h.leaseRevision = results[0].Revision
	h.localTime = h.simulation.now
	h.deadline = h.simulation.now.Add(ttl)
}

// Get implements kvstore.Reader.
func (h *simHolder) Get(ctx context.Context, key string) (kvstore.KeyValue, bool, kvstore.Revision, error) {
	if h.pause() == refuseCall {
		return kvstore.KeyValue{}, false, 0, kvstore.ErrUnavailable
	}
	return h.simulation.store.Get(ctx, key)
}

// Range implements kvstore.Reader.
func (h *simHolder) Range(ctx context.Context, prefix string) ([]kvstore.KeyValue, kvstore.Revision, error) {
	return h.simulation.store.Range(ctx, prefix)
}

// Commit implements kvstore.Writer and checks that only the lease holder's writes take effect.
func (h *simHolder) Commit(ctx context.Context, writes []kvstore.ConditionalWrite) ([]kvstore.WriteResult, error) {
	if h.pause() == refuseCall {
		return nil, kvstore.ErrUnavailable
	}
	results, err := h.simulation.store.Commit(ctx, writes)
	if err != nil {
		return nil, err
	}
	lease, _, _, _ := h.simulation.store.Get(ctx, h.leaseKey())
	if results[0].Applied && lease.CreateRevision != h.leaseRevision {
		h.simulation.fail("ledger of %s written by a holder whose lease expired", h.engine.declared.Name)
	}
	h.simulation.checkCovered(h.engine)
	if h.pause() == dropReply {
		return nil, kvstore.ErrOutcomeUnknown
	}
	return results, nil
}

// DialOrders implements engine.OrderDialer.
func (h *simHolder) DialOrders(context.Context, engine.Target) (engine.OrderSession, error) {
	if h.pause() == refuseCall {
		return nil, engine.ErrNotSent
	}
	return &simSession{simHolder: h, incarnation: h.engine.memory.Incarnation()}, nil
}

// simSession is bound to the engine incarnation at the time of the dial.
type simSession struct {
	*simHolder
	incarnation string
}

func (s *simSession) Incarnation() string { return s.incarnation }

func (s *simSession) Close() {}

func (s *simSession) broken() bool { return s.engine.memory.Incarnation() != s.incarnation }

// Report returns the report of the incarnation from before its last reportLag changes.
func (s *simSession) Report(context.Context) (engine.Report, error) {
	if s.pause() == dropReply || s.broken() {
		return engine.Report{}, engine.ErrSessionClosed
	}
	reportHistory := s.engine.reportHistory
	return reportHistory[max(0, len(reportHistory)-1-s.reportLag)], nil
}

// Send waits for the reply to an order. If the reply is dropped, the order stays with the engine and can still run.
func (s *simSession) Send(_ context.Context, order engine.Order) error {
	if s.pause() == refuseCall {
		return engine.ErrNotSent
	}
	if s.broken() {
		return engine.ErrSessionClosed
	}
	m := &sentOrder{order: order}
	s.engine.unreadOrders = append(s.engine.unreadOrders, m)
	for {
		f := s.pause()
		if s.broken() {
			return engine.ErrSessionClosed
		}
		if f == dropReply {
			s.engine.moveToLate(m)
			return engine.ErrSessionClosed
		}
		if m.replied {
			return m.err
		}
	}
}

// moveToLate moves an order that the engine has not read to the late orders.
func (e *simEngine) moveToLate(m *sentOrder) {
	if index := slices.Index(e.unreadOrders, m); index >= 0 {
		e.unreadOrders = slices.Delete(e.unreadOrders, index, index+1)
		e.lateOrders = append(e.lateOrders, m)
	}
}

func (e *simEngine) recordReport() { e.reportHistory = append(e.reportHistory, e.memory.Report()) }

// accept begins an unread or late order, or rejects it without effect.
func (s *simulation) accept(e *simEngine, from *[]*sentOrder, index int, reject bool) {
	m := (*from)[index]
	*from = slices.Delete(*from, index, index+1)
	if reject {
		m.replied, m.err = true, engine.ErrOrderRejected
		return
	}
	if m.order.Verb == engine.VerbUnload {
		s.checkLastCopy(e, m.order.Artifact)
	}
	if err := e.memory.Begin(m.order); err != nil {
		m.replied, m.err = true, err
		return
	}
	e.recordReport()
	e.runningOrders = append(e.runningOrders, m)
	s.checkCovered(e)
}

// checkCovered fails if the engine holds an artifact that was loaded by an order and has no reservation in the ledger.
func (s *simulation) checkCovered(e *simEngine) {
	stored, found, _, err := s.store.Get(context.Background(), "t/ledger/dc/"+e.declared.Name)
	var record ledger.Record
	if !found || err != nil || json.Unmarshal(stored.Value, &record) != nil {
		return
	}
	for _, loaded := range e.memory.Report().Artifacts {
		if loaded.OrderID != "" && record.Find(loaded.Artifact) == nil {
			s.fail("%s holds %s version %s without a reservation", e.declared.Name, loaded.Name, loaded.Version)
		}
	}
}

// checkLastCopy fails if the unload leaves no loaded copy of the model or adapter on any engine.
func (s *simulation) checkLastCopy(unloading *simEngine, unloaded engine.Artifact) {
	if s.withdrawn || s.restarts > 0 || (unloading.declared.ChecksFencing && !unloading.memory.Loaded(unloaded)) {
		return
	}
	for _, e := range s.engines {
		for _, loaded := range e.memory.Report().Artifacts {
			other := e != unloading || loaded.Artifact != unloaded
			if other && artifactNameOf(loaded.Artifact) == artifactNameOf(unloaded) && loaded.State == engine.StateLoaded {
				return
			}
		}
	}
	s.fail("last loaded copy of %s unloaded on %s", unloaded.Name, unloading.declared.Name)
}

func (s *simulation) finishOrder(e *simEngine, index int) {
	m := e.runningOrders[index]
	e.runningOrders = slices.Delete(e.runningOrders, index, index+1)
	e.memory.Finish(m.order)
	e.recordReport()
	m.replied = true
}

// restart replaces the engine process and drops all orders sent to it. Some engines load artifacts at their start.
func (s *simulation) restart(e *simEngine, atStart []engine.LoadedArtifact) {
	s.lastID++
	s.restarts++
	e.memory.Restart(fmt.Sprintf("%s-%d", e.declared.Name, s.lastID))
	e.memory.Preload(atStart)
	e.unreadOrders, e.lateOrders, e.runningOrders, e.reportHistory = nil, nil, nil, nil
	e.recordReport()
}

func (s *simulation) check() {
	if s.failure != "" {
		s.t.Fatal(s.failure)
	}
	for _, e := range s.engines {
		if e.memory.Overcommits() > 0 {
			s.t.Fatalf("memory of %s overcommitted", e.declared.Name)
		}
	}
}
