package admission_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/pkg/admission"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

// limited declares member a with a limit of two concurrent requests, and a queue of three calls or 1000 bytes.
func limited() config.Records {
	return config.Records{
		Deployment: config.Deployment{QueueRequests: 3, QueueBytes: 1000},
		Members: []config.Member{
			{Header: config.Header{Name: "a"}, Share: 1},
			{Header: config.Header{Name: "limited"}, Share: 1, MaxConcurrentRequests: 1},
		},
	}
}

// Guards against a refusal without type or outcome, and against a call that is queued although it cannot run.
func TestGateRefusals(t *testing.T) {
	cases := map[string]struct {
		before func(*system)
		change func(*scheduling.Request)
		want   problem.Type
	}{
		"unknown service": {
			change: func(r *scheduling.Request) { r.Service = "none" },
			want:   problem.TypeNoEndpoint,
		},
		"deadline passed": {
			change: func(r *scheduling.Request) { r.Deadline = time.Now() },
			want:   problem.TypeDeadlineUnreachable,
		},
		"model never loaded": {
			change: func(r *scheduling.Request) { r.Model = "absent" },
			want:   problem.TypeDeadlineUnreachable,
		},
		"all capacity in use until the deadline": {
			before: func(s *system) { mustAcquire(s, request()); mustAcquire(s, request()) },
			want:   problem.TypeDeadlineUnreachable,
		},
		"every endpoint failed the call": {
			change: func(r *scheduling.Request) { r.Exclude = []string{"e"} },
			want:   problem.TypeNoEndpoint,
		},
		"shutting down": {
			before: func(s *system) { s.controller.Drain() },
			want:   problem.TypeShuttingDown,
		},
		"member limit": {
			before: func(s *system) {
				mustAcquire(s, request(func(r *scheduling.Request) { r.Member = "limited" }))
			},
			change: func(r *scheduling.Request) { r.Member = "limited" },
			want:   problem.TypeMemberLimit,
		},
		"body larger than the queue": {
			before: func(s *system) { mustAcquire(s, request()); mustAcquire(s, request()) },
			change: func(r *scheduling.Request) { r.Bytes = 1001 },
			want:   problem.TypeOverloaded,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := start(t, limited(), map[string]engine.Report{"e": loaded(2, "m")})
				defer s.stop()
				if c.before != nil {
					c.before(s)
				}
				r := request()
				if c.change != nil {
					c.change(&r)
				}
				_, err := s.controller.Acquire(t.Context(), r)
				var refused *problem.Problem
				g.Expect(errors.As(err, &refused)).To(BeTrue(), "error %v", err)
				g.Expect(refused.Type).To(Equal(c.want))
				g.Expect(refused.Outcome).To(Equal(problem.NotRun))
				for _, d := range s.demand.Total() {
					g.Expect(d.Waiting).To(BeZero(), "waiting calls left for "+d.Model)
				}
			})
		})
	}
}

func mustAcquire(s *system, r scheduling.Request) admission.Ticket {
	ticket, err := s.controller.Acquire(context.Background(), r)
	if err != nil {
		panic(err)
	}
	return ticket
}

// Guards against capacity that leaks or is freed twice: after each way to end a call exactly two calls fit.
func TestCapacityIsReturnedOnce(t *testing.T) {
	ways := map[string]func(*system, admission.Ticket){
		"succeeded":      func(_ *system, t admission.Ticket) { t.Release(admission.Result{}) },
		"released twice": func(_ *system, t admission.Ticket) { t.Release(admission.Result{}); t.Release(admission.Result{}) },
		"endpoint busy":  func(_ *system, t admission.Ticket) { t.Release(admission.Result{Status: admission.EndpointBusy}) },
		"cancelled":      func(_ *system, t admission.Ticket) { t.Release(admission.Result{Status: admission.Cancelled}) },
		"endpoint error": func(_ *system, t admission.Ticket) { t.Release(admission.Result{Status: admission.EndpointError}) },
		"caller left while waiting": func(s *system, t admission.Ticket) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			mustAcquire(s, request())
			if _, err := s.controller.Acquire(ctx, request()); !errors.Is(err, context.DeadlineExceeded) {
				panic(err)
			}
			t.Release(admission.Result{})
			s.registry.Begin("e", 0).End(endpoints.CallResult{})
		},
	}
	for name, end := range ways {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := start(t, limited(), map[string]engine.Report{"e": loaded(2, "m")})
				defer s.stop()
				end(s, mustAcquire(s, request()))
				free := 2 - s.registry.States("s")[0].OwnInFlight
				for range free {
					mustAcquire(s, request())
				}
				_, err := s.controller.Acquire(t.Context(), request())
				g.Expect(err).To(HaveOccurred())
				g.Expect(s.registry.States("s")[0].OwnInFlight).To(Equal(2))
			})
		})
	}
}

