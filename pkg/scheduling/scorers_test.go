package scheduling_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

// Guards against a scorer that prefers the worse endpoint. The first state must cost less than the second.
var _ = DescribeTable("each scorer prefers",
	func(s scheduling.Scorer, request scheduling.Request, better, worse func(*endpoints.State)) {
		a, b := servingState(better), servingState(worse)
		Expect(s.Score(&request, &a)).To(BeNumerically("<", s.Score(&request, &b)))
	},
	Entry("fewer calls", scheduling.LeastInFlight(), scheduling.Request{},
		func(s *endpoints.State) { s.OwnInFlight = 1 }, func(s *endpoints.State) { s.PeerInFlight = 2 }),
	Entry("faster prefill", scheduling.FirstToken(), scheduling.Request{InputTokens: 100},
		func(s *endpoints.State) { s.PrefillTokensPerSecond = 2000 },
		func(s *endpoints.State) { s.PrefillTokensPerSecond = 1000 }),
	Entry("fewer waiting prefills", scheduling.FirstToken(), scheduling.Request{InputTokens: 100},
		func(s *endpoints.State) { s.Report.Waiting = 1 }, func(s *endpoints.State) { s.Report.Waiting = 2 }),
	Entry("waiting prefills that had time to proceed", scheduling.FirstToken(), scheduling.Request{InputTokens: 100},
		func(s *endpoints.State) { s.Report.Waiting, s.ReportAge = 2, time.Second },
		func(s *endpoints.State) { s.Report.Waiting = 2 }),
	Entry("no prefills of this instance's calls", scheduling.FirstToken(), scheduling.Request{InputTokens: 100},
		func(*endpoints.State) {}, func(s *endpoints.State) { s.PrefillBacklog = time.Millisecond }),
	Entry("fewer calls of peers", scheduling.FirstToken(), scheduling.Request{InputTokens: 100},
		func(s *endpoints.State) { s.PeerInFlight = 1 }, func(s *endpoints.State) { s.PeerInFlight = 2 }),
	Entry("a report that counts more calls than stale peers reported", scheduling.FirstToken(),
		scheduling.Request{InputTokens: 100},
		func(s *endpoints.State) { s.Report.Running = 2 },
		func(s *endpoints.State) { s.Report.Running, s.PeersStale = 2, true }),
	Entry("a free slot in the batch", scheduling.FirstToken(), scheduling.Request{InputTokens: 100},
		func(s *endpoints.State) { s.PeerInFlight = 3 }, func(s *endpoints.State) { s.PeerInFlight = 4 }),
	Entry("less time between tokens", scheduling.BetweenTokens(), scheduling.Request{OutputTokens: 100},
		func(s *endpoints.State) { s.BetweenTokens = 10 * time.Millisecond },
		func(s *endpoints.State) { s.BetweenTokens = 20 * time.Millisecond }),
	Entry("more reported tokens per running call", scheduling.BetweenTokens(), scheduling.Request{OutputTokens: 100},
		func(s *endpoints.State) { s.Report.Running, s.Report.DecodeTokensPerSecond = 2, 200 },
		func(s *endpoints.State) { s.Report.Running, s.Report.DecodeTokensPerSecond = 4, 200 }),
	Entry("an idle engine's low rates over a backlog", scheduling.FirstToken(), scheduling.Request{InputTokens: 100},
		func(s *endpoints.State) { s.PrefillTokensPerSecond = 1 },
		func(s *endpoints.State) { s.PrefillBacklog = time.Second }),
	Entry("no adapters for a call without adapter", scheduling.AdapterLocality(), scheduling.Request{Model: "m"},
		func(s *endpoints.State) { s.OwnInFlight = 3; s.Report.Artifacts = s.Report.Artifacts[:1] },
		func(s *endpoints.State) { s.OwnInFlight = 3 }),
	Entry("this instance's data centre", scheduling.DataCentreDistance(topology), scheduling.Request{},
		func(*endpoints.State) {}, func(s *endpoints.State) { s.Endpoint.DataCentre = "b" }),
	Entry("this instance's region", scheduling.DataCentreDistance(topology), scheduling.Request{},
		func(s *endpoints.State) { s.Endpoint.DataCentre = "b" }, func(s *endpoints.State) { s.Endpoint.DataCentre = "c" }),
)

