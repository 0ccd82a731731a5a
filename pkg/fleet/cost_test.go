package fleet

import "testing"

// Sends a long prompt while one endpoint generates thirty streams and another one none. Guards against delaying all these
// streams because the first token would come a little sooner there.
func TestLongPromptsKeepAwayFromRunningStreams(t *testing.T) {
	r := NewRegistry()
	announce(r, "streams", HeldModel{Name: "m"})
	announce(r, "prompts", HeldModel{Name: "m"})
	r.SetRemoteWork("other", map[EndpointKey]Work{
		EndpointKeyOf("streams"): {Running: 30},
		EndpointKeyOf("prompts"): {Waiting: 1, PrefillTokens: 1000, UrgentTokens: 1000},
	}, now)
	if choice, _ := r.Reserve(demandFor("m"), noDistance, now); choice.ID != "prompts" {
		t.Fatalf("choice is %+v", choice)
	}
}

// Guards against long streams of short prompts at an endpoint that reads prompts all the time, where their tokens come too
// slowly, while another one would need a little longer for the first token.
func TestLongStreamsKeepAwayFromPrompts(t *testing.T) {
	r := NewRegistry()
	announce(r, "streams", HeldModel{Name: "m"})
	announce(r, "prompts", HeldModel{Name: "m"})
	r.SetRemoteWork("other", map[EndpointKey]Work{
		EndpointKeyOf("streams"): {Running: 20, Waiting: 1, PrefillTokens: 800, UrgentTokens: 800},
		EndpointKeyOf("prompts"): {PrefillRate: 18_000},
	}, now)
	d := demandFor("m")
	d.PromptTokens, d.OutputTokens = 600, 300
	if choice, _ := r.Reserve(d, noDistance, now); choice.ID != "streams" {
		t.Fatalf("choice is %+v", choice)
	}
	d.OutputTokens = 10
	if choice, _ := r.Reserve(d, noDistance, now); choice.ID != "prompts" {
		t.Fatalf("choice for a short response is %+v", choice)
	}
}
