package loadtest

import (
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/config"
)

// Scenario is a load with faults over time.
type Scenario struct {
	Name string
	// Mixes returns the load of each member for a rate in calls per second over all members.
	Mixes func(records config.Records, rate float64) []Mix
	// Faults are injected at their time, given as a part of the duration.
	Faults []FaultAt
}

// FaultAt injects a fault at a part of the duration, 0 to 1.
type FaultAt struct {
	Part  float64
	Fault Fault
}

// Fault is what is done to the deployment.
type Fault string

// The faults of the scenarios.
const (
	KillEngine     Fault = "kill one engine"
	StoreDown      Fault = "store down"
	StoreUp        Fault = "store up"
	CutRegions     Fault = "cut the regions"
	JoinRegions    Fault = "join the regions"
	NewVersions    Fault = "new versions of all adapters"
	ReplaceDaemons Fault = "replace all daemons one by one"
	KillDaemon     Fault = "kill one daemon"
)

const (
	// orderFraction is the part of calls that book an order or file a publication.
	orderFraction = 0.1
	promptWords   = 120
	outputTokens  = 60
	// noisyFactor is how many times its share the noisy member calls.
	noisyFactor = 100
)

// Scenarios returns the named scenarios.
func Scenarios() map[string]Scenario {
	list := []Scenario{
		{Name: "steady", Mixes: steady},
		{Name: "shift", Mixes: shift},
		{Name: "noisy", Mixes: noisy},
		{Name: "engine-loss", Mixes: steady, Faults: []FaultAt{{Part: 0.3, Fault: KillEngine}}},
		{Name: "daemon-loss", Mixes: steady, Faults: []FaultAt{{Part: 0.3, Fault: KillDaemon}}},
		{Name: "store-outage", Mixes: steady, Faults: []FaultAt{{Part: 0.25, Fault: StoreDown}, {Part: 0.75, Fault: StoreUp}}},
		{Name: "region-cut", Mixes: steady, Faults: []FaultAt{{Part: 0.25, Fault: CutRegions}, {Part: 0.75, Fault: JoinRegions}}},
		{Name: "version-change", Mixes: steady, Faults: []FaultAt{{Part: 0.25, Fault: NewVersions}}},
		{Name: "fleet-replacement", Mixes: steady, Faults: []FaultAt{{Part: 0.2, Fault: ReplaceDaemons}}},
	}
	byName := make(map[string]Scenario, len(list))
	for _, s := range list {
		byName[s.Name] = s
	}
	return byName
}

// steady divides the rate by the members' shares.
func steady(records config.Records, rate float64) []Mix {
	total := 0.0
	for _, m := range records.Members {
		total += m.Share
	}
	var mixes []Mix
	for _, m := range records.Members {
		mixes = append(mixes, Mix{
			Member:            m.Name,
			RequestsPerSecond: rate * m.Share / total,
			OrderFraction:     orderFraction,
			Models:            ModelsOf(records, m.Name),
			PromptWords:       promptWords,
			OutputTokens:      outputTokens,
		})
	}
	return mixes
}

// shift moves the demand: after a third of the time the popularity of models is reversed, so that models with a tenth of
// the demand become the most popular ones without warning.
func shift(records config.Records, rate float64) []Mix {
	mixes := steady(records, rate)
	for i := range mixes {
		n := len(mixes[i].Models)
		mixes[i].Popularity = func(at time.Duration, rank int) int {
			const shiftAfter = 15 * time.Second
			if at < shiftAfter {
				return rank
			}
			return n - 1 - rank
		}
	}
	return mixes
}

// noisy makes the member with the smallest share call at 100 times its part of the rate.
func noisy(records config.Records, rate float64) []Mix {
	mixes := steady(records, rate)
	smallest := 0
	for i := range mixes {
		if mixes[i].RequestsPerSecond < mixes[smallest].RequestsPerSecond {
			smallest = i
		}
	}
	mixes[smallest].RequestsPerSecond *= noisyFactor
	mixes[smallest].OrderFraction = 0
	return mixes
}
