package scheduling

import (
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
)

const (
	// The defaults apply until the rates and durations of an endpoint are known.
	defaultPrefillTokensPerSecond = 5000
	defaultCallDurationSeconds    = 1
	defaultBetweenTokensSeconds   = 0.015
	// minPrefillTokensPerSecond and maxBetweenTokensSeconds bound reported rates. An engine with little load reports
	// low recent rates. Without the bounds it would receive no calls, and its rates would never rise.
	minPrefillTokensPerSecond = 1000
	maxBetweenTokensSeconds   = 0.1
	// sameRegionRoundTripSeconds and otherRegionRoundTripSeconds assume one-way latencies of 0.5 ms and 20 ms.
	sameRegionRoundTripSeconds  = 0.001
	otherRegionRoundTripSeconds = 0.040
	// linkSecondsPerByte is the cost of a byte on the metered region link: 1 MB costs as much as 100 ms.
	linkSecondsPerByte = 1e-7
	// maxDecodeTokens bounds the output tokens that BetweenTokens counts, because a caller's limit is often far above
	// the length of the response.
	maxDecodeTokens = 256
	// lastSlotCostSeconds is the cost of sending a call without adapter to the last free slot of an endpoint with
	// adapters.
	lastSlotCostSeconds = 0.050
)

type scorerFunc struct {
	name  string
	score func(request *Request, state *endpoints.State) float64
}

func (s scorerFunc) Name() string { return s.name }

func (s scorerFunc) Score(request *Request, state *endpoints.State) float64 {
	return s.score(request, state)
}

// LeastInFlight returns a scorer whose cost is the ratio of calls in flight to the limit, in seconds.
func LeastInFlight() Scorer {
	return scorerFunc{name: "in-flight", score: func(_ *Request, state *endpoints.State) float64 {
		return float64(state.InFlight()) / float64(max(1, state.ConcurrencyLimit))
	}}
}

// FirstToken returns a scorer of the expected time to the first token without a cached prefix.
func FirstToken() Scorer {
	return scorerFunc{name: "first-token", score: firstTokenSeconds}
}

// firstTokenSeconds sums the prefill of the call, the prefills queued before it, and the wait for a slot in the batch.
// This instance's prefills are known. The prefills of calls that the report counts as waiting are reduced by the
// report's age. Of other instances' calls, only the fraction that is expected to be in prefill counts.
func firstTokenSeconds(request *Request, state *endpoints.State) float64 {
	prefill := float64(request.InputTokens) / prefillTokensPerSecond(state)
	backlog, limit := state.PrefillBacklog.Seconds(), state.ConcurrencyLimit
	if state.Report != nil {
		waiting := float64(state.Report.Waiting)*prefill - state.ReportAge.Seconds()
		backlog = max(backlog, waiting)
		if state.Report.MaxRunning > 0 {
			limit = state.Report.MaxRunning
		}
	}
	otherPrefills := float64(state.OthersInFlight()) * min(1, prefill/callDurationSeconds(state)) * prefill
	excessCalls := max(0, state.InFlight()+1-limit)
	wait := float64(excessCalls) / float64(max(1, limit)) * callDurationSeconds(state)
	return prefill + backlog + otherPrefills + wait
}

// PrefillTime returns the expected time to process the part of the prompt that the endpoint has not cached.
func PrefillTime(request *Request, state *endpoints.State) time.Duration {
	prefill := float64(request.InputTokens)/prefillTokensPerSecond(state) - cachedPrefixSeconds(request, state)
	return time.Duration(max(0, prefill) * float64(time.Second))
}

func prefillTokensPerSecond(state *endpoints.State) float64 {
	if state.PrefillTokensPerSecond > 0 {
		return max(state.PrefillTokensPerSecond, minPrefillTokensPerSecond)
	}
	return defaultPrefillTokensPerSecond
}

func callDurationSeconds(state *endpoints.State) float64 {
	if state.CallDuration > 0 {
		return state.CallDuration.Seconds()
	}
	return defaultCallDurationSeconds
}

