package gateway

import (
	"encoding/json"
	"testing"
)

// FuzzParseInference guards against bodies that make the parser panic, that are accepted although they are not JSON, or
// whose model the gateway reads differently from encoding/json, an example of a parser that an engine may use.
func FuzzParseInference(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true,"max_tokens":5,"n":1}`,
		`{"model":"m","prompt":"hi"}`,
		`{"model":"m","model":"n","prompt":"hi"}`,
		`{"Model":"m","prompt":["hi"]}`,
		`{"model":"m","prompt":"hi"} {}`,
		`{"mod\u0065l":"m","prompt":null}`,
		`[]`, `{`, `{"model":`, "\xff", `{"model":"m","max_tokens":-1}`, `{"model":"m","max_tokens":1e400}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`,
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		parsed, prob := parseInference(body, chat)
		if prob != nil {
			if prob.Status != 400 || prob.Outcome != "not_run" {
				t.Fatalf("%q: %v", body, prob)
			}
			return
		}
		var reference map[string]any
		if err := json.Unmarshal(body, &reference); err != nil {
			t.Fatalf("%q: accepted, but %v", body, err)
		}
		if reference["model"] != parsed.model || parsed.maxTokens < 0 {
			t.Fatalf("%q: read as %+v", body, parsed)
		}
	})
}
