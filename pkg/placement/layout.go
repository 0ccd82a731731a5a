package placement

import (
	"slices"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/ledger"
)

// artifactName identifies a model or an adapter independently of its version.
type artifactName struct {
	kind engine.ArtifactKind
	id   string
}

func artifactNameOf(artifact engine.Artifact) artifactName {
	return artifactName{kind: artifact.Kind, id: artifact.Name}
}

// layout is the planner's working state of a data centre. It holds the copies that each endpoint has now and after the
// planned steps.
type layout struct {
	state     State
	endpoints []*endpointLayout
	// byEndpoint is keyed by endpoint name.
	byEndpoint map[string]*endpointLayout
	// byService lists the usable endpoints of each service.
	byService map[string][]*endpointLayout
	// byArtifact lists the endpoints with a copy of a model or adapter in any version.
	byArtifact map[artifactName][]*endpointLayout
	// dataCentres caches the number of data centres of a service.
	dataCentres map[string]int
	steps       []Step
	// unloads counts the planned unloads, the only steps that change which copies can be unloaded.
	unloads  int
	unplaced []UnplacedArtifact
}

// endpointLayout is one endpoint with its copies.
type endpointLayout struct {
	EndpointState
	// free is the number of unreserved bytes of each accelerator. The memory of planned unloads counts as free: the
	// steps of one endpoint run in order, so a load can follow the unload that frees its memory.
	free   []int64
	copies []*artifactCopy
}

// artifactCopy is an artifact on an endpoint.
type artifactCopy struct {
	artifact engine.Artifact
	// base is the model of an adapter.
	base         string
	accelerators []int
	// bytes is the size on each accelerator.
	bytes int64
	state ledger.State
	// loadPlanned is true if this plan loads the copy.
	loadPlanned bool
	// unloadPlanned is true if this plan unloads the copy.
	unloadPlanned bool
}

// serving reports whether the copy can answer calls now and is not unloaded by this plan.
func (c *artifactCopy) serving() bool {
	return c.state == ledger.Loaded && !c.loadPlanned && !c.unloadPlanned
}

// servingOrLoading reports whether the copy is loaded or loading and is not unloaded by this plan. An unresolved load
// does not count, because on an engine that ignores fencing tokens it can stay unresolved until the next restart.
func (c *artifactCopy) servingOrLoading() bool {
	return !c.unloadPlanned && (c.state == ledger.Loaded || c.state == ledger.Loading)
}

func newLayout(state State) *layout {
	l := &layout{
		state:       state,
		byEndpoint:  make(map[string]*endpointLayout, len(state.Endpoints)),
		byService:   make(map[string][]*endpointLayout),
		byArtifact:  make(map[artifactName][]*endpointLayout),
		dataCentres: make(map[string]int),
	}
	for _, endpoint := range state.Endpoints {
		l.addEndpoint(endpoint)
	}
	return l
}

func (l *layout) addEndpoint(endpoint EndpointState) {
	e := &endpointLayout{EndpointState: endpoint, free: capacityOf(endpoint.Declaration)}
	for _, reservation := range endpoint.Record.Reservations {
		e.copies = append(e.copies, &artifactCopy{
			artifact:     reservation.Artifact,
			base:         l.baseOf(reservation),
			accelerators: reservation.Accelerators,
			bytes:        reservation.BytesPerAccelerator,
			state:        reservation.State,
		})
		e.reserveMemory(reservation.Accelerators, reservation.BytesPerAccelerator)
		l.indexEndpoint(artifactNameOf(reservation.Artifact), e)
	}
	l.endpoints = append(l.endpoints, e)
	l.byEndpoint[endpoint.Declaration.Name] = e
	if e.usable() {
		l.byService[endpoint.Declaration.Service] = append(l.byService[endpoint.Declaration.Service], e)
	}
}

// baseOf returns the model of an adapter. The reservation of an adopted adapter has no base, because the engine's
// report does not contain it; the model is then taken from the declarations.
func (l *layout) baseOf(reservation ledger.Reservation) string {
	if reservation.Base != "" || reservation.Artifact.Kind != engine.KindAdapter {
		return reservation.Base
	}
	if declared := l.state.Snapshot.Adapter(reservation.Artifact.Name); declared != nil {
		return declared.Model
	}
	return ""
}

