// Package fleet keeps what this instance believes of the endpoints: what they announce of themselves, what the instances
// have sent them, and how they behaved. Choosing among them is a pure function of these beliefs.
package fleet

import (
	"slices"
	"time"
)

// Announcement is what an endpoint says of itself in the platform's store.
type Announcement struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Lifetime identifies the start of the endpoint: an endpoint that restarts under its id has another one.
	Lifetime int64
	Slots    int
	Leaving  bool
	// RemovalIn is the time left until a leaving endpoint is removed whatever it runs; zero means unknown.
	RemovalIn time.Duration
	// SlowFor is how much longer the endpoint stays slow after its start.
	SlowFor time.Duration
	Models  []HeldModel
	// InMemory and OnDisk name the models of which the endpoint keeps copies that load fast.
	InMemory []string
	OnDisk   []string
}

// HeldModel is a model that an endpoint has loaded.
type HeldModel struct {
	Name     string
	Version  int
	Adapters []string
}

// Holds tells whether the model and, unless empty, the adapter are loaded.
func (a *Announcement) Holds(model, adapter string) bool {
	for i := range a.Models {
		if a.Models[i].Name == model {
			return adapter == "" || slices.Contains(a.Models[i].Adapters, adapter)
		}
	}
	return false
}

// HoldsModel tells whether the model is loaded, whatever its adapters.
func (a *Announcement) HoldsModel(model string) bool {
	return a.Holds(model, "")
}

// AdapterCount counts the loaded adapters of all models.
func (a *Announcement) AdapterCount() int {
	count := 0
	for i := range a.Models {
		count += len(a.Models[i].Adapters)
	}
	return count
}

// Work sums the calls that run at an endpoint.
type Work struct {
	// Waiting counts calls without a first event; PrefillTokens are the prompt tokens that they still need.
	Waiting       int
	PrefillTokens int
	// UrgentTokens are those of PrefillTokens that the engine reads before the prompts of late requests.
	UrgentTokens int
	// Running counts calls that generate.
	Running int
	// PrefillRate is the number of prompt tokens per second that were sent lately.
	PrefillRate int
}

// Add returns the sum.
func (w Work) Add(o Work) Work {
	return Work{
		Waiting:       w.Waiting + o.Waiting,
		PrefillTokens: w.PrefillTokens + o.PrefillTokens,
		UrgentTokens:  w.UrgentTokens + o.UrgentTokens,
		Running:       w.Running + o.Running,
		PrefillRate:   w.PrefillRate + o.PrefillRate,
	}
}

// Calls counts all calls.
func (w Work) Calls() int {
	return w.Waiting + w.Running
}
