package dispatch_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/internal/standin/service"
	"github.com/mulberryglade/mulberryglade/pkg/claims"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/dispatch"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/httpconn"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

var orderDesk = &config.Service{
	Header: config.Header{Name: "order-desk"},
	Routes: []config.Route{
		{Method: "GET", PathPrefix: "/menus", Repeatable: true},
		{Method: "POST", PathPrefix: "/orders", RequireIdempotencyKey: true},
	},
}

type serviceFixture struct {
	services   []*service.Service
	gate       *gate
	claimer    *claimer
	dispatcher *dispatch.ServiceDispatcher
}

func newServiceFixture(retries float64) *serviceFixture {
	f := &serviceFixture{gate: &gate{}, claimer: newClaimer()}
	for i := range 2 {
		s := service.New(service.Options{})
		url, err := s.Start()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		f.services = append(f.services, s)
		f.gate.targets = append(f.gate.targets, engine.Target{Name: fmt.Sprint("s", i), URL: url})
	}
	pool := httpconn.NewPool(httpconn.Options{})
	DeferCleanup(pool.Close)
	f.dispatcher = dispatch.NewServiceDispatcher(pool, f.claimer, options(f.gate, retries))
	return f
}

func (f *serviceFixture) executions(order string) int {
	return f.services[0].Executions(order) + f.services[1].Executions(order)
}

func serviceCall(method, path, key string) dispatch.ServiceCall {
	return dispatch.ServiceCall{
		Request:        scheduling.Request{ID: "r", Member: "a", Service: "order-desk", Deadline: time.Now().Add(time.Minute)},
		Service:        orderDesk,
		Method:         method,
		Path:           path,
		Body:           []byte(`{"orderId":"o1"}`),
		IdempotencyKey: key,
	}
}

var (
	repeatable = serviceCall("GET", "/menus/today", "")
	unmatched  = serviceCall("POST", "/notes", "")
	claimed    = serviceCall("POST", "/orders", "k1")
)

type serviceCase struct {
	call    dispatch.ServiceCall
	fault   service.Fault
	down    bool
	retries float64
	// outcome is empty for a complete response.
	outcome    problem.Outcome
	executions int
	// again is the outcome of the same call without a fault, and total the executions after it.
	again problem.Outcome
	total int
}

