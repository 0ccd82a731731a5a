package placement

import (
	"math"

	"github.com/mulberryglade/mulberryglade/pkg/config"
)

const (
	// copyUtilisation is the fraction of a copy's concurrent requests that it is planned for. The rest absorbs bursts
	// between two plans.
	copyUtilisation = 0.75
	// shiftRatio is how far the fast average must be from the slow one to count as a shift of demand and not as noise.
	shiftRatio = 2.0
	// shiftDeviations is the same in standard deviations; it matters at low rates, where single calls change the ratio.
	shiftDeviations = 4.0
	// growthMargin is by how much the needed copies must exceed the present ones before another is loaded.
	growthMargin = 1.2
	// evictionMargin is by how much a copy must be worth more than those that it replaces. Without it two models of nearly
	// equal worth would replace each other without end.
	evictionMargin = 1.25
	// horizonSeconds is the time over which a copy's gain is weighed against the moves that it costs. Demand varies
	// tenfold within an hour, so that a gain cannot be counted on for much longer.
	horizonSeconds = 300.0
	// defaultWeight stands for a weight that is not declared.
	defaultWeight = 1.0
)

// load is the demand that decides about copies of one model.
type load struct {
	// requests is in requests per second, concurrency in requests that run at once at the latency targets.
	requests, concurrency float64
}

// expected is the demand that justifies loads: the slow average, and the fast one as soon as it shows a shift upwards.
func expected(a Average, m *config.Model) load {
	// The standard deviation of a fast average of Poisson arrivals.
	noise := math.Sqrt(a.SlowRequests / (2 * fastTimeConstant.Seconds()))
	if a.FastRequests >= shiftRatio*a.SlowRequests && a.FastRequests-a.SlowRequests > shiftDeviations*noise {
		return loadOf(a.FastRequests, a.FastTokens, m)
	}
	return loadOf(a.SlowRequests, a.SlowTokens, m)
}

// retained is the demand that keeps copies: the larger of both averages, so that a short lull unloads nothing.
func retained(a Average, m *config.Model) load {
	return loadOf(math.Max(a.FastRequests, a.SlowRequests), math.Max(a.FastTokens, a.SlowTokens), m)
}

// loadOf applies Little's law with the model's latency targets.
func loadOf(requests, tokens float64, m *config.Model) load {
	first, between := config.DefaultFirstTokenTarget, config.DefaultBetweenTokensTarget
	if m.FirstTokenTargetMs > 0 {
		first = config.Milliseconds(m.FirstTokenTargetMs)
	}
	if m.BetweenTokensTargetMs > 0 {
		between = config.Milliseconds(m.BetweenTokensTargetMs)
	}
	return load{requests: requests, concurrency: requests*first.Seconds() + tokens*between.Seconds()}
}

// served is the rate of requests that the given number of copies answers in time.
func (l load) served(copies int, perCopy float64) float64 {
	if l.concurrency <= 0 {
		return 0
	}
	return l.requests * math.Min(1, float64(copies)*perCopy/l.concurrency)
}

// gain is what the last of the given number of copies adds.
func (l load) gain(copies int, perCopy float64) float64 {
	return l.served(copies, perCopy) - l.served(copies-1, perCopy)
}

// copies is the number of copies that serve the demand.
func (l load) copies(perCopy float64) int {
	return int(math.Ceil(l.concurrency / perCopy))
}

// perCopy is the number of requests that one copy is planned to run at once: its part of the endpoint's accelerators.
// The endpoints of a service are taken to be alike.
func perCopy(m *config.Model, slots []*slot) float64 {
	if len(slots) == 0 {
		return 1
	}
	declared := slots[0].Declaration
	part := float64(m.AcceleratorsPerCopy) / float64(len(declared.Accelerators))
	return math.Max(1, float64(declared.MaxConcurrentRequests)*part*copyUtilisation)
}

// prices weigh requests answered in time against moves.
type prices struct {
	attainment, move float64
}

func pricesOf(d *config.Deployment) prices {
	p := prices{attainment: d.AttainmentWeight, move: d.MoveWeight}
	if p.attainment == 0 && p.move == 0 {
		return prices{attainment: defaultWeight, move: defaultWeight}
	}
	return p
}

// worth is the value of a rate of requests answered in time over the horizon.
func (p prices) worth(requestsPerSecond float64) float64 {
	return p.attainment * requestsPerSecond * horizonSeconds
}
