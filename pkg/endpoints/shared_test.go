package endpoints_test

import (
	"context"
	"fmt"
	"slices"
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

// countingReporter counts the polls of one instance per endpoint. Polls of unreachable endpoints fail.
type countingReporter struct {
	*fakeReporter
	mu          sync.Mutex
	polls       map[string]int
	unreachable map[string]bool
}

func (c *countingReporter) Report(ctx context.Context, target engine.Target) (engine.Report, error) {
	c.mu.Lock()
	c.polls[target.Name]++
	unreachable := c.unreachable[target.Name]
	c.mu.Unlock()
	if unreachable {
		return engine.Report{}, engine.ErrNotSent
	}
	return c.fakeReporter.Report(ctx, target)
}

// takePolls returns the number of polls per endpoint since the last takePolls, and resets the numbers.
func (c *countingReporter) takePolls() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	polls := c.polls
	c.polls = make(map[string]int)
	return polls
}

func (c *countingReporter) setUnreachable(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable[name] = true
}

// mesh is a set of instances in one data centre that exchange their reports once per second.
type mesh struct {
	ids        []string
	engines    *fakeReporter
	registries map[string]*endpoints.Registry
	reporters  map[string]*countingReporter
	connected  map[string]bool
	stop       func()
}

const meshEndpoints = 60

func startMesh(instances int) *mesh {
	m := &mesh{
		engines:    newFakeReporter(),
		registries: make(map[string]*endpoints.Registry),
		reporters:  make(map[string]*countingReporter),
		connected:  make(map[string]bool),
	}
	for i := range meshEndpoints {
		m.engines.set(fmt.Sprintf("e%02d", i), engine.Report{Incarnation: "1"}, nil)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range instances {
		id := fmt.Sprint("i", i)
		reporter := &countingReporter{fakeReporter: m.engines, polls: make(map[string]int), unreachable: make(map[string]bool)}
		r := endpoints.NewRegistry(reporter, reporter, zap.NewNop(), endpoints.Options{Instance: id, DataCentre: "x"})
		r.Apply(meshSnapshot(meshEndpoints))
		m.ids = append(m.ids, id)
		m.registries[id] = r
		m.reporters[id] = reporter
		m.connected[id] = true
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

// exchangeReports exchanges reports between connected instances once per second.
func (m *mesh) exchangeReports(seconds int) {
	for range seconds {
		time.Sleep(time.Second)
		for _, to := range m.ids {
			var others []string
			for _, from := range m.ids {
				if from == to || !m.connected[from] || !m.connected[to] {
					continue
				}
				others = append(others, from)
				m.registries[to].MergePeerLoads(from, nil)
				m.registries[to].SetReports(from, m.registries[from].LocalReports())
			}
			m.registries[to].SetInstances(others)
		}
	}
}

// pollers returns the connected instances that poll the endpoint within the given number of seconds.
func (m *mesh) pollers(name string, seconds int) []string {
	for _, reporter := range m.reporters {
		reporter.takePolls()
	}
	m.exchangeReports(seconds)
	var ids []string
	for _, id := range m.ids {
		if m.connected[id] && m.reporters[id].takePolls()[name] > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

func (m *mesh) state(id, name string) endpoints.State {
	state, _ := m.registries[id].State(name)
	return state
}

// Guards against polls that increase with the number of instances, and against an endpoint without a poller after its
// poller has exited or lost its connection to the endpoint.
func TestEachEndpointHasOnePollerAndASuccessor(t *testing.T) {
	const name = "e07"
	cases := map[string]struct {
		fail func(m *mesh, poller string)
	}{
		"poller disconnected from peers":    {func(m *mesh, poller string) { m.connected[poller] = false }},
		"poller disconnected from endpoint": {func(m *mesh, poller string) { m.reporters[poller].setUnreachable(name) }},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				m := startMesh(4)
				defer m.stop()
				m.exchangeReports(20)
				before := m.pollers(name, 10)
				g.Expect(before).To(HaveLen(1))

				c.fail(m, before[0])
				m.exchangeReports(15)
				m.engines.set(name, engine.Report{Incarnation: "2", Leaving: true}, nil)
				after := m.pollers(name, 5)
				for _, id := range m.ids {
					if !m.connected[id] {
						continue
					}
					g.Expect(m.state(id, name).Leaving).To(BeTrue(), "the report reaches "+id)
					g.Expect(m.state(id, name).ReportAge).To(BeNumerically("<", 3*time.Second))
				}
				g.Expect(after).NotTo(BeEmpty())
				g.Expect(after).NotTo(ConsistOf(before[0]))
			})
		})
	}
}

// Guards against an endpoint that looks idle although other instances fill it. This can happen because instances of a
// large fleet do not exchange their in-flight counts.
func TestCallsOfOthersAreKnownFromReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := startMesh(3)
		defer m.stop()
		call := m.registries["i0"].Begin("e07", 0)
		g.Expect(m.registries["i0"].LocalLoads()).To(BeEmpty())
		m.engines.set("e07", engine.Report{Incarnation: "1", Running: 6, Waiting: 2}, nil)
		m.exchangeReports(10)
		for id, others := range map[string]int{"i0": 7, "i1": 8, "i2": 8} {
			state := m.state(id, "e07")
			g.Expect(state.OthersInFlight()).To(Equal(others))
			g.Expect(state.HasCapacity()).To(BeFalse())
		}
		call.End(endpoints.CallResult{})
	})
}

