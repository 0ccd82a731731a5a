package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// sendPrompt sends one prompt of 3,000 tokens to the endpoint and records its first token, as an engine with the given rate
// would answer it.
func sendPrompt(t *testing.T, r *Registry, id string, rate float64, random *rand.Rand, at time.Time) {
	t.Helper()
	const tokens = 3000
	d := &Demand{Service: "llm", Model: id, PromptTokens: tokens, TargetLatency: time.Minute, MaxPrefillShare: 0}
	_, call := r.Reserve(d, noDistance, at)
	if call == nil {
		t.Fatal("refused")
	}
	took := DefaultEngineSpeed().FixedTime + time.Duration(tokens/rate*float64(time.Millisecond)*(0.9+0.2*random.Float64()))
	if random.IntN(5) == 0 {
		took *= 5
	}
	call.FirstToken(took, at)
	call.End(Succeeded, at)
}

// Guards against planning with the default prefill rate: engines of an unknown deployment may read prompts at a quarter
// or three times that rate, and one first token in five is late for another reason.
func TestPrefillRateFollowsEngines(t *testing.T) {
	for _, actualRate := range []float64{5, 20, 60} {
		r := NewRegistry()
		announce(r, "e1", HeldModel{Name: "e1"})
		random := rand.New(rand.NewPCG(1, 2))
		at := now
		for range 400 {
			at = at.Add(100 * time.Millisecond)
			sendPrompt(t, r, "e1", actualRate, random, at)
		}
		if got := r.ServiceSpeed("llm", at).PrefillPerMs; got < actualRate*0.8 || got > actualRate*1.25 {
			t.Errorf("estimated %.1f tokens per millisecond, engines read %.1f", got, actualRate)
		}
		if got := r.ServiceSpeed("other", at).PrefillPerMs; got != DefaultEngineSpeed().PrefillPerMs {
			t.Errorf("the rate of another service became %.1f", got)
		}
	}
}

// Twenty instances send a prompt each to the endpoints of a service, whose engines differ in speed by half. Guards against
// instances that each know an engine only by the few prompts that they sent there themselves, and against taking all engines
// of a service for equally fast.
func TestInstancesLearnTheSpeedOfEachEngineTogether(t *testing.T) {
	rates := map[string]float64{"fast": 40, "slow": 26}
	var registries []*Registry
	for range 20 {
		r := NewRegistry()
		for id := range rates {
			announce(r, id, HeldModel{Name: id})
		}
		registries = append(registries, r)
	}
	random := rand.New(rand.NewPCG(1, 2))
	at := now
	for range 5 {
		previous := at
		at = at.Add(time.Second)
		for _, r := range registries {
			for id, rate := range rates {
				sendPrompt(t, r, id, rate, random, at)
			}
		}
		for _, from := range registries {
			for _, to := range registries {
				if from != to {
					to.AddRemoteSlowness(from.SlownessSince(previous), at)
				}
			}
		}
	}
	for i, r := range registries {
		for id, rate := range rates {
			got := r.endpoints[id].speed(r.ServiceSpeed("llm", at), at).PrefillPerMs
			if got < rate*0.8 || got > rate*1.25 {
				t.Errorf("instance %d: %s is estimated at %.1f tokens per millisecond, not %.1f", i, id, got, rate)
			}
		}
	}
}

// Guards against an endpoint that was slow for a while and gets no more calls because of that.
func TestSlownessIsForgotten(t *testing.T) {
	r := NewRegistry()
	for i := range 4 {
		announce(r, fmt.Sprintf("e%d", i), HeldModel{Name: fmt.Sprintf("e%d", i)})
	}
	random := rand.New(rand.NewPCG(1, 2))
	for range 40 {
		sendPrompt(t, r, "e0", 5, random, now)
		for _, id := range []string{"e1", "e2", "e3"} {
			sendPrompt(t, r, id, 20, random, now)
		}
	}
	speedAt := func(at time.Time) float64 { return r.endpoints["e0"].speed(r.ServiceSpeed("llm", at), at).PrefillPerMs }
	if speedAt(now) > 7 || speedAt(now.Add(4*slownessDecayTime)) < 11 {
		t.Fatalf("%.1f tokens per millisecond, later %.1f", speedAt(now), speedAt(now.Add(4*slownessDecayTime)))
	}
}
