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

// fault is what happens to the holder's next call when the holder resumes.
type fault int

const (
	noFault fault = iota
	refuse        // The store or the engine's address refuses the call.
	dropReply
)

const leaseTTL = 10 * time.Second

// sim runs the workers of competing holders as coroutines, of which one runs at a time, so that a seed decides every
// interleaving. A holder pauses before and after each call and can stay paused for any time.
type sim struct {
	t       *rapid.T
	now     time.Time
	store   *kv.Memory
	engines []*simEngine
	holders []*simHolder
	serial  int
	// restarts counts engine restarts; copies lost by them are not counted as unloaded.
	restarts int
	// withdrawn makes all unloads those of withdrawn declarations, which may remove a last copy.
	withdrawn bool
	// artifacts is how many of the loadable artifacts are used; with few of them orders for the same one meet more often.
	artifacts int
	failure   string
}

// simEngine has the orders that wait in its sockets and those that it carries out.
type simEngine struct {
	declared config.Endpoint
	memory   *standinengine.Memory
	sockets  []*message
	// late holds orders whose sender gave up waiting; they arrive at any later time.
	late    []*message
	running []*message
	// history holds the reports of the incarnation, because a report may lag.
	history []engine.Report
}

type message struct {
	order   engine.Order
	replied bool
	err     error
}

// simHolder is one candidate for the lease of one endpoint's shard.
type simHolder struct {
	sim    *sim
	engine *simEngine
	worker *worker
	leased kvstore.Revision
	// deadline is on the holder's own clock, which stops with the holder: clock is only brought forward by keepTime.
	deadline, clock time.Time
	resume          func() (struct{}, bool)
	stop            func()
	yield           func(struct{}) bool
	idle            bool
	next            fault
	lag             int
	steps           []Step
}

type stopped struct{}

func newSim(t *rapid.T, checksFencing bool) *sim {
	s := &sim{t: t, now: time.Unix(1000, 0), store: kv.NewMemory()}
	s.store.Now = func() time.Time { return s.now }
	for _, name := range []string{"e1", "e2"} {
		e := &simEngine{declared: declareEndpoint(name, 100, 50)}
		e.declared.ChecksFencing = checksFencing
		e.memory = standinengine.NewMemory(capacityOf(&e.declared), name+"-0", checksFencing)
		e.observe()
		s.engines = append(s.engines, e)
	}
	for range 2 {
		for _, e := range s.engines {
			s.holders = append(s.holders, s.newHolder(e))
		}
	}
	return s
}

func (s *sim) newHolder(e *simEngine) *simHolder {
	h := &simHolder{sim: s, engine: e, clock: s.now}
	h.worker = newWorker(tools{
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

func (s *sim) newID() string {
	s.serial++
	return fmt.Sprintf("order-%d", s.serial)
}

func (s *sim) close() {
	for _, h := range s.holders {
		h.stop()
	}
}

func (s *sim) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
	}
}

func (h *simHolder) run(yield func(struct{}) bool) {
	h.yield = yield
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(stopped); !ok {
				panic(r)
			}
		}
	}()
	for {
		h.idle = true
		h.pause()
		h.idle = false
		_ = h.worker.round(context.Background(), &h.engine.declared, h.steps)
	}
}

// pause hands control to the scheduler and returns the fault for the call that follows.
func (h *simHolder) pause() fault {
	if !h.yield(struct{}{}) {
		panic(stopped{})
	}
	return h.next
}

func (h *simHolder) leaseKey() string { return "holder/" + h.engine.declared.Name }

// Condition implements ledger.Guard with the holder's own clock.
func (h *simHolder) Condition() (kvstore.Condition, bool) {
	return kvstore.Condition{Key: h.leaseKey(), Field: kvstore.CreateRevision, Equals: h.leased}, h.clock.Before(h.deadline)
}

// acquire takes the lease if nobody holds it.
func (h *simHolder) acquire() {
	ctx := context.Background()
	id, ttl, err := h.sim.store.Grant(ctx, leaseTTL)
	if err != nil {
		return
	}
	results, err := h.sim.store.Commit(ctx, []kvstore.ConditionalWrite{{
		Conditions: []kvstore.Condition{{Key: h.leaseKey(), Field: kvstore.CreateRevision}},
		Puts:       []kvstore.Put{{Key: h.leaseKey(), Lease: id}},
	}})
	if err != nil || !results[0].Applied {
		return
	}
	h.leased = results[0].Revision
	h.clock = h.sim.now
	h.deadline = h.sim.now.Add(ttl)
}

// Get implements kvstore.Reader.
func (h *simHolder) Get(ctx context.Context, key string) (kvstore.KeyValue, bool, kvstore.Revision, error) {
	if h.pause() == refuse {
		return kvstore.KeyValue{}, false, 0, kvstore.ErrUnavailable
	}
	return h.sim.store.Get(ctx, key)
}

// Range implements kvstore.Reader.
func (h *simHolder) Range(ctx context.Context, prefix string) ([]kvstore.KeyValue, kvstore.Revision, error) {
	return h.sim.store.Range(ctx, prefix)
}