// Guards against a lost wake-up: a waiting call starts when another ends, and when a report first lists its model.
func TestWaitingCallStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := start(t, limited(), map[string]engine.Report{"e": loaded(1, "m")})
		defer s.stop()
		first := mustAcquire(s, request())
		time.AfterFunc(time.Second, func() { first.Release(admission.Result{}) })
		began := time.Now()
		mustAcquire(s, request()).Release(admission.Result{})
		g.Expect(time.Since(began)).To(Equal(time.Second))

		time.AfterFunc(time.Second, func() {
			g.Expect(s.demand.Total()).To(ContainElement(HaveField("Waiting", 1)))
			s.reports.set("e", loaded(1, "m", "late"))
		})
		ticket := mustAcquire(s, request(func(r *scheduling.Request) { r.Model = "late" }))
		g.Expect(ticket.Target().Name).To(Equal("e"))
		g.Expect(ticket.Decision().Chosen).To(Equal("e"))
		record, found := s.decisions.Find("r")
		g.Expect(found).To(BeTrue())
		g.Expect(record.Subject).To(Equal("s/late"))
		g.Expect(s.demand.Total()).To(HaveEach(HaveField("Waiting", 0)))
	})
}

// Guards against a noisy member that fills the queue: its own newest calls are refused, never another member's.
func TestOverflowRefusesTheHeaviestMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := start(t, limited(), map[string]engine.Report{"e": loaded(1, "m")})
		defer s.stop()
		running := mustAcquire(s, request())
		var order []string
		acquire := func(member, id string) {
			go func() {
				ticket, err := s.controller.Acquire(context.Background(), request(func(r *scheduling.Request) {
					r.Member, r.ID = member, id
				}))
				if err != nil {
					order = append(order, id+" refused")
					return
				}
				order = append(order, id)
				ticket.Release(admission.Result{Status: admission.Succeeded, InputTokens: 10, OutputTokens: 10})
			}()
			synctest.Wait()
		}
		for _, id := range []string{"a1", "a2", "a3", "a4"} {
			acquire("a", id)
		}
		acquire("b", "b1")
		running.Release(admission.Result{InputTokens: 10, OutputTokens: 12})
		synctest.Wait()
		g.Expect(order).To(Equal([]string{"a4 refused", "a3 refused", "b1", "a1", "a2"}))
	})
}

// Guards against head-of-line blocking: a call for a model without capacity does not hold up another model's.
func TestModelWithoutCapacityHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := start(t, limited(), map[string]engine.Report{"e": loaded(1, "m"), "f": loaded(1, "n")})
		defer s.stop()
		mustAcquire(s, request())
		go func() { _, _ = s.controller.Acquire(context.Background(), request()) }()
		go func() {
			_, _ = s.controller.Acquire(context.Background(), request(func(r *scheduling.Request) { r.Model = "absent" }))
		}()
		synctest.Wait()
		began := time.Now()
		mustAcquire(s, request(func(r *scheduling.Request) { r.Model = "n" }))
		g.Expect(time.Since(began)).To(BeZero())
		time.Sleep(time.Minute)
	})
}

// Guards against a call that runs where its adapter is missing, and against an adapter or plain service that is never
// reached.
func TestWhatCallsNeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		withAdapter := loaded(4, "m")
		withAdapter.Artifacts = append(withAdapter.Artifacts, engine.LoadedArtifact{
			Artifact: engine.Artifact{Kind: engine.KindAdapter, Name: "m-a"}, State: engine.StateLoaded,
		})
		records := limited()
		records.Services = []config.Service{{Header: config.Header{Name: "plain"}, Type: config.PlainService}}
		records.Endpoints = []config.Endpoint{
			{Header: config.Header{Name: "p"}, Service: "plain", URL: "http://127.0.0.1:1", MaxConcurrentRequests: 1},
		}
		s := start(t, records, map[string]engine.Report{"e": loaded(4, "m"), "f": withAdapter})
		defer s.stop()
		for range 4 {
			ticket := mustAcquire(s, request(func(r *scheduling.Request) { r.Adapter = "m-a" }))
			g.Expect(ticket.Target().Name).To(Equal("f"))
		}
		g.Expect(mustAcquire(s, request()).Target().Name).To(Equal("e"))
		first := mustAcquire(s, request(func(r *scheduling.Request) { r.Service, r.Model = "plain", "" }))
		g.Expect(first.Target()).To(Equal(engine.Target{Name: "p", URL: "http://127.0.0.1:1"}))
		time.AfterFunc(time.Second, func() { first.Release(admission.Result{}) })
		second := mustAcquire(s, request(func(r *scheduling.Request) { r.Service, r.Model = "plain", "" }))
		g.Expect(second.Target().Name).To(Equal("p"))
	})
}

