package quarantine

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// prompt returns a prompt of the shared parts and a last part that only this request has.
func prompt(request uint64, shared ...uint64) []fleet.PromptPart {
	var parts []fleet.PromptPart
	for _, id := range append(slices.Clone(shared), 1_000_000+request) {
		parts = append(parts, fleet.PromptPart{ID: id, Tokens: 100})
	}
	return parts
}

func run(endpoint int) Endpoint { return Endpoint{ID: fmt.Sprintf("e%d", endpoint), Lifetime: 1} }

func withheld(t *Tracker, now time.Time, shared ...uint64) bool {
	_, _, found := t.Quarantined(prompt(99, shared...), now)
	return found
}

const (
	deadly = 0xdead
	common = 0xc0
	rare   = 0x7a
)

var start = time.Unix(1000, 0)

// Guards against a part that crashes one endpoint after the other, and against a verdict on the parts beside it.
func TestPartThatCrashesEndpointsIsWithheld(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordSuccess(prompt(1, common, rare), start)
	for endpoint := range minCrashes {
		if withheld(tracker, start, common, deadly) {
			t.Fatalf("withheld after %d crashes", endpoint)
		}
		tracker.RecordCrash(prompt(uint64(2+endpoint), common, deadly), run(endpoint), start)
	}
	if !withheld(tracker, start, common, deadly) || !withheld(tracker, start, rare, deadly) {
		t.Fatal("requests with the part are not withheld")
	}
	if withheld(tracker, start, common, rare) || withheld(tracker, start, common) {
		t.Fatal("requests without the part are withheld")
	}
}

// Guards against withholding the requests of a caller whose first part no answer has cleared yet, because all requests
// that crashed endpoints have it too.
func TestSoundRequestsWithAnUnprovenPartAreServed(t *testing.T) {
	tracker := NewTracker()
	for endpoint := range minCrashes {
		tracker.RecordCrash(prompt(uint64(endpoint), common, deadly), run(endpoint), start)
	}
	if !withheld(tracker, start, common, deadly) || withheld(tracker, start, common, rare) {
		t.Fatal("not exactly the requests with both parts are withheld")
	}
	if withheld(tracker, start, 0x33, deadly) {
		t.Fatal("a request with one of two parts that may be the cause is withheld")
	}
	tracker.RecordCrash(prompt(9, 0x33, deadly), run(9), start)
	if !withheld(tracker, start, 0x44, deadly) || withheld(tracker, start, common, rare) {
		t.Fatal("a crash without the other part does not settle which one is the cause")
	}
}

// Guards against a verdict on a sound part whose requests are at the endpoints that the guilty part crashes, both before the
// verdict on that part and while requests are still under way that were sent before it.
func TestCrashesOfAPartInQuarantineDoNotCountAgainstOthers(t *testing.T) {
	for name, bystanderFirst := range map[string]bool{"bystander reported last": false, "bystander reported first": true} {
		tracker := NewTracker()
		request := uint64(0)
		crash := func(endpoint int, parts ...uint64) {
			request++
			tracker.RecordCrash(prompt(request, parts...), run(endpoint), start)
		}
		for endpoint := range 6 {
			struck := endpoint >= 2
			if struck && bystanderFirst {
				crash(endpoint, rare)
			}
			crash(endpoint, deadly)
			if struck && !bystanderFirst {
				crash(endpoint, rare)
			}
		}
		if !withheld(tracker, start, deadly) {
			t.Fatalf("%s: the guilty part is not withheld", name)
		}
		if withheld(tracker, start, rare) {
			t.Fatalf("%s: the sound part is withheld", name)
		}
		for endpoint := range minCrashes {
			crash(100+endpoint, rare)
		}
		if !withheld(tracker, start, rare) {
			t.Fatalf("%s: a part that crashes endpoints by itself is not withheld", name)
		}
	}
}

