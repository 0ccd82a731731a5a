package placement

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	standinengine "github.com/mulberryglade/mulberryglade/internal/standin/engine"
	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/decisions"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/ledger"
)

// directEngines executes orders at once on the stand-in memories.
type directEngines struct {
	memories map[string]*standinengine.Memory

	mu     sync.Mutex
	orders []string
}

func (d *directEngines) DialOrders(_ context.Context, target engine.Target) (engine.OrderSession, error) {
	memory := d.memories[target.Name]
	return &directSession{engines: d, endpoint: target.Name, memory: memory, incarnation: memory.Incarnation()}, nil
}

func (d *directEngines) sent() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.orders)
}

type directSession struct {
	engines     *directEngines
	endpoint    string
	memory      *standinengine.Memory
	incarnation string
}

func (s *directSession) Incarnation() string { return s.incarnation }

func (s *directSession) Close() {}

func (s *directSession) Report(context.Context) (engine.Report, error) {
	if s.memory.Incarnation() != s.incarnation {
		return engine.Report{}, engine.ErrSessionClosed
	}
	return s.memory.Report(), nil
}

func (s *directSession) Send(_ context.Context, order engine.Order) error {
	if s.memory.Incarnation() != s.incarnation {
		return engine.ErrSessionClosed
	}
	if err := s.memory.Begin(order); err != nil {
		return err
	}
	s.memory.Finish(order)
	if order.Verb != engine.VerbFence {
		s.engines.mu.Lock()
		defer s.engines.mu.Unlock()
		s.engines.orders = append(s.engines.orders, string(order.Verb)+" "+order.Artifact.Name+"@"+order.Artifact.Version+" "+s.endpoint)
	}
	return nil
}

// switchGuard is a lease that a test takes away.
type switchGuard struct {
	mu   sync.Mutex
	held bool
	at   kvstore.Revision
}

func (g *switchGuard) Condition() (kvstore.Condition, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return kvstore.Condition{Key: "holder", Field: kvstore.CreateRevision, Equals: g.at}, g.held
}

func (g *switchGuard) set(held bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held = held
}

type noPacing struct{}

func (noPacing) Acquire(ctx context.Context) (func(), error) { return func() {}, ctx.Err() }

// bench is a controller with stand-ins for everything around it.
type bench struct {
	store    *kv.Memory
	guard    *switchGuard
	engines  *directEngines
	snapshot atomic.Pointer[config.Snapshot]
	leaving  sync.Map
	*Controller
}

func (b *bench) declare(records config.Records) {
	b.snapshot.Store(config.NewSnapshot(1, time.Time{}, records))
}

func (b *bench) leave(endpoint string) { b.leaving.Store(endpoint, true) }

func newBench(planner Planner, records config.Records) *bench {
	b := &bench{
		store:   kv.NewMemory(),
		engines: &directEngines{memories: make(map[string]*standinengine.Memory)},
	}
	b.declare(records)
	results, err := b.store.Commit(context.Background(), []kvstore.ConditionalWrite{{Puts: []kvstore.Put{{Key: "holder"}}}})
	if err != nil {
		panic(err)
	}
	b.guard = &switchGuard{held: true, at: results[0].Revision}
	for i := range records.Endpoints {
		e := &records.Endpoints[i]
		b.engines.memories[e.Name] = standinengine.NewMemory(capacityOf(e), e.Name+"-1", e.ChecksFencing)
	}
	b.Controller = NewController(Options{
		DataCentre:   "kathmandu-a",
		Ledger:       ledger.New(b.store, "t/"),
		Guard:        b.guard,
		Dialer:       b.engines,
		Planner:      planner,
		Snapshot:     b.snapshot.Load,
		Status:       func(endpoint string) Status { _, leaving := b.leaving.Load(endpoint); return Status{Leaving: leaving} },
		Demand:       func() []Demand { return nil },
		ModelPacer:   noPacing{},
		AdapterPacer: noPacing{},
		Recorder:     decisions.NewRecorder(zap.NewNop(), 100),
		Log:          zap.NewNop(),
		Scope:        tally.NoopScope,
	})
	return b
}

func declareEndpoint(name string, memoryBytes ...int64) config.Endpoint {
	e := config.Endpoint{Service: "kitchen-assist", DataCentre: "kathmandu-a", URL: "http://127.0.0.1:1", MaxConcurrentRequests: 8}
	e.Name = name
	for _, bytes := range memoryBytes {
		e.Accelerators = append(e.Accelerators, config.Accelerator{MemoryBytes: bytes})
	}
	return e
}

func declareModel(name, version string, bytes int64, copies int) config.Model {
	m := config.Model{Service: "kitchen-assist", Version: version, WeightBytes: bytes, AcceleratorsPerCopy: 1, MinCopies: copies, MaxCopies: 4}
	m.Name = name
	return m
}

