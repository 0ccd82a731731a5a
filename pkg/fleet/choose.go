package fleet

import (
	"math"
	"slices"
	"time"
)

// Demand describes a request for the choice of an endpoint.
type Demand struct {
	Service string
	// Model and Adapter are empty for plain services.
	Model        string
	Adapter      string
	PromptTokens int
	OutputTokens int
	Parts        []PromptPart
	// partKeys are the keys of Parts.
	partKeys []PartKey
	// serviceLatency is the expected time of a call at the endpoints of a plain service, as the logarithm of seconds.
	serviceLatency float64
	// draw is drawn from Random once for the choice among plain endpoints, which then does not depend on their order.
	draw PartKey
	// TimeLeft is the time until the deadline; zero means unknown. Only endpoints with stated loads are compared with it.
	TimeLeft time.Duration
	// TargetLatency is the time within which the first token has its full value; zero means that there is no limit.
	TargetLatency time.Duration
	// Late is set for requests that can no longer be answered in time. Engines read the prompts of late requests after
	// all others.
	Late bool
	// MaxPrefillShare bounds the fraction of an engine's time that is used to read prompts.
	MaxPrefillShare float64
	// Spread is the upper bound of an amount added to the cost of each endpoint. It prevents many instances with equally
	// outdated views from all choosing the same endpoint. Random returns numbers in [0, 1); nil means no spread.
	Spread time.Duration
	Random func() float64
	// Exclude lists endpoints to which the request has already been sent.
	Exclude []string
	// Software lists the versions of the software of endpoints that may run the request; nil means all.
	Software []string
}

// Distance is the added cost of an endpoint in another data centre.
type Distance struct {
	// Latency is the added time to the first token.
	Latency time.Duration
	// Penalty is the fraction of Demand.TargetLatency by which a nearer endpoint may be slower before an endpoint at
	// this distance is preferred. Links between data centres are billed by volume.
	Penalty float64
}

// Distances returns the distance to a data centre.
type Distances func(dataCentre string) Distance

// Obstacle is the reason why no endpoint was chosen.
type Obstacle int

// Obstacles. A greater value means that the request came closer to a choice.
const (
	// NoEndpoint means that the service has no usable endpoint.
	NoEndpoint Obstacle = iota
	// NotHeld means that no usable endpoint holds the model.
	NotHeld
	// AdapterNotHeld means that endpoints hold the model but none of them the adapter.
	AdapterNotHeld
	// Busy means that the endpoints that hold what the request needs want no calls for some time.
	Busy
	// Saturated means that endpoints hold what the request needs but have too much work.
	Saturated
	// None means that an endpoint was chosen.
	None
)

// String returns the obstacle's name for logs.
func (o Obstacle) String() string {
	switch o {
	case NoEndpoint:
		return "no usable endpoint"
	case NotHeld:
		return "model not loaded"
	case AdapterNotHeld:
		return "adapter not loaded"
	case Busy:
		return "endpoints busy"
	case Saturated:
		return "endpoints saturated"
	default:
		return "none"
	}
}

// Choice is the result of choosing an endpoint, with the values on which it is based.
type Choice struct {
	ID         string
	Address    string
	DataCentre string
	Lifetime   int64
	Software   string
	Obstacle   Obstacle
	// FirstToken is the cost by which endpoints are compared: the expected time to the first token, or to the response
	// of a plain service, and penalties.
	FirstToken time.Duration
	// AtEndpoint is the part of FirstToken spent at the endpoint, Latency the network round trip. The rest of
	// FirstToken is penalties, such as Distance.Penalty.
	AtEndpoint time.Duration
	Latency    time.Duration
	// Work is the work of all instances at the endpoint.
	Work Work
	// KeptTokens is the number of prompt tokens that are probably still cached at the endpoint.
	KeptTokens int
	// RunnerUp is the second best endpoint, RunnerUpFirstToken its FirstToken; RunnerUp is empty if there was none.
	RunnerUp           string
	RunnerUpFirstToken time.Duration
	// SoonestFirstToken is the lowest expected time among saturated endpoints.
	SoonestFirstToken time.Duration
	// CallsAllowedIn is the least time until a busy endpoint takes calls again. AwaitsProbe is set if that endpoint is
	// being probed, so that it may take calls sooner.
	CallsAllowedIn time.Duration
	AwaitsProbe    bool
	// Candidates counts the endpoints that could run the request.
	Candidates int
}

// excessCallPenalty is added for each call beyond the engine's slots, so that full endpoints are chosen last.
const excessCallPenalty = 50 * time.Millisecond

// Choose returns the endpoint with the lowest cost. It is a pure function of its arguments. speed is that of the service's
// engines.
func Choose(endpoints []*Endpoint, demand *Demand, speed EngineSpeed, distanceTo Distances, now time.Time) Choice {
	choice := Choice{Obstacle: NoEndpoint, FirstToken: math.MaxInt64, RunnerUpFirstToken: math.MaxInt64, SoonestFirstToken: math.MaxInt64, CallsAllowedIn: noBusyEndpoint}
	includeAvoided := false
	for {
		for _, e := range endpoints {
			evaluate(&choice, e, demand, speed, distanceTo, now, includeAvoided)
		}
		if choice.Candidates > 0 || includeAvoided || choice.Obstacle == Saturated {
			return choice
		}
		// An endpoint that failed recently is better than none.
		includeAvoided = true
	}
}

