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

// system is a controller with its parts in front of reports that the test sets.
type system struct {
	controller *admission.Controller
	registry   *endpoints.Registry
	demand     *demand.Tracker
	reports    *reports
	stop       func()
	index      *scheduling.PrefixIndex
	shares     *fairshare.Accountant
	decisions  *decisions.Recorder
	second     *system
}

// routing is the part of a pipeline that policies differ in.
type routing struct {
	scorers []scheduling.Weighted
	picker  scheduling.Picker
	// prefixes tells whether the pipeline knows of cached prefixes.
	prefixes bool
	// order is nil for the default.
	order admission.Order
	// second, if set, starts a second instance in front of the same endpoints; the function starts the exchange between the
	// two and returns the function that stops it.
	second func(a, b *system) (stop func())
}

// near is a topology of one data centre.
type near struct{}

func (near) Distance(string) scheduling.Distance { return scheduling.SameDataCentre }

func defaultRouting() routing {
	return routing{scorers: scheduling.DefaultScorers(near{}), picker: scheduling.NewPicker(64, nil, 1), prefixes: true}
}

// reports answers polls.
type reports struct {
	mu     sync.Mutex
	byName map[string]engine.Report
	// live, if set, fills in the load of an endpoint.
	live func(name string, report *engine.Report)
	// events, if set, answers reads of cache events.
	events func(name string, after int64) []engine.CacheEvent
}

func (r *reports) set(name string, report engine.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byName[name] = report
}

func (r *reports) Report(_ context.Context, target engine.Target) (engine.Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.byName[target.Name]
	if r.live != nil {
		r.live(target.Name, &report)
	}
	return report, nil
}

func (r *reports) CacheEvents(_ context.Context, target engine.Target, after int64) ([]engine.CacheEvent, error) {
	if r.events == nil {
		return nil, nil
	}
	return r.events(target.Name, after), nil
}

func (r *reports) Load(context.Context, engine.Target) (endpoints.ServiceLoad, error) {
	return endpoints.ServiceLoad{}, nil
}

// loaded is the report of an engine with the models loaded.
func loaded(maxRunning int, models ...string) engine.Report {
	report := engine.Report{MaxRunning: maxRunning}
	for _, m := range models {
		artifact := engine.Artifact{Kind: engine.KindModel, Name: m}
		report.Artifacts = append(report.Artifacts, engine.LoadedArtifact{Artifact: artifact, State: engine.StateLoaded})
	}
	return report
}

// start runs a system inside a synctest bubble; each report belongs to an endpoint of service s.
func start(t testing.TB, records config.Records, byName map[string]engine.Report) *system {
	t.Helper()
	return startWith(t, records, &reports{byName: byName}, defaultRouting())
}

func startWith(t testing.TB, records config.Records, source *reports, r routing) *system {
	t.Helper()
	records.Services = append(records.Services, config.Service{Header: config.Header{Name: "s"}, Type: config.EngineService})
	for name, report := range source.byName {
		records.Endpoints = append(records.Endpoints, config.Endpoint{
			Header: config.Header{Name: name}, Service: "s", URL: "http://127.0.0.1:1", MaxConcurrentRequests: report.MaxRunning,
		})
	}
	s := &system{demand: demand.NewTracker(), reports: source}
	s.registry = endpoints.NewRegistry(s.reports, s.reports, zap.NewNop(), endpoints.Options{})
	s.controller = newController(s, r)
	snapshot := config.NewSnapshot(1, time.Time{}, records)
	s.registry.Apply(snapshot)
	s.controller.Apply(snapshot)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { s.registry.Run(ctx); done <- struct{}{} }()
	go func() { s.controller.Run(ctx); done <- struct{}{} }()
	if _, timed := t.(*testing.B); !timed {
		synctest.Wait()
	}
	s.stop = func() {
		cancel()
		<-done
		<-done
	}
	return s
}

func newController(s *system, r routing) *admission.Controller {
	filters := scheduling.DefaultFilters(near{}, scheduling.NewLinkBudget(0))
	p := scheduling.NewPipeline(filters, r.scorers, r.picker)
	if r.prefixes {
		s.index = scheduling.NewPrefixIndex(10_000)
		p.Index = s.index
		s.registry.ReadEvents(s.index)
	}
	s.shares = fairshare.NewAccountant(fairshare.DefaultWeights())
	s.decisions = decisions.NewRecorder(zap.NewNop(), 64)
	return admission.NewController(admission.Parts{
		Registry:  s.registry,
		Pipeline:  p,
		Order:     r.order,
		Demand:    s.demand,
		Shares:    s.shares,
		Decisions: s.decisions,
		Prefixes:  s.index,
	})
}

// request is a call of member a for model m with a deadline of 10 s.
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
