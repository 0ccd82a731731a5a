package scheduling

import (
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
)

const (
	// defaultPrefillTokensPerSecond and defaultCallSeconds stand in until an endpoint showed its own values.
	defaultPrefillTokensPerSecond = 5000
	defaultCallSeconds            = 1
	defaultBetweenTokensSeconds   = 0.015
	// leastPrefillTokensPerSecond and mostBetweenTokensSeconds bound what reports say. An engine with little to do reports
	// low recent rates; taken at their word they would keep all calls away and so never rise.
	leastPrefillTokensPerSecond = 1000
	mostBetweenTokensSeconds    = 0.1
	// sameRegionSeconds and otherRegionSeconds are the round trips of 0.5 ms and 20 ms one-way latency.
	sameRegionSeconds  = 0.001
	otherRegionSeconds = 0.040
	// linkSecondsPerByte is the cost of moving a byte over the metered region link: 1 MB counts as much as 100 ms.
	linkSecondsPerByte = 1e-7
	// maxDecodeTokens bounds the output that the inter-token scorer counts, because a caller's limit is often far above
	// the length of the response.
	maxDecodeTokens = 256
	// reservedSeconds is the cost for a call without adapter to take the last free slot of an endpoint with adapters.
	reservedSeconds = 0.050
)

type scorerFunc struct {
	name  string
	score func(request *Request, state *endpoints.State) float64
}

func (s scorerFunc) Name() string { return s.name }

func (s scorerFunc) Score(request *Request, state *endpoints.State) float64 {
	return s.score(request, state)
}

// LeastInFlight costs one second per calls in flight relative to the limit.
func LeastInFlight() Scorer {
	return scorerFunc{name: "in-flight", score: func(_ *Request, state *endpoints.State) float64 {
		return float64(state.InFlight()) / float64(max(1, state.ConcurrencyLimit))
	}}
}

// FirstToken costs the expected time to the first token without any cached prefix.
func FirstToken() Scorer {
	return scorerFunc{name: "first-token", score: firstTokenCost}
}

// firstTokenCost adds up the prefill of the call itself, the prefills that come before it, and the wait for a place in the
// batch. Own prefills are known; calls that the report counts as waiting have had the report's age to proceed; of other
// instances' calls the part that is expected to be in prefill counts.
func firstTokenCost(request *Request, state *endpoints.State) float64 {
	prefill := float64(request.InputTokens) / prefillRate(state)
	ahead, limit := state.PrefillBacklog.Seconds(), state.ConcurrencyLimit
	if state.Report != nil {
		waiting := float64(state.Report.Waiting)*prefill - state.ReportAge.Seconds()
		ahead = max(ahead, waiting)
		if state.Report.MaxRunning > 0 {
			limit = state.Report.MaxRunning
		}
	}
	others := float64(state.OthersInFlight()) * min(1, prefill/callSeconds(state)) * prefill
	overflow := max(0, state.InFlight()+1-limit)
	wait := float64(overflow) / float64(max(1, limit)) * callSeconds(state)
	return prefill + ahead + others + wait
}

// PrefillTime is the expected time to process the part of the prompt that the endpoint has not cached.
func PrefillTime(request *Request, state *endpoints.State) time.Duration {
	prefill := float64(request.InputTokens)/prefillRate(state) - cachedGain(request, state)
	return time.Duration(max(0, prefill) * float64(time.Second))
}

func prefillRate(state *endpoints.State) float64 {
	if state.PrefillTokensPerSecond > 0 {
		return max(state.PrefillTokensPerSecond, leastPrefillTokensPerSecond)
	}
	return defaultPrefillTokensPerSecond
}

func callSeconds(state *endpoints.State) float64 {
	if state.CallDuration > 0 {
		return state.CallDuration.Seconds()
	}
	return defaultCallSeconds
}