// indexEndpoint adds the endpoint to byArtifact.
func (l *layout) indexEndpoint(name artifactName, e *endpointLayout) {
	if !slices.Contains(l.byArtifact[name], e) {
		l.byArtifact[name] = append(l.byArtifact[name], e)
	}
}

// reserveMemory subtracts bytes from the free memory of each accelerator; a negative number releases memory.
func (e *endpointLayout) reserveMemory(accelerators []int, bytes int64) {
	for _, index := range accelerators {
		if index < len(e.free) {
			e.free[index] -= bytes
		}
	}
}

// find returns the endpoint's copy of an artifact, or nil.
func (e *endpointLayout) find(artifact engine.Artifact) *artifactCopy {
	for _, c := range e.copies {
		if c.artifact == artifact {
			return c
		}
	}
	return nil
}

// findByName returns a matching copy of the model or adapter in any version, or nil.
func (e *endpointLayout) findByName(name artifactName, match func(*artifactCopy) bool) *artifactCopy {
	for _, c := range e.copies {
		if artifactNameOf(c.artifact) == name && match(c) {
			return c
		}
	}
	return nil
}

// countEndpoints returns the number of usable endpoints with a matching copy of the model or adapter in any version.
func (l *layout) countEndpoints(name artifactName, match func(*artifactCopy) bool) int {
	found := 0
	for _, e := range l.byArtifact[name] {
		if e.usable() && e.findByName(name, match) != nil {
			found++
		}
	}
	return found
}

// pickAccelerators returns the best-fit accelerators for a load, or nil if the load does not fit.
func (e *endpointLayout) pickAccelerators(count int, bytes int64) []int {
	return bestFitAccelerators(e.free, count, bytes)
}

// bestFitAccelerators returns the accelerators with the least free memory that suffices, or nil if fewer than count
// have enough. The ledger uses the same rule.
func bestFitAccelerators(free []int64, count int, bytes int64) []int {
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

// load plans a load on the endpoint.
func (l *layout) load(e *endpointLayout, step Step, accelerators []int, bytesEach int64) {
	step.Endpoint = e.Declaration.Name
	step.Kind = StepLoad
	l.steps = append(l.steps, step)
	e.reserveMemory(accelerators, bytesEach)
	e.copies = append(e.copies, &artifactCopy{
		artifact:     step.Artifact,
		base:         step.Base,
		accelerators: accelerators,
		bytes:        bytesEach,
		state:        ledger.Loading,
		loadPlanned:  true,
	})
	l.indexEndpoint(artifactNameOf(step.Artifact), e)
}

// unload plans an unload. The witness is the endpoint that keeps a loaded copy.
func (l *layout) unload(e *endpointLayout, c *artifactCopy, witness, reason string) {
	l.steps = append(l.steps, Step{
		Endpoint: e.Declaration.Name,
		Kind:     StepUnload,
		Artifact: c.artifact,
		Witness:  witness,
		Reason:   reason,
	})
	l.unloads++
	c.unloadPlanned = true
	e.reserveMemory(c.accelerators, -c.bytes)
}

// witness returns the name of an endpoint that still serves the model or adapter after copy c on endpoint e is
// unloaded. The name is empty if e itself serves another version. The second result is false if c is the last copy.
func (l *layout) witness(e *endpointLayout, c *artifactCopy) (string, bool) {
	name := artifactNameOf(c.artifact)
	if e.findByName(name, func(other *artifactCopy) bool { return other.artifact != c.artifact && other.serving() }) != nil {
		return "", true
	}
	for _, other := range l.byArtifact[name] {
		if other != e && other.usable() && other.findByName(name, (*artifactCopy).serving) != nil {
			return other.Declaration.Name, true
		}
	}
	return "", false
}

// adaptersOf returns the adapters on the endpoint that have no serving copy of their model there once c is unloaded.
func (e *endpointLayout) adaptersOf(c *artifactCopy) []*artifactCopy {
	if c.artifact.Kind != engine.KindModel {
		return nil
	}
	servesSameModel := func(other *artifactCopy) bool { return other.artifact != c.artifact && other.serving() }
	if e.findByName(artifactNameOf(c.artifact), servesSameModel) != nil {
		return nil
	}
	var found []*artifactCopy
	for _, adapter := range e.copies {
		if adapter.artifact.Kind == engine.KindAdapter && adapter.base == c.artifact.Name && !adapter.unloadPlanned {
			found = append(found, adapter)
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