// endpointStates returns n endpoints named e0000 and so on, in data centres a, b and c in turn.
func endpointStates(n int) []endpoints.State {
	states := make([]endpoints.State, n)
	for i := range states {
		states[i] = servingState(func(s *endpoints.State) {
			s.Endpoint = &config.Endpoint{
				Header: config.Header{Name: fmt.Sprintf("e%04d", i)}, DataCentre: string(rune('a' + i%3)), MaxConcurrentRequests: 4,
			}
		})
	}
	return states
}

func pipeline(index *scheduling.PrefixIndex) *scheduling.Pipeline {
	budget := scheduling.NewLinkBudget(30_000_000)
	p := scheduling.NewPipeline(scheduling.DefaultFilters(topology, budget), scheduling.DefaultScorers(topology),
		scheduling.NewPicker(16, topology, 7))
	p.Index = index
	return p
}

// Guards against a prefix that attracts calls to a full endpoint while others are idle, and against one that attracts
// none.
func TestPrefixAffinityIsBoundedByLoad(t *testing.T) {
	g := NewWithT(t)
	index := scheduling.NewPrefixIndex(100)
	request := scheduling.Request{Model: "m", InputTokens: 2000, OutputTokens: 50, PrefixHashes: []uint64{1, 2, 3, 4}}
	states := endpointStates(4)
	index.RecordSent(&request, "e0003")
	p := pipeline(index)
	decision, _, _ := p.Schedule(&request, states)
	g.Expect(decision.Chosen).To(Equal("e0003"))
	g.Expect(decision.EstimatedFirstToken).To(BeZero(), "the whole prompt is cached")
	states[3].OwnInFlight, states[3].PrefillBacklog = 3, 250*time.Millisecond
	decision, _, _ = p.Schedule(&request, states)
	g.Expect(decision.Chosen).To(Equal("e0000"))
	g.Expect(decision.EstimatedFirstToken).To(Equal(400 * time.Millisecond))
}

// Guards against stale cache entries after lost events, a restart or an eviction, and against unbounded memory.
func TestPrefixIndexAppliesEvents(t *testing.T) {
	stored := func(sequence int64, hash uint64) engine.CacheEvent {
		return engine.CacheEvent{Sequence: sequence, Stored: true, Model: "m", PrefixHash: hash}
	}
	cases := map[string]struct {
		incarnation string
		events      []engine.CacheEvent
		blocks      int
	}{
		"no further events":   {"one", nil, 2},
		"further block":       {"one", []engine.CacheEvent{stored(3, 3)}, 3},
		"repeated events":     {"one", []engine.CacheEvent{stored(1, 1), stored(2, 2)}, 2},
		"eviction of a block": {"one", []engine.CacheEvent{{Sequence: 3, Model: "m", PrefixHash: 2}}, 1},
		"eviction of another model's block": {"one",
			[]engine.CacheEvent{{Sequence: 3, Model: "n", PrefixHash: 2}}, 2},
		"gap":                 {"one", []engine.CacheEvent{stored(4, 9)}, 0},
		"gap, then re-stored": {"one", []engine.CacheEvent{stored(4, 9), stored(5, 1)}, 1},
		"new incarnation":     {"two", nil, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			index := scheduling.NewPrefixIndex(4)
			index.Apply("e", "one", []engine.CacheEvent{stored(1, 1), stored(2, 2)})
			index.Apply("e", c.incarnation, c.events)
			found := index.Lookup(&scheduling.Request{Model: "m", PrefixHashes: []uint64{1, 2, 3}})
			if c.blocks == 0 {
				g.Expect(found).To(BeEmpty())
				return
			}
			g.Expect(found).To(ConsistOf(scheduling.CachedPrefix{Endpoint: "e", Blocks: c.blocks}))
			for i := range uint64(100) {
				index.RecordSent(&scheduling.Request{Model: "m", PrefixHashes: []uint64{i}}, "f")
			}
			g.Expect(index.Len()).To(BeNumerically("<=", 4))
		})
	}
}

