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

// directEngines carries out orders immediately on stand-in engine memories.
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

// switchGuard is a lease that a test can end.
type switchGuard struct {
	mu       sync.Mutex
	held     bool
	revision kvstore.Revision
}

func (g *switchGuard) Condition() (kvstore.Condition, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return kvstore.Condition{Key: "holder", Field: kvstore.CreateRevision, Equals: g.revision}, g.held
}

func (g *switchGuard) set(held bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held = held
}

type noPacing struct{}

func (noPacing) Acquire(ctx context.Context) (func(), error) { return func() {}, ctx.Err() }

// controllerFixture is a controller with stand-ins for its dependencies.
type controllerFixture struct {
	store    *kv.Memory
	guard    *switchGuard
	engines  *directEngines
	snapshot atomic.Pointer[config.Snapshot]
	leaving  sync.Map
	*Controller
}

func (f *controllerFixture) setDeclarations(records config.Records) {
	f.snapshot.Store(config.NewSnapshot(1, time.Time{}, records))
}

func (f *controllerFixture) markLeaving(endpoint string) { f.leaving.Store(endpoint, true) }

func newControllerFixture(planner Planner, records config.Records) *controllerFixture {
	f := &controllerFixture{
		store:   kv.NewMemory(),
		engines: &directEngines{memories: make(map[string]*standinengine.Memory)},
	}
	f.setDeclarations(records)
	results, err := f.store.Commit(context.Background(), []kvstore.ConditionalWrite{{Puts: []kvstore.Put{{Key: "holder"}}}})
	if err != nil {
		panic(err)
	}
	f.guard = &switchGuard{held: true, revision: results[0].Revision}
	for i := range records.Endpoints {
		e := &records.Endpoints[i]
		f.engines.memories[e.Name] = standinengine.NewMemory(capacityOf(e), e.Name+"-1", e.ChecksFencing)
	}
	f.Controller = NewController(Options{
		DataCentre:     "kathmandu-a",
		Ledger:         ledger.New(f.store, "t/"),
		Guard:          f.guard,
		Dialer:         f.engines,
		Planner:        planner,
		Snapshot:       f.snapshot.Load,
		EndpointStatus: func(endpoint string) Status { _, leaving := f.leaving.Load(endpoint); return Status{Leaving: leaving} },
		Demand:         func() []Demand { return nil },
		ModelPacer:     noPacing{},
		AdapterPacer:   noPacing{},
		Recorder:       decisions.NewRecorder(zap.NewNop(), 100),
		Log:            zap.NewNop(),
		Scope:          tally.NoopScope,
	})
	return f
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

// Guards against declared models and adapters that no endpoint loads, and against orders sent after the lease was lost.
func TestControllerLoadsDeclaredCopiesWhileTheLeaseIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t).Expect
		f := newControllerFixture(Static{}, config.Records{
			Endpoints: []config.Endpoint{declareEndpoint("e1", 100), declareEndpoint("e2", 100)},
			Models:    []config.Model{declareModel("menus", "1", 60, 2), declareModel("notes", "1", 30, 1), declareModel("large", "1", 500, 1)},
			Adapters:  []config.Adapter{declareAdapter("menus-ilam", "menus", 5)},
		})
		ended := make(chan error, 1)
		go func() { ended <- f.Run(context.Background()) }()
		time.Sleep(5 * time.Second)
		loaded := 0
		for _, memory := range f.engines.memories {
			expect(memory.Loaded(artifact(engine.KindModel, "menus", "1"))).To(gomega.BeTrue())
			for _, reported := range memory.Report().Artifacts {
				if reported.Name == "notes" || reported.Name == "menus-ilam" {
					loaded++
				}
			}
			expect(memory.Overcommits()).To(gomega.BeZero())
		}
		expect(loaded).To(gomega.Equal(2), "one copy of notes and one of the adapter")
		expect(f.Unplaced()).To(gomega.HaveLen(1))
		expect(f.Unplaced()[0].Artifact.Name).To(gomega.Equal("large"))

		before := len(f.engines.sent())
		expect(before).To(gomega.Equal(4), strconv.Itoa(before))
		f.guard.set(false)
		f.engines.memories["e1"].Restart("e1-2")
		time.Sleep(5 * time.Second)
		expect(<-ended).To(gomega.MatchError(ledger.ErrLeaseNotHeld))
		expect(f.engines.sent()).To(gomega.HaveLen(before))
	})
}

type blockedPacer struct{}

func (blockedPacer) Acquire(ctx context.Context) (func(), error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a controller that still waits for the weight store's pacer after the lease was lost.
func TestControllerStopsWaitingWhenTheLeaseIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newControllerFixture(Static{}, config.Records{
			Endpoints: []config.Endpoint{declareEndpoint("e1", 100)}, Models: []config.Model{declareModel("menus", "1", 60, 1)},
		})
		f.ModelPacer = blockedPacer{}
		time.AfterFunc(10*time.Second, func() { f.guard.set(false) })
		began := time.Now()
		gomega.NewWithT(t).Expect(f.Run(context.Background())).To(gomega.MatchError(ledger.ErrLeaseNotHeld))
		gomega.NewWithT(t).Expect(time.Since(began)).To(gomega.BeNumerically("<=", 11*time.Second))
		gomega.NewWithT(t).Expect(f.engines.sent()).To(gomega.BeEmpty())
	})
}

// Guards against a version change that leaves a model without a copy, orders to leaving endpoints, an undetected engine
// restart, and loads while the store is unavailable.
func TestControllerHandlesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t).Expect
		records := config.Records{
			Endpoints: []config.Endpoint{declareEndpoint("e1", 100), declareEndpoint("e2", 100)},
			Models:    []config.Model{declareModel("menus", "1", 60, 1)},
		}
		f := newControllerFixture(Weighted{}, records)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		ended := make(chan error, 1)
		go func() { ended <- f.Run(ctx) }()
		settle := func(want ...string) {
			before := len(f.engines.sent())
			time.Sleep(20 * time.Second)
			expect(f.engines.sent()[before:]).To(gomega.Equal(append([]string{}, want...)))
		}
		settle("load menus@1 e1")
		changed := records
		changed.Models = []config.Model{declareModel("menus", "2", 60, 1)}
		f.setDeclarations(changed)
		settle("load menus@2 e2", "unload menus@1 e1")
		f.markLeaving("e2")
		settle("load menus@2 e1")
		f.engines.memories["e1"].Restart("e1-2")
		settle("load menus@2 e1")
		f.store.Faults.SetDown(true)
		f.engines.memories["e1"].Restart("e1-3")
		settle()
		f.store.Faults.SetDown(false)
		settle("load menus@2 e1")
		changed.Endpoints = slices.Clone(records.Endpoints)
		changed.Endpoints[0].Role = "prefill"
		f.setDeclarations(changed)
		settle("set_role @ e1")
		cancel()
		expect(<-ended).To(gomega.MatchError(context.Canceled))
	})
}
