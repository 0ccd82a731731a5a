// Package placement decides which endpoints hold which models and adapters, and carries the decisions out. A Planner is
// a pure function from the known state of a data centre to a list of steps; the Controller of the lease holder sends one
// order at a time to each endpoint, under the rules of the memory ledger.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/ledger"
)

// Demand is the current demand for a model or an adapter in one data centre.
type Demand struct {
	// Model is the id that callers use: the name of a model or of an adapter.
	Model             string
	RequestsPerSecond float64
	// TokensPerSecond counts generated tokens.
	TokensPerSecond float64
	// Waiting is the number of calls that wait for a place now.
	Waiting int
}

// EndpointState is what the planner knows of one endpoint of the data centre.
type EndpointState struct {
	Declaration *config.Endpoint
	Record      ledger.Record
	// Leaving endpoints receive no orders and their copies do not count.
	Leaving bool
	// Unreachable endpoints receive no orders and their copies do not count.
	Unreachable bool
	// Unknown endpoints have no ledger record yet. They get no steps before a first report was read, because their engine
	// may have loaded artifacts at start.
	Unknown bool
	// Role is the role that the engine reported last; empty when it is not known.
	Role string
}

func (e *EndpointState) usable() bool { return !e.Leaving && !e.Unreachable && !e.Unknown }

// State is the input of a Planner. Planners do not modify it.
type State struct {
	DataCentre string
	Snapshot   *config.Snapshot
	// Endpoints are the engine endpoints of the data centre in name order.
	Endpoints []EndpointState
	// Demand holds moving averages by model or adapter id.
	Demand map[string]Average
	// Elsewhere counts the loaded copies of models in other data centres. When not all models fit, those without a copy
	// elsewhere are placed first.
	Elsewhere map[string]int
}

func sortEndpoints(endpoints []EndpointState) {
	slices.SortFunc(endpoints, func(a, b EndpointState) int { return cmp.Compare(a.Declaration.Name, b.Declaration.Name) })
}

// StepKind is what a step does.
type StepKind string

const (
	// StepLoad loads an artifact.
	StepLoad StepKind = "load"
	// StepUnload unloads an artifact.
	StepUnload StepKind = "unload"
	// StepSetRole sets the declared role.
	StepSetRole StepKind = "set_role"
)

// Step is one order that the plan asks for. Steps of one endpoint are carried out in order, and a step that fails ends
// the endpoint's list; steps of different endpoints do not depend on each other.
type Step struct {
	Endpoint string
	Kind     StepKind
	Artifact engine.Artifact
	// Base is the adapter's model.
	Base             string
	AcceleratorCount int
	Bytes            int64
	// Witness is the endpoint whose loaded copy remains after an unload.
	Witness string
	// Withdrawn is true for the unload of an artifact that is no longer declared.
	Withdrawn bool
	Role      string
	Reason    string
}

// Unplaced is a model or adapter that has fewer copies than wanted, and why.
type Unplaced struct {
	Artifact engine.Artifact
	Wanted   int
	Copies   int
	Reason   string
}

// Plan is the result of a Planner.
type Plan struct {
	Steps    []Step
	Unplaced []Unplaced
}

// Planner computes a plan. Implementations are deterministic and keep no state between calls.
type Planner interface {
	Plan(state State) Plan
}

// ShardOf is the placement shard of an endpoint.
func ShardOf(endpoint string, shards int) int {
	if shards <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(endpoint) % uint64(shards))
}

// ModelArtifact is the declared version of a model.
func ModelArtifact(m *config.Model) engine.Artifact {
	return engine.Artifact{Kind: engine.KindModel, Name: m.Name, Version: m.Version}
}

// AdapterArtifact is the declared version of an adapter.
func AdapterArtifact(a *config.Adapter) engine.Artifact {
	return engine.Artifact{Kind: engine.KindAdapter, Name: a.Name, Version: a.Version}
}