// Guards against decisions that grow with the number of endpoints, give no reason, or differ between runs with the same
// seed.
func TestDecisionsAreBoundedAndRepeatable(t *testing.T) {
	g := NewWithT(t)
	states := endpointStates(1000)
	for i := range 500 {
		states[2*i].Leaving = true
	}
	var chosen [2][]string
	for run := range chosen {
		p := pipeline(nil)
		for range 20 {
			decision, position, status := p.Schedule(&scheduling.Request{ID: "r", Model: "m", InputTokens: 10}, states)
			g.Expect(status).To(Equal(scheduling.Chosen))
			g.Expect(states[position].Endpoint.Name).To(Equal(decision.Chosen))
			g.Expect(len(decision.Candidates)).To(BeNumerically("<=", 16))
			g.Expect(decision.Excluded).To(HaveLen(16))
			g.Expect(decision.Candidates[0].Scores).To(HaveLen(6))
			g.Expect(decision.Passed).To(Equal(500))
			g.Expect(states[position].Endpoint.DataCentre).To(Equal("a"), "the endpoints of this instance's data centre are idle")
			chosen[run] = append(chosen[run], decision.Chosen)
		}
	}
	index := scheduling.NewPrefixIndex(10)
	request := scheduling.Request{Model: "m", InputTokens: 4000, PrefixHashes: []uint64{1}}
	index.RecordSent(&request, "e0777")
	decision, _, _ := pipeline(index).Schedule(&request, states)
	g.Expect(decision.Chosen).To(Equal("e0777"), "the holder of the prefix is always scored")
	index.RemoveEndpoint("e0777")
	g.Expect(index.Lookup(&request)).To(BeEmpty())
	g.Expect(chosen[0]).To(Equal(chosen[1]))
	g.Expect(chosen[0]).NotTo(HaveEach(chosen[0][0]), "all calls went to one of many equal endpoints")
}

// Guards against a wrong status for a call that cannot start: the controller handles each one differently.
func TestStatusWithoutChoice(t *testing.T) {
	cases := map[string]struct {
		change func([]endpoints.State)
		want   scheduling.Status
	}{
		"no endpoint":                      {nil, scheduling.NotDeclared},
		"not loaded":                       {func(s []endpoints.State) { s[0].Report, s[1].Report = nil, nil }, scheduling.NotLoaded},
		"loaded endpoint is leaving":       {func(s []endpoints.State) { s[0].Report = nil; s[1].Leaving = true }, scheduling.Unavailable},
		"one full, one ejected":            {func(s []endpoints.State) { s[0].OwnInFlight = 4; s[1].Health = endpoints.Ejected }, scheduling.Saturated},
		"one full, one with free capacity": {func(s []endpoints.State) { s[0].OwnInFlight = 4 }, scheduling.Chosen},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			states := endpointStates(2)
			if c.change == nil {
				states = nil
			} else {
				c.change(states)
			}
			_, _, status := pipeline(nil).Schedule(&scheduling.Request{Model: "m"}, states)
			NewWithT(t).Expect(status).To(Equal(c.want))
		})
	}
}

func BenchmarkSchedule(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 5500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			states := endpointStates(n)
			p := pipeline(scheduling.NewPrefixIndex(1000))
			request := scheduling.Request{Model: "m", InputTokens: 500, OutputTokens: 100, PrefixHashes: []uint64{1, 2, 3, 4}}
			b.ReportAllocs()
			for b.Loop() {
				p.Schedule(&request, states)
			}
		})
	}
}
