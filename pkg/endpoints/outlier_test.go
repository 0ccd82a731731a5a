package endpoints_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

func reportOf(incarnation string, models ...string) engine.Report {
	report := engine.Report{Incarnation: incarnation, MaxRunning: 8}
	for _, m := range models {
		artifact := engine.Artifact{Kind: engine.KindModel, Name: m}
		report.Artifacts = append(report.Artifacts, engine.LoadedArtifact{Artifact: artifact, State: engine.StateLoaded})
	}
	return report
}

func fail(r *endpoints.Registry, name string, times int) {
	end(r, name, endpoints.CallResult{Outcome: endpoints.CallFailed}, times)
}

func end(r *endpoints.Registry, name string, result endpoints.CallResult, times int) {
	for range times {
		r.Begin(name, 0).End(result)
	}
}

func health(r *endpoints.Registry) map[string]endpoints.Health {
	found := make(map[string]endpoints.Health)
	for _, s := range r.States("s") {
		found[s.Endpoint.Name] = s.Health
	}
	return found
}

// threeCopies runs a registry with model m on e, f and g.
func threeCopies(t *testing.T) (*fakeReporter, *endpoints.Registry, func()) {
	fake := newFake()
	for _, name := range []string{"e", "f", "g"} {
		fake.set(name, reportOf("one", "m"), nil)
	}
	r, stop := run(t, fake, declare("e", "f", "g"))
	return fake, r, stop
}

// Guards against an ejection that does not grow, does not end, or lets calls through before a probe succeeded.
func TestEjectionAndProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, r, stop := threeCopies(t)
		defer stop()
		fail(r, "e", 2)
		g.Expect(health(r)["e"]).To(Equal(endpoints.Healthy))
		fail(r, "e", 1)
		for _, duration := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
			g.Expect(health(r)["e"]).To(Equal(endpoints.Ejected))
			time.Sleep(duration - time.Millisecond)
			g.Expect(health(r)["e"]).To(Equal(endpoints.Ejected))
			time.Sleep(time.Millisecond)
			g.Expect(health(r)["e"]).To(Equal(endpoints.Probing))
			end(r, "e", endpoints.CallResult{Outcome: endpoints.CallCancelled}, 1)
			g.Expect(health(r)["e"]).To(Equal(endpoints.Probing), "a cancelled probe shows nothing")
			fail(r, "e", 1)
		}
		time.Sleep(time.Minute)
		end(r, "e", endpoints.CallResult{}, 1)
		g.Expect(health(r)["e"]).To(Equal(endpoints.Healthy))
		fail(r, "e", 2)
		g.Expect(health(r)["e"]).To(Equal(endpoints.Healthy), "old failures count no more")
	})
}

// Guards against an endpoint that fails often but never several times in a row.
func TestErrorRateEjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, r, stop := threeCopies(t)
		defer stop()
		for range 10 {
			fail(r, "e", 2)
			end(r, "e", endpoints.CallResult{}, 1)
			end(r, "f", endpoints.CallResult{}, 2)
			fail(r, "f", 1)
		}
		g.Expect(health(r)["e"]).NotTo(Equal(endpoints.Healthy))
		g.Expect(health(r)["f"]).To(Equal(endpoints.Healthy))
	})
}

// Guards against a common fault that takes every copy of a model out of use.
func TestAtMostHalfIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fake, r, stop := threeCopies(t)
		defer stop()
		for _, name := range []string{"e", "f", "g"} {
			fail(r, name, 20)
		}
		g.Expect(health(r)).To(Equal(map[string]endpoints.Health{
			"e": endpoints.Ejected, "f": endpoints.Healthy, "g": endpoints.Healthy,
		}))
		fake.set("f", engine.Report{}, engine.ErrNotSent)
		time.Sleep(2 * time.Second)
		g.Expect(health(r)["f"]).To(Equal(endpoints.Healthy))
	})
}

