package endpoints_test

import (
	"context"
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

// fakeReporter returns a fixed report or error for each endpoint.
type fakeReporter struct {
	mu      sync.Mutex
	reports map[string]engine.Report
	errs    map[string]error
	events  map[string][]engine.CacheEvent
}

func (f *fakeReporter) Report(_ context.Context, target engine.Target) (engine.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reports[target.Name], f.errs[target.Name]
}

func (f *fakeReporter) CacheEvents(_ context.Context, target engine.Target, after int64) ([]engine.CacheEvent, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var events []engine.CacheEvent
	for _, e := range f.events[target.Name] {
		if e.Sequence > after {
			events = append(events, e)
		}
	}
	return events, nil
}

func (f *fakeReporter) Load(context.Context, engine.Target) (endpoints.ServiceLoad, error) {
	return endpoints.ServiceLoad{Running: 3, MaxRunning: 5}, nil
}

func (f *fakeReporter) set(name string, report engine.Report, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports[name] = report
	f.errs[name] = err
}

func newFakeReporter() *fakeReporter {
	return &fakeReporter{
		reports: make(map[string]engine.Report),
		errs:    make(map[string]error),
		events:  make(map[string][]engine.CacheEvent),
	}
}

// newSnapshot returns a snapshot with the named endpoints. Endpoint p belongs to the plain service, all others to the
// engine service s.
func newSnapshot(names ...string) *config.Snapshot {
	records := config.Records{Services: []config.Service{
		{Header: config.Header{Name: "s"}, Type: config.EngineService},
		{Header: config.Header{Name: "plain"}, Type: config.PlainService},
	}}
	for _, name := range names {
		service := "s"
		if name == "p" {
			service = "plain"
		}
		records.Endpoints = append(records.Endpoints, config.Endpoint{
			Header: config.Header{Name: name}, Service: service, URL: "http://127.0.0.1:1", MaxConcurrentRequests: 8,
		})
	}
	return config.NewSnapshot(1, time.Time{}, records)
}

// startRegistry starts a registry inside a synctest bubble. The returned function stops it.
func startRegistry(t *testing.T, fake *fakeReporter, snapshot *config.Snapshot) (*endpoints.Registry, func()) {
	t.Helper()
	r := endpoints.NewRegistry(fake, fake, zap.NewNop(), endpoints.Options{})
	r.Apply(snapshot)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	synctest.Wait()
	return r, func() {
		cancel()
		<-done
	}
}

// Guards against calls to a leaving endpoint, for each source that can mark it as leaving.
func TestLeavingIsSeenWithinThreeSeconds(t *testing.T) {
	sources := map[string]func(*endpoints.Registry, *fakeReporter){
		"instance list": func(r *endpoints.Registry, _ *fakeReporter) { r.SetLeaving([]string{"e"}) },
		"report": func(_ *endpoints.Registry, f *fakeReporter) {
			f.set("e", engine.Report{Leaving: true}, nil)
		},
		"declaration": func(r *endpoints.Registry, _ *fakeReporter) {
			snapshot := newSnapshot("e", "f")
			snapshot.Endpoint("e").Leaving = true
			r.Apply(snapshot)
		},
	}
	for name, markLeaving := range sources {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				fake := newFakeReporter()
				r, stop := startRegistry(t, fake, newSnapshot("e", "f"))
				defer stop()
				g.Expect(r.States("s")[0].Leaving).To(BeFalse())
				markLeaving(r, fake)
				time.Sleep(3 * time.Second)
				g.Expect(r.States("s")[0].Leaving).To(BeTrue())
				g.Expect(r.States("s")[1].Leaving).To(BeFalse())
			})
		})
	}
}

// Guards against a poller that continues after its endpoint was removed, and against the loss of in-flight counts when
// the declarations change.
func TestApplyKeepsCountsAndStopsPollers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, stop := startRegistry(t, newFakeReporter(), newSnapshot("e", "f", "p"))
		defer stop()
		call := r.Begin("e", 0)
		r.Apply(newSnapshot("e"))
		g.Expect(r.States("s")).To(HaveLen(1))
		g.Expect(r.States("s")[0].OwnInFlight).To(Equal(1))
		g.Expect(r.Begin("f", 0)).To(BeNil())
		call.End(endpoints.CallResult{})
		g.Expect(r.States("s")[0].OwnInFlight).To(BeZero())
	})
}

// Guards against a registry that ignores the load of a plain service.
func TestPlainServiceLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, stop := startRegistry(t, newFakeReporter(), newSnapshot("p"))
		defer stop()
		g.Expect(r.States("plain")[0].Report.Running).To(Equal(3))
		g.Expect(r.States("plain")[0].ConcurrencyLimit).To(Equal(5))
	})
}

// Guards against in-flight counts of a peer that remain after its calls have ended or after it was removed, and against
// the use of stale counts of a peer that no longer sends messages.
func TestPeerCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fake := newFakeReporter()
		fake.set("e", engine.Report{Running: 6}, nil)
		r, stop := startRegistry(t, fake, newSnapshot("e"))
		defer stop()
		peerRegistry := endpoints.NewRegistry(fake, fake, zap.NewNop(), endpoints.Options{})
		peerRegistry.Apply(newSnapshot("e"))
		call := peerRegistry.Begin("e", 0)
		r.MergePeerLoads("p", peerRegistry.LocalLoads())
		r.MergePeerLoads("q", []endpoints.Load{{EndpointHash: endpoints.HashName("e"), InFlight: 2}})
		state := r.States("s")[0]
		g.Expect(state.PeerInFlight).To(Equal(3))
		g.Expect(state.Instances).To(Equal(3))
		call.End(endpoints.CallResult{})
		r.MergePeerLoads("p", peerRegistry.LocalLoads())
		g.Expect(r.States("s")[0].PeerInFlight).To(Equal(2))
		time.Sleep(4 * time.Second)
		state = r.States("s")[0]
		g.Expect(state.PeersStale).To(BeTrue())
		// The report counts more calls than the stale counts of the peers.
		g.Expect(state.OthersInFlight()).To(Equal(6))
		r.RemovePeer("p")
		r.RemovePeer("q")
		g.Expect(r.States("s")[0].PeersStale).To(BeFalse())
		g.Expect(r.States("s")[0].InFlight()).To(BeZero())
	})
}
