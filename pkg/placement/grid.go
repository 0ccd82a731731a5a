package placement

import (
	"slices"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/ledger"
)

// name identifies a model or adapter in any version.
type name struct {
	kind engine.ArtifactKind
	id   string
}

func nameOf(artifact engine.Artifact) name { return name{kind: artifact.Kind, id: artifact.Name} }

// grid is the planner's working copy of a data centre: what each accelerator holds now and after the planned steps.
type grid struct {
	state State
	slots []*slot
	// bySlot finds a slot by endpoint name, byService lists the usable slots of a service.
	bySlot    map[string]*slot
	byService map[string][]*slot
	holders   map[name][]*slot
	// dataCentres caches the number of data centres of a service.
	dataCentres map[string]int
	steps       []Step
	// unloads counts planned unloads, the only steps that change which copies can be spared.
	unloads  int
	unplaced []Unplaced
}

// slot is one endpoint.
type slot struct {
	EndpointState
	// free is the unreserved memory of each accelerator. Memory of planned unloads counts as free, because the steps of
	// one endpoint run in order: a load may follow the unload that makes room for it.
	free []int64
	held []*copyOf
}

// copyOf is an artifact on a slot.
type copyOf struct {
	artifact     engine.Artifact
	base         string
	accelerators []int
	bytes        int64
	state        ledger.State
	// planned is true for a load of this plan; leaves is true when this plan unloads the copy.
	planned bool
	leaves  bool
}

// serves tells whether the copy can answer calls now and stays.
func (c *copyOf) serves() bool { return c.state == ledger.Loaded && !c.planned && !c.leaves }

// counts tells whether the copy serves or is on its way. An unresolved load does not count, because on an engine that
// ignores fencing numbers it can stay unresolved until the next restart.
func (c *copyOf) counts() bool {
	return !c.leaves && (c.state == ledger.Loaded || c.state == ledger.Loading)
}

func newGrid(state State) *grid {
	g := &grid{
		state:       state,
		bySlot:      make(map[string]*slot, len(state.Endpoints)),
		byService:   make(map[string][]*slot),
		holders:     make(map[name][]*slot),
		dataCentres: make(map[string]int),
	}
	for _, endpoint := range state.Endpoints {
		g.addSlot(endpoint)
	}
	return g
}

func (g *grid) addSlot(endpoint EndpointState) {
	s := &slot{EndpointState: endpoint, free: capacityOf(endpoint.Declaration)}
	for _, held := range endpoint.Record.Reservations {
		s.held = append(s.held, &copyOf{
			artifact:     held.Artifact,
			base:         g.baseOf(held),
			accelerators: held.Accelerators,
			bytes:        held.BytesPerAccelerator,
			state:        held.State,
		})
		s.take(held.Accelerators, held.BytesPerAccelerator)
		g.addHolder(nameOf(held.Artifact), s)
	}
	g.slots = append(g.slots, s)
	g.bySlot[endpoint.Declaration.Name] = s
	if s.usable() {
		g.byService[endpoint.Declaration.Service] = append(g.byService[endpoint.Declaration.Service], s)
	}
}

// baseOf finds the model of an adopted adapter, which the engine's report does not name.
func (g *grid) baseOf(held ledger.Reservation) string {
	if held.Base != "" || held.Artifact.Kind != engine.KindAdapter {
		return held.Base
	}
	if declared := g.state.Snapshot.Adapter(held.Artifact.Name); declared != nil {
		return declared.Model
	}
	return ""
}

func (g *grid) addHolder(n name, s *slot) {
	if !slices.Contains(g.holders[n], s) {
		g.holders[n] = append(g.holders[n], s)
	}
}

func (s *slot) take(accelerators []int, bytes int64) {
	for _, index := range accelerators {
		if index < len(s.free) {
			s.free[index] -= bytes
		}
	}
}

// find returns the slot's copy of an artifact, or nil.
func (s *slot) find(artifact engine.Artifact) *copyOf {
	for _, c := range s.held {
		if c.artifact == artifact {
			return c
		}
	}
	return nil
}