// BetweenTokens returns a scorer of the expected time to generate the response.
func BetweenTokens() Scorer {
	return scorerFunc{name: "between-tokens", score: func(request *Request, state *endpoints.State) float64 {
		return betweenTokensSeconds(state) * float64(min(request.OutputTokens, maxDecodeTokens))
	}}
}

// betweenTokensSeconds prefers the interval that this instance measured. The reported rate is the total of all running
// calls, so it is divided by their number.
func betweenTokensSeconds(state *endpoints.State) float64 {
	if state.BetweenTokens > 0 {
		return state.BetweenTokens.Seconds()
	}
	if state.Report != nil && state.Report.DecodeTokensPerSecond > 0 && state.Report.Running > 0 {
		return min(maxBetweenTokensSeconds, float64(state.Report.Running)/state.Report.DecodeTokensPerSecond)
	}
	return defaultBetweenTokensSeconds
}

// PrefixAffinity returns a scorer that credits the prefill time saved by a cached prefix. The credit shrinks once the
// endpoint is half full, so that a popular prefix spreads to further endpoints before its holder is full.
func PrefixAffinity() Scorer {
	return scorerFunc{name: "prefix", score: func(request *Request, state *endpoints.State) float64 {
		free := 1 - float64(state.InFlight())/float64(max(1, state.ConcurrencyLimit))
		return -cachedPrefixSeconds(request, state) * max(0, min(1, 2*free))
	}}
}

// cachedPrefixSeconds returns the prefill time that the endpoint's cached prefix saves.
func cachedPrefixSeconds(request *Request, state *endpoints.State) float64 {
	if len(request.PrefixHashes) == 0 {
		return 0
	}
	for _, c := range request.cached {
		if c.Endpoint == state.Endpoint.Name {
			fraction := float64(c.Blocks) / float64(len(request.PrefixHashes))
			return fraction * float64(request.InputTokens) / prefillTokensPerSecond(state)
		}
	}
	return 0
}

// AdapterLocality returns a scorer that keeps calls without adapter away from the last slots of endpoints with
// adapters. Only those endpoints can run the adapters' calls, while any copy of the model can run the others.
func AdapterLocality() Scorer {
	return scorerFunc{name: "adapter", score: func(request *Request, state *endpoints.State) float64 {
		if request.Adapter != "" || !state.HasAdapter() {
			return 0
		}
		return lastSlotCostSeconds * float64(state.InFlight()) / float64(max(1, state.ConcurrencyLimit))
	}}
}

// DataCentreDistance returns a scorer of the round-trip time and, for other regions, of the bytes on the region link.
func DataCentreDistance(topology Topology) Scorer {
	return scorerFunc{name: "distance", score: func(request *Request, state *endpoints.State) float64 {
		switch topology.Distance(state.Endpoint.DataCentre) {
		case SameDataCentre:
			return 0
		case SameRegion:
			return sameRegionRoundTripSeconds
		}
		return otherRegionRoundTripSeconds + linkSecondsPerByte*float64(linkBytes(request))
	}}
}

// DefaultFilters returns all filters; those of lasting conditions come first.
func DefaultFilters(topology Topology, budget *LinkBudget) []Filter {
	return []Filter{
		NotLeaving(), ServingRole(), ArtifactLoaded(), NotExcluded(), Healthy(), Concurrency(), RegionLink(topology, budget),
	}
}

// DefaultScorers returns the default scorers. The time to the first token has full weight. The time between tokens
// weighs less, because the response streams meanwhile. The relative load weighs least and decides only between
// endpoints that are otherwise alike.
func DefaultScorers(topology Topology) []WeightedScorer {
	return []WeightedScorer{
		{Scorer: FirstToken(), Weight: 1},
		{Scorer: PrefixAffinity(), Weight: 1},
		{Scorer: BetweenTokens(), Weight: 0.1},
		{Scorer: AdapterLocality(), Weight: 1},
		{Scorer: DataCentreDistance(topology), Weight: 1},
		{Scorer: LeastInFlight(), Weight: 0.1},
	}
}

// EstimateBetweenTokens returns the expected time between output tokens at the endpoint.
func EstimateBetweenTokens(state *endpoints.State) time.Duration {
	return time.Duration(betweenTokensSeconds(state) * float64(time.Second))
}