func evaluate(choice *Choice, e *Endpoint, demand *Demand, speed EngineSpeed, distanceTo Distances, now time.Time, includeAvoided bool) {
	if e.Leaving || e.graceEnded(now) || now.Before(e.withheldUntil) {
		return
	}
	if demand.Software != nil && !slices.Contains(demand.Software, e.Software) {
		return
	}
	if excluded(e.ID, demand.Exclude) {
		if e.Holds(demand.Model, demand.Adapter) {
			choice.noteBusy(e, now)
		}
		return
	}
	if !includeAvoided && e.Health.Avoided(now) {
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
	if choice.noteBusy(e, now) {
		return
	}
	keptTokens := e.prompts.keptTokens(demand.partKeys, demand.Parts)
	work := e.Work(now)
	speed = e.speedNow(e.speed(speed, now), tokensAhead(work, demand, keptTokens), now)
	expected := ExpectedFirstToken(work, demand, keptTokens, e.Slots, speed)
	learned := demand.Model == "" && e.load != nil
	switch {
	case learned:
		expected = e.expectedPlain(demand, now)
	case e.load != nil:
		expected += timeOvertaken(work, demand, keptTokens, speed)
	}
	total := expected + distanceTo(e.DataCentre).Latency
	tooLate := demand.TargetLatency > 0 && total > demand.TargetLatency || e.load != nil && demand.TimeLeft > 0 && total > demand.TimeLeft
	if tooLate || !learned && e.full(work, now) || saturated(work, demand, speed) {
		choice.Obstacle = max(choice.Obstacle, Saturated)
		choice.SoonestFirstToken = min(choice.SoonestFirstToken, expected)
		return
	}
	choice.Candidates++
	choice.Obstacle = None
	distance := distanceTo(e.DataCentre)
	distancePenalty := time.Duration(distance.Penalty * float64(demand.TargetLatency))
	cost := expected + distance.Latency + distancePenalty + time.Duration(e.Health.FailureShare*float64(time.Second))
	if e.SlowFor > 0 {
		cost += expected
	}
	cost += interference(work, demand, keptTokens, speed) + demand.spreadAt(e.key, keptTokens)
	if learned {
		cost += e.load.overdue(expected, now)
		cost = demand.spreadCost(cost, e, now)
	}
	if cost >= choice.FirstToken {
		if cost < choice.RunnerUpFirstToken {
			choice.RunnerUp, choice.RunnerUpFirstToken = e.ID, cost
		}
		return
	}
	choice.RunnerUp, choice.RunnerUpFirstToken = choice.ID, choice.FirstToken
	choice.ID, choice.Address, choice.DataCentre, choice.Lifetime, choice.Software = e.ID, e.Address, e.DataCentre, e.Lifetime, e.Software
	choice.FirstToken, choice.AtEndpoint, choice.Latency = cost, expected, distance.Latency
	choice.Work, choice.KeptTokens = work, keptTokens
}

// noteBusy records an endpoint that wants no calls. It returns false if the endpoint takes calls.
func (c *Choice) noteBusy(e *Endpoint, now time.Time) bool {
	wait, probing := e.stated.callsAllowedIn(now)
	if wait <= 0 {
		return false
	}
	c.Obstacle = max(c.Obstacle, Busy)
	if wait < c.CallsAllowedIn {
		c.CallsAllowedIn, c.AwaitsProbe = wait, probing
	}
	return true
}

// saturated reports whether prompts already take more of the engine's time than allowed. While an engine reads prompts,
// its running streams get few tokens, and long streams miss their deadline.
func saturated(work Work, demand *Demand, speed EngineSpeed) bool {
	if demand.Model == "" || demand.MaxPrefillShare <= 0 || work.Calls() == 0 {
		return false
	}
	limit := demand.MaxPrefillShare * speed.PrefillPerMs * 1000
	// The request's own prompt does not count, so large requests are treated like small ones.
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

// ExpectedFirstToken estimates the time to the first token at an endpoint with this work. An engine reads waiting
// prompts one after the other, in chunks between the steps of its batch. A plain service has no prompts.
func ExpectedFirstToken(work Work, demand *Demand, keptTokens, slots int, speed EngineSpeed) time.Duration {
	if demand.Model == "" {
		excess := max(work.Calls()+1-slots, 0)
		return time.Duration(work.Calls())*time.Millisecond + time.Duration(excess)*excessCallPenalty
	}
	return speed.prefillTime(tokensAhead(work, demand, keptTokens)) + timeBesidePrefill(work, slots, speed)
}

// tokensAhead returns the number of prompt tokens that an engine reads before the request's first token.
func tokensAhead(work Work, demand *Demand, keptTokens int) int {
	queuedTokens := work.UrgentTokens
	if demand.Late {
		queuedTokens = work.PrefillTokens
	}
	return queuedTokens + max(demand.PromptTokens-keptTokens, 0)
}

// timeBesidePrefill returns the part of the expected time to the first token that is not spent reading prompts. While
// prompts are read, each chunk shares its step with the batch.
func timeBesidePrefill(work Work, slots int, speed EngineSpeed) time.Duration {
	excess := max(work.Calls()+1-slots, 0)
	batchTime := time.Duration(work.Running) * speed.StepTime / 64
	return batchTime + speed.FixedTime + time.Duration(excess)*excessCallPenalty
}
