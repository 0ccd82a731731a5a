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

// limitedRecords declares member a without a limit, member limited with a limit of one concurrent request, and a queue
// of three calls or 1000 bytes.
func limitedRecords() config.Records {
	return config.Records{
		Deployment: config.Deployment{QueueRequests: 3, QueueBytes: 1000},
		Members: []config.Member{
			{Header: config.Header{Name: "a"}, Share: 1},
			{Header: config.Header{Name: "limited"}, Share: 1, MaxConcurrentRequests: 1},
		},
	}
}

// Guards against a refusal without a type or outcome, and against queuing a call that cannot run.
func TestGateRefusals(t *testing.T) {
	cases := map[string]struct {
		setUp  func(*testEnv)
		modify func(*scheduling.Request)
		want   problem.Type
	}{
		"unknown service": {
			modify: func(r *scheduling.Request) { r.Service = "none" },
			want:   problem.TypeNoEndpoint,
		},
		"deadline passed": {
			modify: func(r *scheduling.Request) { r.Deadline = time.Now() },
			want:   problem.TypeDeadlineUnreachable,
		},
		"model never loaded": {
			modify: func(r *scheduling.Request) { r.Model = "absent" },
			want:   problem.TypeDeadlineUnreachable,
		},
		"all capacity in use until the deadline": {
			setUp: func(s *testEnv) { mustAcquire(s, request()); mustAcquire(s, request()) },
			want:  problem.TypeDeadlineUnreachable,
		},
		"every endpoint failed the call": {
			modify: func(r *scheduling.Request) { r.Exclude = []string{"e"} },
			want:   problem.TypeNoEndpoint,
		},
		"shutting down": {
			setUp: func(s *testEnv) { s.controller.Drain() },
			want:  problem.TypeShuttingDown,
		},
		"member limit": {
			setUp: func(s *testEnv) {
				mustAcquire(s, request(func(r *scheduling.Request) { r.Member = "limited" }))
			},
			modify: func(r *scheduling.Request) { r.Member = "limited" },
			want:   problem.TypeMemberLimit,
		},
		"body larger than the queue": {
			setUp:  func(s *testEnv) { mustAcquire(s, request()); mustAcquire(s, request()) },
			modify: func(r *scheduling.Request) { r.Bytes = 1001 },
			want:   problem.TypeOverloaded,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := start(t, limitedRecords(), map[string]engine.Report{"e": loaded(2, "m")})
				defer s.stop()
				if c.setUp != nil {
					c.setUp(s)
				}
				r := request()
				if c.modify != nil {
					c.modify(&r)
				}
				_, err := s.controller.Acquire(t.Context(), r)
				var refusal *problem.Problem
				g.Expect(errors.As(err, &refusal)).To(BeTrue(), "error %v", err)
				g.Expect(refusal.Type).To(Equal(c.want))
				g.Expect(refusal.Outcome).To(Equal(problem.NotRun))
				for _, d := range s.demand.Total() {
					g.Expect(d.Waiting).To(BeZero(), "waiting calls left for "+d.Model)
				}
			})
		})
	}
}

func mustAcquire(s *testEnv, r scheduling.Request) admission.Ticket {
	ticket, err := s.controller.Acquire(context.Background(), r)
	if err != nil {
		panic(err)
	}
	return ticket
}

// Guards against capacity that leaks or is freed twice: after each kind of end, exactly two calls fit again.
func TestCapacityIsReturnedOnce(t *testing.T) {
	endings := map[string]func(*testEnv, admission.Ticket){
		"succeeded":      func(_ *testEnv, t admission.Ticket) { t.Release(admission.Result{}) },
		"released twice": func(_ *testEnv, t admission.Ticket) { t.Release(admission.Result{}); t.Release(admission.Result{}) },
		"endpoint busy":  func(_ *testEnv, t admission.Ticket) { t.Release(admission.Result{Status: admission.EndpointBusy}) },
		"cancelled":      func(_ *testEnv, t admission.Ticket) { t.Release(admission.Result{Status: admission.Cancelled}) },
		"endpoint error": func(_ *testEnv, t admission.Ticket) { t.Release(admission.Result{Status: admission.EndpointError}) },
		"caller disconnected while waiting": func(s *testEnv, t admission.Ticket) {
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
	for name, end := range endings {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := start(t, limitedRecords(), map[string]engine.Report{"e": loaded(2, "m")})
				defer s.stop()
				end(s, mustAcquire(s, request()))
				freeSlots := 2 - s.registry.States("s")[0].OwnInFlight
				for range freeSlots {
					mustAcquire(s, request())
				}
				_, err := s.controller.Acquire(t.Context(), request())
				g.Expect(err).To(HaveOccurred())
				g.Expect(s.registry.States("s")[0].OwnInFlight).To(Equal(2))
			})
		})
	}
}