// Commit implements kvstore.Writer and checks that only the lease holder's writes take effect.
func (h *simHolder) Commit(ctx context.Context, writes []kvstore.ConditionalWrite) ([]kvstore.WriteResult, error) {
	if h.pause() == refuse {
		return nil, kvstore.ErrUnavailable
	}
	results, err := h.sim.store.Commit(ctx, writes)
	if err != nil {
		return nil, err
	}
	lease, _, _, _ := h.sim.store.Get(ctx, h.leaseKey())
	if results[0].Applied && lease.CreateRevision != h.leased {
		h.sim.fail("ledger of %s written by a holder whose lease expired", h.engine.declared.Name)
	}
	h.sim.checkCovered(h.engine)
	if h.pause() == dropReply {
		return nil, kvstore.ErrOutcomeUnknown
	}
	return results, nil
}

// DialOrders implements engine.OrderDialer.
func (h *simHolder) DialOrders(context.Context, engine.Target) (engine.OrderSession, error) {
	if h.pause() == refuse {
		return nil, engine.ErrNotSent
	}
	return &simSession{simHolder: h, incarnation: h.engine.memory.Incarnation()}, nil
}

// simSession is bound to the incarnation that it was dialled to.
type simSession struct {
	*simHolder
	incarnation string
}

func (c *simSession) Incarnation() string { return c.incarnation }

func (c *simSession) Close() {}

func (c *simSession) broken() bool { return c.engine.memory.Incarnation() != c.incarnation }

// Report answers with a report that was made at any time of the incarnation.
func (c *simSession) Report(context.Context) (engine.Report, error) {
	if c.pause() == dropReply || c.broken() {
		return engine.Report{}, engine.ErrSessionClosed
	}
	history := c.engine.history
	return history[max(0, len(history)-1-c.lag)], nil
}

// Send leaves the order in the engine's socket when the reply is given up.
func (c *simSession) Send(_ context.Context, order engine.Order) error {
	if c.pause() == refuse {
		return engine.ErrNotSent
	}
	if c.broken() {
		return engine.ErrSessionClosed
	}
	m := &message{order: order}
	c.engine.sockets = append(c.engine.sockets, m)
	for {
		given := c.pause()
		if c.broken() {
			return engine.ErrSessionClosed
		}
		if given == dropReply {
			c.engine.delay(m)
			return engine.ErrSessionClosed
		}
		if m.replied {
			return m.err
		}
	}
}

// delay leaves an order that has not arrived yet to arrive late.
func (e *simEngine) delay(m *message) {
	if at := slices.Index(e.sockets, m); at >= 0 {
		e.sockets = slices.Delete(e.sockets, at, at+1)
		e.late = append(e.late, m)
	}
}

func (e *simEngine) observe() { e.history = append(e.history, e.memory.Report()) }

// accept begins an order from the sockets or from the late ones, or rejects it without effect.
func (s *sim) accept(e *simEngine, from *[]*message, index int, reject bool) {
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
	e.observe()
	e.running = append(e.running, m)
	s.checkCovered(e)
}

// checkCovered fails when the engine holds an artifact that an order loaded and the stored ledger has no reservation for.
func (s *sim) checkCovered(e *simEngine) {
	kv, found, _, err := s.store.Get(context.Background(), "t/ledger/dc/"+e.declared.Name)
	var record ledger.Record
	if !found || err != nil || json.Unmarshal(kv.Value, &record) != nil {
		return
	}
	for _, held := range e.memory.Report().Artifacts {
		if held.OrderID != "" && record.Find(held.Artifact) == nil {
			s.fail("%s holds %s version %s without a reservation", e.declared.Name, held.Name, held.Version)
		}
	}
}

// checkLastCopy fails when an unload begins that leaves no loaded copy of the model or adapter on any engine.
func (s *sim) checkLastCopy(at *simEngine, unloaded engine.Artifact) {
	if s.withdrawn || s.restarts > 0 || (at.declared.ChecksFencing && !at.memory.Loaded(unloaded)) {
		return
	}
	for _, e := range s.engines {
		for _, held := range e.memory.Report().Artifacts {
			other := e != at || held.Artifact != unloaded
			if other && nameOf(held.Artifact) == nameOf(unloaded) && held.State == engine.StateLoaded {
				return
			}
		}
	}
	s.fail("last loaded copy of %s unloaded on %s", unloaded.Name, at.declared.Name)
}

func (s *sim) finish(e *simEngine, index int) {
	m := e.running[index]
	e.running = slices.Delete(e.running, index, index+1)
	e.memory.Finish(m.order)
	e.observe()
	m.replied = true
}

// restart ends the process with all of its sockets. Some engines load artifacts at start.
func (s *sim) restart(e *simEngine, atStart []engine.LoadedArtifact) {
	s.serial++
	s.restarts++
	e.memory.Restart(fmt.Sprintf("%s-%d", e.declared.Name, s.serial))
	e.memory.Preload(atStart)
	e.sockets, e.late, e.running, e.history = nil, nil, nil, nil
	e.observe()
}

func (s *sim) check() {
	if s.failure != "" {
		s.t.Fatal(s.failure)
	}
	for _, e := range s.engines {
		if e.memory.Violations() > 0 {
			s.t.Fatalf("memory of %s overcommitted", e.declared.Name)
		}
	}
}
