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
}

// reports answers polls.
type reports struct {
	mu     sync.Mutex
	byName map[string]engine.Report
}

func (r *reports) set(name string, report engine.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byName[name] = report
}

func (r *reports) Report(_ context.Context, target engine.Target) (engine.Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byName[target.Name], nil
}

func (r *reports) CacheEvents(context.Context, engine.Target, int64) ([]engine.CacheEvent, error) {
	return nil, nil
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
func start(t *testing.T, records config.Records, byName map[string]engine.Report) *system {
	t.Helper()
	records.Services = append(records.Services, config.Service{Header: config.Header{Name: "s"}, Type: config.EngineService})
	for name, report := range byName {
		records.Endpoints = append(records.Endpoints, config.Endpoint{
			Header: config.Header{Name: name}, Service: "s", URL: "http://127.0.0.1:1", MaxConcurrentRequests: report.MaxRunning,
		})
	}
	s := &system{demand: demand.NewTracker(), reports: &reports{byName: byName}}
	s.registry = endpoints.NewRegistry(s.reports, s.reports, zap.NewNop(), endpoints.Options{})
	s.controller = newController(s)
	snapshot := config.NewSnapshot(1, time.Time{}, records)
	s.registry.Apply(snapshot)
	s.controller.Apply(snapshot)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { s.registry.Run(ctx); done <- struct{}{} }()
	go func() { s.controller.Run(ctx); done <- struct{}{} }()
	synctest.Wait()
	s.stop = func() {
		cancel()
		<-done
		<-done
	}
	return s
}

func newController(s *system) *admission.Controller {
	filters := []scheduling.Filter{
		scheduling.NotLeaving(), scheduling.ServingRole(), scheduling.Healthy(), scheduling.Artifact(),
		scheduling.NotExcluded(), scheduling.Concurrency(),
	}
	scorers := []scheduling.Weighted{{Scorer: scheduling.LeastInFlight(), Weight: 1}}
	return admission.NewController(admission.Parts{
		Registry:  s.registry,
		Pipeline:  scheduling.NewPipeline(filters, scorers, scheduling.NewPicker(64, nil, 1)),
		Demand:    s.demand,
		Shares:    fairshare.NewAccountant(fairshare.DefaultWeights()),
		Decisions: decisions.NewRecorder(zap.NewNop(), 64),
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
