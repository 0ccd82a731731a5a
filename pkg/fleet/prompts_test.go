package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// promptDemand is a request of a session that begins with one of a number of shared parts.
func promptDemand(shared, session uint64, random *rand.Rand) *Demand {
	d := demandFor("m")
	d.PromptTokens = 2000
	d.Parts = []PromptPart{{ID: shared, Tokens: 1400}, {ID: session, Tokens: 600}}
	d.Spread, d.Random = 300*time.Millisecond, random.Float64
	return d
}

// Sends prompts with 40 shared parts through 30 instances to 12 endpoints with the model, first before the instances hear of
// each other, then after. Guards against each instance reading a shared part at another endpoint because it knows only what
// it has sent itself.
func TestInstancesAgreeWhereSharedPartsAreKept(t *testing.T) {
	const instances, endpoints, sharedParts = 30, 12, 40
	random := rand.New(rand.NewPCG(1, 2))
	registries := make([]*Registry, instances)
	for i := range registries {
		registries[i] = NewRegistry()
		for e := range endpoints {
			announce(registries[i], fmt.Sprintf("e%02d", e), HeldModel{Name: "m"})
		}
	}
	session := uint64(1000)
	// play sends one prompt with each shared part through each instance and returns the endpoints that read each part.
	play := func() map[uint64]map[string]bool {
		readAt := make(map[uint64]map[string]bool)
		for part := range uint64(sharedParts) {
			readAt[part] = make(map[string]bool)
			for _, r := range registries {
				session++
				choice, call := r.Reserve(promptDemand(part, session, random), noDistance, now)
				if call == nil {
					t.Fatalf("refused: %v", choice.Obstacle)
				}
				readAt[part][choice.ID] = true
				call.End(Succeeded, now)
			}
		}
		return readAt
	}
	for _, phase := range []string{"unknown", "told"} {
		readers, used := 0, make(map[string]bool)
		for _, at := range play() {
			readers += len(at)
			for id := range at {
				used[id] = true
			}
		}
		if mean := float64(readers) / sharedParts; mean > 2 {
			t.Errorf("%s: a shared part is read at %.1f endpoints", phase, mean)
		}
		if len(used) < endpoints*3/4 {
			t.Errorf("%s: only %d endpoints are used", phase, len(used))
		}
		for _, from := range registries {
			for _, to := range registries {
				to.RecordRemoteParts(from.SentPartsSince(now.Add(-time.Second)))
			}
		}
	}
}

// Guards against telling parts that no other request has, parts that were told before, and the same part twice.
func TestSentPartsAreToldOnce(t *testing.T) {
	r := NewRegistry()
	announce(r, "e1", HeldModel{Name: "m"})
	for session := range uint64(3) {
		if _, call := r.Reserve(promptDemand(7, 100+session, rand.New(rand.NewPCG(1, 2))), noDistance, now); call == nil {
			t.Fatal("refused")
		}
	}
	told := r.SentPartsSince(now.Add(-time.Second))
	if len(told) != 1 || told[0] != (SentPart{EndpointKeyOf("e1"), partKeyOf("m", "", 7)}) {
		t.Fatalf("told %+v", told)
	}
	if again := r.SentPartsSince(now); len(again) != 0 {
		t.Fatalf("told again %+v", again)
	}
}

// Guards against an endpoint's former process, which kept the parts, being taken for the present one.
func TestRestartForgetsKeptParts(t *testing.T) {
	r := NewRegistry()
	announce(r, "e1", HeldModel{Name: "m"})
	r.RecordRemoteParts([]SentPart{{EndpointKeyOf("e1"), partKeyOf("m", "", 7)}, {EndpointKeyOf("unknown"), 1}})
	d := promptDemand(7, 100, rand.New(rand.NewPCG(1, 2)))
	if choice, _ := r.Reserve(d, noDistance, now); choice.KeptTokens != 1400 {
		t.Fatalf("%d tokens kept", choice.KeptTokens)
	}
	r.Announce(Announcement{ID: "e1", Service: "llm", Address: "e1:1", Lifetime: 2, Slots: 64, Models: []HeldModel{{Name: "m"}}}, now)
	if choice, _ := r.Reserve(d, noDistance, now); choice.KeptTokens != 0 {
		t.Fatalf("%d tokens kept after a restart", choice.KeptTokens)
	}
}
