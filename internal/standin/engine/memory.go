// Package engine is a stand-in of a model engine. It models accelerator memory, orders with fencing numbers, load time,
// batching and a prefix cache simply.
package engine

import (
	"sort"
	"sync"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

// rememberedOrders is the number of executed order ids that a report lists.
const rememberedOrders = 64

// Memory models the accelerator memory of one engine and executes orders on it. It does not refuse an order that
// overcommits an accelerator: it records the violation, so that tests check the invariant here and not in the ledger of
// the system under test. It is safe for concurrent use.
type Memory struct {
	// ChecksFencing makes the engine refuse orders with a fencing number below the newest accepted one.
	ChecksFencing bool

	mu          sync.Mutex
	capacity    []int64
	incarnation string
	highest     int64
	artifacts   map[engine.Artifact]engine.LoadedArtifact
	lastOrders  []string
	violations  int
	moves       map[engine.ArtifactKind]int
	role        string
}

// NewMemory returns the memory of an engine that starts empty.
func NewMemory(capacityBytes []int64, incarnation string, checksFencing bool) *Memory {
	return &Memory{
		ChecksFencing: checksFencing,
		capacity:      append([]int64(nil), capacityBytes...),
		incarnation:   incarnation,
		artifacts:     make(map[engine.Artifact]engine.LoadedArtifact),
		moves:         make(map[engine.ArtifactKind]int),
		role:          "serve",
	}
}

// Begin accepts an order: it checks the fencing number and takes the memory of a load. Finish must follow a nil error.
func (m *Memory) Begin(order engine.Order) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ChecksFencing && order.FencingNumber < m.highest {
		return engine.ErrStaleFencingNumber
	}
	if order.FencingNumber > m.highest {
		m.highest = order.FencingNumber
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
	if _, held := m.artifacts[order.Artifact]; held {
		return
	}
	m.artifacts[order.Artifact] = engine.LoadedArtifact{
		Artifact:            order.Artifact,
		State:               engine.StateLoading,
		Accelerators:        append([]int(nil), order.Accelerators...),
		BytesPerAccelerator: order.BytesPerAccelerator,
		OrderID:             order.ID,
	}
	if m.overcommitted() {
		m.violations++
	}
}

// Finish completes an accepted order.
func (m *Memory) Finish(order engine.Order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch order.Verb {
	case engine.VerbLoad:
		m.setState(order.Artifact, engine.StateLoaded)
		m.moves[order.Artifact.Kind]++
	case engine.VerbUnload:
		delete(m.artifacts, order.Artifact)
		m.moves[order.Artifact.Kind]++
	case engine.VerbSetRole:
		m.role = order.Role
	}
	m.lastOrders = append(m.lastOrders, order.ID)
	if len(m.lastOrders) > rememberedOrders {
		m.lastOrders = m.lastOrders[1:]
	}
}

func (m *Memory) setState(artifact engine.Artifact, state engine.ArtifactState) {
	held, ok := m.artifacts[artifact]
	if !ok {
		return
	}
	held.State = state
	m.artifacts[artifact] = held
}

func (m *Memory) overcommitted() bool {
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

// Restart empties the memory under a new incarnation, as a process restart does.
func (m *Memory) Restart(incarnation string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.incarnation = incarnation
	m.highest = 0
	m.artifacts = make(map[engine.Artifact]engine.LoadedArtifact)
	m.lastOrders = nil
}

// Preload adds artifacts that the engine loads by itself at start.
func (m *Memory) Preload(artifacts []engine.LoadedArtifact) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range artifacts {
		m.artifacts[a.Artifact] = a
	}
}

// Violations returns how often a load made an accelerator exceed its memory.
func (m *Memory) Violations() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.violations
}

// Moves returns how many loads and unloads of artifacts of the kind were completed.
func (m *Memory) Moves(kind engine.ArtifactKind) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.moves[kind]
}

// Loaded tells whether the artifact can serve.
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

// Report returns the memory part of a load report.
func (m *Memory) Report() engine.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	report := engine.Report{
		Incarnation: m.incarnation,
		Role:        m.role,
		LastOrders:  append([]string(nil), m.lastOrders...),
	}
	if m.ChecksFencing {
		report.HighestFencingNumber = m.highest
	}
	for _, a := range m.artifacts {
		report.Artifacts = append(report.Artifacts, a)
	}
	// Map order would make the runs of a seeded test differ.
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
