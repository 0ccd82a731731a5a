package fleet

import (
	"slices"
	"time"
)

// heldTrust is how long an announcement may still show what an endpoint held before an order: the time between two
// announcements and the time to read one.
const heldTrust = 2500 * time.Millisecond

// loadingModel is a model that some endpoint is loading.
type loadingModel struct {
	ready time.Time
	// seen is when this was told last; what is not told again has ended or failed.
	seen time.Time
}

// SetAdapter records that an adapter was loaded or unloaded by an order.
func (r *Registry) SetAdapter(id string, lifetime int64, model, adapter string, held bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.endpoints[id]
	if e == nil || e.Lifetime != lifetime {
		return
	}
	models := slices.Clone(e.Models)
	for i := range models {
		if models[i].Name != model {
			continue
		}
		adapters := slices.DeleteFunc(slices.Clone(models[i].Adapters), func(a string) bool { return a == adapter })
		if held {
			adapters = append(adapters, adapter)
		}
		models[i].Adapters = adapters
	}
	e.Models = models
	e.heldAt, e.trustHeldUntil = now, now.Add(heldTrust)
	r.signal()
}

// SetModelLeaving records that a model is about to be unloaded and takes no more requests.
func (r *Registry) SetModelLeaving(id string, lifetime int64, model string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.endpoints[id]
	if e == nil || e.Lifetime != lifetime {
		return
	}
	e.Models = slices.DeleteFunc(slices.Clone(e.Models), func(m HeldModel) bool { return m.Name == model })
	e.heldAt, e.trustHeldUntil = now, now.Add(heldTrust)
	r.signal()
}

// SetHeld replaces what an endpoint holds by newer knowledge, from its own report or of the instance that places models.
func (r *Registry) SetHeld(id string, lifetime int64, models []HeldModel, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.endpoints[id]
	if e == nil || e.Lifetime != lifetime || slices.EqualFunc(e.Models, models, sameHeld) {
		return
	}
	e.Models = models
	e.heldAt, e.trustHeldUntil = now, now.Add(heldTrust)
	r.signal()
}

func sameHeld(a, b HeldModel) bool {
	return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// misdirectedPause is how long an endpoint at whose address another one answered gets no calls; by then its entry is
// gone or renewed.
const misdirectedPause = 2 * time.Second

// Misdirected records that a request was answered as sent to the wrong endpoint: another one has the address, or this one
// does not hold the model or adapter.
func (r *Registry) Misdirected(id, answeredBy, model, adapter string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.endpoints[id]
	if e == nil {
		return
	}
	if model == "" || answeredBy != "" && answeredBy != id {
		e.Health.avoidUntil = now.Add(misdirectedPause)
		return
	}
	models := slices.Clone(e.Models)
	for i := range models {
		if models[i].Name == model {
			models[i].Adapters = slices.DeleteFunc(slices.Clone(models[i].Adapters), func(a string) bool { return a == adapter })
		}
	}
	if adapter == "" {
		models = slices.DeleteFunc(models, func(m HeldModel) bool { return m.Name == model })
	}
	e.Models = models
	e.trustHeldUntil = now.Add(misdirectedPause)
	r.signal()
}

// loadingAge is the age at which a load that is not told again no longer counts.
const loadingAge = 1500 * time.Millisecond

// loadingSlack is the least time told for a load whose expected end has passed.
const loadingSlack = 300 * time.Millisecond

// SetLoading records that some endpoint is loading the model.
func (r *Registry) SetLoading(model string, ready, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, found := r.loading[model]
	if found && now.Sub(known.seen) < loadingAge && known.ready.Before(ready) {
		ready = known.ready
	}
	r.loading[model] = loadingModel{ready: ready, seen: now}
}

// ReadyIn returns the time until a model that is being loaded can serve, and whether it is being loaded.
func (r *Registry) ReadyIn(model string, now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, found := r.loading[model]
	if !found || now.Sub(known.seen) >= loadingAge {
		return 0, false
	}
	return max(known.ready.Sub(now), loadingSlack), true
}

// HeldSince returns the endpoints whose content was changed by orders after a time.
func (r *Registry) HeldSince(t time.Time) []Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	var recent []Announcement
	for _, e := range r.endpoints {
		if e.heldAt.After(t) {
			recent = append(recent, e.Announcement)
		}
	}
	return recent
}
