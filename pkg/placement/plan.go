// Package placement decides which endpoints hold which models and adapters, and carries the decisions out. A Planner is
// a pure function from the state of a data centre to a list of steps. The Controller of the lease holder sends each
// endpoint one order at a time and reserves memory in the ledger before each order.
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
	// Model is the name of a model or an adapter, as callers use it.
	Model             string
	RequestsPerSecond float64
	// TokensPerSecond counts generated tokens.
	TokensPerSecond float64
	// Waiting is the number of calls that wait for a loaded copy now.
	Waiting int
}

// EndpointState is the state of one endpoint of the data centre.
type EndpointState struct {
	Declaration *config.Endpoint
	Record      ledger.Record
	// Leaving endpoints receive no orders and their copies do not count.
	Leaving bool
	// Unreachable endpoints receive no orders and their copies do not count.
	Unreachable bool
	// Unknown endpoints have no ledger record that was reconciled with a report. They get no steps before their first
	// report, because their engine may have loaded artifacts at its start.
	Unknown bool
	// Role is the role in the engine's last report. It is empty before the first report.
	Role string
}

func (e *EndpointState) usable() bool { return !e.Leaving && !e.Unreachable && !e.Unknown }

// State is the input of a Planner. Planners do not modify it.
type State struct {
	DataCentre string
	Snapshot   *config.Snapshot
	// Endpoints are the engine endpoints of the data centre in name order.
	Endpoints []EndpointState
	// Demand holds moving averages by the name of the model or adapter.
	Demand map[string]Average
	// CopiesElsewhere is the number of loaded copies of each model in other data centres. Models without a copy there
	// are placed first, which matters if not all models fit.
	CopiesElsewhere map[string]int
}

func sortEndpoints(endpoints []EndpointState) {
	slices.SortFunc(endpoints, func(a, b EndpointState) int { return cmp.Compare(a.Declaration.Name, b.Declaration.Name) })
}

// StepKind is the kind of a step.
type StepKind string

const (
	// StepLoad loads an artifact.
	StepLoad StepKind = "load"
	// StepUnload unloads an artifact.
	StepUnload StepKind = "unload"
	// StepSetRole sets the declared role.
	StepSetRole StepKind = "set_role"
)

// Step is one planned order. The steps of one endpoint are carried out in order. After a failed step, the remaining
// steps of the endpoint are dropped. Steps of different endpoints do not depend on each other.
type Step struct {
	Endpoint string
	Kind     StepKind
	Artifact engine.Artifact
	// Base is the model of an adapter.
	Base             string
	AcceleratorCount int
	// Bytes is the total size on all accelerators.
	Bytes int64
	// Witness is the endpoint whose loaded copy remains after an unload. It is empty if the remaining copy is on the
	// same endpoint.
	Witness string
	// Withdrawn is true for the unload of an artifact that is no longer declared, which may be the last copy.
	Withdrawn bool
	Role      string
	Reason    string
}

// UnplacedArtifact is a model or adapter with fewer copies than desired.
type UnplacedArtifact struct {
	Artifact engine.Artifact
	Desired  int
	Copies   int
	Reason   string
}

// Plan is the result of a Planner.
type Plan struct {
	Steps    []Step
	Unplaced []UnplacedArtifact
}

// Planner computes plans. Implementations are deterministic and keep no state between calls.
type Planner interface {
	Plan(state State) Plan
}

// ShardOf returns the placement shard of an endpoint.
func ShardOf(endpoint string, shards int) int {
	if shards <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(endpoint) % uint64(shards))
}

// ModelArtifact returns the declared version of a model.
func ModelArtifact(m *config.Model) engine.Artifact {
	return engine.Artifact{Kind: engine.KindModel, Name: m.Name, Version: m.Version}
}

// AdapterArtifact returns the declared version of an adapter.
func AdapterArtifact(a *config.Adapter) engine.Artifact {
	return engine.Artifact{Kind: engine.KindAdapter, Name: a.Name, Version: a.Version}
}