// BetweenTokens costs the expected time to generate the response.
func BetweenTokens() Scorer {
	return scorerFunc{name: "between-tokens", score: func(request *Request, state *endpoints.State) float64 {
		return betweenTokensSeconds(state) * float64(min(request.OutputTokens, maxDecodeTokens))
	}}
}

// betweenTokensSeconds prefers what this instance saw. The reported rate is shared by all running calls.
func betweenTokensSeconds(state *endpoints.State) float64 {
	if state.BetweenTokens > 0 {
		return state.BetweenTokens.Seconds()
	}
	if state.Report != nil && state.Report.DecodeTokensPerSecond > 0 && state.Report.Running > 0 {
		return min(mostBetweenTokensSeconds, float64(state.Report.Running)/state.Report.DecodeTokensPerSecond)
	}
	return defaultBetweenTokensSeconds
}

// PrefixAffinity credits the prefill time that a cached prefix saves. The credit shrinks once an endpoint is half full, so
// that a popular prefix spreads to further endpoints before its holder is full.
func PrefixAffinity() Scorer {
	return scorerFunc{name: "prefix", score: func(request *Request, state *endpoints.State) float64 {
		free := 1 - float64(state.InFlight())/float64(max(1, state.ConcurrencyLimit))
		return -cachedGain(request, state) * max(0, min(1, 2*free))
	}}
}

// cachedGain is the prefill time that the endpoint's cached prefix saves, in seconds.
func cachedGain(request *Request, state *endpoints.State) float64 {
	if len(request.PrefixHashes) == 0 {
		return 0
	}
	for _, c := range request.cached {
		if c.Endpoint == state.Endpoint.Name {
			fraction := float64(c.Blocks) / float64(len(request.PrefixHashes))
			return fraction * float64(request.InputTokens) / prefillRate(state)
		}
	}
	return 0
}

// AdapterLocality keeps calls without adapter away from the last slots of endpoints that hold adapters: only those
// endpoints can run the adapters' calls, while any copy of the model can run the others.
func AdapterLocality() Scorer {
	return scorerFunc{name: "adapter", score: func(request *Request, state *endpoints.State) float64 {
		if request.Adapter != "" || !state.HoldsAdapter() {
			return 0
		}
		return reservedSeconds * float64(state.InFlight()) / float64(max(1, state.ConcurrencyLimit))
	}}
}

// DataCentreDistance costs the round trip and, over the region link, the bytes.
func DataCentreDistance(topology Topology) Scorer {
	return scorerFunc{name: "distance", score: func(request *Request, state *endpoints.State) float64 {
		switch topology.Distance(state.Endpoint.DataCentre) {
		case SameDataCentre:
			return 0
		case SameRegion:
			return sameRegionSeconds
		}
		return otherRegionSeconds + linkSecondsPerByte*float64(linkBytes(request))
	}}
}

// DefaultFilters are all filters; lasting conditions come first.
func DefaultFilters(topology Topology, budget *LinkBudget) []Filter {
	return []Filter{
		NotLeaving(), ServingRole(), Artifact(), NotExcluded(), Healthy(), Concurrency(), RegionLink(topology, budget),
	}
}

// DefaultScorers weigh the time to the first token fully. Time between tokens weighs less, because the response streams
// meanwhile; relative load weighs least and only decides between endpoints that are otherwise alike.
func DefaultScorers(topology Topology) []Weighted {
	return []Weighted{
		{Scorer: FirstToken(), Weight: 1},
		{Scorer: PrefixAffinity(), Weight: 1},
		{Scorer: BetweenTokens(), Weight: 0.1},
		{Scorer: AdapterLocality(), Weight: 1},
		{Scorer: DataCentreDistance(topology), Weight: 1},
		{Scorer: LeastInFlight(), Weight: 0.1},
	}
}

// BetweenTokensEstimate is the expected time between output tokens at the endpoint.
func BetweenTokensEstimate(state *endpoints.State) time.Duration {
	return time.Duration(betweenTokensSeconds(state) * float64(time.Second))
}
