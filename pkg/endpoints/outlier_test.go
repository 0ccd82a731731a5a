package endpoints_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

func newReport(incarnation string, models ...string) engine.Report {
	report := engine.Report{Incarnation: incarnation, MaxRunning: 8}
	for _, m := range models {
		artifact := engine.Artifact{Kind: engine.KindModel, Name: m}
		report.Artifacts = append(report.Artifacts, engine.LoadedArtifact{Artifact: artifact, State: engine.StateLoaded})
	}
	return report
}

func failCalls(r *endpoints.Registry, name string, times int) {
	endCalls(r, name, endpoints.CallResult{Outcome: endpoints.CallFailed}, times)
}

func endCalls(r *endpoints.Registry, name string, result endpoints.CallResult, times int) {
	for range times {
		r.Begin(name, 0).End(result)
	}
}

func healthByName(r *endpoints.Registry) map[string]endpoints.Health {
	byName := make(map[string]endpoints.Health)
	for _, s := range r.States("s") {
		byName[s.Endpoint.Name] = s.Health
	}
	return byName
}

// startThreeCopies starts a registry with three endpoints e, f and g that have loaded model m.
func startThreeCopies(t *testing.T) (*fakeReporter, *endpoints.Registry, func()) {
	fake := newFakeReporter()
	for _, name := range []string{"e", "f", "g"} {
		fake.set(name, newReport("one", "m"), nil)
	}
	r, stop := startRegistry(t, fake, newSnapshot("e", "f", "g"))
	return fake, r, stop
}

// Guards against ejections that do not get longer or do not end, and against an endpoint that becomes healthy before a
// probe succeeds.
func TestEjectionAndProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, r, stop := startThreeCopies(t)
		defer stop()
		failCalls(r, "e", 2)
		g.Expect(healthByName(r)["e"]).To(Equal(endpoints.Healthy))
		failCalls(r, "e", 1)
		for _, duration := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
			g.Expect(healthByName(r)["e"]).To(Equal(endpoints.Ejected))
			time.Sleep(duration - time.Millisecond)
			g.Expect(healthByName(r)["e"]).To(Equal(endpoints.Ejected))
			time.Sleep(time.Millisecond)
			g.Expect(healthByName(r)["e"]).To(Equal(endpoints.Probing))
			endCalls(r, "e", endpoints.CallResult{Outcome: endpoints.CallCancelled}, 1)
			g.Expect(healthByName(r)["e"]).To(Equal(endpoints.Probing), "a cancelled probe has no effect")
			failCalls(r, "e", 1)
		}
		time.Sleep(time.Minute)
		endCalls(r, "e", endpoints.CallResult{}, 1)
		g.Expect(healthByName(r)["e"]).To(Equal(endpoints.Healthy))
		failCalls(r, "e", 2)
		g.Expect(healthByName(r)["e"]).To(Equal(endpoints.Healthy), "earlier failures no longer count")
	})
}

// Guards against an endpoint that fails often but is not ejected because a call succeeds in between.
func TestErrorRateEjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, r, stop := startThreeCopies(t)
		defer stop()
		for range 10 {
			failCalls(r, "e", 2)
			endCalls(r, "e", endpoints.CallResult{}, 1)
			endCalls(r, "f", endpoints.CallResult{}, 2)
			failCalls(r, "f", 1)
		}
		g.Expect(healthByName(r)["e"]).NotTo(Equal(endpoints.Healthy))
		g.Expect(healthByName(r)["f"]).To(Equal(endpoints.Healthy))
	})
}

// Guards against a common fault that ejects every copy of a model.
func TestAtMostHalfIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fake, r, stop := startThreeCopies(t)
		defer stop()
		for _, name := range []string{"e", "f", "g"} {
			failCalls(r, name, 20)
		}
		g.Expect(healthByName(r)).To(Equal(map[string]endpoints.Health{
			"e": endpoints.Ejected, "f": endpoints.Healthy, "g": endpoints.Healthy,
		}))
		fake.set("f", engine.Report{}, engine.ErrNotSent)
		time.Sleep(2 * time.Second)
		g.Expect(healthByName(r)["f"]).To(Equal(endpoints.Healthy))
	})
}

// Guards against calls to an endpoint whose process has exited, and against an ejection that remains after it
// restarted. The polls alone must detect the exit within three seconds and end the ejection when the new process
// reports.
func TestUnreachableEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fake, r, stop := startThreeCopies(t)
		defer stop()
		fake.set("e", engine.Report{}, engine.ErrNotSent)
		fake.set("f", engine.Report{}, &engine.StatusError{Status: 500})
		time.Sleep(3 * time.Second)
		g.Expect(healthByName(r)["e"]).To(Equal(endpoints.Ejected))
		g.Expect(healthByName(r)["f"]).To(Equal(endpoints.Healthy), "the process replies")
		fake.set("e", newReport("two", "m"), nil)
		time.Sleep(time.Second)
		g.Expect(healthByName(r)["e"]).To(Equal(endpoints.Healthy))
	})
}

// Guards against an artifact index that still lists an endpoint for a model that is no longer loaded.
func TestServingIndexMatchesReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fake, r, stop := startThreeCopies(t)
		defer stop()
		names := func(model string) (found []string) {
			for _, s := range r.AppendServing(nil, "s", engine.KindModel, model) {
				found = append(found, s.Endpoint.Name)
			}
			return found
		}
		g.Expect(names("m")).To(Equal([]string{"e", "f", "g"}))
		fake.set("f", newReport("one", "n"), nil)
		time.Sleep(time.Second)
		g.Expect(names("m")).To(Equal([]string{"e", "g"}))
		g.Expect(names("n")).To(Equal([]string{"f"}))
		r.Apply(newSnapshot("e", "f"))
		g.Expect(names("m")).To(Equal([]string{"e"}))
	})
}

