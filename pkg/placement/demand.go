package placement

import (
	"math"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/config"
)

const (
	// fastTimeConstant is the time constant of the fast average. A tenfold shift dominates the average after two to
	// three seconds.
	fastTimeConstant = 3 * time.Second
	// slowTimeConstant is the time constant of the slow average. It spans several model loads at one load per second,
	// so that fluctuations of single seconds cancel out.
	slowTimeConstant = 2 * time.Minute
)

// Average holds exponential moving averages of the demand for one model or adapter.
type Average struct {
	// FastRequests and SlowRequests are in requests per second.
	FastRequests, SlowRequests float64
	// FastTokens and SlowTokens are in generated tokens per second.
	FastTokens, SlowTokens float64
	// Waiting is the last observed number of waiting calls.
	Waiting int
}

// addAdapterDemand adds the demand for each adapter to the demand for its model, whose copies answer the calls.
func addAdapterDemand(snapshot *config.Snapshot, rates []Demand) []Demand {
	total := make(map[string]Demand, len(rates))
	var order []string
	add := func(model string, rate Demand) {
		sum, known := total[model]
		if !known {
			order = append(order, model)
		}
		sum.Model = model
		sum.RequestsPerSecond += rate.RequestsPerSecond
		sum.TokensPerSecond += rate.TokensPerSecond
		sum.Waiting += rate.Waiting
		total[model] = sum
	}
	for _, rate := range rates {
		add(rate.Model, rate)
		if a := snapshot.Adapter(rate.Model); a != nil {
			add(a.Model, rate)
		}
	}
	summed := make([]Demand, 0, len(order))
	for _, model := range order {
		summed = append(summed, total[model])
	}
	return summed
}

// Averages computes moving averages of rates that are observed at intervals. It is not safe for concurrent use.
type Averages struct {
	byModel map[string]Average
}

// NewAverages returns empty averages. The first observation of a model sets its averages.
func NewAverages() *Averages {
	return &Averages{byModel: make(map[string]Average)}
}

// Observe adds the rates that were observed during the elapsed time. A model without a rate counts as a model without
// demand.
func (a *Averages) Observe(elapsed time.Duration, rates []Demand) {
	current := make(map[string]Demand, len(rates))
	for _, rate := range rates {
		current[rate.Model] = rate
	}
	for model := range a.byModel {
		if _, present := current[model]; !present {
			current[model] = Demand{Model: model}
		}
	}
	for model, rate := range current {
		a.observe(elapsed, model, rate)
	}
}

func (a *Averages) observe(elapsed time.Duration, model string, rate Demand) {
	average, known := a.byModel[model]
	fast, slow := smoothingFactor(elapsed, fastTimeConstant), smoothingFactor(elapsed, slowTimeConstant)
	if !known {
		fast, slow = 1, 1
	}
	average.FastRequests += fast * (rate.RequestsPerSecond - average.FastRequests)
	average.SlowRequests += slow * (rate.RequestsPerSecond - average.SlowRequests)
	average.FastTokens += fast * (rate.TokensPerSecond - average.FastTokens)
	average.SlowTokens += slow * (rate.TokensPerSecond - average.SlowTokens)
	average.Waiting = rate.Waiting
	a.byModel[model] = average
}

// smoothingFactor returns the weight of an observation in an average with the given time constant.
func smoothingFactor(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
}

// Snapshot returns a copy of the averages.
func (a *Averages) Snapshot() map[string]Average {
	c := make(map[string]Average, len(a.byModel))
	for model, average := range a.byModel {
		c[model] = average
	}
	return c
}
