package daemon_test

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	"github.com/mulberryglade/mulberryglade/internal/standin/service"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
)

// checkHonest compares what callers were told so far of the calls with one key with how often the order ran: not_run
// holds for all calls with the key, since a caller that trusts it may use another key.
func (w *world) checkHonest(id string, replies ...reply) {
	GinkgoHelper()
	executions := w.bed.Executions(id)
	Expect(executions).To(BeNumerically("<=", 1), "the order ran more than once")
	for _, r := range replies {
		switch r.outcome() {
		case "":
			Expect(executions).To(Equal(1), "a caller got a response to an order that did not run")
		case problem.NotRun:
			Expect(executions).To(BeZero(), "a caller was told not_run of an order that ran")
		}
	}
}

var _ = Describe("an order that must run at most once", Ordered, func() {
	var w *world
	var a, b *instance
	// desks sets the fault of the calls of both replicas, so that a call that is wrongly repeated meets it again.
	desks := func(fault service.Fault) {
		w.eachDesk(func(s *service.Service) { s.Always(fault) })
	}

	BeforeAll(func() {
		w = newWorld(worldOptions{desks: 2, placed: true})
		a = w.startReady("entry-1", dcA)
		b = w.startReady("entry-2", dcA)
		Eventually(func() int { return len(a.Status().Peers) + len(b.Status().Peers) }).Should(Equal(2))
	})

	AfterEach(func() {
		w.bed.Store.Faults.SetDown(false)
		desks(service.Fault{})
	})

	// Guards against two instances that each send a call with the same key.
	It("runs once when sent at two instances at the same time", func() {
		for n := range 20 {
			id := fmt.Sprintf("race-%d", n)
			var mu sync.Mutex
			var replies []reply
			var group conc.WaitGroup
			for _, at := range []*instance{a, b, a, b} {
				group.Go(func() {
					defer GinkgoRecover()
					r := at.order(id, id)
					mu.Lock()
					defer mu.Unlock()
					replies = append(replies, r)
				})
			}
			group.Wait()
			w.checkHonest(id, replies...)
			Expect(w.bed.Executions(id)).To(Equal(1))
		}
	})

	// Guards against a claim that is taken for another instance's, or written twice, after its reply was lost.
	It("runs once when the reply to its claim is lost", func() {
		w.bed.Store.Faults.Next(kv.CallCommit, kv.Fault{DropReply: true})
		first := a.order("lost-claim", "lost-claim")
		second := b.order("lost-claim", "lost-claim")
		w.checkHonest("lost-claim", first, second)
		Expect(second.outcome()).NotTo(Equal(problem.NotRun), "the first call claimed the key")
	})

	// Guards against a claim that takes effect late, after the caller was told that its order did not run.
	It("does not run an order whose claim takes effect after the answer", func() {
		for range 8 {
			w.bed.Store.Faults.Next(kv.CallCommit, kv.Fault{Hold: true})
		}
		first := a.order("late-claim", "late-claim")
		w.bed.Store.ApplyHeld()
		w.checkHonest("late-claim", first)
		// Faults that this order did not use up must not reach the next test.
		Eventually(func() string { return string(b.order("flush", "flush").outcome()) }).Should(BeEmpty())
	})

	// Guards against a call that is sent without a claim during an outage, and against not_run for a key that cannot be
	// looked up.
	It("is not sent while the store is down, and runs afterwards with the same key", func() {
		w.bed.Store.Faults.SetDown(true)
		first := a.order("outage", "outage")
		Expect(first.outcome()).To(Equal(problem.Unknown), first.body)
		Expect(first.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(w.bed.Executions("outage")).To(BeZero())
		w.bed.Store.Faults.SetDown(false)
		Eventually(func() problem.Outcome { return b.order("outage", "outage").outcome() }).Should(BeEmpty())
		Expect(w.bed.Executions("outage")).To(Equal(1))
	})

	// Guards against not_run for a repetition of an order that ran.
	It("is not reported as not run by an instance that cannot look its key up", func() {
		w.checkHonest("known", a.order("known", "known"))
		w.bed.Store.Faults.SetDown(true)
		again := b.order("known", "known")
		Expect(again.outcome()).To(Equal(problem.Unknown), again.body)
		w.checkHonest("known", again)
	})

	// Guards against a second run of an order whose response could not be recorded.
	It("does not run again when the store went down during the call", func() {
		desks(service.Fault{Hook: func() { w.bed.Store.Faults.SetDown(true) }})
		first := a.order("unrecorded", "unrecorded")
		Expect(first.outcome()).To(BeEmpty(), first.body)
		w.bed.Store.Faults.SetDown(false)
		second := b.order("unrecorded", "unrecorded")
		Expect(second.outcome()).To(Equal(problem.Unknown), second.body)
		w.checkHonest("unrecorded", first, second)
	})

	DescribeTable("does not run again after a failure at the service",
		func(id string, fault service.Fault, executions int) {
			desks(fault)
			first := a.order(id, id)
			Expect(first.outcome()).To(Equal(problem.Unknown), first.body)
			second := b.order(id, id)
			Expect(second.outcome()).To(Equal(problem.Unknown), second.body)
			w.checkHonest(id, first, second)
			Expect(w.bed.Executions(id)).To(Equal(executions))
		},
		// Guards against a retry of an order that ran.
		Entry("whose reply was lost", "lost-reply", service.Fault{DropReply: true}, 1),
		// Guards against a truncated response, or a retry of an order that ran.
		Entry("whose reply was truncated", "truncated", service.Fault{TruncateBody: true}, 1),
		// Guards against not_run for a request that was sent.
		Entry("that lost the request", "lost-request", service.Fault{Lose: true}, 0),
		// Guards against not_run by the status of an intermediary.
		Entry("that answered 503 without a statement", "bare-503", service.Fault{Status: 503}, 0),
	)

	// Guards against a key that stays used although the service said that it did not run the order.
	It("can be sent again with its key after the service refused it", func() {
		desks(service.Fault{Refuse: true})
		first := a.order("refused", "refused")
		desks(service.Fault{})
		w.checkHonest("refused", first)
		Expect(first.outcome()).To(Equal(problem.NotRun), first.body)
		second := b.order("refused", "refused")
		Expect(second.outcome()).To(BeEmpty(), second.body)
		Expect(w.bed.Executions("refused")).To(Equal(1))
	})

	// Guards against a wrong outcome, or a retry, when the process that runs the order ends.
	It("is reported as unknown when the service is killed during the call", func() {
		reached := make(chan struct{})
		desks(service.Fault{Hook: sync.OnceFunc(func() { close(reached) }), Delay: time.Hour})
		first := inBackground(func() reply { return a.order("killed", "killed") })
		Eventually(reached).Should(BeClosed())
		w.eachDesk((*service.Service).Down)
		var told reply
		Eventually(first).Should(Receive(&told))
		Expect(told.outcome()).To(Equal(problem.Unknown), told.body)
		w.eachDesk(func(s *service.Service) { Expect(s.Up()).To(Succeed()) })
		desks(service.Fault{})
		second := b.order("killed", "killed")
		Expect(second.outcome()).To(Equal(problem.Unknown), second.body)
		w.checkHonest("killed", told, second)
		Eventually(func() problem.Outcome { return b.order("back", "back").outcome() }).Should(BeEmpty())
	})

	// Guards against a key that is granted twice: at its issuer and at another instance, or after a lost reply.
	It("runs once with an issued key that is redeemed at another instance", func() {
		key := a.issueKey()
		first := b.order("issued", key)
		Expect(first.outcome()).To(BeEmpty(), first.body)
		second := a.order("issued", key)
		Expect(second.outcome()).To(BeEmpty(), second.body)
		Expect(second.header.Get("Idempotent-Replayed")).To(Equal("true"))
		w.checkHonest("issued", first, second)
	})

	// Guards against issued keys that need the store.
	It("runs once with an issued key while the store is down", func() {
		w.bed.Store.Faults.SetDown(true)
		key := b.issueKey()
		first := a.order("issued-outage", key)
		Expect(first.outcome()).To(BeEmpty(), first.body)
		second := b.order("issued-outage", key)
		w.checkHonest("issued-outage", first, second)
	})
})

var _ = Describe("an order at an instance that crashes", func() {
	var w *world
	var a, b *instance

	BeforeEach(func() {
		w = newWorld(worldOptions{placed: true})
		a = w.startReady("entry-1", dcA)
		b = w.startReady("entry-2", dcA)
		Eventually(func() int { return len(a.Status().Peers) + len(b.Status().Peers) }).Should(Equal(2))
	})

	// Guards against a second run by an instance that takes the claim of a crashed one for its own.
	It("does not run again at another instance", func() {
		desk := w.bed.Services[deskName(dcA, 0)]
		reached, proceed := make(chan struct{}), make(chan struct{})
		desk.Next(service.Fault{Hook: func() { close(reached); <-proceed }})
		first := inBackground(func() reply { return a.order("crash", "crash") })
		Eventually(reached).Should(BeClosed())
		a.crash()
		var told reply
		Eventually(first).Should(Receive(&told))
		Expect(told.err).To(HaveOccurred())
		during := b.order("crash", "crash")
		close(proceed)
		Eventually(func() int { return w.bed.Executions("crash") }).Should(Equal(1))
		after := b.order("crash", "crash")
		Expect(during.outcome()).To(Equal(problem.Unknown), during.body)
		Expect(after.outcome()).To(Equal(problem.Unknown), after.body)
		w.checkHonest("crash", told, during, after)
	})

	// Guards against a key that another incarnation grants although its issuer may have granted it before it was lost.
	It("is reported as unknown when its key's issuer is gone, also after a restart under the same name", func() {
		key := a.issueKey()
		used := b.order("used", key)
		Expect(used.outcome()).To(BeEmpty(), used.body)
		fresh := a.issueKey()
		a.crash()
		again := b.order("used", key)
		Expect(again.outcome()).To(Equal(problem.Unknown), again.body)
		gone := b.order("fresh", fresh)
		Expect(gone.outcome()).To(Equal(problem.Unknown), gone.body)
		Eventually(a.ended).Should(BeClosed())
		restarted := w.startReady("entry-1", dcA)
		Expect(restarted.order("used", key).outcome()).To(Equal(problem.Unknown))
		Expect(w.bed.Executions("used")).To(Equal(1))
		Expect(w.bed.Executions("fresh")).To(BeZero())
	})
})
