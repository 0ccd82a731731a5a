package placement

import (
	"math"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/config"
)

const (
	// fastTimeConstant lets a tenfold shift dominate the fast average after two to three seconds.
	fastTimeConstant = 3 * time.Second
	// slowTimeConstant spans several model loads at one load per second, so that noise of single seconds cancels out.
	slowTimeConstant = 2 * time.Minute
)

// Average holds moving averages of the demand for one model or adapter.
type Average struct {
	FastRequests, SlowRequests float64
	FastTokens, SlowTokens     float64
	Waiting                    int
}

// withAdapters adds the demand for adapters to that for their models, whose copies answer the calls.
func withAdapters(snapshot *config.Snapshot, rates []Demand) []Demand {
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

// Averages turns rates observed at intervals into moving averages. It is not safe for concurrent use.
type Averages struct {
	byModel map[string]Average
}

// NewAverages returns averages without history; the first observation sets them.
func NewAverages() *Averages {
	return &Averages{byModel: make(map[string]Average)}
}

// Observe adds rates that held for the elapsed time. Models that are absent have no demand.
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
	fast, slow := weight(elapsed, fastTimeConstant), weight(elapsed, slowTimeConstant)
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

func weight(elapsed, constant time.Duration) float64 {
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
