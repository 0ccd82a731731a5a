package admission_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/admission"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/decisions"
	"github.com/mulberryglade/mulberryglade/pkg/demand"
	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/fairshare"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

// testEnv is a controller with its dependencies. The test sets the engine reports.
type testEnv struct {
	controller     *admission.Controller
	registry       *endpoints.Registry
	demand         *demand.Tracker
	fakeReporter   *fakeReporter
	stop           func()
	index          *scheduling.PrefixIndex
	shares         *fairshare.Accountant
	decisions      *decisions.Recorder
	secondInstance *testEnv
}

// routingConfig is the configuration in which routing policies differ.
type routingConfig struct {
	scorers []scheduling.WeightedScorer
	picker  scheduling.Picker
	// prefixes is true if the pipeline has an index of cached prefixes.
	prefixes bool
	// order is nil for the default order.
	order admission.Order
	// secondInstance, if set, adds a second instance in front of the same endpoints. It starts the exchange between the
	// two and returns a function that stops it.
	secondInstance func(a, b *testEnv) (stop func())
}

// localTopology is a Topology with a single data centre.
type localTopology struct{}

func (localTopology) Distance(string) scheduling.Distance { return scheduling.SameDataCentre }

func defaultRouting() routingConfig {
	return routingConfig{scorers: scheduling.DefaultScorers(localTopology{}), picker: scheduling.NewPicker(64, nil, 1), prefixes: true}
}

// fakeReporter returns configured load reports and cache events.
type fakeReporter struct {
	mu     sync.Mutex
	byName map[string]engine.Report
	// fillLoad, if set, fills in the load of an endpoint.
	fillLoad func(name string, report *engine.Report)
	// cacheEvents, if set, returns the cache events of an endpoint.
	cacheEvents func(name string, after int64) []engine.CacheEvent
}

func (r *fakeReporter) set(name string, report engine.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byName[name] = report
}

func (r *fakeReporter) Report(_ context.Context, target engine.Target) (engine.Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.byName[target.Name]
	if r.fillLoad != nil {
		r.fillLoad(target.Name, &report)
	}
	return report, nil
}

func (r *fakeReporter) CacheEvents(_ context.Context, target engine.Target, after int64) ([]engine.CacheEvent, error) {
	if r.cacheEvents == nil {
		return nil, nil
	}
	return r.cacheEvents(target.Name, after), nil
}

func (r *fakeReporter) Load(context.Context, engine.Target) (endpoints.ServiceLoad, error) {
	return endpoints.ServiceLoad{}, nil
}

// loaded returns the report of an engine that has the models loaded.
func loaded(maxRunning int, models ...string) engine.Report {
	report := engine.Report{MaxRunning: maxRunning}
	for _, m := range models {
		artifact := engine.Artifact{Kind: engine.KindModel, Name: m}
		report.Artifacts = append(report.Artifacts, engine.LoadedArtifact{Artifact: artifact, State: engine.StateLoaded})
	}
	return report
}

// start runs a test environment inside a synctest bubble. Each report adds an endpoint to service s.
func start(t testing.TB, records config.Records, byName map[string]engine.Report) *testEnv {
	t.Helper()
	return startWith(t, records, &fakeReporter{byName: byName}, defaultRouting())
}

func startWith(t testing.TB, records config.Records, reporter *fakeReporter, r routingConfig) *testEnv {
	t.Helper()
	records.Services = append(records.Services, config.Service{Header: config.Header{Name: "s"}, Type: config.EngineService})
	for name, report := range reporter.byName {
		records.Endpoints = append(records.Endpoints, config.Endpoint{
			Header: config.Header{Name: name}, Service: "s", URL: "http://127.0.0.1:1", MaxConcurrentRequests: report.MaxRunning,
		})
	}
	s := &testEnv{demand: demand.NewTracker(), fakeReporter: reporter}
	s.registry = endpoints.NewRegistry(s.fakeReporter, s.fakeReporter, zap.NewNop(), endpoints.Options{})
	s.controller = newController(s, r)
	snapshot := config.NewSnapshot(1, time.Time{}, records)
	s.registry.Apply(snapshot)
	s.controller.Apply(snapshot)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { s.registry.Run(ctx); done <- struct{}{} }()
	go func() { s.controller.Run(ctx); done <- struct{}{} }()
	if _, benchmark := t.(*testing.B); !benchmark {
		synctest.Wait()
	}
	s.stop = func() {
		cancel()
		<-done
		<-done
	}
	return s
}

func newController(s *testEnv, r routingConfig) *admission.Controller {
	filters := scheduling.DefaultFilters(localTopology{}, scheduling.NewLinkBudget(0))
	p := scheduling.NewPipeline(filters, r.scorers, r.picker)
	if r.prefixes {
		s.index = scheduling.NewPrefixIndex(10_000)
		p.Index = s.index
		s.registry.SetEventSink(s.index)
	}
	s.shares = fairshare.NewAccountant(fairshare.DefaultWeights())
	s.decisions = decisions.NewRecorder(zap.NewNop(), 64)
	return admission.NewController(admission.Dependencies{
		Registry:  s.registry,
		Pipeline:  p,
		Order:     r.order,
		Demand:    s.demand,
		Shares:    s.shares,
		Decisions: s.decisions,
		Prefixes:  s.index,
	})
}

// request returns a call of member a for model m with a deadline of 10 s.
func request(change ...func(*scheduling.Request)) scheduling.Request {
	r := scheduling.Request{
		ID: "r", Member: "a", Service: "s", Model: "m", InputTokens: 10, OutputTokens: 10,
		Deadline: time.Now().Add(10 * time.Second),
	}
	for _, f := range change {
		f(&r)
	}
	return r
}
