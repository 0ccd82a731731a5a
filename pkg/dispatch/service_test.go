package dispatch_test

import (
	"context"
	"fmt"
	"net"
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
	gate       *fakeGate
	claimer    *claimer
	dispatcher *dispatch.ServiceDispatcher
}

func newServiceFixture(retryBudget float64) *serviceFixture {
	f := &serviceFixture{gate: &fakeGate{}, claimer: newClaimer()}
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
	f.dispatcher = dispatch.NewServiceDispatcher(pool, f.claimer, newOptions(f.gate, retryBudget))
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
	call        dispatch.ServiceCall
	fault       service.Fault
	firstDown   bool
	retryBudget float64
	// outcome is empty if the call succeeds.
	outcome    problem.Outcome
	executions int
	// repeatOutcome is the outcome when the call is repeated without a fault. totalExecutions is the number of
	// executions after both calls.
	repeatOutcome   problem.Outcome
	totalExecutions int
}

// startBrokenService returns the URL of a service whose responses have a malformed field name.
func startBrokenService() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4<<10))
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nX Not: run\r\nContent-Length: 2\r\n\r\nok"))
			_ = conn.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

var _ = Describe("ServiceDispatcher", func() {
	// Guards against a response that is none reaching a caller, against a second execution after it, and against a failure of a
	// call that may be repeated.
	DescribeTable("never returns a response with a broken head",
		func(call dispatch.ServiceCall, outcome problem.Outcome, executions int) {
			f := newServiceFixture(9)
			f.gate.targets[0].URL = startBrokenService()
			_, prob := f.dispatcher.Call(context.Background(), call)
			if outcome == "" {
				Expect(prob).To(BeNil())
			} else {
				Expect(prob).NotTo(BeNil())
				Expect(prob.Outcome).To(Equal(outcome))
			}
			Expect(f.executions("o1")).To(Equal(executions))
		},
		Entry("of a repeatable call", repeatable, problem.Outcome(""), 1),
		Entry("of a call that must not be repeated", unmatched, problem.Unknown, 0),
		Entry("of a call with a claim", claimed, problem.Unknown, 0),
	)

	// Guards against a second execution of a call that must not be repeated, for any fault of its first attempt and any
	// retry budget, and against a claim that is released although the call may have run.
	DescribeTable("fault and kind of call", func(c serviceCase) {
		f := newServiceFixture(c.retryBudget)
		f.services[0].QueueFault(c.fault)
		if c.firstDown {
			f.services[0].Down()
		}
		expectOutcome := func(prob *problem.Problem, want problem.Outcome) {
			if want == "" {
				Expect(prob).To(BeNil())
				return
			}
			Expect(prob).NotTo(BeNil())
			Expect(prob.Outcome).To(Equal(want))
		}
		_, prob := f.dispatcher.Call(context.Background(), c.call)
		expectOutcome(prob, c.outcome)
		Expect(f.executions("o1")).To(Equal(c.executions))
		Expect(f.services[0].Up()).To(Succeed())
		_, prob = f.dispatcher.Call(context.Background(), c.call)
		expectOutcome(prob, c.repeatOutcome)
		Expect(f.executions("o1")).To(Equal(c.totalExecutions))
		Expect(f.gate.openTickets).To(BeZero(), "each ticket is released")
	},
		Entry("repeatable, no fault", serviceCase{call: repeatable, executions: 1, totalExecutions: 2}),
		Entry("repeatable, request lost", serviceCase{call: repeatable, fault: service.Fault{DropRequest: true}, retryBudget: 9, executions: 1, totalExecutions: 2}),
		Entry("repeatable, reply lost", serviceCase{call: repeatable, fault: service.Fault{DropReply: true}, retryBudget: 9, executions: 2, totalExecutions: 3}),
		Entry("repeatable, body cut", serviceCase{call: repeatable, fault: service.Fault{TruncateBody: true}, retryBudget: 9, executions: 2, totalExecutions: 3}),
		Entry("repeatable, no budget", serviceCase{call: repeatable, fault: service.Fault{DropRequest: true}, outcome: problem.Unknown, totalExecutions: 1}),
		Entry("repeatable, down", serviceCase{call: repeatable, firstDown: true, retryBudget: 9, executions: 1, totalExecutions: 2}),

		Entry("without a key, no fault", serviceCase{call: unmatched, executions: 1, totalExecutions: 2}),
		Entry("without a key, request lost", serviceCase{call: unmatched, fault: service.Fault{DropRequest: true}, retryBudget: 9, outcome: problem.Unknown, totalExecutions: 1}),
		Entry("without a key, reply lost", serviceCase{
			call: unmatched, fault: service.Fault{DropReply: true}, retryBudget: 9, outcome: problem.Unknown, executions: 1, totalExecutions: 2}),
		Entry("without a key, refused", serviceCase{call: unmatched, fault: service.Fault{Refuse: true}, retryBudget: 9, outcome: problem.NotRun, totalExecutions: 1}),
		Entry("without a key, down", serviceCase{call: unmatched, firstDown: true, retryBudget: 9, executions: 1, totalExecutions: 2}),

		Entry("claimed, no fault, replayed", serviceCase{call: claimed, executions: 1, totalExecutions: 1}),
		Entry("claimed, request lost", serviceCase{
			call: claimed, fault: service.Fault{DropRequest: true}, retryBudget: 9, outcome: problem.Unknown, repeatOutcome: problem.Unknown}),
		Entry("claimed, reply lost", serviceCase{
			call: claimed, fault: service.Fault{DropReply: true}, retryBudget: 9, outcome: problem.Unknown, executions: 1, repeatOutcome: problem.Unknown, totalExecutions: 1}),
		Entry("claimed, body cut", serviceCase{
			call: claimed, fault: service.Fault{TruncateBody: true}, retryBudget: 9, outcome: problem.Unknown, executions: 1, repeatOutcome: problem.Unknown, totalExecutions: 1}),
		Entry("claimed, 503 that does not state whether the call ran", serviceCase{
			call: claimed, fault: service.Fault{Status: 503}, retryBudget: 9, outcome: problem.Unknown, repeatOutcome: problem.Unknown}),
		Entry("claimed, failed, failure replayed", serviceCase{
			call: claimed, fault: service.Fault{Status: 500}, retryBudget: 9, outcome: problem.Failed, repeatOutcome: problem.Failed}),
		Entry("claimed, refused, released", serviceCase{
			call: claimed, fault: service.Fault{Refuse: true}, retryBudget: 9, outcome: problem.NotRun, totalExecutions: 1}),
		Entry("claimed, down, sent elsewhere", serviceCase{call: claimed, firstDown: true, retryBudget: 9, executions: 1, totalExecutions: 1}),
		Entry("claimed, down, no budget, released", serviceCase{call: claimed, firstDown: true, outcome: problem.NotRun, totalExecutions: 1}),
	)

	// Guards against a replay that differs from the recorded response.
	It("replays the recorded response", func() {
		f := newServiceFixture(0)
		first, prob := f.dispatcher.Call(context.Background(), claimed)
		Expect(prob).To(BeNil())
		second, prob := f.dispatcher.Call(context.Background(), claimed)
		Expect(prob).To(BeNil())
		Expect(second.Replayed).To(BeTrue())
		second.Replayed = false
		Expect(second).To(Equal(first))
	})

	// Guards against a claim that is kept although nothing was sent.
	It("releases the claim when no endpoint is admitted", func() {
		f := newServiceFixture(0)
		f.gate.targets = nil
		_, prob := f.dispatcher.Call(context.Background(), claimed)
		Expect(prob).To(HaveField("Outcome", problem.NotRun))
		Expect(f.claimer.activeClaims).To(BeEmpty())
	})

	// Guards against a wrong outcome for a key that cannot be claimed. The outcome is not_run only if the key was never
	// used for this request.
	DescribeTable("refused claims", func(err error, status int, outcome problem.Outcome) {
		f := newServiceFixture(0)
		f.claimer.err = err
		_, prob := f.dispatcher.Call(context.Background(), claimed)
		Expect(prob).To(HaveField("Status", status))
		Expect(prob).To(HaveField("Outcome", outcome))
		Expect(f.services[0].Calls()).To(BeZero())
	},
		Entry("reused", claims.ErrKeyReused, 422, problem.NotRun),
		Entry("in progress", claims.ErrInProgress, 409, problem.Unknown),
		Entry("unknown", claims.ErrOutcomeUnknown, 409, problem.Unknown),
		Entry("expired", claims.ErrExpired, 409, problem.Unknown),
		Entry("store unavailable", claims.ErrUnavailable, 503, problem.Unknown))

	// Guards against the repetition of a call whose path matches no route, or matches a prefix only up to the middle of
	// a path segment.
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

	// Guards against a path that matches one route but that the service normalises to another.
	DescribeTable("refuses ambiguous paths", func(path string) {
		f := newServiceFixture(9)
		_, prob := f.dispatcher.Call(context.Background(), serviceCall("GET", path, ""))
		Expect(prob).To(HaveField("Status", 400))
		Expect(f.services[0].Calls()).To(BeZero())
	},
		Entry("dot segments", "/menus/../orders"),
		Entry("encoded dot segments", "/menus/%2e%2E/orders"),
		Entry("encoded slash", "/menus%2f..%2forders"),
		Entry("empty segment", "/menus//orders"),
		Entry("backslash", `/menus\..\orders`),
		Entry("broken escape", "/menus/%zz"),
		Entry("relative", "menus"))

	// Guards against a call without an idempotency key where the route requires one.
	It("requires an idempotency key if the route does", func() {
		f := newServiceFixture(0)
		_, prob := f.dispatcher.Call(context.Background(), serviceCall("POST", "/orders", ""))
		Expect(prob).To(HaveField("Type", problem.TypeKeyRequired))
	})
})
