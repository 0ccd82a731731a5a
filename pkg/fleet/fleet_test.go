package fleet

import (
	"testing"
	"time"
)

var now = time.Unix(1000, 0)

func noDistance(string) Distance { return Distance{} }

func announce(r *Registry, id string, models ...HeldModel) {
	r.Announce(Announcement{ID: id, Service: "llm", Address: id + ":1", DataCentre: "z1", Lifetime: 1, Slots: 64, Models: models}, now)
}

func demandFor(model string) *Demand {
	return &Demand{
		Service: "llm", Model: model, PromptTokens: 2000, OutputTokens: 20, TargetLatency: 850 * time.Millisecond, MaxPrefillShare: 0.95,
	}
}

// Sends a simultaneous burst of 40 prompts of 2,000 tokens to two endpoints that read 20 tokens a millisecond. Guards
// against queues in which every first token is late: each endpoint can read seven such prompts within the target time.
func TestBurstIsAdmittedOnlyWithinTheTargetTime(t *testing.T) {
	r := NewRegistry()
	announce(r, "e1", HeldModel{Name: "m"})
	announce(r, "e2", HeldModel{Name: "m"})
	admitted := 0
	for range 40 {
		choice, call := r.Reserve(demandFor("m"), noDistance, now)
		if call == nil {
			if choice.Obstacle != Saturated {
				t.Fatalf("obstacle is %v", choice.Obstacle)
			}
			continue
		}
		admitted++
		if choice.FirstToken > 850*time.Millisecond {
			t.Fatalf("first token expected after %v", choice.FirstToken)
		}
	}
	if admitted < 12 || admitted > 18 {
		t.Fatalf("%d requests admitted", admitted)
	}
}

// Guards against late requests that delay requests which can be in time: engines read the prompts of late requests
// after all others.
func TestLateRequestsDoNotDelayOthers(t *testing.T) {
	r := NewRegistry()
	announce(r, "e1", HeldModel{Name: "m"})
	late := demandFor("m")
	late.Late, late.TargetLatency, late.MaxPrefillShare = true, 3*time.Second, 1
	for range 6 {
		if _, call := r.Reserve(late, noDistance, now); call == nil {
			t.Fatal("late request refused by an idle endpoint")
		}
	}
	choice, call := r.Reserve(demandFor("m"), noDistance, now)
	if call == nil || choice.FirstToken > 200*time.Millisecond {
		t.Fatalf("choice is %+v", choice)
	}
}

// Guards against refusing large requests more often than small ones while an endpoint has capacity.
func TestLargeRequestIsTreatedLikeASmallOne(t *testing.T) {
	r := NewRegistry()
	announce(r, "e1", HeldModel{Name: "m"})
	if _, call := r.Reserve(demandFor("m"), noDistance, now); call == nil {
		t.Fatal("first request refused")
	}
	large := demandFor("m")
	large.PromptTokens = 12_000
	if _, call := r.Reserve(large, noDistance, now); call == nil {
		t.Fatal("large request refused")
	}
}

// Guards against sending requests to an endpoint that does not hold the model or adapter, was already tried, or is
// leaving.
func TestObstacles(t *testing.T) {
	r := NewRegistry()
	announce(r, "e1", HeldModel{Name: "m", Adapters: []string{"a1"}})
	for name, c := range map[string]struct {
		change func(d *Demand)
		want   Obstacle
	}{
		"held":            {func(*Demand) {}, None},
		"adapter held":    {func(d *Demand) { d.Adapter = "a1" }, None},
		"adapter missing": {func(d *Demand) { d.Adapter = "a2" }, AdapterNotHeld},
		"model missing":   {func(d *Demand) { d.Model = "n" }, NotHeld},
		"other service":   {func(d *Demand) { d.Service = "x" }, NoEndpoint},
		"already tried":   {func(d *Demand) { d.Exclude = []string{"e1"} }, NoEndpoint},
	} {
		d := demandFor("m")
		c.change(d)
		if choice, _ := r.Reserve(d, noDistance, now); choice.Obstacle != c.want {
			t.Errorf("%s: obstacle is %v, want %v", name, choice.Obstacle, c.want)
		}
	}
	r.Announce(Announcement{ID: "e1", Service: "llm", Address: "e1:1", Lifetime: 1, Leaving: true}, now)
	if choice, _ := r.Reserve(demandFor("m"), noDistance, now); choice.Obstacle != NoEndpoint {
		t.Errorf("leaving: obstacle is %v", choice.Obstacle)
	}
}

