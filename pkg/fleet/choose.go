package fleet

import (
	"math"
	"time"
)

// Demand is what choosing an endpoint needs to know of a request.
type Demand struct {
	Service string
	// Model and Adapter are empty for plain services.
	Model        string
	Adapter      string
	PromptTokens int
	OutputTokens int
	Parts        []PromptPart
	// Within is the time in which the first token must come to be of full use; zero means that there is no such time.
	Within time.Duration
	// Late requests cannot be in time any more; engines read their prompts after those of others.
	Late bool
	// MaxPrefillShare bounds the part of an engine's time that may go to reading prompts.
	MaxPrefillShare float64
	// Spread is added to the cost of each endpoint in a random part, so that many instances with the same view of some age
	// do not all choose the same endpoint. Random returns numbers in [0, 1); nil means no spread.
	Spread time.Duration
	Random func() float64
	// Exclude lists endpoints that have already had the request.
	Exclude []string
}

// Pace holds the speed of a service's engines, learned from their responses.
type Pace struct {
	// PrefillPerMs is the number of prompt tokens read in a millisecond.
	PrefillPerMs float64
	// Step is the time for one token of a running batch without prefill.
	Step time.Duration
	// Fixed is the time that a first token takes besides reading the prompt.
	Fixed time.Duration
}

// DefaultPace is used until responses were seen: that of a current accelerator with a 70B model.
func DefaultPace() Pace {
	return Pace{PrefillPerMs: 20, Step: 12 * time.Millisecond, Fixed: 30 * time.Millisecond}
}

// Distance is what using an endpoint elsewhere adds.
type Distance struct {
	// Latency is the added time to the first token.
	Latency time.Duration
	// Reluctance is the part of the useful time that a nearer endpoint may take longer before one at this distance is
	// preferred: links between data centres are paid by volume.
	Reluctance float64
}

// Distances returns the distance of a data centre.
type Distances func(dataCentre string) Distance

// Obstacle tells why no endpoint was chosen.
type Obstacle int

// Obstacles, in increasing order of nearness to a choice.
const (
	// NoEndpoint means that the service has no usable endpoint.
	NoEndpoint Obstacle = iota
	// NotHeld means that no usable endpoint holds the model.
	NotHeld
	// AdapterNotHeld means that endpoints hold the model but none the adapter.
	AdapterNotHeld
	// Saturated means that endpoints could run the request if they had less to do.
	Saturated
	// None means that an endpoint was chosen.
	None
)

// String names the obstacle in logs.
func (o Obstacle) String() string {
	switch o {
	case NoEndpoint:
		return "no usable endpoint"
	case NotHeld:
		return "model not loaded"
	case AdapterNotHeld:
		return "adapter not loaded"
	case Saturated:
		return "endpoints saturated"
	default:
		return "none"
	}
}

// Choice is the endpoint for a request with the reasons.
type Choice struct {
	ID         string
	Address    string
	DataCentre string
	Lifetime   int64
	Obstacle   Obstacle
	// FirstToken is the expected time to the first token, or to the response of a plain service, by which endpoints were
	// compared.
	FirstToken time.Duration
	// AtEndpoint is the part of FirstToken that passes at the endpoint, Latency the way there and back. The rest of
	// FirstToken is reluctance.
	AtEndpoint time.Duration
	Latency    time.Duration
	// Work is what the instances had at the endpoint.
	Work Work
	// KeptTokens are the prompt tokens that the endpoint probably has already.
	KeptTokens int
	// RunnerUp is the second best endpoint with its expected time; empty when there was none.
	RunnerUp           string
	RunnerUpFirstToken time.Duration
	// SoonestFirstToken is the least expected time among saturated endpoints.
	SoonestFirstToken time.Duration
	// Candidates counts the endpoints that could run the request.
	Candidates int
}

// busyPenalty is added per call in the batch beyond the engine's slots, so that full endpoints come last.
const busyPenalty = 50 * time.Millisecond