var _ = Describe("ServiceDispatcher", func() {
	// Guards against a call that must not be repeated running twice, whatever fault hits its first sending and however
	// much retry budget there is, and against a claim that is released although the call may have run.
	DescribeTable("fault and kind of call", func(c serviceCase) {
		f := newServiceFixture(c.retries)
		f.services[0].Next(c.fault)
		if c.down {
			f.services[0].Down()
		}
		check := func(failed *problem.Problem, want problem.Outcome) {
			if want == "" {
				Expect(failed).To(BeNil())
				return
			}
			Expect(failed).NotTo(BeNil())
			Expect(failed.Outcome).To(Equal(want))
		}
		_, failed := f.dispatcher.Call(context.Background(), c.call)
		check(failed, c.outcome)
		Expect(f.executions("o1")).To(Equal(c.executions))
		Expect(f.services[0].Up()).To(Succeed())
		_, failed = f.dispatcher.Call(context.Background(), c.call)
		check(failed, c.again)
		Expect(f.executions("o1")).To(Equal(c.total))
		Expect(f.gate.open).To(BeZero(), "each ticket is released")
	},
		Entry("repeatable, no fault", serviceCase{call: repeatable, executions: 1, total: 2}),
		Entry("repeatable, lost", serviceCase{call: repeatable, fault: service.Fault{Lose: true}, retries: 9, executions: 1, total: 2}),
		Entry("repeatable, reply lost", serviceCase{call: repeatable, fault: service.Fault{DropReply: true}, retries: 9, executions: 2, total: 3}),
		Entry("repeatable, body cut", serviceCase{call: repeatable, fault: service.Fault{TruncateBody: true}, retries: 9, executions: 2, total: 3}),
		Entry("repeatable, no budget", serviceCase{call: repeatable, fault: service.Fault{Lose: true}, outcome: problem.Unknown, total: 1}),
		Entry("repeatable, down", serviceCase{call: repeatable, down: true, retries: 9, executions: 1, total: 2}),

		Entry("without a key, no fault", serviceCase{call: unmatched, executions: 1, total: 2}),
		Entry("without a key, lost", serviceCase{call: unmatched, fault: service.Fault{Lose: true}, retries: 9, outcome: problem.Unknown, total: 1}),
		Entry("without a key, reply lost", serviceCase{
			call: unmatched, fault: service.Fault{DropReply: true}, retries: 9, outcome: problem.Unknown, executions: 1, total: 2}),
		Entry("without a key, refused", serviceCase{call: unmatched, fault: service.Fault{Refuse: true}, retries: 9, outcome: problem.NotRun, total: 1}),
		Entry("without a key, down", serviceCase{call: unmatched, down: true, retries: 9, executions: 1, total: 2}),

		Entry("claimed, no fault, replayed", serviceCase{call: claimed, executions: 1, total: 1}),
		Entry("claimed, lost", serviceCase{
			call: claimed, fault: service.Fault{Lose: true}, retries: 9, outcome: problem.Unknown, again: problem.Unknown}),
		Entry("claimed, reply lost", serviceCase{
			call: claimed, fault: service.Fault{DropReply: true}, retries: 9, outcome: problem.Unknown, executions: 1, again: problem.Unknown, total: 1}),
		Entry("claimed, body cut", serviceCase{
			call: claimed, fault: service.Fault{TruncateBody: true}, retries: 9, outcome: problem.Unknown, executions: 1, again: problem.Unknown, total: 1}),
		Entry("claimed, unstated refusal", serviceCase{
			call: claimed, fault: service.Fault{Status: 503}, retries: 9, outcome: problem.Unknown, again: problem.Unknown}),
		Entry("claimed, failed, failure replayed", serviceCase{
			call: claimed, fault: service.Fault{Status: 500}, retries: 9, outcome: problem.Failed, again: problem.Failed}),
		Entry("claimed, refused, released", serviceCase{
			call: claimed, fault: service.Fault{Refuse: true}, retries: 9, outcome: problem.NotRun, total: 1}),
		Entry("claimed, down, sent elsewhere", serviceCase{call: claimed, down: true, retries: 9, executions: 1, total: 1}),
		Entry("claimed, down, no budget, released", serviceCase{call: claimed, down: true, outcome: problem.NotRun, total: 1}),
	)

	// Guards against a replay that differs from the recorded response.
	It("replays the recorded response", func() {
		f := newServiceFixture(0)
		first, failed := f.dispatcher.Call(context.Background(), claimed)
		Expect(failed).To(BeNil())
		second, failed := f.dispatcher.Call(context.Background(), claimed)
		Expect(failed).To(BeNil())
		Expect(second.Replayed).To(BeTrue())
		second.Replayed = false
		Expect(second).To(Equal(first))
	})

	// Guards against a claim that stands although nothing was sent.
	It("releases the claim when no endpoint is admitted", func() {
		f := newServiceFixture(0)
		f.gate.targets = nil
		_, failed := f.dispatcher.Call(context.Background(), claimed)
		Expect(failed).To(HaveField("Outcome", problem.NotRun))
		Expect(f.claimer.standing).To(BeEmpty())
	})

	// Guards against a wrong outcome of a key that cannot be used; only a key that never stood for this request allows
	// not_run.
	DescribeTable("refused claims", func(err error, status int, outcome problem.Outcome) {
		f := newServiceFixture(0)
		f.claimer.err = err
		_, failed := f.dispatcher.Call(context.Background(), claimed)
		Expect(failed).To(HaveField("Status", status))
		Expect(failed).To(HaveField("Outcome", outcome))
		Expect(f.services[0].Calls()).To(BeZero())
	},
		Entry("reused", claims.ErrKeyReused, 422, problem.NotRun),
		Entry("in progress", claims.ErrInProgress, 409, problem.Unknown),
		Entry("unknown", claims.ErrOutcomeUnknown, 409, problem.Unknown),
		Entry("expired", claims.ErrExpired, 409, problem.Unknown),
		Entry("store unavailable", claims.ErrUnavailable, 503, problem.Unknown))

	// Guards against a call that matches no rule, or only a part of a path segment, being repeated.
	DescribeTable("MatchRoute", func(method, path string, matched, repeatable bool) {
		route, ok := dispatch.MatchRoute(orderDesk.Routes, method, path)
		Expect(ok).To(Equal(matched))
		Expect(route.Repeatable).To(Equal(repeatable))
	},
		Entry("exact", "GET", "/menus", true, true),
		Entry("below", "GET", "/menus/today", true, true),
		Entry("part of a segment", "GET", "/menus2", false, false),
		Entry("other method", "POST", "/menus", false, false),
		Entry("other case", "GET", "/Menus", false, false),
		Entry("not repeatable", "POST", "/orders/7", true, false))

	// Guards against a path that matches one rule and reaches the service as another.
	DescribeTable("refuses ambiguous paths", func(path string) {
		f := newServiceFixture(9)
		_, failed := f.dispatcher.Call(context.Background(), serviceCall("GET", path, ""))
		Expect(failed).To(HaveField("Status", 400))
		Expect(f.services[0].Calls()).To(BeZero())
	},
		Entry("dot segments", "/menus/../orders"),
		Entry("encoded dot segments", "/menus/%2e%2E/orders"),
		Entry("encoded slash", "/menus%2f..%2forders"),
		Entry("empty segment", "/menus//orders"),
		Entry("backslash", `/menus\..\orders`),
		Entry("broken escape", "/menus/%zz"),
		Entry("relative", "menus"))

	// Guards against orders without a key where the route demands one.
	It("requires a key where the route says so", func() {
		f := newServiceFixture(0)
		_, failed := f.dispatcher.Call(context.Background(), serviceCall("POST", "/orders", ""))
		Expect(failed).To(HaveField("Type", problem.TypeKeyRequired))
	})
})
