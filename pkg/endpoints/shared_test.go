package endpoints_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

// countingReporter counts the polls of one instance per endpoint and fails those of unreachable ones.
type countingReporter struct {
	*fakeReporter
	mu    sync.Mutex
	polls map[string]int
	cut   map[string]bool
}

func (c *countingReporter) Report(ctx context.Context, target engine.Target) (engine.Report, error) {
	c.mu.Lock()
	c.polls[target.Name]++
	cut := c.cut[target.Name]
	c.mu.Unlock()
	if cut {
		return engine.Report{}, engine.ErrNotSent
	}
	return c.fakeReporter.Report(ctx, target)
}

func (c *countingReporter) take() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	polls := c.polls
	c.polls = make(map[string]int)
	return polls
}

func (c *countingReporter) setCut(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[name] = true
}

// mesh is instances of one data centre that exchange their reports once per second.
type mesh struct {
	ids        []string
	engines    *fakeReporter
	registries map[string]*endpoints.Registry
	reporters  map[string]*countingReporter
	live       map[string]bool
	stop       func()
}

const meshEndpoints = 60

func startMesh(instances int) *mesh {
	m := &mesh{
		engines:    newFake(),
		registries: make(map[string]*endpoints.Registry),
		reporters:  make(map[string]*countingReporter),
		live:       make(map[string]bool),
	}
	for i := range meshEndpoints {
		m.engines.set(fmt.Sprintf("e%02d", i), engine.Report{Incarnation: "1"}, nil)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range instances {
		id := fmt.Sprint("i", i)
		reporter := &countingReporter{fakeReporter: m.engines, polls: make(map[string]int), cut: make(map[string]bool)}
		r := endpoints.NewRegistry(reporter, reporter, zap.NewNop(), endpoints.Options{Instance: id, DataCentre: "x"})
		r.Apply(meshSnapshot(meshEndpoints))
		m.ids = append(m.ids, id)
		m.registries[id] = r
		m.reporters[id] = reporter
		m.live[id] = true
		group.Go(func() { r.Run(ctx) })
	}
	m.stop = func() { cancel(); group.Wait() }
	return m
}

func meshSnapshot(size int) *config.Snapshot {
	records := config.Records{Services: []config.Service{{Header: config.Header{Name: "s"}, Type: config.EngineService}}}
	for i := range size {
		records.Endpoints = append(records.Endpoints, config.Endpoint{
			Header: config.Header{Name: fmt.Sprintf("e%02d", i)}, Service: "s", DataCentre: "x", URL: "http://127.0.0.1:1",
			MaxConcurrentRequests: 8,
		})
	}
	return config.NewSnapshot(1, time.Time{}, records)
}

// run exchanges reports between live instances for a number of seconds.
func (m *mesh) run(seconds int) {
	for range seconds {
		time.Sleep(time.Second)
		for _, to := range m.ids {
			var others []string
			for _, from := range m.ids {
				if from == to || !m.live[from] || !m.live[to] {
					continue
				}
				others = append(others, from)
				m.registries[to].SetPeer(from, nil)
				m.registries[to].SetReports(from, m.registries[from].LocalReports())
			}
			m.registries[to].SetInstances(others)
		}
	}
}

// pollers returns the live instances that poll the endpoint within a number of seconds.
func (m *mesh) pollers(name string, seconds int) []string {
	for _, reporter := range m.reporters {
		reporter.take()
	}
	m.run(seconds)
	var ids []string
	for _, id := range m.ids {
		if m.live[id] && m.reporters[id].take()[name] > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

func (m *mesh) state(id, name string) endpoints.State {
	state, _ := m.registries[id].State(name)
	return state
}

// Guards against polls that grow with the number of instances, and against an endpoint that nobody polls after its
// poller died, left, or lost its connection to the endpoint.
func TestEachEndpointHasOnePollerAndASuccessor(t *testing.T) {
	const name = "e07"
	cases := map[string]struct {
		fail func(m *mesh, poller string)
	}{
		"poller silent":                {func(m *mesh, poller string) { m.live[poller] = false }},
		"poller cut off from endpoint": {func(m *mesh, poller string) { m.reporters[poller].setCut(name) }},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				m := startMesh(4)
				defer m.stop()
				m.run(20)
				first := m.pollers(name, 10)
				g.Expect(first).To(HaveLen(1))

				c.fail(m, first[0])
				m.run(15)
				m.engines.set(name, engine.Report{Incarnation: "2", Leaving: true}, nil)
				next := m.pollers(name, 5)
				for _, id := range m.ids {
					if !m.live[id] {
						continue
					}
					g.Expect(m.state(id, name).Leaving).To(BeTrue(), "the report reaches "+id)
					g.Expect(m.state(id, name).ReportAge).To(BeNumerically("<", 3*time.Second))
				}
				g.Expect(next).NotTo(BeEmpty())
				g.Expect(next).NotTo(ConsistOf(first[0]))
			})
		})
	}
}

// Guards against an endpoint that other instances fill and that looks idle here, since a large fleet does not exchange the
// calls of each instance.
func TestCallsOfOthersAreKnownFromReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := startMesh(3)
		defer m.stop()
		call := m.registries["i0"].Begin("e07", 0)
		g.Expect(m.registries["i0"].Local()).To(BeEmpty())
		m.engines.set("e07", engine.Report{Incarnation: "1", Running: 6, Waiting: 2}, nil)
		m.run(10)
		for id, others := range map[string]int{"i0": 7, "i1": 8, "i2": 8} {
			state := m.state(id, "e07")
			g.Expect(state.OthersInFlight()).To(Equal(others))
			g.Expect(state.HasCapacity()).To(BeFalse())
		}
		call.End(endpoints.CallResult{})
	})
}

// Guards against an instance that is alone in its data centre and waits for peers' reports.
func TestPartitionedInstancePollsByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := startMesh(3)
		defer m.stop()
		m.run(10)
		m.live["i0"] = false
		m.run(5)
		m.reporters["i0"].take()
		m.run(10)
		g.Expect(m.reporters["i0"].take()).To(HaveLen(meshEndpoints))
		g.Expect(m.state("i0", "e07").ReportAge).To(BeNumerically("<", 4*time.Second))
	})
}

// Guards against one instance's loss of its connections being taken for the death of endpoints, and against a dead
// endpoint that stays in use.
func TestEjectionNeedsFailedPollsOfTwoInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := startMesh(4)
		defer m.stop()
		m.run(10)
		healthy := func() (n int) {
			for _, id := range m.ids {
				if m.state(id, "e07").Health == endpoints.Healthy {
					n++
				}
			}
			return n
		}
		poller := m.pollers("e07", 5)[0]
		m.reporters[poller].setCut("e07")
		m.run(30)
		g.Expect(healthy()).To(Equal(3), "only the instance without connection ejects")
		for _, id := range m.ids {
			m.reporters[id].setCut("e07")
		}
		m.run(30)
		g.Expect(healthy()).To(BeZero())
	})
}

// Guards against endpoints that nobody polls after a declaration made the fleet larger or smaller than the bound for shared
// reports.
func TestPollsGoOnWhenTheFleetGrowsAndShrinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := startMesh(3)
		defer m.stop()
		for _, step := range []struct{ endpoints, pollers int }{{10, 3}, {meshEndpoints, 1}, {10, 3}, {meshEndpoints, 1}} {
			for _, r := range m.registries {
				r.Apply(meshSnapshot(step.endpoints))
			}
			m.run(20)
			g.Expect(m.pollers("e07", 10)).To(HaveLen(step.pollers))
		}
	})
}
