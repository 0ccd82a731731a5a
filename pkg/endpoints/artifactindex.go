package endpoints

import (
	"slices"
	"strings"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

// ServesID reports whether an endpoint belongs to the service and has loaded a model or adapter with the id. An empty
// id matches any endpoint of the service.
func (r *Registry) ServesID(endpoint, service, id string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	e := r.entries[endpoint]
	if e == nil || e.declared.Service != service {
		return false
	}
	if id == "" {
		return true
	}
	return e.report != nil && slices.ContainsFunc(e.report.Artifacts, func(a engine.LoadedArtifact) bool {
		return a.Name == id && a.State == engine.StateLoaded
	})
}

// rebuildArtifactIndex rebuilds byArtifact from the reports of all endpoints.
func (r *Registry) rebuildArtifactIndex() {
	clear(r.byArtifact)
	for _, list := range r.byService {
		for _, e := range list {
			r.addToArtifactIndex(e)
		}
	}
}

func (r *Registry) addToArtifactIndex(e *entry) {
	for _, key := range e.loadedArtifacts() {
		list := r.byArtifact[key]
		index, _ := slices.BinarySearchFunc(list, e.declared.Name, func(other *entry, name string) int {
			return strings.Compare(other.declared.Name, name)
		})
		r.byArtifact[key] = slices.Insert(list, index, e)
	}
}

func (r *Registry) removeFromArtifactIndex(e *entry) {
	for _, key := range e.loadedArtifacts() {
		list := slices.DeleteFunc(r.byArtifact[key], func(other *entry) bool { return other == e })
		if len(list) == 0 {
			delete(r.byArtifact, key)
			continue
		}
		r.byArtifact[key] = list
	}
}

// loadedArtifacts returns each loaded artifact once, even if several versions are loaded.
func (e *entry) loadedArtifacts() []artifactKey {
	if e.report == nil {
		return nil
	}
	var keys []artifactKey
	for _, a := range e.report.Artifacts {
		key := artifactKey{service: e.declared.Service, kind: a.Kind, name: a.Name}
		if a.State == engine.StateLoaded && !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	return keys
}
