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

// TestMain fixes the seed of the property tests, so that every run gives the same verdict; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.checks": "250"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// loadable are the artifacts of the simulation. Two versions of menus fit the first accelerator together only when little
// else is loaded.
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

// act draws one event: a holder goes on, or something happens around the holders. Most calls succeed, because a rule that
// is broken shows only after several orders.
func (s *sim) act() {
	t := s.t
	e := s.engines[rapid.IntRange(0, len(s.engines)-1).Draw(t, "engine")]
	switch draw := rapid.IntRange(0, 399).Draw(t, "event"); {
	case draw < 270:
		h := rapid.SampledFrom(s.active()).Draw(t, "holder")
		s.goOn(h, rapid.SampledFrom(faults).Draw(t, "fault"))
	case draw < 330:
		if len(e.sockets) > 0 {
			s.accept(e, &e.sockets, rapid.IntRange(0, len(e.sockets)-1).Draw(t, "message"), rapid.IntRange(0, 9).Draw(t, "reject") == 0)
		}
	case draw < 336:
		if len(e.late) > 0 {
			s.accept(e, &e.late, rapid.IntRange(0, len(e.late)-1).Draw(t, "late message"), false)
		}
	case draw < 384:
		if len(e.running) > 0 {
			s.finish(e, rapid.IntRange(0, len(e.running)-1).Draw(t, "message"))
		}
	case draw < 394:
		rapid.SampledFrom(s.holders).Draw(t, "candidate").acquire()
	case draw < 396:
		s.lapse(rapid.Bool().Draw(t, "clocks stand still"))
	case draw < 398:
		s.restart(e, drawPreload(t))
	default:
		s.store.Faults.SetDown(rapid.IntRange(0, 3).Draw(t, "store down") == 0)
	}
}

// faults has one refused call and two lost replies in twenty calls.
var faults = append(make([]fault, 17), refuse, dropReply, dropReply)

// active returns the holders that believe to hold the lease or are paused within a round.
func (s *sim) active() []*simHolder {
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

func (s *sim) goOn(h *simHolder, next fault) {
	h.next = next
	h.lag = 0
	if next == noFault {
		h.lag = max(0, rapid.IntRange(-8, 8).Draw(s.t, "lag"))
	}
	if h.idle {
		h.steps = drawSteps(s.t, s.withdrawn, loadable[:s.artifacts])
	}
	h.resume()
}

func (s *sim) verifyAlways(always bool) {
	for _, h := range s.holders {
		h.worker.verifyInterval = time.Hour
		if always {
			h.worker.verifyInterval = 0
		}
	}
}

// lapse lets all leases expire. The clock of a paused holder may stand still, so that the holder does not notice.
func (s *sim) lapse(still bool) {
	s.now = s.now.Add(leaseTTL + time.Second)
	s.store.ExpireLeases()
	for _, h := range s.holders {
		if !still {
			h.clock = s.now
		}
	}
}

// heal ends all faults, lets the engines finish and runs new holders until nothing is pending.
func (s *sim) heal() {
	s.store.Faults.SetDown(false)
	s.lapse(false)
	for _, e := range s.engines {
		s.drain(e)
		if !e.declared.ChecksFencing {
			s.restart(e, nil)
		}
	}
	s.check()
	s.verifyAlways(true)
	for _, h := range s.holders[:len(s.engines)] {
		h.acquire()
		for range 80 {
			h.next, h.lag, h.steps = noFault, 0, nil
			h.resume()
			s.drain(h.engine)
		}
		s.checkLedgerEqualsEngine(h)
	}
}

// drain lets the engine carry out everything that was sent to it.
func (s *sim) drain(e *simEngine) {
	for len(e.late) > 0 {
		s.accept(e, &e.late, 0, false)
	}
	for len(e.sockets) > 0 {
		s.accept(e, &e.sockets, 0, false)
	}
	for len(e.running) > 0 {
		s.finish(e, 0)
	}
}

func (s *sim) checkLedgerEqualsEngine(h *simHolder) {
	record, err := ledger.New(s.store, "t/").Read(context.Background(), h.worker.endpoint)
	if err != nil {
		s.t.Fatal(err)
	}
	if record.RoleOrder != nil {
		s.t.Fatalf("%s has an unresolved order %v", h.engine.declared.Name, *record.RoleOrder)
	}
	held := h.engine.memory.Report().Artifacts
	if len(held) != len(record.Reservations) {
		s.t.Fatalf("%s holds %v but its ledger says %v", h.engine.declared.Name, held, record.Reservations)
	}
	for _, actual := range held {
		reservation := record.Find(actual.Artifact)
		if reservation == nil || reservation.Pending() {
			s.t.Fatalf("%s holds %v but its ledger says %v", h.engine.declared.Name, actual, reservation)
		}
	}
}

// Guards against overcommitted memory, writes without the lease, an unloaded last copy, and reservations that are never
// resolved, under lost and late orders, paused holders, restarts, outages and lost replies.
func testSafety(t *testing.T, checksFencing bool) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, checksFencing)
		defer s.close()
		s.withdrawn = rapid.Bool().Draw(t, "declarations withdrawn")
		s.artifacts = rapid.IntRange(1, len(loadable)).Draw(t, "artifacts")
		s.verifyAlways(rapid.Bool().Draw(t, "verify in every round"))
		for _, h := range s.holders[:len(s.engines)] {
			h.acquire()
		}
		for range rapid.IntRange(100, 1000).Draw(t, "events") {
			s.act()
			s.check()
		}
		s.heal()
	})
}

func TestMemoryIsNeverOvercommittedOnEnginesThatCheckFencingNumbers(t *testing.T) {
	testSafety(t, true)
}

func TestMemoryIsNeverOvercommittedOnEnginesThatIgnoreFencingNumbers(t *testing.T) {
	testSafety(t, false)
}

// Guards against two shards that each unload their copy because the other one still has its copy.
func TestTwoShardsNeverUnloadBothCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.Bool().Draw(t, "checks fencing numbers"))
		defer s.close()
		for i, e := range s.engines {
			e.memory.Preload([]engine.LoadedArtifact{{
				Artifact: loadable[0].Artifact, State: engine.StateLoaded, Accelerators: []int{0}, BytesPerAccelerator: 45,
			}})
			e.observe()
			s.holders[i].acquire()
			s.holders[i].steps = []Step{{Kind: StepUnload, Artifact: loadable[0].Artifact, Witness: s.engines[1-i].declared.Name}}
		}
		for range 200 {
			i := rapid.IntRange(0, 1).Draw(t, "holder")
			s.holders[i].next = noFault
			s.holders[i].resume()
			s.drain(s.engines[i])
			s.check()
		}
	})
}
