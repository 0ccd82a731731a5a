package scheduling_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

func TestScheduling(t *testing.T) {
	testkit.RunSpecs(t, "scheduling")
}

// fixedTopology maps data centres to distances. Unknown ones are in another region.
type fixedTopology map[string]scheduling.Distance

func (t fixedTopology) Distance(dataCentre string) scheduling.Distance {
	if d, ok := t[dataCentre]; ok {
		return d
	}
	return scheduling.OtherRegion
}

var topology = fixedTopology{"a": scheduling.SameDataCentre, "b": scheduling.SameRegion}

// servingState returns a healthy endpoint in data centre a with model m and adapter m-a loaded and a limit of four
// calls. Model "coming" is still being loaded there, and model "going" is being unloaded.
func servingState(modify ...func(*endpoints.State)) endpoints.State {
	state := endpoints.State{
		Endpoint: &config.Endpoint{Header: config.Header{Name: "e"}, DataCentre: "a", MaxConcurrentRequests: 4},
		Report: &engine.Report{
			MaxRunning: 4,
			Role:       endpoints.RoleServe,
			Artifacts: []engine.LoadedArtifact{
				{Artifact: engine.Artifact{Kind: engine.KindModel, Name: "m"}, State: engine.StateLoaded},
				{Artifact: engine.Artifact{Kind: engine.KindModel, Name: "coming"}, State: engine.StateLoading},
				{Artifact: engine.Artifact{Kind: engine.KindModel, Name: "going"}, State: engine.StateUnloading},
				{Artifact: engine.Artifact{Kind: engine.KindAdapter, Name: "m-a"}, State: engine.StateLoaded},
			},
		},
		Instances:        1,
		ConcurrencyLimit: 4,
		Health:           endpoints.Healthy,
	}
	for _, f := range modify {
		f(&state)
	}
	return state
}