// Guards against using the billed link between regions while an endpoint in the instance's region answers in time, and
// against staying in that region when its endpoints answer too late.
func TestFarEndpointsAreUsedOnlyWhenNearOnesAreBusy(t *testing.T) {
	distance := func(dataCentre string) Distance {
		if dataCentre == "far" {
			return Distance{Latency: 40 * time.Millisecond, Penalty: 0.25}
		}
		return Distance{}
	}
	r := NewRegistry()
	announce(r, "near", HeldModel{Name: "m"})
	r.Announce(Announcement{ID: "far", Service: "llm", Address: "f:1", DataCentre: "far", Lifetime: 1, Slots: 64, Models: []HeldModel{{Name: "m"}}}, now)
	var order []string
	for range 6 {
		choice, _ := r.Reserve(demandFor("m"), distance, now)
		order = append(order, choice.ID)
	}
	if order[0] != "near" || order[1] != "near" || order[5] != "far" {
		t.Fatalf("choices are %v", order)
	}
}

// Guards against sending calls to an endpoint that fails while others work, and against using none when all have
// failed.
func TestFailingEndpointsAreAvoided(t *testing.T) {
	r := NewRegistry()
	announce(r, "bad", HeldModel{Name: "m"})
	for range failuresToEject {
		_, call := r.Reserve(demandFor("m"), noDistance, now)
		call.End(Failed, now)
	}
	announce(r, "good", HeldModel{Name: "m"})
	for range 3 {
		choice, call := r.Reserve(demandFor("m"), noDistance, now)
		if choice.ID != "good" {
			t.Fatalf("chose %q", choice.ID)
		}
		call.End(Succeeded, now)
	}
	r.Withdraw("good", now, now)
	if choice, _ := r.Reserve(demandFor("m"), noDistance, now); choice.ID != "bad" {
		t.Fatalf("chose %q", choice.ID)
	}
}

// Guards against dropping endpoints whose entries expired during an outage of the store, and against keeping those that
// do not reappear.
func TestWithdrawnEndpointsReappearWithinTheGrace(t *testing.T) {
	r := NewRegistry()
	announce(r, "lives", HeldModel{Name: "m"})
	announce(r, "dead", HeldModel{Name: "m"})
	r.Withdraw("lives", now.Add(ReappearGrace), now)
	r.Withdraw("dead", now.Add(ReappearGrace), now)
	if r.Usable() != 2 {
		t.Fatal("endpoints are dropped immediately")
	}
	announce(r, "lives", HeldModel{Name: "m"})
	if expired := r.Expire(now.Add(ReappearGrace)); len(expired) != 1 || expired[0] != "dead" {
		t.Fatalf("expired are %v", expired)
	}
}

// Guards against choosing an endpoint whose grace has ended before the next watch of the store drops it.
func TestEndpointIsNotChosenAfterItsGrace(t *testing.T) {
	r := NewRegistry()
	announce(r, "gone", HeldModel{Name: "m"})
	r.Withdraw("gone", now.Add(ReappearGrace), now)
	for _, c := range []struct {
		at   time.Time
		want string
	}{{now.Add(ReappearGrace - 1), "gone"}, {now.Add(ReappearGrace), ""}} {
		if choice, _ := r.Reserve(demandFor("m"), noDistance, c.at); choice.ID != c.want {
			t.Fatalf("chose %q %v after the removal, want %q", choice.ID, c.at.Sub(now), c.want)
		}
	}
}

