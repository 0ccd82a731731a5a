package loadtest

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/config"
)

// Load is what the mixes of a scenario depend on.
type Load struct {
	Records config.Records
	// Rate is the sum over all members, in calls per second.
	Rate float64
	// Warmup precedes Duration, which is measured.
	Warmup   time.Duration
	Duration time.Duration
}

// at returns the time since the start of the schedule at a part of the measured time.
func (l Load) at(part float64) time.Duration {
	return l.Warmup + time.Duration(part*float64(l.Duration))
}

// Scenario is a load with faults over time.
type Scenario struct {
	Name string
	// Mixes returns the load of each member.
	Mixes func(Load) []Mix
	// Faults are injected at their time, given as a part of the measured time.
	Faults []FaultAt
	// NoMemberLimits removes the declared limits of concurrent requests, so that only queueing protects the members.
	NoMemberLimits bool
}

// FaultAt injects a fault at a part of the measured time, 0 to 1.
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
	// growthFactor is how many times their demand the growing models are called, growingModels how many there are of each
	// member.
	growthFactor  = 10
	growingModels = 2
	// changePart is the part of the measured time after which the demand changes.
	changePart = 0.25
)

// Scenarios returns the named scenarios.
func Scenarios() map[string]Scenario {
	list := []Scenario{
		{Name: "steady", Mixes: steady},
		{Name: "shift", Mixes: shift},
		{Name: "growth", Mixes: growth},
		{Name: "noisy", Mixes: noisy, NoMemberLimits: true},
		{Name: "quiet-alone", Mixes: quietAlone, NoMemberLimits: true},
		{Name: "engine-loss", Mixes: steady, Faults: []FaultAt{{Part: 0.3, Fault: KillEngine}}},
		{Name: "daemon-loss", Mixes: steady, Faults: []FaultAt{{Part: 0.3, Fault: KillDaemon}}},
		{Name: "store-outage", Mixes: steady, Faults: []FaultAt{{Part: 0.25, Fault: StoreDown}, {Part: 0.75, Fault: StoreUp}}},
		{Name: "region-cut", Mixes: steady, Faults: []FaultAt{{Part: 0.25, Fault: CutRegions}, {Part: 0.75, Fault: JoinRegions}}},
		{Name: "version-change", Mixes: steady, Faults: []FaultAt{{Part: 0.25, Fault: NewVersions}}},
		{Name: "fleet-replacement", Mixes: steady, Faults: []FaultAt{{Part: 0.1, Fault: ReplaceDaemons}}},
	}
	byName := make(map[string]Scenario, len(list))
	for _, s := range list {
		byName[s.Name] = s
	}
	return byName
}

// ScenarioNames returns the names in order.
func ScenarioNames() []string {
	return slices.Sorted(maps.Keys(Scenarios()))
}

// steady divides the rate by the members' shares.
func steady(l Load) []Mix {
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
			Models:            ModelsOf(l.Records, m.Name),
			PromptWords:       promptWords,
			OutputTokens:      outputTokens,
		})
	}
	return mixes
}

// shift reverses the popularity of the models at once, so that those with a small part of the demand get the most.
func shift(l Load) []Mix {
	mixes := steady(l)
	change := l.at(changePart)
	for i := range mixes {
		n := len(mixes[i].Models)
		mixes[i].Popularity = func(at time.Duration, rank int) int {
			if at < change {
				return rank
			}
			return n - 1 - rank
		}
	}
	return mixes
}

// growth lets the demand of the models in the middle of each member's popularity grow tenfold at once; the rest stays.
func growth(l Load) []Mix {
	mixes := steady(l)
	change := l.at(changePart)
	for _, m := range mixes {
		first := len(m.Models) / growthFactor
		added := m
		added.OrderFraction = 0
		added.Models = m.Models[first : first+growingModels]
		harmonic := 0.0
		for rank := range m.Models {
			harmonic += 1 / float64(rank+1)
		}
		part := 0.0
		for rank := range added.Models {
			part += 1 / float64(first+rank+1) / harmonic
		}
		added.RequestsPerSecond = m.RequestsPerSecond * (1 - m.OrderFraction) * part * (growthFactor - 1)
		added.Shape = func(at time.Duration) float64 {
			if at < change {
				return 0
			}
			return 1
		}
		mixes = append(mixes, added)
	}
	return mixes
}

// noisy makes the member with the smallest share call at 100 times its part of the rate.
func noisy(l Load) []Mix {
	mixes := steady(l)
	noisiest := slices.MinFunc(mixes, func(a, b Mix) int { return cmp.Compare(a.RequestsPerSecond, b.RequestsPerSecond) })
	for i := range mixes {
		if mixes[i].Member != noisiest.Member {
			continue
		}
		mixes[i].OrderFraction = 0
		change := l.at(0) - l.Warmup/noisyWarmupPart
		mixes[i].RequestsPerSecond *= noisyFactor / maxShape
		mixes[i].Shape = func(at time.Duration) float64 {
			if at < change {
				return float64(maxShape) / noisyFactor
			}
			return maxShape
		}
	}
	return mixes
}

// noisyWarmupPart is the part of the warm-up, as a divisor, in which the noisy member already calls at its full rate.
const noisyWarmupPart = 4

// quietAlone leaves only the calls of the member with the largest share.
func quietAlone(l Load) []Mix {
	mixes := steady(l)
	largest := slices.MaxFunc(mixes, func(a, b Mix) int { return cmp.Compare(a.RequestsPerSecond, b.RequestsPerSecond) })
	for i := range mixes {
		if mixes[i].Member != largest.Member {
			mixes[i].RequestsPerSecond = 0
		}
	}
	return mixes
}