// Guards against a limit that ignores slow calls, exceeds its bounds, or is lowered although load is not the cause.
func TestConcurrencyLimit(t *testing.T) {
	slow := endpoints.CallResult{
		BetweenTokens: 40 * time.Millisecond, BetweenTokensTarget: 27 * time.Millisecond, FirstToken: 10 * time.Millisecond,
	}
	fast := slow
	fast.BetweenTokens = 10 * time.Millisecond
	longPrompt := endpoints.CallResult{
		FirstToken: time.Second, FirstTokenTarget: 340 * time.Millisecond, Prefill: 900 * time.Millisecond,
	}
	queuedPrompt := longPrompt
	queuedPrompt.FirstToken = 2 * time.Second
	cases := map[string]struct {
		calls []endpoints.CallResult
		want  func(int) bool
	}{
		"fast calls":                  {[]endpoints.CallResult{fast, fast, fast}, func(l int) bool { return l == 8 }},
		"one decrease per interval":   {[]endpoints.CallResult{fast, slow, slow, slow}, func(l int) bool { return l == 7 }},
		"slow without load":           {[]endpoints.CallResult{slow, slow, slow}, func(l int) bool { return l == 8 }},
		"long prompts":                {[]endpoints.CallResult{longPrompt, longPrompt}, func(l int) bool { return l == 8 }},
		"queued prompts":              {[]endpoints.CallResult{longPrompt, queuedPrompt}, func(l int) bool { return l == 7 }},
		"rejected as busy":            {[]endpoints.CallResult{{Outcome: endpoints.CallBusy}}, func(l int) bool { return l == 7 }},
		"cancelled":                   {[]endpoints.CallResult{{Outcome: endpoints.CallCancelled}}, func(l int) bool { return l == 8 }},
		"decrease, then a light load": {[]endpoints.CallResult{fast, slow, fast, fast, fast}, func(l int) bool { return l == 7 }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, r, stop := startThreeCopies(t)
				defer stop()
				for _, result := range c.calls {
					endCalls(r, "e", result, 1)
				}
				limit := r.States("s")[0].ConcurrencyLimit
				NewWithT(t).Expect(c.want(limit)).To(BeTrue(), "limit %d", limit)
			})
		})
	}
}

// Guards against a limit that falls below one call or does not recover while it is fully used.
func TestConcurrencyLimitRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, r, stop := startThreeCopies(t)
		defer stop()
		limit := func() int { return r.States("s")[0].ConcurrencyLimit }
		for range 100 {
			endCalls(r, "e", endpoints.CallResult{Outcome: endpoints.CallBusy}, 1)
			time.Sleep(time.Second)
		}
		g.Expect(limit()).To(Equal(1))
		for range 200 {
			var calls []*endpoints.Call
			for range limit() {
				calls = append(calls, r.Begin("e", 0))
			}
			for _, c := range calls {
				c.End(endpoints.CallResult{BetweenTokens: 10 * time.Millisecond})
			}
		}
		g.Expect(limit()).To(Equal(8))
	})
}

// Guards against an instance that gets no calls to a full endpoint while another instance refills the free slots, and
// against an instance that exceeds its fraction of the limit.
func TestEntitledFractionOfAFullEndpoint(t *testing.T) {
	cases := map[string]struct {
		own, peers int
		fraction   float64
		want       bool
	}{
		"free capacity":                          {own: 3, peers: 4, want: true},
		"full, no fraction":                      {own: 0, peers: 8, want: false},
		"full, below the fraction":               {own: 3, peers: 8, fraction: 0.5, want: true},
		"full, fraction used up":                 {own: 4, peers: 8, fraction: 0.5, want: false},
		"small fraction allows one call":         {own: 0, peers: 8, fraction: 0.01, want: true},
		"below the fraction, at twice the limit": {own: 0, peers: 16, fraction: 0.5, want: false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			state := endpoints.State{OwnInFlight: c.own, PeerInFlight: c.peers, EntitledFraction: c.fraction, ConcurrencyLimit: 8, Instances: 2}
			NewWithT(t).Expect(state.HasCapacity()).To(Equal(c.want))
		})
	}
}

// Guards against a prefill backlog that remains after its calls have ended, when prompts are processed faster than
// estimated. An idle endpoint would then look too slow for any deadline.
func TestPrefillBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, r, stop := startThreeCopies(t)
		defer stop()
		backlog := func() time.Duration { return r.States("s")[0].PrefillBacklog }
		first, second := r.Begin("e", time.Second), r.Begin("e", 2*time.Second)
		g.Expect(backlog()).To(Equal(3 * time.Second))
		time.Sleep(500 * time.Millisecond)
		g.Expect(backlog()).To(Equal(2500 * time.Millisecond))
		first.FirstToken()
		g.Expect(backlog()).To(Equal(2 * time.Second))
		second.End(endpoints.CallResult{})
		first.End(endpoints.CallResult{})
		g.Expect(backlog()).To(BeZero())
		r.Begin("e", time.Second)
		time.Sleep(time.Minute)
		g.Expect(backlog()).To(BeZero(), "a response without streaming has no first token")
	})
}
