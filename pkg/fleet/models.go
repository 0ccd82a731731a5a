package fleet

import (
	"slices"
	"time"
)

// announcementLag is how long an announcement may still show the state before an order: the time between two
// announcements and the time to read one.
const announcementLag = 2500 * time.Millisecond

// loadingModel is a model that some endpoint is loading.
type loadingModel struct {
	readyAt time.Time
	// reportedAt is the time of the last report of the load. A load that is no longer reported has ended or failed.
	reportedAt time.Time
}

// SetAdapter records that an order has loaded or unloaded an adapter.
func (r *Registry) SetAdapter(id string, lifetime int64, model, adapter string, loaded bool, now time.Time) {
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
		if loaded {
			adapters = append(adapters, adapter)
		}
		models[i].Adapters = adapters
	}
	e.Models = models
	e.modelsChangedAt, e.modelsTrustedUntil = now, now.Add(announcementLag)
	r.signalChange()
}

// SetModelLeaving records that a model is about to be unloaded and gets no more requests.
func (r *Registry) SetModelLeaving(id string, lifetime int64, model string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.endpoints[id]
	if e == nil || e.Lifetime != lifetime {
		return
	}
	e.Models = slices.DeleteFunc(slices.Clone(e.Models), func(m HeldModel) bool { return m.Name == model })
	e.modelsChangedAt, e.modelsTrustedUntil = now, now.Add(announcementLag)
	r.signalChange()
}

// SetModels replaces an endpoint's models by newer ones, from the endpoint's report or from the instance that places
// models.
func (r *Registry) SetModels(id string, lifetime int64, models []HeldModel, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.endpoints[id]
	if e == nil || e.Lifetime != lifetime || slices.EqualFunc(e.Models, models, sameModel) {
		return
	}
	e.Models = models
	e.modelsChangedAt, e.modelsTrustedUntil = now, now.Add(announcementLag)
	r.signalChange()
}

func sameModel(a, b HeldModel) bool {
	return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// misdirectedPause is how long an endpoint gets no calls after another one answered at its address. By then its entry
// is removed or renewed.
const misdirectedPause = 2 * time.Second

// Misdirected records that a request reached the wrong endpoint: another endpoint has the address, or the endpoint does
// not hold the model or adapter.
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
	e.modelsTrustedUntil = now.Add(misdirectedPause)
	r.signalChange()
}

// maxLoadingAge is the age at which a load that is not reported again no longer counts.
const maxLoadingAge = 1500 * time.Millisecond

// minReadyIn is the least remaining time returned for a load whose expected end has passed.
const minReadyIn = 300 * time.Millisecond

// SetLoading records that some endpoint is loading the model.
func (r *Registry) SetLoading(model string, readyAt, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous, found := r.loading[model]
	if found && now.Sub(previous.reportedAt) < maxLoadingAge && previous.readyAt.Before(readyAt) {
		readyAt = previous.readyAt
	}
	r.loading[model] = loadingModel{readyAt: readyAt, reportedAt: now}
}

// ReadyIn returns the remaining time of a model's load, and whether the model is being loaded.
func (r *Registry) ReadyIn(model string, now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, found := r.loading[model]
	if !found || now.Sub(entry.reportedAt) >= maxLoadingAge {
		return 0, false
	}
	return max(entry.readyAt.Sub(now), minReadyIn), true
}

// ModelsChangedSince returns the announcements of endpoints whose models were changed by orders after a time.
func (r *Registry) ModelsChangedSince(t time.Time) []Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	var recent []Announcement
	for _, e := range r.endpoints {
		if e.modelsChangedAt.After(t) {
			recent = append(recent, e.Announcement)
		}
	}
	return recent
}
