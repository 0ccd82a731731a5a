package placement

import (
	"math"

	"github.com/mulberryglade/mulberryglade/pkg/config"
)

const (
	// copyUtilisation is the fraction of a copy's concurrent requests that plans use. The rest absorbs bursts between
	// two plans.
	copyUtilisation = 0.75
	// shiftRatio is the minimum ratio of the fast average to the slow one for a shift of demand. A smaller ratio counts
	// as random fluctuation.
	shiftRatio = 2.0
	// shiftDeviations is the difference between the averages above which it counts as a shift, in standard deviations.
	// It matters at low rates, where single calls change the ratio.
	shiftDeviations = 4.0
	// growthMargin is the minimum ratio of required to existing copies at which another copy is loaded.
	growthMargin = 1.2
	// evictionMargin is the ratio by which the value of a copy must exceed the price of the copies that it replaces.
	// Without it, two models of nearly equal value would replace each other without end.
	evictionMargin = 1.25
	// gainHorizonSeconds is the time over which a copy's gain is compared with the price of its loads and unloads.
	// Demand varies tenfold within an hour, so a gain is not certain for much longer.
	gainHorizonSeconds = 300.0
	// defaultPriceWeight is used for both weights if neither is declared.
	defaultPriceWeight = 1.0
)

// modelDemand is the demand from which the number of copies of a model is computed.
type modelDemand struct {
	// concurrency is the number of requests that run at the same time if the latency targets are met.
	requestsPerSecond, concurrency float64
}

// growthDemand returns the demand that justifies loads: the slow average, or the fast one if it shows an upward shift.
func growthDemand(a Average, m *config.Model) modelDemand {
	// This is the standard deviation of the fast average of Poisson arrivals.
	deviation := math.Sqrt(a.SlowRequests / (2 * fastTimeConstant.Seconds()))
	if a.FastRequests >= shiftRatio*a.SlowRequests && a.FastRequests-a.SlowRequests > shiftDeviations*deviation {
		return modelDemandOf(a.FastRequests, a.FastTokens, m)
	}
	return modelDemandOf(a.SlowRequests, a.SlowTokens, m)
}

// retentionDemand returns the demand for which copies are kept. It is the larger of both averages, so that a short drop
// in demand unloads nothing.
func retentionDemand(a Average, m *config.Model) modelDemand {
	return modelDemandOf(math.Max(a.FastRequests, a.SlowRequests), math.Max(a.FastTokens, a.SlowTokens), m)
}

// modelDemandOf computes the concurrency by Little's law from the model's latency targets.
func modelDemandOf(requestsPerSecond, tokensPerSecond float64, m *config.Model) modelDemand {
	firstToken, betweenTokens := config.DefaultFirstTokenTarget, config.DefaultBetweenTokensTarget
	if m.FirstTokenTargetMs > 0 {
		firstToken = config.Milliseconds(m.FirstTokenTargetMs)
	}
	if m.BetweenTokensTargetMs > 0 {
		betweenTokens = config.Milliseconds(m.BetweenTokensTargetMs)
	}
	return modelDemand{requestsPerSecond: requestsPerSecond, concurrency: requestsPerSecond*firstToken.Seconds() + tokensPerSecond*betweenTokens.Seconds()}
}

// attainedRequests returns the requests per second that meet their latency targets with the given number of copies.
func (d modelDemand) attainedRequests(copies int, concurrencyPerCopy float64) float64 {
	if d.concurrency <= 0 {
		return 0
	}
	return d.requestsPerSecond * math.Min(1, float64(copies)*concurrencyPerCopy/d.concurrency)
}

// gain returns the additional requests per second that meet their latency targets with the given number of copies,
// compared with one copy fewer.
func (d modelDemand) gain(copies int, concurrencyPerCopy float64) float64 {
	return d.attainedRequests(copies, concurrencyPerCopy) - d.attainedRequests(copies-1, concurrencyPerCopy)
}

// requiredCopies returns the number of copies that serve the whole demand.
func (d modelDemand) requiredCopies(concurrencyPerCopy float64) int {
	return int(math.Ceil(d.concurrency / concurrencyPerCopy))
}

// concurrencyPerCopy returns the planned number of concurrent requests of one copy. It is proportional to the copy's
// fraction of the endpoint's accelerators. All endpoints of a service are assumed to be declared like the first.
func concurrencyPerCopy(m *config.Model, endpoints []*endpointLayout) float64 {
	if len(endpoints) == 0 {
		return 1
	}
	declared := endpoints[0].Declaration
	fraction := float64(m.AcceleratorsPerCopy) / float64(len(declared.Accelerators))
	return math.Max(1, float64(declared.MaxConcurrentRequests)*fraction*copyUtilisation)
}

// prices are the declared weights of a request that meets its latency targets and of a load or unload.
type prices struct {
	attainment, loadOrUnload float64
}

func pricesOf(d *config.Deployment) prices {
	p := prices{attainment: d.AttainmentWeight, loadOrUnload: d.MoveWeight}
	if p.attainment == 0 && p.loadOrUnload == 0 {
		return prices{attainment: defaultPriceWeight, loadOrUnload: defaultPriceWeight}
	}
	return p
}

// value returns the value of a rate of requests that meet their latency targets during the gain horizon.
func (p prices) value(requestsPerSecond float64) float64 {
	return p.attainment * requestsPerSecond * gainHorizonSeconds
}
