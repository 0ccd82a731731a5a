package fleet

import (
	"testing"
	"time"
)

func reserve(r *Registry, at time.Time, exclude ...string) (Choice, *Call) {
	d := demandFor("m")
	d.Exclude = exclude
	return r.Reserve(d, noDistance, at)
}

// Guards against calls to a busy endpoint, and against many calls at once as soon as its time has passed.
func TestBusyEndpointGetsOneProbeAtTheEnd(t *testing.T) {
	r := NewRegistry()
	announce(r, "e1", HeldModel{Name: "m"})
	r.StatedBusy("e1", 1, 2*time.Second, now)
	// Only a longer time replaces the first one.
	r.StatedBusy("e1", 1, time.Second, now)
	for _, after := range []time.Duration{0, time.Second, 1999 * time.Millisecond} {
		if choice, call := reserve(r, now.Add(after)); call != nil || choice.Obstacle != Busy || choice.CallsAllowedIn != 2*time.Second-after {
			t.Fatalf("after %v: %+v", after, choice)
		}
	}
	end := now.Add(2 * time.Second)
	_, probe := reserve(r, end)
	if probe == nil {
		t.Fatal("no probe")
	}
	if choice, call := reserve(r, end); call != nil || !choice.AwaitsProbe {
		t.Fatalf("second call during the probe: %+v", choice)
	}
	probe.Started(end)
	if _, call := reserve(r, end); call == nil {
		t.Fatal("no call after the probe was answered")
	}
	probe.End(Succeeded, end)
}

// Guards against an endpoint that stays out of use because its probe gets no answer, and against a probe that ends the
// time which the endpoint has named in response to it.
func TestProbeWithoutSuccess(t *testing.T) {
	r := NewRegistry()
	announce(r, "e1", HeldModel{Name: "m"})
	r.StatedBusy("e1", 1, time.Second, now)
	end := now.Add(time.Second)
	_, first := reserve(r, end)
	if _, call := reserve(r, end.Add(maxProbeTime)); call == nil {
		t.Fatal("no call after a probe without an answer")
	}
	r.StatedBusy("e1", 1, 5*time.Second, end.Add(maxProbeTime))
	first.End(Neutral, end.Add(maxProbeTime))
	if choice, call := reserve(r, end.Add(maxProbeTime)); call != nil || choice.CallsAllowedIn != 5*time.Second {
		t.Fatalf("choice is %+v", choice)
	}
}

// Guards against telling a client to come back before any endpoint that could serve it wants calls, and against waiting
// for a busy endpoint while another one is idle.
func TestLeastTimeOfBusyEndpointsCounts(t *testing.T) {
	r := NewRegistry()
	announce(r, "e1", HeldModel{Name: "m"})
	announce(r, "e2", HeldModel{Name: "m"})
	announce(r, "other", HeldModel{Name: "n"})
	r.StatedBusy("e1", 1, 9*time.Second, now)
	if choice, _ := reserve(r, now); choice.ID != "e2" {
		t.Fatalf("choice is %+v", choice)
	}
	r.StatedBusy("e2", 1, 4*time.Second, now)
	r.StatedBusy("other", 1, time.Second, now)
	for _, exclude := range [][]string{nil, {"e2"}, {"e1", "e2"}} {
		if choice, _ := reserve(r, now, exclude...); choice.Obstacle != Busy || choice.CallsAllowedIn != 4*time.Second {
			t.Fatalf("without %v: %+v", exclude, choice)
		}
	}
}