// Guards against taking for the cause what is not: the last part of a prompt, one endpoint that several requests report,
// one request that is repeated, and parts of answers that end well.
func TestBystandersAreNotWithheld(t *testing.T) {
	for name, play := range map[string]func(*Tracker){
		"no shared part": func(tracker *Tracker) {
			for endpoint := range 5 {
				tracker.RecordCrash(prompt(1), run(endpoint), start)
			}
		},
		"one endpoint": func(tracker *Tracker) {
			for request := range 5 {
				tracker.RecordCrash(prompt(uint64(request), common), run(1), start)
			}
		},
		"one request": func(tracker *Tracker) {
			for endpoint := range 5 {
				tracker.RecordCrash(prompt(1, common), run(endpoint), start)
			}
		},
		"an answer before": func(tracker *Tracker) {
			tracker.RecordSuccess(prompt(9, common), start.Add(-clearedFor+time.Second))
			for endpoint := range 5 {
				tracker.RecordCrash(prompt(uint64(endpoint), common), run(endpoint), start)
			}
		},
		"an answer after": func(tracker *Tracker) {
			for endpoint := range 5 {
				tracker.RecordCrash(prompt(uint64(endpoint), common), run(endpoint), start)
			}
			if released := tracker.RecordSuccess(prompt(9, common), start); !slices.Contains(released, uint64(common)) {
				t.Errorf("released are %v", released)
			}
		},
		"crashes long ago": func(tracker *Tracker) {
			for endpoint := range 2 {
				tracker.RecordCrash(prompt(uint64(endpoint), common), run(endpoint), start.Add(-evidenceMaxAge))
			}
			tracker.RecordCrash(prompt(7, common), run(7), start)
		},
	} {
		tracker := NewTracker()
		if play(tracker); withheld(tracker, start, common) {
			t.Errorf("%s: the part is withheld", name)
		}
	}
}

// Guards against a verdict without an end, and against one that a further crash cannot renew.
func TestQuarantineEnds(t *testing.T) {
	tracker := NewTracker()
	crashThrice := func(now time.Time) {
		for endpoint := range minCrashes {
			tracker.RecordCrash(prompt(uint64(endpoint), deadly), run(endpoint), now)
		}
	}
	crashThrice(start)
	end := start.Add(Duration)
	if !withheld(tracker, end.Add(-1), deadly) || withheld(tracker, end, deadly) {
		t.Fatal("the quarantine must last for its duration")
	}
	tracker.Report(end)
	crashThrice(end)
	if !withheld(tracker, end, deadly) {
		t.Fatal("the part is not withheld again")
	}
}

// Guards against repeating a request on a second endpoint although endpoints crashed under its part before.
func TestSuspectedRequestIsNotRepeated(t *testing.T) {
	tracker := NewTracker()
	for endpoint := range minCrashesToSuspect {
		if tracker.Suspected(prompt(9, common, deadly)) {
			t.Fatalf("suspected after %d crashes", endpoint)
		}
		tracker.RecordCrash(prompt(1, common, deadly), run(endpoint), start)
	}
	if !tracker.Suspected(prompt(9, common, deadly)) || tracker.Suspected(prompt(9, common, rare)) {
		t.Fatal("not exactly the requests with the parts under which endpoints crashed are suspected")
	}
}

// Guards against counting crashes that different instances saw apart, or one that several report twice, and against an
// instance that keeps a verdict which others can refute.
func TestInstancesCountTogether(t *testing.T) {
	trackers := []*Tracker{NewTracker(), NewTracker(), NewTracker(), NewTracker()}
	exchange := func(now time.Time) {
		for _, from := range trackers {
			report := from.Report(now)
			for _, to := range trackers {
				if to != from {
					to.Merge(&report, now)
					to.Merge(&report, now)
				}
			}
		}
	}
	for i := range 2 {
		trackers[i].RecordCrash(prompt(uint64(i), deadly), run(i), start)
		exchange(start)
	}
	for i, tracker := range trackers {
		if withheld(tracker, start, deadly) {
			t.Fatalf("instance %d withholds the part after two crashes", i)
		}
	}
	trackers[2].RecordCrash(prompt(2, deadly), run(2), start)
	exchange(start)
	late := NewTracker()
	trackers = append(trackers, late)
	exchange(start.Add(evidenceMaxAge))
	for i, tracker := range trackers {
		if !withheld(tracker, start.Add(evidenceMaxAge), deadly) {
			t.Errorf("instance %d does not withhold the part", i)
		}
	}
	trackers[3].RecordSuccess(prompt(8, deadly), start.Add(evidenceMaxAge))
	exchange(start.Add(evidenceMaxAge))
	exchange(start.Add(evidenceMaxAge))
	for i, tracker := range trackers {
		if withheld(tracker, start.Add(evidenceMaxAge), deadly) {
			t.Errorf("instance %d withholds the part after an answer with it ended well", i)
		}
	}
}

// manyParts returns 1000 parts that no other request has.
func manyParts(request int) []uint64 {
	var parts []uint64
	for part := range 1000 {
		parts = append(parts, 1<<47+uint64(1000*request+part))
	}
	return parts
}