// Guards against an instance that waits for reports of peers although it is partitioned from them.
func TestPartitionedInstancePollsAllEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := startMesh(3)
		defer m.stop()
		m.exchangeReports(10)
		m.connected["i0"] = false
		m.exchangeReports(5)
		m.reporters["i0"].takePolls()
		m.exchangeReports(10)
		g.Expect(m.reporters["i0"].takePolls()).To(HaveLen(meshEndpoints))
		g.Expect(m.state("i0", "e07").ReportAge).To(BeNumerically("<", 4*time.Second))
	})
}

// Guards against endpoints that are ejected because a single instance has lost its connections, and against an endpoint
// that stays in use although no instance can reach it.
func TestEjectionNeedsFailedPollsOfTwoInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := startMesh(4)
		defer m.stop()
		m.exchangeReports(10)
		healthy := func() (n int) {
			for _, id := range m.ids {
				if m.state(id, "e07").Health == endpoints.Healthy {
					n++
				}
			}
			return n
		}
		poller := m.pollers("e07", 5)[0]
		m.reporters[poller].setUnreachable("e07")
		m.exchangeReports(30)
		g.Expect(healthy()).To(Equal(3), "only the instance without a connection ejects")
		for _, id := range m.ids {
			m.reporters[id].setUnreachable("e07")
		}
		m.exchangeReports(30)
		g.Expect(healthy()).To(BeZero())
	})
}

// Guards against endpoints that no instance polls after the fleet has grown or shrunk across the size above which the
// instances share reports.
func TestPollingContinuesWhenTheFleetGrowsAndShrinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := startMesh(3)
		defer m.stop()
		for _, step := range []struct{ endpoints, pollers int }{{10, 3}, {meshEndpoints, 1}, {10, 3}, {meshEndpoints, 1}} {
			for _, r := range m.registries {
				r.Apply(meshSnapshot(step.endpoints))
			}
			m.exchangeReports(20)
			g.Expect(m.pollers("e07", 10)).To(HaveLen(step.pollers))
		}
	})
}

// Guards against an instance that stops telling its peers that it cannot read the reports of an endpoint once one of them
// has read the report of a new process. The instance that polls in its place would stop, and reports would grow old.
func TestFailedPollsOutlastANewProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const name = "e07"
		m := startMesh(4)
		defer m.stop()
		m.exchangeReports(20)
		poller := m.pollers(name, 10)[0]
		m.reporters[poller].setUnreachable(name)
		m.exchangeReports(15)
		failing := func() bool {
			hash := endpoints.HashName(name)
			return slices.ContainsFunc(m.registries[poller].LocalReports(), func(r endpoints.SharedReport) bool {
				return r.EndpointHash == hash && r.Failed
			})
		}
		g.Expect(failing()).To(BeTrue())

		m.registries[poller].SetReports("successor", []endpoints.SharedReport{{
			EndpointHash: endpoints.HashName(name), Report: engine.Report{Incarnation: "2"}, PolledAt: time.Now(),
		}})
		g.Expect(failing()).To(BeTrue())
	})
}
