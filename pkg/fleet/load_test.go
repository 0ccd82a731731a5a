package fleet

import (
	"testing"
	"time"
)

// stateLoad records that an endpoint states a load of 48 slots.
func stateLoad(r *Registry, id string, calls, percent int, rejected bool, at time.Time) {
	r.StatedLoad(id, 1, StatedLoad{Running: calls, Slots: 48, WorkPercent: percent, Rejected: rejected}, at)
}

// Guards against sending prompts to an engine on whose machine work takes three times as long at the moment, and against
// never trying it again.
func TestStatedTimeOfWorkScalesTheExpectedTime(t *testing.T) {
	r := NewRegistry()
	announce(r, "e1", HeldModel{Name: "m"})
	announce(r, "e2", HeldModel{Name: "m"})
	usual, call := r.Reserve(demandFor("m"), noDistance, now)
	call.End(Succeeded, now)
	stateLoad(r, "e1", 0, 300, false, now)
	stateLoad(r, "e2", 0, 100, false, now)
	for range 3 {
		choice, call := r.Reserve(demandFor("m"), noDistance, now)
		if choice.ID != "e2" {
			t.Fatalf("chose %q", choice.ID)
		}
		call.End(Succeeded, now)
	}
	d := demandFor("m")
	d.Exclude = []string{"e2"}
	slow, call := r.Reserve(d, noDistance, now)
	call.End(Succeeded, now)
	if slow.AtEndpoint < 5*usual.AtEndpoint/2 {
		t.Fatalf("expected %v at the slow engine, %v at one of the usual speed", slow.AtEndpoint, usual.AtEndpoint)
	}
	again, _ := r.Reserve(d, noDistance, now.Add(30*time.Second))
	if again.AtEndpoint > usual.AtEndpoint*11/10 {
		t.Fatalf("expected %v half a minute later", again.AtEndpoint)
	}
}

// Guards against counting a slow machine twice: a first token that took twice as long while the endpoint stated twice the
// usual time says nothing about the engine's own speed.
func TestStatedTimeOfWorkIsNotLearnedAsSpeed(t *testing.T) {
	r := NewRegistry()
	announce(r, "e1", HeldModel{Name: "m"})
	for range 40 {
		_, call := r.Reserve(demandFor("m"), noDistance, now)
		stateLoad(r, "e1", 1, 200, false, now)
		call.FirstToken(260*time.Millisecond, now)
		call.End(Succeeded, now)
	}
	if got := r.ServiceSpeed("llm", now).PrefillPerMs; got < 17 || got > 23 {
		t.Fatalf("%.1f tokens per millisecond without the load of the machine, want 20", got)
	}
}

// Guards against calls to engines that reject them because they are full: 5,773 of 37,484 arrivals were rejected. Other
// instances have filled e1 since their last messages.
func TestFullEngineGetsNoCalls(t *testing.T) {
	r := NewRegistry()
	announce(r, "e1", HeldModel{Name: "m"})
	announce(r, "e2", HeldModel{Name: "m"})
	stateLoad(r, "e2", 47, 100, false, now)
	stateLoad(r, "e1", 48, 100, true, now)
	for _, want := range []string{"e2", ""} {
		if choice, _ := r.Reserve(demandFor("m"), noDistance, now); choice.ID != want || want == "" && choice.Obstacle != Saturated {
			t.Fatalf("chose %q, obstacle %v, want %q", choice.ID, choice.Obstacle, want)
		}
	}
	// Stated numbers lose their weight against what instances tell each other.
	if choice, _ := r.Reserve(demandFor("m"), noDistance, now.Add(3*time.Second)); choice.Obstacle != None {
		t.Fatalf("obstacle is %v", choice.Obstacle)
	}
}

// Guards against a changed choice in deployments whose endpoints state three numbers only.
func TestLoadWithoutTimeOfWorkChangesNothing(t *testing.T) {
	r := NewRegistry()
	announce(r, "e1", HeldModel{Name: "m"})
	stateLoad(r, "e1", 48, 0, true, now)
	if choice, call := r.Reserve(demandFor("m"), noDistance, now); call == nil || r.endpoints["e1"].load != nil {
		t.Fatalf("choice is %+v", choice)
	}
	if told := r.LoadsSince(now.Add(-time.Second), now); len(told) != 0 {
		t.Fatalf("told %+v", told)
	}
}

// Guards against instances that each know an engine only by the few responses that they got from it themselves.
func TestStatedLoadsAreTold(t *testing.T) {
	from, to := NewRegistry(), NewRegistry()
	for _, r := range []*Registry{from, to} {
		announce(r, "e1", HeldModel{Name: "m"})
	}
	stateLoad(from, "e1", 12, 400, false, now)
	at := now.Add(200 * time.Millisecond)
	told := from.LoadsSince(now.Add(-time.Second), at)
	want := LoadSample{Endpoint: EndpointKeyOf("e1"), Age: 200 * time.Millisecond, Calls: 12, WorkPercent: 400}
	if len(told) != 1 || told[0] != want || len(from.LoadsSince(now, at)) != 0 {
		t.Fatalf("told %+v", told)
	}
	to.AddRemoteLoads(append(told, LoadSample{Endpoint: 1, WorkPercent: 100}), at)
	here, there := from.endpoints["e1"].load, to.endpoints["e1"].load
	if here.workFactor(at) != there.workFactor(at) || there.workFactor(at) < 3.5 {
		t.Fatalf("factor %.2f, there %.2f", here.workFactor(at), there.workFactor(at))
	}
	if got := to.LoadsSince(now.Add(-time.Second), at); len(got) != 0 {
		t.Fatalf("passed on %+v", got)
	}
}