// Choose returns the endpoint with the least expected time. It is a pure function of its arguments.
func Choose(endpoints []*Endpoint, demand *Demand, pace Pace, distance Distances, now time.Time) Choice {
	choice := Choice{Obstacle: NoEndpoint, FirstToken: math.MaxInt64, RunnerUpFirstToken: math.MaxInt64, SoonestFirstToken: math.MaxInt64}
	avoidedToo := false
	for {
		for _, e := range endpoints {
			consider(&choice, e, demand, pace, distance, now, avoidedToo)
		}
		if choice.Candidates > 0 || avoidedToo || choice.Obstacle == Saturated {
			return choice
		}
		// An endpoint that failed lately is better than none.
		avoidedToo = true
	}
}

func consider(choice *Choice, e *Endpoint, demand *Demand, pace Pace, distance Distances, now time.Time, avoidedToo bool) {
	if e.Leaving || excluded(e.ID, demand.Exclude) {
		return
	}
	if !avoidedToo && e.Health.Avoided(now) {
		return
	}
	if demand.Model != "" {
		if !e.HoldsModel(demand.Model) {
			choice.Obstacle = max(choice.Obstacle, NotHeld)
			return
		}
		if !e.Holds(demand.Model, demand.Adapter) {
			choice.Obstacle = max(choice.Obstacle, AdapterNotHeld)
			return
		}
	}
	kept := e.prompts.kept(demand.Model, demand.Adapter, demand.Parts)
	work := e.Work(now)
	expected := Expected(work, demand, kept, e.Slots, pace)
	if saturated(work, demand, pace) || demand.Within > 0 && expected+distance(e.DataCentre).Latency > demand.Within {
		choice.Obstacle = max(choice.Obstacle, Saturated)
		choice.SoonestFirstToken = min(choice.SoonestFirstToken, expected)
		return
	}
	choice.Candidates++
	choice.Obstacle = None
	away := distance(e.DataCentre)
	reluctance := time.Duration(away.Reluctance * float64(demand.Within))
	cost := expected + away.Latency + reluctance + time.Duration(e.Health.FailureShare*float64(time.Second))
	if e.SlowFor > 0 {
		cost += expected
	}
	if demand.Random != nil {
		cost += time.Duration(demand.Random() * float64(demand.Spread))
	}
	if cost >= choice.FirstToken {
		if cost < choice.RunnerUpFirstToken {
			choice.RunnerUp, choice.RunnerUpFirstToken = e.ID, cost
		}
		return
	}
	choice.RunnerUp, choice.RunnerUpFirstToken = choice.ID, choice.FirstToken
	choice.ID, choice.Address, choice.DataCentre, choice.Lifetime = e.ID, e.Address, e.DataCentre, e.Lifetime
	choice.FirstToken, choice.AtEndpoint, choice.Latency = cost, expected, away.Latency
	choice.Work, choice.KeptTokens = work, kept
}

// saturated tells whether the request would take more of the engine's time for prompts than allowed: while an engine reads
// prompts, the streams that run there get few tokens, and long ones miss their deadline.
func saturated(work Work, demand *Demand, pace Pace) bool {
	if demand.Model == "" || demand.MaxPrefillShare <= 0 || work.Calls() == 0 {
		return false
	}
	limit := demand.MaxPrefillShare * pace.PrefillPerMs * 1000
	// The request's own prompt does not count, so that large requests are treated like small ones.
	return float64(work.PrefillRate) > limit
}

func excluded(id string, exclude []string) bool {
	for _, x := range exclude {
		if x == id {
			return true
		}
	}
	return false
}

// Expected estimates the time to the first token at an endpoint with this work. An engine reads waiting prompts one
// after the other in pieces between the steps of its batch; a plain service has no prompts.
func Expected(work Work, demand *Demand, kept, slots int, pace Pace) time.Duration {
	excess := max(work.Calls()+1-slots, 0)
	if demand.Model == "" {
		return time.Duration(work.Calls())*time.Millisecond + time.Duration(excess)*busyPenalty
	}
	ahead := work.UrgentTokens
	if demand.Late {
		ahead = work.PrefillTokens
	}
	tokens := ahead + max(demand.PromptTokens-kept, 0)
	read := time.Duration(float64(tokens) / pace.PrefillPerMs * float64(time.Millisecond))
	// While prompts are read, each piece shares its step with the batch.
	steps := time.Duration(work.Running) * pace.Step / 64
	return read + steps + pace.Fixed + time.Duration(excess)*busyPenalty
}
