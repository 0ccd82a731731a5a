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
	var w *world
	var a *instance

	BeforeEach(func() {
		w = newWorld(worldOptions{placed: true, engines: 2})
		a = w.startReady("entry-1", dcA)
	})

	// stop begins the shutdown and waits until new calls are refused.
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
		Expect(w.bed.Executions("late")).To(BeZero())
	}
	ended := func() {
		GinkgoHelper()
		Eventually(a.ended).Should(BeClosed())
		Expect(a.err).NotTo(HaveOccurred())
	}

	// Guards against streams and orders that are cut off by the shutdown, against calls that wait for capacity and are
	// dropped, and against an exit status that tells an operator of a failure.
	It("finishes running streams, waiting calls and orders", func() {
		const running, waiting = 64, 8
		streams := newHold(running)
		w.eachEngine(func(e *standin.Engine) {
			e.Faults().Always(standin.CallInference, standin.Fault{OnChunk: streams.at(5)})
		})
		orders := newHold(1)
		w.eachDesk(func(s *service.Service) { s.Always(service.Fault{Hook: orders.wait}) })
		results := make([]<-chan streamed, running+waiting)
		for n := range results {
			results[n] = inBackground(func() streamed { return a.stream(fmt.Sprintf("drain-%d", n), "menu") })
		}
		order := inBackground(func() reply { return a.order("drain", "drain") })
		Eventually(streams.reached).Should(BeClosed())
		Eventually(orders.reached).Should(BeClosed())
		Eventually(func() int { return a.Status().Queued }).Should(Equal(waiting))
		stop()
		streams.release()
		orders.release()
		for n, result := range results {
			var s streamed
			Eventually(result).Should(Receive(&s))
			s.check(fmt.Sprintf("drain-%d", n))
			Expect(s.done).To(BeTrue())
		}
		var told reply
		Eventually(order).Should(Receive(&told))
		Expect(told.outcome()).To(BeEmpty(), told.body)
		Expect(w.bed.Executions("drain")).To(Equal(1))
		ended()
	})

	// Guards against a call that was accepted before the shutdown and is refused between two of its steps.
	It("finishes a call that is sent to another engine after the first one refused it", func() {
		refusal := newHold(1)
		w.eachEngine(func(e *standin.Engine) {
			e.Faults().Always(standin.CallInference, standin.Fault{Refuse: true, Hook: refusal.wait})
		})
		call := inBackground(func() reply { return a.chat("again", "menu") })
		Eventually(refusal.reached).Should(BeClosed())
		w.eachEngine(func(e *standin.Engine) { e.Faults().Clear() })
		stop()
		refusal.release()
		var told reply
		Eventually(call).Should(Receive(&told))
		told.checkComplete("again")
		ended()
	})
})

func (w *world) eachDesk(do func(*service.Service)) {
	for _, s := range w.bed.Services {
		do(s)
	}
}
