package daemon_test

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standin "github.com/mulberryglade/mulberryglade/internal/standin/engine"
	"github.com/mulberryglade/mulberryglade/internal/standin/service"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
)

var _ = Describe("a graceful shutdown", func() {
	var env *testEnv
	var a *instance

	BeforeEach(func() {
		env = newTestEnv(testEnvOptions{preloaded: true, engines: 2})
		a = env.startReady("entry-1", dcA)
	})

	// stop begins the shutdown, waits until new calls are rejected and checks the problems that callers get.
	stop := func() {
		GinkgoHelper()
		a.Stop()
		Eventually(func() problem.Type {
			return a.do(http.MethodGet, "/v1/models", "").problem.Type
		}).Should(Equal(problem.TypeShuttingDown))
		call, order := a.chat("late", "menu"), a.order("late", "late")
		Expect(call.problem.Type).To(Equal(problem.TypeShuttingDown), call.body)
		Expect(call.outcome()).To(Equal(problem.NotRun))
		Expect(order.problem.Type).To(Equal(problem.TypeShuttingDown), order.body)
		Expect(order.outcome()).To(Equal(problem.Unknown), "an earlier call with the key may have run")
		Expect(env.bed.Executions("late")).To(BeZero())
	}
	expectCleanExit := func() {
		GinkgoHelper()
		Eventually(a.ended).Should(BeClosed())
		Expect(a.err).NotTo(HaveOccurred())
	}

	// Guards against running streams and orders that are cut off by the shutdown, against waiting calls that are
	// dropped, and against an exit status that reports a failure.
	It("finishes running streams, waiting calls and orders", func() {
		const runningStreams, waitingStreams = 64, 8
		streamBarrier := newBarrier(runningStreams)
		env.eachEngine(func(e *standin.Engine) {
			e.Faults().SetDefault(standin.CallInference, standin.Fault{OnChunk: streamBarrier.beforeChunk(5)})
		})
		orderBarrier := newBarrier(1)
		env.eachDesk(func(s *service.Service) { s.SetDefaultFault(service.Fault{Hook: orderBarrier.wait}) })
		results := make([]<-chan streamResult, runningStreams+waitingStreams)
		for n := range results {
			results[n] = inBackground(func() streamResult { return a.stream(fmt.Sprintf("drain-%d", n), "menu") })
		}
		order := inBackground(func() reply { return a.order("drain", "drain") })
		Eventually(streamBarrier.reached).Should(BeClosed())
		Eventually(orderBarrier.reached).Should(BeClosed())
		Eventually(func() int { return a.Status().Queued }).Should(Equal(waitingStreams))
		stop()
		streamBarrier.release()
		orderBarrier.release()
		for n, result := range results {
			var s streamResult
			Eventually(result).Should(Receive(&s))
			s.check(fmt.Sprintf("drain-%d", n))
			Expect(s.done).To(BeTrue())
		}
		var received reply
		Eventually(order).Should(Receive(&received))
		Expect(received.outcome()).To(BeEmpty(), received.body)
		Expect(env.bed.Executions("drain")).To(Equal(1))
		expectCleanExit()
	})

	// Guards against a call that was accepted before the shutdown and is rejected before its next attempt.
	It("finishes a call that is sent to another engine after the first one refused it", func() {
		refusalBarrier := newBarrier(1)
		env.eachEngine(func(e *standin.Engine) {
			e.Faults().SetDefault(standin.CallInference, standin.Fault{Refuse: true, Hook: refusalBarrier.wait})
		})
		call := inBackground(func() reply { return a.chat("again", "menu") })
		Eventually(refusalBarrier.reached).Should(BeClosed())
		env.eachEngine(func(e *standin.Engine) { e.Faults().Clear() })
		stop()
		refusalBarrier.release()
		var received reply
		Eventually(call).Should(Receive(&received))
		received.checkComplete("again")
		expectCleanExit()
	})
})

func (env *testEnv) eachDesk(do func(*service.Service)) {
	for _, s := range env.bed.Services {
		do(s)
	}
}
