// Package engine is a stand-in for a model engine. It has simple models of accelerator memory, orders with fencing
// tokens, load times, batching and a prefix cache.
package engine

import (
	"sort"
	"sync"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

// maxReportedOrders is the maximum number of executed order ids in a report.
const maxReportedOrders = 64

// Memory models the accelerator memory of one engine and executes orders on it. It accepts orders that overcommit an
// accelerator and counts them, so that tests check the invariant here and not in the ledger of the system under test.
// It is safe for concurrent use.
type Memory struct {
	// ChecksFencing makes the engine reject orders with a fencing token below the highest accepted one.
	ChecksFencing bool

	mu                  sync.Mutex
	capacity            []int64
	incarnation         string
	highestFencingToken int64
	artifacts           map[engine.Artifact]engine.LoadedArtifact
	lastOrderIDs        []string
	overcommits         int
	loadsAndUnloads     map[engine.ArtifactKind]int
	role                string
}

// NewMemory returns an empty memory with the capacity of each accelerator.
func NewMemory(capacityBytes []int64, incarnation string, checksFencing bool) *Memory {
	return &Memory{
		ChecksFencing:   checksFencing,
		capacity:        append([]int64(nil), capacityBytes...),
		incarnation:     incarnation,
		artifacts:       make(map[engine.Artifact]engine.LoadedArtifact),
		loadsAndUnloads: make(map[engine.ArtifactKind]int),
		role:            "serve",
	}
}

// Begin accepts an order: it checks the fencing token and reserves the memory of a load. After a nil error, Finish must
// be called unless the process ends first.
func (m *Memory) Begin(order engine.Order) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ChecksFencing && order.FencingToken < m.highestFencingToken {
		return engine.ErrStaleFencingToken
	}
	if order.FencingToken > m.highestFencingToken {
		m.highestFencingToken = order.FencingToken
	}
	switch order.Verb {
	case engine.VerbLoad:
		m.beginLoad(order)
	case engine.VerbUnload:
		m.setState(order.Artifact, engine.StateUnloading)
	}
	return nil
}

func (m *Memory) beginLoad(order engine.Order) {
	if _, present := m.artifacts[order.Artifact]; present {
		return
	}
	m.artifacts[order.Artifact] = engine.LoadedArtifact{
		Artifact:            order.Artifact,
		State:               engine.StateLoading,
		Accelerators:        append([]int(nil), order.Accelerators...),
		BytesPerAccelerator: order.BytesPerAccelerator,
		OrderID:             order.ID,
	}
	if m.isOvercommitted() {
		m.overcommits++
	}
}

// Finish completes an accepted order.
func (m *Memory) Finish(order engine.Order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch order.Verb {
	case engine.VerbLoad:
		m.setState(order.Artifact, engine.StateLoaded)
		m.loadsAndUnloads[order.Artifact.Kind]++
	case engine.VerbUnload:
		delete(m.artifacts, order.Artifact)
		m.loadsAndUnloads[order.Artifact.Kind]++
	case engine.VerbSetRole:
		m.role = order.Role
	}
	m.lastOrderIDs = append(m.lastOrderIDs, order.ID)
	if len(m.lastOrderIDs) > maxReportedOrders {
		m.lastOrderIDs = m.lastOrderIDs[1:]
	}
}

func (m *Memory) setState(artifact engine.Artifact, state engine.ArtifactState) {
	loaded, ok := m.artifacts[artifact]
	if !ok {
		return
	}
	loaded.State = state
	m.artifacts[artifact] = loaded
}

func (m *Memory) isOvercommitted() bool {
	used := make([]int64, len(m.capacity))
	for _, a := range m.artifacts {
		for _, index := range a.Accelerators {
			if index < 0 || index >= len(used) {
				return true
			}
			used[index] += a.BytesPerAccelerator
		}
	}
	for i := range used {
		if used[i] > m.capacity[i] {
			return true
		}
	}
	return false
}

// Restart empties the memory and sets a new incarnation, like a restart of the process.
func (m *Memory) Restart(incarnation string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.incarnation = incarnation
	m.highestFencingToken = 0
	m.artifacts = make(map[engine.Artifact]engine.LoadedArtifact)
	m.lastOrderIDs = nil
}

// Preload adds artifacts that the engine loads at start, without an order.
func (m *Memory) Preload(artifacts []engine.LoadedArtifact) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range artifacts {
		m.artifacts[a.Artifact] = a
	}
}

// Overcommits returns the number of loads after which an accelerator was overcommitted.
func (m *Memory) Overcommits() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.overcommits
}

// LoadsAndUnloads returns the number of completed loads and unloads of artifacts of the kind.
func (m *Memory) LoadsAndUnloads(kind engine.ArtifactKind) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loadsAndUnloads[kind]
}

// Loaded reports whether the artifact is loaded.
func (m *Memory) Loaded(artifact engine.Artifact) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.artifacts[artifact].State == engine.StateLoaded
}

// Incarnation returns the current incarnation.
func (m *Memory) Incarnation() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnation
}

// Report returns the fields of a load report that concern the memory.
func (m *Memory) Report() engine.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	report := engine.Report{
		Incarnation:  m.incarnation,
		Role:         m.role,
		LastOrderIDs: append([]string(nil), m.lastOrderIDs...),
	}
	if m.ChecksFencing {
		report.HighestFencingToken = m.highestFencingToken
	}
	for _, a := range m.artifacts {
		report.Artifacts = append(report.Artifacts, a)
	}
	// Map order would make runs of a seeded test differ.
	sort.Slice(report.Artifacts, func(i, j int) bool { return less(report.Artifacts[i].Artifact, report.Artifacts[j].Artifact) })
	return report
}

func less(a, b engine.Artifact) bool {
	if a.Kind != b.Kind {
		return a.Kind < b.Kind
	}
	if a.Name != b.Name {
		return a.Name < b.Name
	}
	return a.Version < b.Version
}
