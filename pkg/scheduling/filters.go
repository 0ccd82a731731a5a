package scheduling

import (
	"slices"

	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

// Filter excludes candidates that cannot run a call.
type Filter interface {
	// Name is stable, because it appears in decisions.
	Name() string
	// Reject returns the reason why the endpoint cannot run the call, or an empty string.
	Reject(request *Request, state *endpoints.State) string
}

// The names of the filters appear in decisions.
const (
	FilterArtifact    = "artifact"
	FilterHealth      = "health"
	FilterLeaving     = "leaving"
	FilterRole        = "role"
	FilterExcluded    = "excluded"
	FilterConcurrency = "concurrency"
	FilterRegionLink  = "region-link"
)

// filterFunc is a Filter without state.
type filterFunc struct {
	name   string
	reject func(request *Request, state *endpoints.State) string
}

func (f filterFunc) Name() string { return f.name }

func (f filterFunc) Reject(request *Request, state *endpoints.State) string {
	return f.reject(request, state)
}

// ArtifactLoaded passes endpoints whose report lists the model, and the adapter if the call has one, as loaded. Every
// endpoint of a plain service passes.
func ArtifactLoaded() Filter {
	return filterFunc{name: FilterArtifact, reject: func(request *Request, state *endpoints.State) string {
		if request.Model == "" {
			return ""
		}
		if !state.Serves(engine.KindModel, request.Model) {
			return "model not loaded"
		}
		if request.Adapter != "" && !state.Serves(engine.KindAdapter, request.Adapter) {
			return "adapter not loaded"
		}
		return ""
	}}
}

// Healthy excludes ejected endpoints, and endpoints on probation that already run a call of this instance.
func Healthy() Filter {
	return filterFunc{name: FilterHealth, reject: func(_ *Request, state *endpoints.State) string {
		switch {
		case state.Health == endpoints.Ejected:
			return "ejected"
		case state.Health == endpoints.Probing && state.OwnInFlight > 0:
			return "probe in flight"
		}
		return ""
	}}
}

// NotLeaving excludes leaving endpoints.
func NotLeaving() Filter {
	return filterFunc{name: FilterLeaving, reject: func(_ *Request, state *endpoints.State) string {
		if state.Leaving {
			return "leaving"
		}
		return ""
	}}
}

// ServingRole passes endpoints whose role is to run whole calls.
func ServingRole() Filter {
	return filterFunc{name: FilterRole, reject: func(_ *Request, state *endpoints.State) string {
		if role := state.CurrentRole(); role != endpoints.RoleServe {
			return "role " + role
		}
		return ""
	}}
}

// NotExcluded excludes endpoints that already failed the call.
func NotExcluded() Filter {
	return filterFunc{name: FilterExcluded, reject: func(request *Request, state *endpoints.State) string {
		if slices.Contains(request.Exclude, state.Endpoint.Name) {
			return "failed this call before"
		}
		return ""
	}}
}

// Concurrency excludes endpoints that run as many calls as their limit allows.
func Concurrency() Filter {
	return filterFunc{name: FilterConcurrency, reject: func(_ *Request, state *endpoints.State) string {
		if !state.HasCapacity() {
			return "at concurrency limit"
		}
		return ""
	}}
}

// RegionLink excludes endpoints of other regions while the link budget is too low for the call.
func RegionLink(topology Topology, budget *LinkBudget) Filter {
	return filterFunc{name: FilterRegionLink, reject: func(request *Request, state *endpoints.State) string {
		if topology.Distance(state.Endpoint.DataCentre) < OtherRegion {
			return ""
		}
		if !budget.CanSend(linkBytes(request)) {
			return "region link budget used up"
		}
		return ""
	}}
}