// Guards against a restarted endpoint that keeps the calls, failures and models of its previous lifetime.
func TestRestartUnderTheSameID(t *testing.T) {
	r := NewRegistry()
	announce(r, "e1", HeldModel{Name: "m"})
	_, old := r.Reserve(demandFor("m"), noDistance, now)
	change := r.Announce(Announcement{ID: "e1", Service: "llm", Address: "e1:1", Lifetime: 2, Slots: 64}, now)
	if change != Restarted {
		t.Fatalf("change is %v", change)
	}
	if work := r.OwnWork(now)["e1"]; work.Calls() != 0 {
		t.Fatalf("work is %+v", work)
	}
	old.End(Failed, now)
	if work := r.OwnWork(now)["e1"]; work.Calls() != 0 {
		t.Fatalf("the previous lifetime's call changed the work to %+v", work)
	}
}

// Guards against an announcement written before an order that undoes the recorded effect of the order.
func TestOlderAnnouncementDoesNotUndoAnOrder(t *testing.T) {
	r := NewRegistry()
	announce(r, "e1", HeldModel{Name: "m"})
	r.SetAdapter("e1", 1, "m", "a1", true, now)
	announce(r, "e1", HeldModel{Name: "m"})
	d := demandFor("m")
	d.Adapter = "a1"
	if choice, _ := r.Reserve(d, noDistance, now); choice.Obstacle != None {
		t.Fatalf("obstacle is %v", choice.Obstacle)
	}
	r.Announce(Announcement{ID: "e1", Service: "llm", Address: "e1:1", Lifetime: 1, Slots: 64, Models: []HeldModel{{Name: "m"}}}, now.Add(announcementLag))
	if choice, _ := r.Reserve(d, noDistance, now); choice.Obstacle != AdapterNotHeld {
		t.Fatalf("obstacle is %v", choice.Obstacle)
	}
}

// Guards against counting the calls of a stopped instance indefinitely.
func TestRemoteWorkExpires(t *testing.T) {
	r := NewRegistry()
	announce(r, "e1", HeldModel{Name: "m"})
	r.SetRemoteWork("other", map[EndpointKey]Work{
		EndpointKeyOf("e1"): {Waiting: 30, PrefillTokens: 60_000, UrgentTokens: 60_000},
	}, now)
	if choice, _ := r.Reserve(demandFor("m"), noDistance, now); choice.Obstacle != Saturated {
		t.Fatalf("obstacle is %v", choice.Obstacle)
	}
	if choice, _ := r.Reserve(demandFor("m"), noDistance, now.Add(maxRemoteWorkAge)); choice.Obstacle != None {
		t.Fatalf("obstacle is %v", choice.Obstacle)
	}
}

// Guards against sending a prompt to another endpoint than the one that has its parts cached. Only leading parts count.
func TestEndpointWithKeptPromptPartsIsPreferred(t *testing.T) {
	r := NewRegistry()
	announce(r, "e1", HeldModel{Name: "m"})
	announce(r, "e2", HeldModel{Name: "m"})
	d := demandFor("m")
	d.Parts = []PromptPart{{ID: 1, Tokens: 600}, {ID: 2, Tokens: 400}}
	first, call := r.Reserve(d, noDistance, now)
	call.End(Succeeded, now)
	for range 3 {
		again, call := r.Reserve(d, noDistance, now)
		if again.ID != first.ID || again.KeptTokens != 1000 {
			t.Fatalf("choice is %+v", again)
		}
		call.End(Succeeded, now)
	}
	d.Parts = []PromptPart{{ID: 9, Tokens: 600}, {ID: 2, Tokens: 400}}
	if other, _ := r.Reserve(d, noDistance, now); other.KeptTokens != 0 {
		t.Fatalf("%d tokens count as kept", other.KeptTokens)
	}
}

// Guards against keeping an endpoint with grace that had said that it leaves, and that no longer takes calls: while a relay
// keeps any endpoint, its data centre cannot rely on it.
func TestLeavingEndpointIsWithdrawnWithoutGrace(t *testing.T) {
	r := NewRegistry()
	r.Announce(Announcement{ID: "leaves", Service: "s", Address: "a:1", Leaving: true}, now)
	if known, kept := r.Withdraw("leaves", now.Add(ReappearGrace), now); !known || kept || len(r.IDs()) != 0 {
		t.Fatalf("known %v, kept %v: %v", known, kept, r.IDs())
	}
}