// Guards against an outdated list of the store, or one of another instance, that brings an endpoint back into use which
// has said that it leaves.
func TestLeavingOutlastsAnnouncements(t *testing.T) {
	r := NewRegistry()
	announce(r, "e1", HeldModel{Name: "m"})
	if !r.StatedLeaving("e1", 1, now) || r.StatedLeaving("e1", 1, now) {
		t.Fatal("only the first statement is new")
	}
	announce(r, "e1", HeldModel{Name: "m"})
	if choice, _ := reserve(r, now); choice.Obstacle != NoEndpoint {
		t.Fatalf("announced again: %+v", choice)
	}
	// Others would take it for what the store says, and no longer tell it themselves.
	if r.Announcements("")[0].Leaving {
		t.Fatal("passed on as part of the store's entry")
	}
	r.Withdraw("e1", time.Time{}, now)
	announce(r, "e1", HeldModel{Name: "m"})
	if choice, _ := reserve(r, now); choice.Obstacle != NoEndpoint {
		t.Fatalf("listed again: %+v", choice)
	}
	r.Announce(Announcement{ID: "e1", Service: "llm", Address: "e1:1", Lifetime: 2, Slots: 64, Models: []HeldModel{{Name: "m"}}}, now)
	if choice, _ := reserve(r, now); choice.Obstacle != None {
		t.Fatalf("restarted: %+v", choice)
	}
}

// Guards against instances that keep telling each other what none of them has heard from the endpoint, and against a
// statement of a former process that strikes the present one.
func TestOnlyWhatWasHeardHereIsTold(t *testing.T) {
	r := NewRegistry()
	announce(r, "e1", HeldModel{Name: "m"})
	announce(r, "e2", HeldModel{Name: "m"})
	r.StatedLeaving("e1", 1, now)
	told := r.LeavingRuns(now.Add(3 * time.Second))
	if len(told) != 1 || told[0] != (LeavingRun{ID: "e1", Lifetime: 1, Age: 3 * time.Second}) {
		t.Fatalf("told %+v", told)
	}
	other := NewRegistry()
	announce(other, "e1", HeldModel{Name: "m"})
	if added := other.SetRemoteLeaving([]LeavingRun{{ID: "e1", Lifetime: 0}, {ID: "unknown", Lifetime: 1}}, now); len(added) != 0 {
		t.Fatalf("added %+v", added)
	}
	if added := other.SetRemoteLeaving(told, now); len(added) != 1 || len(other.SetRemoteLeaving(told, now)) != 0 {
		t.Fatal("the first message alone adds the endpoint")
	}
	if choice, _ := reserve(other, now); choice.Obstacle != NoEndpoint || len(other.LeavingRuns(now)) != 0 {
		t.Fatalf("choice is %+v", choice)
	}
}

// Guards against memory that grows with every endpoint that has ever left.
func TestStatementsOfFormerEndpointsAreDropped(t *testing.T) {
	r := NewRegistry()
	for lifetime := range int64(100) {
		r.StatedLeaving("gone", lifetime, now)
	}
	r.StatedLeaving("next", 1, now.Add(statementRetention))
	if len(r.stated) != 1 {
		t.Fatalf("%d records", len(r.stated))
	}
}

// Guards against calls to an endpoint that left without saying so, because an older copy of the store lists it again.
func TestEndpointRemovedWithoutNoticeIsNotUsedRightAfterARestore(t *testing.T) {
	r := NewRegistry()
	announce(r, "gone", HeldModel{Name: "m"})
	announce(r, "back", HeldModel{Name: "m"})
	r.Withdraw("gone", time.Time{}, now)
	r.Withdraw("back", time.Time{}, now)
	announce(r, "back", HeldModel{Name: "m"})
	restored := now.Add(time.Minute)
	r.KeepLeaving(restored)
	announce(r, "gone", HeldModel{Name: "m"})
	if choice, _ := reserve(r, restored.Add(restoreSettleTime-1), "back"); choice.ID != "" {
		t.Fatalf("%s is used although its entry had been removed", choice.ID)
	}
	if choice, _ := reserve(r, restored, "gone"); choice.ID != "back" {
		t.Fatalf("%q is used instead of an endpoint whose entry had come back", choice.ID)
	}
	if choice, _ := reserve(r, restored.Add(restoreSettleTime), "back"); choice.ID != "gone" {
		t.Fatalf("%q is used instead of an endpoint that is still listed long after the restore", choice.ID)
	}
}
