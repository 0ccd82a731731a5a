package loadtest

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/config"
)

// LoadParameters are the inputs from which a scenario computes its mixes.
type LoadParameters struct {
	Records config.Records
	// Rate is the total rate of all members, in calls per second.
	Rate float64
	// Warmup precedes the measured time, which is Duration long.
	Warmup   time.Duration
	Duration time.Duration
}

// timeAt returns the time since the start of the schedule at which the fraction of the measured time has passed.
func (l LoadParameters) timeAt(fraction float64) time.Duration {
	return l.Warmup + time.Duration(fraction*float64(l.Duration))
}

// Scenario defines the load and the faults of an experiment.
type Scenario struct {
	Name string
	// Mixes returns the load of the members; a member may have several mixes.
	Mixes  func(LoadParameters) []Mix
	Faults []ScheduledFault
	// NoMemberLimits removes the members' declared limits of concurrent requests, so that only queueing protects the
	// members from each other.
	NoMemberLimits bool
}

// ScheduledFault is a fault with the time of its injection.
type ScheduledFault struct {
	// AtFraction is the time of the injection as a fraction of the measured time, 0 to 1.
	AtFraction float64
	Fault      Fault
}

// Fault is a fault or change that is injected into the deployment. Reports contain its text.
type Fault string

// The faults of the scenarios.
const (
	KillEngine         Fault = "kill one engine"
	StoreDown          Fault = "store down"
	StoreUp            Fault = "store up"
	CutRegions         Fault = "cut the regions"
	JoinRegions        Fault = "join the regions"
	NewAdapterVersions Fault = "new versions of all adapters"
	ReplaceDaemons     Fault = "replace all daemons one by one"
	KillDaemon         Fault = "kill one daemon"
)

const (
	// orderFraction is the fraction of calls that are orders. In the sample deployments they place an order or file a
	// publication.
	orderFraction    = 0.1
	meanPromptWords  = 120
	meanOutputTokens = 60
	// noisyFactor is the rate of the noisy member as a multiple of its share of the total rate.
	noisyFactor = 100
	// growthFactor multiplies the demand for the growing models.
	growthFactor           = 10
	growingModelsPerMember = 2
	// changeFraction is the fraction of the measured time after which the demand changes.
	changeFraction = 0.25
)

// Scenarios returns all scenarios by name.
func Scenarios() map[string]Scenario {
	list := []Scenario{
		{Name: "steady", Mixes: steady},
		{Name: "shift", Mixes: shift},
		{Name: "growth", Mixes: growth},
		{Name: "noisy", Mixes: noisy, NoMemberLimits: true},
		{Name: "quiet-alone", Mixes: quietAlone, NoMemberLimits: true},
		{Name: "engine-loss", Mixes: steady, Faults: []ScheduledFault{{AtFraction: 0.3, Fault: KillEngine}}},
		{Name: "daemon-loss", Mixes: steady, Faults: []ScheduledFault{{AtFraction: 0.3, Fault: KillDaemon}}},
		{Name: "store-outage", Mixes: steady, Faults: []ScheduledFault{
			{AtFraction: 0.25, Fault: StoreDown}, {AtFraction: 0.75, Fault: StoreUp},
		}},
		{Name: "region-cut", Mixes: steady, Faults: []ScheduledFault{
			{AtFraction: 0.25, Fault: CutRegions}, {AtFraction: 0.75, Fault: JoinRegions},
		}},
		{Name: "version-change", Mixes: steady, Faults: []ScheduledFault{{AtFraction: 0.25, Fault: NewAdapterVersions}}},
		{Name: "fleet-replacement", Mixes: steady, Faults: []ScheduledFault{{AtFraction: 0.1, Fault: ReplaceDaemons}}},
	}
	byName := make(map[string]Scenario, len(list))
	for _, s := range list {
		byName[s.Name] = s
	}
	return byName
}

// ScenarioNames returns the names of the scenarios in alphabetical order.
func ScenarioNames() []string {
	return slices.Sorted(maps.Keys(Scenarios()))
}

// steady divides the total rate among the members in proportion to their shares.
func steady(l LoadParameters) []Mix {
	total := 0.0
	for _, m := range l.Records.Members {
		total += m.Share
	}
	var mixes []Mix
	for _, m := range l.Records.Members {
		mixes = append(mixes, Mix{
			Member:            m.Name,
			RequestsPerSecond: l.Rate * m.Share / total,
			OrderFraction:     orderFraction,
			Models:            CallableModels(l.Records, m.Name),
			MeanPromptWords:   meanPromptWords,
			MeanOutputTokens:  meanOutputTokens,
		})
	}
	return mixes
}

// shift reverses the popularity of each member's models in one step, so that the least demanded models become the most
// demanded ones.
func shift(l LoadParameters) []Mix {
	mixes := steady(l)
	change := l.timeAt(changeFraction)
	for i := range mixes {
		n := len(mixes[i].Models)
		mixes[i].ModelIndexAt = func(at time.Duration, rank int) int {
			if at < change {
				return rank
			}
			return n - 1 - rank
		}
	}
	return mixes
}

// growth multiplies the demand for a few models of medium popularity of each member by growthFactor in one step: a
// second mix of the member adds the additional calls. The demand for the other models does not change.
func growth(l LoadParameters) []Mix {
	mixes := steady(l)
	change := l.timeAt(changeFraction)
	for _, m := range mixes {
		first := len(m.Models) / growthFactor
		growingMix := m
		growingMix.OrderFraction = 0
		growingMix.Models = m.Models[first : first+growingModelsPerMember]
		totalWeight := 0.0
		for rank := range m.Models {
			totalWeight += 1 / float64(rank+1)
		}
		growingFraction := 0.0
		for rank := range growingMix.Models {
			growingFraction += 1 / float64(first+rank+1) / totalWeight
		}
		growingMix.RequestsPerSecond = m.RequestsPerSecond * (1 - m.OrderFraction) * growingFraction * (growthFactor - 1)
		growingMix.RateFactor = func(at time.Duration) float64 {
			if at < change {
				return 0
			}
			return 1
		}
		mixes = append(mixes, growingMix)
	}
	return mixes
}

// noisy raises the rate of the member with the smallest share to noisyFactor times its share of the total rate.
func noisy(l LoadParameters) []Mix {
	mixes := steady(l)
	smallest := slices.MinFunc(mixes, func(a, b Mix) int { return cmp.Compare(a.RequestsPerSecond, b.RequestsPerSecond) })
	for i := range mixes {
		if mixes[i].Member != smallest.Member {
			continue
		}
		mixes[i].OrderFraction = 0
		change := l.timeAt(0) - l.Warmup/noisyWarmupDivisor
		mixes[i].RequestsPerSecond *= noisyFactor / maxRateFactor
		mixes[i].RateFactor = func(at time.Duration) float64 {
			if at < change {
				return float64(maxRateFactor) / noisyFactor
			}
			return maxRateFactor
		}
	}
	return mixes
}

// noisyWarmupDivisor sets when the noisy member reaches its full rate: it calls at that rate from the last
// 1/noisyWarmupDivisor of the warm-up on.
const noisyWarmupDivisor = 4

// quietAlone keeps only the calls of the member with the largest share.
func quietAlone(l LoadParameters) []Mix {
	mixes := steady(l)
	largest := slices.MaxFunc(mixes, func(a, b Mix) int { return cmp.Compare(a.RequestsPerSecond, b.RequestsPerSecond) })
	for i := range mixes {
		if mixes[i].Member != largest.Member {
			mixes[i].RequestsPerSecond = 0
		}
	}
	return mixes
}