// Guards against a call that starts although it cannot finish in time, and against a model that is refused for ever after
// it was slow once.
func TestDeadlineAtAFreeEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := start(t, limited(), map[string]engine.Report{"e": loaded(2, "m")})
		defer s.stop()
		within := func(deadline time.Duration) error {
			ticket, err := s.controller.Acquire(t.Context(), request(func(r *scheduling.Request) {
				r.OutputTokens, r.Deadline = 1000, time.Now().Add(deadline)
			}))
			if err == nil {
				ticket.Release(admission.Result{Status: admission.Cancelled})
			}
			return err
		}
		long := mustAcquire(s, request())
		long.Tokens(1)
		time.Sleep(5 * time.Second)
		long.Tokens(99)
		long.Release(admission.Result{})
		g.Expect(within(6 * time.Second)).To(Succeed())
		g.Expect(within(time.Second)).To(HaveOccurred(), "hopeless")
		g.Expect(within(3*time.Second)).To(Succeed(), "trial")
		g.Expect(within(3 * time.Second)).To(HaveOccurred())
		time.Sleep(10 * time.Second)
		g.Expect(within(3*time.Second)).To(Succeed(), "next trial")
	})
}

// BenchmarkAcquire measures one admitted and ended call, with its model on the given number of endpoints and with calls
// for so many other models waiting.
func BenchmarkAcquire(b *testing.B) {
	for _, c := range []struct{ copies, waiting int }{{2, 0}, {16, 0}, {128, 0}, {16, 500}} {
		b.Run(fmt.Sprintf("copies=%d,waiting=%d", c.copies, c.waiting), func(b *testing.B) {
			byName := make(map[string]engine.Report)
			for i := range c.copies {
				byName[fmt.Sprint("e", i)] = loaded(8, "m")
			}
			records := limited()
			records.Deployment = config.Deployment{}
			s := startWith(b, records, &reports{byName: byName}, defaultRouting())
			defer s.stop()
			for s.registry.AppendServing(nil, "s", engine.KindModel, "m") == nil {
				runtime.Gosched()
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			for i := range c.waiting {
				go func() {
					_, _ = s.controller.Acquire(ctx, request(func(r *scheduling.Request) {
						r.Model, r.Deadline = fmt.Sprint("absent", i), time.Now().Add(time.Hour)
					}))
				}()
			}
			b.ReportAllocs()
			for b.Loop() {
				mustAcquire(s, request()).Release(admission.Result{InputTokens: 10, OutputTokens: 10})
			}
		})
	}
}

// Guards against a baseline that is not what its name says: under first come, first served the calls of a member that
// arrived first all start before another member's call; under fair share they do not.
func TestOrderOfWaitingCalls(t *testing.T) {
	cases := map[string]struct {
		order admission.Order
		last  bool
	}{
		"first come, first served": {admission.ArrivalOrder{}, true},
		"fair share":               {admission.FairOrder{}, false},
	}
	for name, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			r := defaultRouting()
			r.order = c.order
			s := startWith(t, twoMembers(), &reports{byName: map[string]engine.Report{"e": loaded(1, "m")}}, r)
			defer s.stop()
			as := func(member string) scheduling.Request {
				return request(func(r *scheduling.Request) { r.Member = member })
			}
			cost := admission.Result{Status: admission.Succeeded, InputTokens: 1000, OutputTokens: 1000, Duration: time.Second}
			running := mustAcquire(s, as("noisy"))
			var started []string
			for _, member := range []string{"noisy", "noisy", "quiet"} {
				go func() {
					ticket := mustAcquire(s, as(member))
					started = append(started, member)
					ticket.Release(cost)
				}()
				synctest.Wait()
			}
			running.Release(cost)
			synctest.Wait()
			g.Expect(started).To(HaveLen(3), name)
			g.Expect(started[2] == "quiet").To(Equal(c.last), name)
		})
	}
}