// any returns a copy of the named model or adapter in any version that satisfies the test, or nil.
func (s *slot) any(n name, test func(*copyOf) bool) *copyOf {
	for _, c := range s.held {
		if nameOf(c.artifact) == n && test(c) {
			return c
		}
	}
	return nil
}

// count returns the number of usable endpoints with a copy that satisfies the test.
func (g *grid) count(n name, test func(*copyOf) bool) int {
	found := 0
	for _, s := range g.holders[n] {
		if s.usable() && s.any(n, test) != nil {
			found++
		}
	}
	return found
}

// pickAccelerators returns the accelerators with the least free memory that suffices, as the ledger does; nil when the
// load does not fit.
func (s *slot) pickAccelerators(count int, bytes int64) []int {
	return tightest(s.free, count, bytes)
}

func tightest(free []int64, count int, bytes int64) []int {
	var fitting []int
	for index, available := range free {
		if available >= bytes {
			fitting = append(fitting, index)
		}
	}
	if count <= 0 || len(fitting) < count {
		return nil
	}
	slices.SortStableFunc(fitting, func(a, b int) int {
		if free[a] < free[b] {
			return -1
		}
		if free[a] > free[b] {
			return 1
		}
		return 0
	})
	return fitting[:count]
}

// load plans a load on the slot.
func (g *grid) load(s *slot, step Step, accelerators []int, bytesEach int64) {
	step.Endpoint = s.Declaration.Name
	step.Kind = StepLoad
	g.steps = append(g.steps, step)
	s.take(accelerators, bytesEach)
	s.held = append(s.held, &copyOf{
		artifact:     step.Artifact,
		base:         step.Base,
		accelerators: accelerators,
		bytes:        bytesEach,
		state:        ledger.Loading,
		planned:      true,
	})
	g.addHolder(nameOf(step.Artifact), s)
}

// unload plans an unload; the witness keeps a loaded copy.
func (g *grid) unload(s *slot, c *copyOf, witness, reason string) {
	g.steps = append(g.steps, Step{
		Endpoint: s.Declaration.Name,
		Kind:     StepUnload,
		Artifact: c.artifact,
		Witness:  witness,
		Reason:   reason,
	})
	g.unloads++
	c.leaves = true
	s.take(c.accelerators, -c.bytes)
}

// witness returns the endpoint that still serves the model or adapter after the copy on s is unloaded, and false for a
// last copy. An empty name stands for another version on s itself.
func (g *grid) witness(s *slot, c *copyOf) (string, bool) {
	n := nameOf(c.artifact)
	if s.any(n, func(other *copyOf) bool { return other.artifact != c.artifact && other.serves() }) != nil {
		return "", true
	}
	for _, other := range g.holders[n] {
		if other != s && other.usable() && other.any(n, (*copyOf).serves) != nil {
			return other.Declaration.Name, true
		}
	}
	return "", false
}

// adaptersOf returns the slot's adapters of a model that would lose their model when the copy is unloaded.
func (s *slot) adaptersOf(c *copyOf) []*copyOf {
	if c.artifact.Kind != engine.KindModel {
		return nil
	}
	other := func(held *copyOf) bool { return held.artifact != c.artifact && held.serves() }
	if s.any(nameOf(c.artifact), other) != nil {
		return nil
	}
	var found []*copyOf
	for _, held := range s.held {
		if held.artifact.Kind == engine.KindAdapter && held.base == c.artifact.Name && !held.leaves {
			found = append(found, held)
		}
	}
	return found
}

func modelStep(m *config.Model, reason string) Step {
	return Step{
		Artifact:         ModelArtifact(m),
		AcceleratorCount: m.AcceleratorsPerCopy,
		Bytes:            m.WeightBytes + m.KVReserveBytes,
		Reason:           reason,
	}
}

func adapterStep(a *config.Adapter, reason string) Step {
	return Step{Artifact: AdapterArtifact(a), Base: a.Model, Bytes: a.Bytes, Reason: reason}
}