// Guards against memory and messages that grow with what callers send, and against a guilty part that is dropped for
// others.
func TestHostilePromptsAreBounded(t *testing.T) {
	tracker := NewTracker()
	for endpoint := range minCrashes {
		tracker.RecordCrash(prompt(uint64(endpoint), deadly), run(endpoint), start)
	}
	for request := range 100 {
		tracker.RecordCrash(prompt(uint64(request), manyParts(request)...), run(100+request), start)
	}
	report := tracker.Report(start)
	encoded, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	const maxBytes = 12 << 10
	if len(tracker.suspects) > maxSuspects || len(encoded) > maxBytes || len(report.Crashes) == 0 {
		t.Fatalf("%d suspects, a report of %d bytes with %d crashes", len(tracker.suspects), len(encoded), len(report.Crashes))
	}
	if !withheld(tracker, start, deadly) {
		t.Fatal("the guilty part is dropped")
	}
}

// Guards against a guilty part that hides behind so many others that it is not tracked itself.
func TestPromptsWithTooManyPartsAreWithheldTogether(t *testing.T) {
	tracker := NewTracker()
	for request := range minCrashes {
		tracker.RecordCrash(prompt(uint64(request), append(manyParts(request), deadly)...), run(request), start)
	}
	if !withheld(tracker, start, manyParts(77)...) || withheld(tracker, start, manyParts(77)[:maxPartsPerRequest]...) {
		t.Fatal("not exactly the prompts with too many parts are withheld")
	}
	tracker.RecordSuccess(prompt(9, manyParts(78)...), start)
	if withheld(tracker, start, manyParts(77)...) {
		t.Fatal("prompts with many parts are withheld although an answer to one ended well")
	}
}

// Guards against withholding sound requests in any order of crashes, answers and reports: only requests with the part under
// which every request crashes its endpoint may be withheld.
func TestOnlyTheGuiltyPartIsWithheldInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trackers := []*Tracker{NewTracker(), NewTracker()}
		now := start
		sound := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 5), 1, 2, rapid.ID)
		for request := range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond)
			tracker := rapid.SampledFrom(trackers).Draw(t, "instance")
			shared := sound.Draw(t, "parts")
			switch {
			case rapid.Float64Range(0, 1).Draw(t, "kind") < 0.2:
				if deadlyParts := append(slices.Clone(shared), deadly); !withheld(tracker, now, deadlyParts...) {
					tracker.RecordCrash(prompt(uint64(request), deadlyParts...), run(request), now)
				}
			default:
				if withheld(tracker, now, shared...) {
					t.Fatalf("request with the parts %v is withheld", shared)
				}
				tracker.RecordSuccess(prompt(uint64(request), shared...), now)
			}
			if rapid.Bool().Draw(t, "exchanged") {
				report := tracker.Report(now)
				trackers[0].Merge(&report, now)
				trackers[1].Merge(&report, now)
			}
		}
	})
}

// Guards against a quarantine that instances pass on among each other for good: a report takes time to arrive, and the time
// left in it would count anew from there.
func TestQuarantineEndsAmongManyInstances(t *testing.T) {
	const transit = 40 * time.Millisecond
	trackers := []*Tracker{NewTracker(), NewTracker(), NewTracker()}
	for endpoint := range minCrashes {
		trackers[0].RecordCrash(prompt(uint64(endpoint), deadly), run(endpoint), start)
	}
	for now := start; now.Before(start.Add(Duration + time.Minute)); now = now.Add(transit / 4) {
		for i, from := range trackers {
			report := from.Report(now)
			trackers[(i+1)%len(trackers)].Merge(&report, now.Add(transit))
		}
	}
	for i, tracker := range trackers {
		if withheld(tracker, start.Add(Duration+time.Minute), deadly) {
			t.Errorf("instance %d withholds the part a minute after the end of the quarantine", i)
		}
	}
}

// Guards against a report that leaves out that a prompt had too many parts, so that crashes under such prompts do not count
// together.
func TestTooManyPartsAreReported(t *testing.T) {
	trackers := []*Tracker{NewTracker(), NewTracker()}
	for request := range minCrashes {
		from, to := trackers[request%2], trackers[1-request%2]
		from.RecordCrash(prompt(uint64(request), manyParts(request)...), run(request), start)
		report := from.Report(start)
		to.Merge(&report, start)
	}
	for i, tracker := range trackers {
		if !withheld(tracker, start, manyParts(77)...) {
			t.Errorf("instance %d does not withhold prompts with too many parts", i)
		}
	}
}