// Guards against calls to an endpoint that died or restarted: seen by polls alone within three seconds, and forgiven once
// a new process reports.
func TestUnreachableEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fake, r, stop := threeCopies(t)
		defer stop()
		fake.set("e", engine.Report{}, engine.ErrNotSent)
		fake.set("f", engine.Report{}, &engine.StatusError{Status: 500})
		time.Sleep(3 * time.Second)
		g.Expect(health(r)["e"]).To(Equal(endpoints.Ejected))
		g.Expect(health(r)["f"]).To(Equal(endpoints.Healthy), "the process answers")
		fake.set("e", reportOf("two", "m"), nil)
		time.Sleep(time.Second)
		g.Expect(health(r)["e"]).To(Equal(endpoints.Healthy))
	})
}

// Guards against an index that lists an endpoint for a model that it lost.
func TestServingFollowsReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fake, r, stop := threeCopies(t)
		defer stop()
		names := func(model string) (found []string) {
			for _, s := range r.AppendServing(nil, "s", engine.KindModel, model) {
				found = append(found, s.Endpoint.Name)
			}
			return found
		}
		g.Expect(names("m")).To(Equal([]string{"e", "f", "g"}))
		fake.set("f", reportOf("one", "n"), nil)
		time.Sleep(time.Second)
		g.Expect(names("m")).To(Equal([]string{"e", "g"}))
		g.Expect(names("n")).To(Equal([]string{"f"}))
		r.Apply(declare("e", "f"))
		g.Expect(names("m")).To(Equal([]string{"e"}))
	})
}

// Guards against a limit that ignores slow calls, leaves its bounds, or is lowered where load is not the cause.
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
		"one decrease in a window":    {[]endpoints.CallResult{fast, slow, slow, slow}, func(l int) bool { return l == 7 }},
		"slow even at best":           {[]endpoints.CallResult{slow, slow, slow}, func(l int) bool { return l == 8 }},
		"long prompts":                {[]endpoints.CallResult{longPrompt, longPrompt}, func(l int) bool { return l == 8 }},
		"prompts that queue":          {[]endpoints.CallResult{longPrompt, queuedPrompt}, func(l int) bool { return l == 7 }},
		"refused as busy":             {[]endpoints.CallResult{{Outcome: endpoints.CallBusy}}, func(l int) bool { return l == 7 }},
		"cancelled":                   {[]endpoints.CallResult{{Outcome: endpoints.CallCancelled}}, func(l int) bool { return l == 8 }},
		"decrease, then a light load": {[]endpoints.CallResult{fast, slow, fast, fast, fast}, func(l int) bool { return l == 7 }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, r, stop := threeCopies(t)
				defer stop()
				for _, result := range c.calls {
					end(r, "e", result, 1)
				}
				limit := r.States("s")[0].ConcurrencyLimit
				NewWithT(t).Expect(c.want(limit)).To(BeTrue(), "limit %d", limit)
			})
		})
	}
}

// Guards against a limit that falls below one call or does not recover under full use.
func TestConcurrencyLimitRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, r, stop := threeCopies(t)
		defer stop()
		limit := func() int { return r.States("s")[0].ConcurrencyLimit }
		for range 100 {
			end(r, "e", endpoints.CallResult{Outcome: endpoints.CallBusy}, 1)
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

// Guards against an instance that is kept out of a full endpoint for as long as another refills its slots, and against one
// that exceeds its part.
func TestPartOfAFullEndpoint(t *testing.T) {
	cases := map[string]struct {
		own, peers int
		part       float64
		want       bool
	}{
		"room":                        {own: 3, peers: 4, want: true},
		"full without a part":         {own: 0, peers: 8, want: false},
		"full, below the part":        {own: 3, peers: 8, part: 0.5, want: true},
		"full, part used":             {own: 4, peers: 8, part: 0.5, want: false},
		"small part allows one call":  {own: 0, peers: 8, part: 0.01, want: true},
		"part free but twice as full": {own: 0, peers: 16, part: 0.5, want: false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			state := endpoints.State{OwnInFlight: c.own, PeerInFlight: c.peers, Part: c.part, ConcurrencyLimit: 8, Instances: 2}
			NewWithT(t).Expect(state.HasCapacity()).To(Equal(c.want))
		})
	}
}

// Guards against a backlog that outlives the calls that it consists of when prompts are processed faster than estimated:
// it would make an idle endpoint look too slow for any deadline.
func TestPrefillBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, r, stop := threeCopies(t)
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
		g.Expect(backlog()).To(BeZero(), "a response that comes as a whole has no first token")
	})
}
