package placement

import (
	"context"
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/ledger"
)

// TestMain sets a fixed seed for the property tests, so that every run gives the same verdict. -rapid.seed overrides
// it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.checks": "250"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// loadable lists loads of the artifacts of the simulation. Two versions of menus fit on the first accelerator only if
// little else is loaded.
var loadable = []Step{
	{Kind: StepLoad, Artifact: artifact(engine.KindModel, "menus", "1"), AcceleratorCount: 1, Bytes: 45},
	{Kind: StepLoad, Artifact: artifact(engine.KindModel, "menus", "2"), AcceleratorCount: 1, Bytes: 50},
	{Kind: StepLoad, Artifact: artifact(engine.KindModel, "notes", "1"), AcceleratorCount: 2, Bytes: 60},
	{Kind: StepLoad, Artifact: artifact(engine.KindModel, "orders", "1"), AcceleratorCount: 1, Bytes: 55},
	{Kind: StepLoad, Artifact: artifact(engine.KindAdapter, "menus-ilam", "1"), Base: "menus", Bytes: 15},
}

func drawSteps(t *rapid.T, withdrawn bool, choice []Step) []Step {
	steps := make([]Step, rapid.IntRange(1, 3).Draw(t, "steps"))
	for i := range steps {
		steps[i] = rapid.SampledFrom(choice).Draw(t, "artifact")
		if rapid.IntRange(0, 9).Draw(t, "set role") == 0 {
			steps[i] = Step{Kind: StepSetRole, Role: "prefill"}
			continue
		}
		if rapid.Bool().Draw(t, "unload") {
			steps[i].Kind = StepUnload
			steps[i].Withdrawn = withdrawn
			steps[i].Witness = rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "witness")
		}
	}
	return steps
}

func drawPreload(t *rapid.T) []engine.LoadedArtifact {
	if !rapid.Bool().Draw(t, "preload") {
		return nil
	}
	return []engine.LoadedArtifact{{
		Artifact: loadable[0].Artifact, State: engine.StateLoaded, Accelerators: []int{1}, BytesPerAccelerator: 45,
	}}
}

// runEvent draws and runs one event: a holder resumes, or an engine, a lease or the store changes. Most calls succeed,
// because a broken rule shows only after several orders.
func (s *simulation) runEvent() {
	t := s.t
	e := s.engines[rapid.IntRange(0, len(s.engines)-1).Draw(t, "engine")]
	switch draw := rapid.IntRange(0, 399).Draw(t, "event"); {
	case draw < 270:
		h := rapid.SampledFrom(s.runnableHolders()).Draw(t, "holder")
		s.resumeHolder(h, rapid.SampledFrom(faults).Draw(t, "fault"))
	case draw < 330:
		if len(e.unreadOrders) > 0 {
			s.accept(e, &e.unreadOrders, rapid.IntRange(0, len(e.unreadOrders)-1).Draw(t, "message"), rapid.IntRange(0, 9).Draw(t, "reject") == 0)
		}
	case draw < 336:
		if len(e.lateOrders) > 0 {
			s.accept(e, &e.lateOrders, rapid.IntRange(0, len(e.lateOrders)-1).Draw(t, "late message"), false)
		}
	case draw < 384:
		if len(e.runningOrders) > 0 {
			s.finishOrder(e, rapid.IntRange(0, len(e.runningOrders)-1).Draw(t, "message"))
		}
	case draw < 394:
		rapid.SampledFrom(s.holders).Draw(t, "candidate").acquire()
	case draw < 396:
		s.expireLeases(rapid.Bool().Draw(t, "clocks stand still"))
	case draw < 398:
		s.restart(e, drawPreload(t))
	default:
		s.store.Faults.SetDown(rapid.IntRange(0, 3).Draw(t, "store down") == 0)
	}
}

// faults is the distribution of the faults of a call: of twenty calls, one is refused and the replies to two are lost.
var faults = append(make([]fault, 17), refuseCall, dropReply, dropReply)

// runnableHolders returns the holders whose lease is valid on their own clock and those paused within a round, or all
// holders if there are none.
func (s *simulation) runnableHolders() []*simHolder {
	var found []*simHolder
	for _, h := range s.holders {
		if _, held := h.Condition(); held || !h.idle {
			found = append(found, h)
		}
	}
	if len(found) == 0 {
		return s.holders
	}
	return found
}

func (s *simulation) resumeHolder(h *simHolder, nextFault fault) {
	h.nextFault = nextFault
	h.reportLag = 0
	if nextFault == noFault {
		h.reportLag = max(0, rapid.IntRange(-8, 8).Draw(s.t, "lag"))
	}
	if h.idle {
		h.steps = drawSteps(s.t, s.withdrawn, loadable[:s.artifactCount])
	}
	h.resume()
}