func declareAdapter(name, model string, bytes int64) config.Adapter {
	a := config.Adapter{Model: model, Version: "1", Bytes: bytes}
	a.Name = name
	return a
}

func artifact(kind engine.ArtifactKind, name, version string) engine.Artifact {
	return engine.Artifact{Kind: kind, Name: name, Version: version}
}

// Guards against declared models and adapters that no data centre endpoint ever loads, and against orders that are sent
// after the lease was lost.
func TestControllerLoadsDeclaredCopiesWhileTheLeaseIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t).Expect
		b := newBench(Static{}, config.Records{
			Endpoints: []config.Endpoint{declareEndpoint("e1", 100), declareEndpoint("e2", 100)},
			Models:    []config.Model{declareModel("menus", "1", 60, 2), declareModel("notes", "1", 30, 1), declareModel("large", "1", 500, 1)},
			Adapters:  []config.Adapter{declareAdapter("menus-ilam", "menus", 5)},
		})
		ended := make(chan error, 1)
		go func() { ended <- b.Run(context.Background()) }()
		time.Sleep(5 * time.Second)
		loaded := 0
		for _, memory := range b.engines.memories {
			expect(memory.Loaded(artifact(engine.KindModel, "menus", "1"))).To(gomega.BeTrue())
			for _, held := range memory.Report().Artifacts {
				if held.Name == "notes" || held.Name == "menus-ilam" {
					loaded++
				}
			}
			expect(memory.Violations()).To(gomega.BeZero())
		}
		expect(loaded).To(gomega.Equal(2), "one copy of notes and one of the adapter")
		expect(b.Unplaced()).To(gomega.HaveLen(1))
		expect(b.Unplaced()[0].Artifact.Name).To(gomega.Equal("large"))

		before := len(b.engines.sent())
		expect(before).To(gomega.Equal(4), strconv.Itoa(before))
		b.guard.set(false)
		b.engines.memories["e1"].Restart("e1-2")
		time.Sleep(5 * time.Second)
		expect(<-ended).To(gomega.MatchError(ledger.ErrLeaseNotHeld))
		expect(b.engines.sent()).To(gomega.HaveLen(before))
	})
}

type blockedPacer struct{}

func (blockedPacer) Acquire(ctx context.Context) (func(), error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a holder that goes on waiting for the weight store after the lease was lost.
func TestControllerStopsWaitingWhenTheLeaseIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(Static{}, config.Records{
			Endpoints: []config.Endpoint{declareEndpoint("e1", 100)}, Models: []config.Model{declareModel("menus", "1", 60, 1)},
		})
		b.ModelPacer = blockedPacer{}
		time.AfterFunc(10*time.Second, func() { b.guard.set(false) })
		began := time.Now()
		gomega.NewWithT(t).Expect(b.Run(context.Background())).To(gomega.MatchError(ledger.ErrLeaseNotHeld))
		gomega.NewWithT(t).Expect(time.Since(began)).To(gomega.BeNumerically("<=", 11*time.Second))
		gomega.NewWithT(t).Expect(b.engines.sent()).To(gomega.BeEmpty())
	})
}

// Guards against a version change that leaves a model without a copy, orders to leaving endpoints, a restart that nobody
// notices, and loads without the store.
func TestControllerFollowsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t).Expect
		records := config.Records{
			Endpoints: []config.Endpoint{declareEndpoint("e1", 100), declareEndpoint("e2", 100)},
			Models:    []config.Model{declareModel("menus", "1", 60, 1)},
		}
		b := newBench(Weighted{}, records)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		ended := make(chan error, 1)
		go func() { ended <- b.Run(ctx) }()
		settle := func(want ...string) {
			before := len(b.engines.sent())
			time.Sleep(20 * time.Second)
			expect(b.engines.sent()[before:]).To(gomega.Equal(append([]string{}, want...)))
		}
		settle("load menus@1 e1")
		changed := records
		changed.Models = []config.Model{declareModel("menus", "2", 60, 1)}
		b.declare(changed)
		settle("load menus@2 e2", "unload menus@1 e1")
		b.leave("e2")
		settle("load menus@2 e1")
		b.engines.memories["e1"].Restart("e1-2")
		settle("load menus@2 e1")
		b.store.Faults.SetDown(true)
		b.engines.memories["e1"].Restart("e1-3")
		settle()
		b.store.Faults.SetDown(false)
		settle("load menus@2 e1")
		changed.Endpoints = slices.Clone(records.Endpoints)
		changed.Endpoints[0].Role = "prefill"
		b.declare(changed)
		settle("set_role @ e1")
		cancel()
		expect(<-ended).To(gomega.MatchError(context.Canceled))
	})
}