// Guards against sending a call to an endpoint that cannot or must not run it.
var _ = DescribeTable("each filter rejects exactly the endpoints that cannot or must not run the call:",
	func(f scheduling.Filter, request scheduling.Request, change func(*endpoints.State), rejected bool) {
		state := servingState(change)
		Expect(f.Reject(&request, &state) != "").To(Equal(rejected))
	},
	Entry("loaded model", scheduling.ArtifactLoaded(), scheduling.Request{Model: "m"}, func(*endpoints.State) {}, false),
	Entry("loading model", scheduling.ArtifactLoaded(), scheduling.Request{Model: "coming"}, func(*endpoints.State) {}, true),
	Entry("unloading model", scheduling.ArtifactLoaded(), scheduling.Request{Model: "going"}, func(*endpoints.State) {}, true),
	Entry("unknown model", scheduling.ArtifactLoaded(), scheduling.Request{Model: "x"}, func(*endpoints.State) {}, true),
	Entry("loaded adapter", scheduling.ArtifactLoaded(), scheduling.Request{Model: "m", Adapter: "m-a"},
		func(*endpoints.State) {}, false),
	Entry("absent adapter", scheduling.ArtifactLoaded(), scheduling.Request{Model: "m", Adapter: "m-b"},
		func(*endpoints.State) {}, true),
	Entry("adapter named like the model", scheduling.ArtifactLoaded(), scheduling.Request{Model: "m", Adapter: "m"},
		func(*endpoints.State) {}, true),
	Entry("no report yet", scheduling.ArtifactLoaded(), scheduling.Request{Model: "m"},
		func(s *endpoints.State) { s.Report = nil }, true),
	Entry("call without model to a plain service without report", scheduling.ArtifactLoaded(), scheduling.Request{},
		func(s *endpoints.State) { s.Report = nil }, false),
	Entry("healthy", scheduling.Healthy(), scheduling.Request{}, func(*endpoints.State) {}, false),
	Entry("ejected", scheduling.Healthy(), scheduling.Request{},
		func(s *endpoints.State) { s.Health = endpoints.Ejected }, true),
	Entry("probing and idle", scheduling.Healthy(), scheduling.Request{},
		func(s *endpoints.State) { s.Health = endpoints.Probing }, false),
	Entry("probing with a call", scheduling.Healthy(), scheduling.Request{},
		func(s *endpoints.State) { s.Health, s.OwnInFlight = endpoints.Probing, 1 }, true),
	Entry("leaving", scheduling.NotLeaving(), scheduling.Request{},
		func(s *endpoints.State) { s.Leaving = true }, true),
	Entry("declared for another role, reported as serving", scheduling.ServingRole(), scheduling.Request{},
		func(s *endpoints.State) { s.Endpoint.Role = "prefill" }, false),
	Entry("reported in another role", scheduling.ServingRole(), scheduling.Request{},
		func(s *endpoints.State) { s.Report.Role = "prefill" }, true),
	Entry("failed this call", scheduling.NotExcluded(), scheduling.Request{Exclude: []string{"e"}},
		func(*endpoints.State) {}, true),
	Entry("another endpoint failed", scheduling.NotExcluded(), scheduling.Request{Exclude: []string{"f"}},
		func(*endpoints.State) {}, false),
	Entry("below the limit", scheduling.Concurrency(), scheduling.Request{},
		func(s *endpoints.State) { s.OwnInFlight, s.PeerInFlight = 2, 1 }, false),
	Entry("at the limit, including the calls of other instances", scheduling.Concurrency(), scheduling.Request{},
		func(s *endpoints.State) { s.OwnInFlight, s.PeerInFlight = 2, 2 }, true),
	Entry("only the headroom free that the call must leave", scheduling.Concurrency(), scheduling.Request{},
		func(s *endpoints.State) { s.OwnInFlight, s.PeerInFlight, s.Headroom = 2, 1, 0.25 }, true),
	Entry("more than the headroom free", scheduling.Concurrency(), scheduling.Request{},
		func(s *endpoints.State) { s.OwnInFlight, s.PeerInFlight, s.Headroom = 1, 1, 0.25 }, false),
	Entry("above the limit, entitled fraction not used up, but the call must leave headroom", scheduling.Concurrency(),
		scheduling.Request{},
		func(s *endpoints.State) {
			s.OwnInFlight, s.PeerInFlight, s.EntitledFraction, s.Headroom = 1, 4, 1, 0.25
		}, true),
	Entry("idle endpoint with the whole limit as headroom", scheduling.Concurrency(), scheduling.Request{},
		func(s *endpoints.State) { s.Headroom = 1 }, false),
	Entry("no recent message from a peer, equal fraction of the limit used up", scheduling.Concurrency(),
		scheduling.Request{},
		func(s *endpoints.State) { s.PeersStale, s.Instances, s.OwnInFlight = true, 2, 2 }, true),
	Entry("no recent message from a peer, equal fraction not used up although peers were busy", scheduling.Concurrency(),
		scheduling.Request{},
		func(s *endpoints.State) { s.PeersStale, s.Instances, s.OwnInFlight, s.PeerInFlight = true, 2, 1, 3 }, false),
	Entry("same data centre with an empty link budget", scheduling.RegionLink(topology, emptyLinkBudget()),
		scheduling.Request{Bytes: 100}, func(*endpoints.State) {}, false),
	Entry("same region with an empty link budget", scheduling.RegionLink(topology, emptyLinkBudget()),
		scheduling.Request{Bytes: 100}, func(s *endpoints.State) { s.Endpoint.DataCentre = "b" }, false),
	Entry("other region with an empty link budget", scheduling.RegionLink(topology, emptyLinkBudget()),
		scheduling.Request{Bytes: 100}, func(s *endpoints.State) { s.Endpoint.DataCentre = "c" }, true),
	Entry("other region with a full link budget", scheduling.RegionLink(topology, scheduling.NewLinkBudget(1<<30)),
		scheduling.Request{Bytes: 100}, func(s *endpoints.State) { s.Endpoint.DataCentre = "c" }, false),
)

// emptyLinkBudget returns an empty budget of 1 bit/s, which refills one byte in 8 s.
func emptyLinkBudget() *scheduling.LinkBudget {
	budget := scheduling.NewLinkBudget(1)
	budget.Consume(1)
	return budget
}
