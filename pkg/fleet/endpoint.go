// Package fleet tracks the endpoints: what they announce, the work that the instances have sent them, and their
// failures. The choice among them is a pure function of this state.
package fleet

import (
	"slices"
	"time"
)

// Announcement is an endpoint's entry about itself in the platform's store.
type Announcement struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Lifetime identifies one run of the endpoint: an endpoint that restarts under the same id has another lifetime.
	Lifetime int64
	// Software is the version of the endpoint's software, which says nothing about the versions of its models; empty if it is
	// not known.
	Software string
	Slots    int
	Leaving  bool
	// RemovalIn is the time left until a leaving endpoint is removed, even if it still runs requests; zero means
	// unknown.
	RemovalIn time.Duration
	// SlowFor is the remaining time for which the endpoint is slow after its start.
	SlowFor time.Duration
	Models  []HeldModel
	// OrdersAccepted is the number of orders that the endpoint had accepted when it listed its models; zero if that is
	// not stated, as in announcements from other instances.
	OrdersAccepted int64
	// InMemory and OnDisk name the models that the endpoint can load fast from its own memory or disk.
	InMemory []string
	OnDisk   []string
}

// HeldModel is a model that an endpoint has loaded.
type HeldModel struct {
	Name     string
	Version  int
	Adapters []string
}

// Holds reports whether the model and, unless empty, the adapter are loaded. It returns true without a model.
func (a *Announcement) Holds(model, adapter string) bool {
	if model == "" {
		return true
	}
	for i := range a.Models {
		if a.Models[i].Name == model {
			return adapter == "" || slices.Contains(a.Models[i].Adapters, adapter)
		}
	}
	return false
}

// HoldsModel reports whether the model is loaded, with any adapters.
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

// Work sums the calls in progress at an endpoint.
type Work struct {
	// Waiting counts calls without a first event; PrefillTokens are their prompt tokens that remain to be read.
	Waiting       int
	PrefillTokens int
	// UrgentTokens is the part of PrefillTokens that the engine reads before the prompts of late requests.
	UrgentTokens int
	// Running counts calls that generate tokens.
	Running int
	// PrefillRate is the recent rate of prompt tokens sent, per second.
	PrefillRate int
}

// Add returns the sum of w and o.
func (w Work) Add(o Work) Work {
	return Work{
		Waiting:       w.Waiting + o.Waiting,
		PrefillTokens: w.PrefillTokens + o.PrefillTokens,
		UrgentTokens:  w.UrgentTokens + o.UrgentTokens,
		Running:       w.Running + o.Running,
		PrefillRate:   w.PrefillRate + o.PrefillRate,
	}
}

// Calls returns the number of waiting and running calls.
func (w Work) Calls() int {
	return w.Waiting + w.Running
}
