package fleet

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/limit"
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
	changes := r.TakeLimitChanges()
	if len(changes) != 1 || changes[0].Reason != limit.RejectedWhenFull || changes[0].Before != 0 || changes[0].After != 48 {
		t.Fatalf("reported changes are %+v", changes)
	}
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
	if told := r.LoadsSince(now.Add(-time.Second), now, 8, false); len(told) != 0 {
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
	told := from.LoadsSince(now.Add(-time.Second), at, 8, false)
	want := LoadSample{Endpoint: EndpointKeyOf("e1"), Age: 200 * time.Millisecond, Calls: 12, WorkPercent: 400}
	if len(told) != 1 || told[0] != want || len(from.LoadsSince(now, at, 8, false)) != 0 {
		t.Fatalf("told %+v", told)
	}
	to.AddRemoteLoads(append(told, LoadSample{Endpoint: 1, WorkPercent: 100}), at)
	here, there := from.endpoints["e1"].load, to.endpoints["e1"].load
	if here.workFactor(0, at) != there.workFactor(0, at) || there.workFactor(0, at) < 3.5 {
		t.Fatalf("factor %.2f, there %.2f", here.workFactor(0, at), there.workFactor(0, at))
	}
	if got := to.LoadsSince(now.Add(-time.Second), at, 8, false); len(got) != 0 {
		t.Fatalf("passed on %+v", got)
	}
}

// Guards against a changed choice among plain endpoints in deployments whose endpoints state three numbers or none.
func TestPlainChoiceWithoutTimeOfWorkIsAsBefore(t *testing.T) {
	// The distances differ, so that no two endpoints have the same cost.
	distance := func(dataCentre string) Distance {
		return Distance{Latency: map[string]time.Duration{"e2": 300, "e3": 700}[dataCentre] * time.Microsecond}
	}
	var got [2][]Choice
	for i := range got {
		random := rand.New(rand.NewPCG(1, 2))
		r := NewRegistry()
		for _, id := range []string{"e1", "e2", "e3"} {
			r.Announce(Announcement{ID: id, Service: "plain", Address: id, DataCentre: id, Lifetime: 1, Slots: 2}, now)
			r.SetRemoteWork("other", map[EndpointKey]Work{EndpointKeyOf("e2"): {Running: 1}, EndpointKeyOf("e3"): {Running: 3}}, now)
		}
		for range 8 {
			d := &Demand{Service: "plain", TimeLeft: time.Millisecond}
			if i == 1 {
				d.Random = random.Float64
			}
			choice, call := r.Reserve(d, distance, now)
			if i == 1 {
				r.StatedLoad(choice.ID, 1, StatedLoad{Running: 9, Slots: 2, Rejected: true}, now)
				call.Responded(time.Second, now)
			}
			got[i] = append(got[i], choice)
		}
	}
	if !reflect.DeepEqual(got[0], got[1]) {
		t.Fatalf("chosen %+v\nbefore %+v", got[1], got[0])
	}
	if got[0][0].ID != "e1" || got[0][0].FirstToken != 0 {
		t.Fatalf("first choice is %+v", got[0][0])
	}
}

// Guards against a plain endpoint that is never used again because it was slow, and against a call that is held although no
// endpoint can answer it before its deadline.
func TestSlowPlainEndpointIsTriedAgain(t *testing.T) {
	r := NewRegistry()
	r.Announce(Announcement{ID: "e1", Service: "plain", Address: "e1", Lifetime: 1, Slots: 6}, now)
	d := &Demand{Service: "plain", TimeLeft: 2 * time.Second}
	for i := range 10 {
		at := now.Add(time.Duration(i) * 100 * time.Millisecond)
		_, call := r.Reserve(d, noDistance, at)
		if call == nil {
			break
		}
		r.StatedLoad("e1", 1, StatedLoad{Running: 1, Slots: 6, WorkPercent: 100}, at)
		call.Responded(3*time.Second, at)
		call.End(Succeeded, at)
	}
	at := now.Add(time.Second)
	choice, call := r.Reserve(d, noDistance, at)
	if call != nil || choice.Obstacle != Saturated || choice.SoonestFirstToken < 2*time.Second {
		t.Fatalf("choice is %+v", choice)
	}
	if choice, call = r.Reserve(d, noDistance, at.Add(10*time.Second)); call == nil {
		t.Fatalf("ten seconds later: %+v", choice)
	}
}

// Guards against many instances that all send to an endpoint which has just started, because its time is not yet measured.
func TestNewEndpointIsNotTakenForTheFastest(t *testing.T) {
	r := NewRegistry()
	r.Announce(Announcement{ID: "e1", Service: "plain", Address: "e1", Lifetime: 1, Slots: 6}, now)
	r.StatedLoad("e1", 1, StatedLoad{Slots: 6, WorkPercent: 60}, now)
	r.Announce(Announcement{ID: "e2", Service: "plain", Address: "e2", Lifetime: 1, Slots: 6}, now)
	if choice, _ := r.Reserve(&Demand{Service: "plain"}, noDistance, now); choice.ID != "e1" {
		t.Fatalf("chose %q at %v", choice.ID, choice.FirstToken)
	}
}