// Guards against a lost wake-up: a waiting call must start when another call ends, and when a report first lists its
// model.
func TestWaitingCallStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := start(t, limitedRecords(), map[string]engine.Report{"e": loaded(1, "m")})
		defer s.stop()
		first := mustAcquire(s, request())
		time.AfterFunc(time.Second, func() { first.Release(admission.Result{}) })
		startedAt := time.Now()
		mustAcquire(s, request()).Release(admission.Result{})
		g.Expect(time.Since(startedAt)).To(Equal(time.Second))

		time.AfterFunc(time.Second, func() {
			g.Expect(s.demand.Total()).To(ContainElement(HaveField("Waiting", 1)))
			s.fakeReporter.set("e", loaded(1, "m", "late"))
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

// Guards against a noisy member that fills the queue: its own newest calls must be refused, not another member's.
func TestOverflowRefusesTheHeaviestMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := start(t, limitedRecords(), map[string]engine.Report{"e": loaded(1, "m")})
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

// Guards against head-of-line blocking: a call for a model without capacity must not delay calls for other models.
func TestModelWithoutCapacityDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := start(t, limitedRecords(), map[string]engine.Report{"e": loaded(1, "m"), "f": loaded(1, "n")})
		defer s.stop()
		mustAcquire(s, request())
		go func() { _, _ = s.controller.Acquire(context.Background(), request()) }()
		go func() {
			_, _ = s.controller.Acquire(context.Background(), request(func(r *scheduling.Request) { r.Model = "absent" }))
		}()
		synctest.Wait()
		startedAt := time.Now()
		mustAcquire(s, request(func(r *scheduling.Request) { r.Model = "n" }))
		g.Expect(time.Since(startedAt)).To(BeZero())
		time.Sleep(time.Minute)
	})
}

// Guards against a call that runs at an endpoint without its adapter, and against an adapter or plain service that
// receives no calls.
func TestCallsReachAdaptersAndPlainServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		withAdapter := loaded(4, "m")
		withAdapter.Artifacts = append(withAdapter.Artifacts, engine.LoadedArtifact{
			Artifact: engine.Artifact{Kind: engine.KindAdapter, Name: "m-a"}, State: engine.StateLoaded,
		})
		records := limitedRecords()
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

// Guards against starting a call that cannot finish in time, and against refusing every call of a model that was slow
// once.
func TestDeadlineWithFreeCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := start(t, limitedRecords(), map[string]engine.Report{"e": loaded(2, "m")})
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
		longCall := mustAcquire(s, request())
		longCall.RecordTokens(1)
		time.Sleep(5 * time.Second)
		longCall.RecordTokens(99)
		longCall.Release(admission.Result{})
		g.Expect(within(6 * time.Second)).To(Succeed())
		g.Expect(within(time.Second)).To(HaveOccurred(), "hopeless")
		g.Expect(within(3*time.Second)).To(Succeed(), "trial")
		g.Expect(within(3 * time.Second)).To(HaveOccurred())
		time.Sleep(10 * time.Second)
		g.Expect(within(3*time.Second)).To(Succeed(), "next trial")
	})
}

// BenchmarkAcquire measures the admission and end of one call. Its model has the given number of copies, and the given
// number of calls wait, each for another model.
func BenchmarkAcquire(b *testing.B) {
	for _, c := range []struct{ copies, waitingCalls int }{{2, 0}, {16, 0}, {128, 0}, {16, 500}} {
		b.Run(fmt.Sprintf("copies=%d,waiting=%d", c.copies, c.waitingCalls), func(b *testing.B) {
			byName := make(map[string]engine.Report)
			for i := range c.copies {
				byName[fmt.Sprint("e", i)] = loaded(8, "m")
			}
			records := limitedRecords()
			records.Deployment = config.Deployment{}
			s := startWith(b, records, &fakeReporter{byName: byName}, defaultRouting())
			defer s.stop()
			for s.registry.AppendServing(nil, "s", engine.KindModel, "m") == nil {
				runtime.Gosched()
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			for i := range c.waitingCalls {
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

// Guards against a baseline that does not do what its name says. First come, first served must start all earlier calls
// of a noisy member before a quiet member's call; fair share must not.
func TestOrderOfWaitingCalls(t *testing.T) {
	cases := map[string]struct {
		order     admission.Order
		quietLast bool
	}{
		"first come, first served": {admission.ArrivalOrder{}, true},
		"fair share":               {admission.FairOrder{}, false},
	}
	for name, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			r := defaultRouting()
			r.order = c.order
			s := startWith(t, twoMembers(), &fakeReporter{byName: map[string]engine.Report{"e": loaded(1, "m")}}, r)
			defer s.stop()
			requestOf := func(member string) scheduling.Request {
				return request(func(r *scheduling.Request) { r.Member = member })
			}
			result := admission.Result{Status: admission.Succeeded, InputTokens: 1000, OutputTokens: 1000, Duration: time.Second}
			running := mustAcquire(s, requestOf("noisy"))
			var started []string
			for _, member := range []string{"noisy", "noisy", "quiet"} {
				go func() {
					ticket := mustAcquire(s, requestOf(member))
					started = append(started, member)
					ticket.Release(result)
				}()
				synctest.Wait()
			}
			running.Release(result)
			synctest.Wait()
			g.Expect(started).To(HaveLen(3), name)
			g.Expect(started[2] == "quiet").To(Equal(c.quietLast), name)
		})
	}
}