func (s *simulation) verifyAlways(always bool) {
	for _, h := range s.holders {
		h.worker.verifyInterval = time.Hour
		if always {
			h.worker.verifyInterval = 0
		}
	}
}

// expireLeases lets all leases expire. If the clocks of the holders are stopped, the holders do not notice the expiry.
func (s *simulation) expireLeases(clocksStopped bool) {
	s.now = s.now.Add(leaseTTL + time.Second)
	s.store.ExpireLeases()
	for _, h := range s.holders {
		if !clocksStopped {
			h.localTime = s.now
		}
	}
}

// recoverAndVerify ends all faults, lets the engines finish, runs new holders and checks that every order is resolved
// and each ledger record equals its engine's report.
func (s *simulation) recoverAndVerify() {
	s.store.Faults.SetDown(false)
	s.expireLeases(false)
	for _, e := range s.engines {
		s.deliverAll(e)
		if !e.declared.ChecksFencing {
			s.restart(e, nil)
		}
	}
	s.check()
	s.verifyAlways(true)
	for _, h := range s.holders[:len(s.engines)] {
		h.acquire()
		for range 80 {
			h.nextFault, h.reportLag, h.steps = noFault, 0, nil
			h.resume()
			s.deliverAll(h.engine)
		}
		s.checkLedgerEqualsEngine(h)
	}
}

// deliverAll lets the engine carry out all orders that were sent to it.
func (s *simulation) deliverAll(e *simEngine) {
	for len(e.lateOrders) > 0 {
		s.accept(e, &e.lateOrders, 0, false)
	}
	for len(e.unreadOrders) > 0 {
		s.accept(e, &e.unreadOrders, 0, false)
	}
	for len(e.runningOrders) > 0 {
		s.finishOrder(e, 0)
	}
}

func (s *simulation) checkLedgerEqualsEngine(h *simHolder) {
	record, err := ledger.New(s.store, "t/").Read(context.Background(), h.worker.endpoint)
	if err != nil {
		s.t.Fatal(err)
	}
	if record.RoleOrder != nil {
		s.t.Fatalf("%s has an unresolved role order %v", h.engine.declared.Name, *record.RoleOrder)
	}
	loaded := h.engine.memory.Report().Artifacts
	if len(loaded) != len(record.Reservations) {
		s.t.Fatalf("%s holds %v but its ledger record has %v", h.engine.declared.Name, loaded, record.Reservations)
	}
	for _, actual := range loaded {
		reservation := record.Find(actual.Artifact)
		if reservation == nil || reservation.Pending() {
			s.t.Fatalf("%s holds %v but its ledger record has %v", h.engine.declared.Name, actual, reservation)
		}
	}
}

// Guards against overcommitted memory, writes without the lease, unloads of a last copy and reservations that are never
// resolved. The causes are lost and late orders, paused holders, engine restarts, store outages and lost replies.
func testSafety(t *testing.T, checksFencing bool) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, checksFencing)
		defer s.stopHolders()
		s.withdrawn = rapid.Bool().Draw(t, "declarations withdrawn")
		s.artifactCount = rapid.IntRange(1, len(loadable)).Draw(t, "artifacts")
		s.verifyAlways(rapid.Bool().Draw(t, "verify in every round"))
		for _, h := range s.holders[:len(s.engines)] {
			h.acquire()
		}
		for range rapid.IntRange(100, 1000).Draw(t, "events") {
			s.runEvent()
			s.check()
		}
		s.recoverAndVerify()
	})
}

func TestMemoryIsNeverOvercommittedOnEnginesThatCheckFencingTokens(t *testing.T) {
	testSafety(t, true)
}

func TestMemoryIsNeverOvercommittedOnEnginesThatIgnoreFencingTokens(t *testing.T) {
	testSafety(t, false)
}

// Guards against two shards that both unload a copy because each relies on the copy of the other.
func TestTwoShardsNeverUnloadBothCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Bool().Draw(t, "checks fencing tokens"))
		defer s.stopHolders()
		for i, e := range s.engines {
			e.memory.Preload([]engine.LoadedArtifact{{
				Artifact: loadable[0].Artifact, State: engine.StateLoaded, Accelerators: []int{0}, BytesPerAccelerator: 45,
			}})
			e.recordReport()
			s.holders[i].acquire()
			s.holders[i].steps = []Step{{Kind: StepUnload, Artifact: loadable[0].Artifact, Witness: s.engines[1-i].declared.Name}}
		}
		for range 200 {
			i := rapid.IntRange(0, 1).Draw(t, "holder")
			s.holders[i].nextFault = noFault
			s.holders[i].resume()
			s.deliverAll(s.engines[i])
			s.check()
		}
	})
}