// Guards against more calls to an endpoint that has just become slow: a call that is late says so before its response does.
func TestOverdueCallRaisesTheExpectedTime(t *testing.T) {
	r := NewRegistry()
	r.Announce(Announcement{ID: "e1", Service: "plain", Address: "e1", Lifetime: 1, Slots: 6}, now)
	r.StatedLoad("e1", 1, StatedLoad{Slots: 6, WorkPercent: 100}, now)
	_, overdue := r.Reserve(&Demand{Service: "plain"}, noDistance, now)
	at := now.Add(300 * time.Millisecond)
	choice, second := r.Reserve(&Demand{Service: "plain"}, noDistance, at)
	if choice.FirstToken < 300*time.Millisecond {
		t.Fatalf("cost %v", choice.FirstToken)
	}
	second.End(Succeeded, at)
	overdue.End(Succeeded, at)
	if choice, _ = r.Reserve(&Demand{Service: "plain"}, noDistance, at); choice.FirstToken > 50*time.Millisecond {
		t.Fatalf("cost %v after the response", choice.FirstToken)
	}
}

// Guards against rejecting all calls of a service whose endpoints each hold one call without an answer while they answer
// others.
func TestOverdueCallsAloneRejectNone(t *testing.T) {
	r := NewRegistry()
	r.Announce(Announcement{ID: "e1", Service: "plain", Address: "e1", Lifetime: 1, Slots: 6}, now)
	r.StatedLoad("e1", 1, StatedLoad{Slots: 6, WorkPercent: 100}, now)
	d := &Demand{Service: "plain", TimeLeft: 2 * time.Second}
	if _, overdue := r.Reserve(d, noDistance, now); overdue == nil {
		t.Fatal("first call rejected")
	}
	if choice, call := r.Reserve(d, noDistance, now.Add(3*time.Second)); call == nil {
		t.Fatalf("choice is %+v", choice)
	}
}

// Guards against calls to an engine that rejects them although it has slots left, because its memory is in use, and against
// an engine that gets none after it has room again.
func TestRejectionWithSlotsLeftCountsForAMoment(t *testing.T) {
	r := NewRegistry()
	announce(r, "e1", HeldModel{Name: "m"})
	stateLoad(r, "e1", 30, 100, true, now)
	if choice, call := r.Reserve(demandFor("m"), noDistance, now); call != nil || choice.Obstacle != Saturated {
		t.Fatalf("right after the rejection: %+v", choice)
	}
	if choice, call := r.Reserve(demandFor("m"), noDistance, now.Add(rejectionTime)); call == nil {
		t.Fatalf("a moment later: %+v", choice)
	}
	stateLoad(r, "e1", 30, 100, true, now.Add(2*time.Second))
	stateLoad(r, "e1", 20, 100, false, now.Add(2100*time.Millisecond))
	if choice, call := r.Reserve(demandFor("m"), noDistance, now.Add(2100*time.Millisecond)); call == nil {
		t.Fatalf("after calls have ended: %+v", choice)
	}
}

// Guards against late requests that are held to their deadline without an answer: 5,234 requests were. Engines read the
// prompts of late requests after all others, also after those that arrive later.
func TestLateRequestsWaitForPromptsThatArriveLater(t *testing.T) {
	for _, stated := range []bool{false, true} {
		r := NewRegistry()
		announce(r, "e1", HeldModel{Name: "m"})
		if stated {
			stateLoad(r, "e1", 10, 100, false, now)
		}
		r.SetRemoteWork("other", map[EndpointKey]Work{
			EndpointKeyOf("e1"): {Waiting: 5, PrefillTokens: 10_000, UrgentTokens: 8000, PrefillRate: 16_000},
		}, now)
		late := demandFor("m")
		late.Late, late.TargetLatency, late.MaxPrefillShare = true, 1200*time.Millisecond, 0.85
		if choice, call := r.Reserve(late, noDistance, now); (call == nil) != stated {
			t.Errorf("load stated: %v, choice is %+v", stated, choice)
		}
	}
}

// Guards against taking the time of work at one moment for that of a prompt which takes seconds.
func TestFactorOfLongPromptIsItsMean(t *testing.T) {
	r := NewRegistry()
	announce(r, "e1", HeldModel{Name: "m"})
	at := now
	for i := range 100 {
		at = at.Add(100 * time.Millisecond)
		stateLoad(r, "e1", 1, []int{400, 25}[i%2], false, at)
	}
	l := r.endpoints["e1"].load
	if short, long := l.workFactor(time.Millisecond, at), l.workFactor(5*time.Second, at); short > 0.3 || long < 0.75 || long > 1.2 {
		t.Fatalf("factor %.2f for a short prompt, %.2f for a long one", short, long)
	}
}

// Guards against sending the next call to an engine that has just rejected one: the rejected call is not among those that
// the engine states, and its end makes no room there.
func TestRejectedCallMakesNoRoom(t *testing.T) {
	r := NewRegistry()
	announce(r, "e1", HeldModel{Name: "m"})
	stateLoad(r, "e1", 48, 100, false, now)
	_, rejected := r.Reserve(demandFor("m"), noDistance, now)
	stateLoad(r, "e1", 48, 100, true, now)
	rejected.End(Neutral, now)
	if choice, call := r.Reserve(demandFor("m"), noDistance, now); call != nil {
		t.Fatalf("choice is %+v", choice)
	}
}
