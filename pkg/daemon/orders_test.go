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

// checkOutcomes checks the outcomes that callers got for calls with one key against the number of executions of the
// order. The outcome not_run must hold for all calls with the key, since a caller that gets it may use another key.
func (env *testEnv) checkOutcomes(id string, replies ...reply) {
	GinkgoHelper()
	executions := env.bed.Executions(id)
	Expect(executions).To(BeNumerically("<=", 1), "the order ran more than once")
	for _, r := range replies {
		switch r.outcome() {
		case "":
			Expect(executions).To(Equal(1), "a caller got a response to an order that did not run")
		case problem.NotRun:
			Expect(executions).To(BeZero(), "a caller got not_run for an order that ran")
		}
	}
}

var _ = Describe("an order that must run at most once", Ordered, func() {
	var env *testEnv
	var a, b *instance
	// setDeskFaults sets the fault of all calls at both replicas, so that it also affects a call that is wrongly
	// repeated.
	setDeskFaults := func(fault service.Fault) {
		env.eachDesk(func(s *service.Service) { s.SetDefaultFault(fault) })
	}

	BeforeAll(func() {
		env = newTestEnv(testEnvOptions{desks: 2, preloaded: true})
		a = env.startReady("entry-1", dcA)
		b = env.startReady("entry-2", dcA)
		Eventually(func() int { return len(a.Status().Peers) + len(b.Status().Peers) }).Should(Equal(2))
	})

	AfterEach(func() {
		env.bed.Store.Faults.SetDown(false)
		setDeskFaults(service.Fault{})
	})

	// Guards against two instances that each send a call with the same key.
	It("runs once when sent at two instances at the same time", func() {
		for n := range 20 {
			id := fmt.Sprintf("race-%d", n)
			var mu sync.Mutex
			var replies []reply
			var group conc.WaitGroup
			for _, entry := range []*instance{a, b, a, b} {
				group.Go(func() {
					defer GinkgoRecover()
					r := entry.order(id, id)
					mu.Lock()
					defer mu.Unlock()
					replies = append(replies, r)
				})
			}
			group.Wait()
			env.checkOutcomes(id, replies...)
			Expect(env.bed.Executions(id)).To(Equal(1))
		}
	})

	// Guards against an instance that mistakes its own claim for another instance's, or writes it twice, after the
	// reply to the write was lost.
	It("runs once when the reply to its claim is lost", func() {
		env.bed.Store.Faults.Queue(kv.CallCommit, kv.Fault{DropReply: true})
		first := a.order("lost-claim", "lost-claim")
		second := b.order("lost-claim", "lost-claim")
		env.checkOutcomes("lost-claim", first, second)
		Expect(second.outcome()).NotTo(Equal(problem.NotRun), "the first call claimed the key")
	})

	// Guards against a claim that takes effect after the caller got not_run for its order.
	It("does not run an order whose claim takes effect after the response", func() {
		for range 8 {
			env.bed.Store.Faults.Queue(kv.CallCommit, kv.Fault{Hold: true})
		}
		first := a.order("late-claim", "late-claim")
		env.bed.Store.ApplyHeld()
		env.checkOutcomes("late-claim", first)
		// The remaining faults must not affect the next test.
		Eventually(func() string { return string(b.order("flush", "flush").outcome()) }).Should(BeEmpty())
	})

	// Guards against a call that is sent without a claim during an outage, and against not_run for a key whose claim
	// cannot be read.
	It("is not sent while the store is down, and runs afterwards with the same key", func() {
		env.bed.Store.Faults.SetDown(true)
		first := a.order("outage", "outage")
		Expect(first.outcome()).To(Equal(problem.Unknown), first.body)
		Expect(first.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(env.bed.Executions("outage")).To(BeZero())
		env.bed.Store.Faults.SetDown(false)
		Eventually(func() problem.Outcome { return b.order("outage", "outage").outcome() }).Should(BeEmpty())
		Expect(env.bed.Executions("outage")).To(Equal(1))
	})

	// Guards against not_run for a repeated call whose order ran.
	It("is not reported as not run by an instance that cannot read the claim", func() {
		env.checkOutcomes("known", a.order("known", "known"))
		env.bed.Store.Faults.SetDown(true)
		again := b.order("known", "known")
		Expect(again.outcome()).To(Equal(problem.Unknown), again.body)
		env.checkOutcomes("known", again)
	})

	// Guards against a second run of an order whose response could not be recorded.
	It("does not run again when the store went down during the call", func() {
		setDeskFaults(service.Fault{Hook: func() { env.bed.Store.Faults.SetDown(true) }})
		first := a.order("unrecorded", "unrecorded")
		Expect(first.outcome()).To(BeEmpty(), first.body)
		env.bed.Store.Faults.SetDown(false)
		second := b.order("unrecorded", "unrecorded")
		Expect(second.outcome()).To(Equal(problem.Unknown), second.body)
		env.checkOutcomes("unrecorded", first, second)
	})

	DescribeTable("does not run again after a failure at the service",
		func(id string, fault service.Fault, executions int) {
			setDeskFaults(fault)
			first := a.order(id, id)
			Expect(first.outcome()).To(Equal(problem.Unknown), first.body)
			second := b.order(id, id)
			Expect(second.outcome()).To(Equal(problem.Unknown), second.body)
			env.checkOutcomes(id, first, second)
			Expect(env.bed.Executions(id)).To(Equal(executions))
		},
		// Guards against a retry of an order that ran.
		Entry("whose reply was lost", "lost-reply", service.Fault{DropReply: true}, 1),
		// Guards against a truncated response, or a retry of an order that ran.
		Entry("whose reply was truncated", "truncated", service.Fault{TruncateBody: true}, 1),
		// Guards against not_run for a request that was sent.
		Entry("that lost the request", "lost-request", service.Fault{DropRequest: true}, 0),
		// Guards against not_run concluded from the status of an intermediary.
		Entry("that responded with 503 and without X-Not-Run", "bare-503", service.Fault{Status: 503}, 0),
	)

	// Guards against a key that stays used although the service reported that it did not run the order.
	It("can be sent again with its key after the service refused it", func() {
		setDeskFaults(service.Fault{Refuse: true})
		first := a.order("refused", "refused")
		setDeskFaults(service.Fault{})
		env.checkOutcomes("refused", first)
		Expect(first.outcome()).To(Equal(problem.NotRun), first.body)
		second := b.order("refused", "refused")
		Expect(second.outcome()).To(BeEmpty(), second.body)
		Expect(env.bed.Executions("refused")).To(Equal(1))
	})

	// Guards against a wrong outcome, or a retry, when the process that runs the order is killed.
	It("is reported as unknown when the service is killed during the call", func() {
		reached := make(chan struct{})
		setDeskFaults(service.Fault{Hook: sync.OnceFunc(func() { close(reached) }), Delay: time.Hour})
		first := inBackground(func() reply { return a.order("killed", "killed") })
		Eventually(reached).Should(BeClosed())
		env.eachDesk((*service.Service).Down)
		var firstReply reply
		Eventually(first).Should(Receive(&firstReply))
		Expect(firstReply.outcome()).To(Equal(problem.Unknown), firstReply.body)
		env.eachDesk(func(s *service.Service) { Expect(s.Up()).To(Succeed()) })
		setDeskFaults(service.Fault{})
		second := b.order("killed", "killed")
		Expect(second.outcome()).To(Equal(problem.Unknown), second.body)
		env.checkOutcomes("killed", firstReply, second)
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
		env.checkOutcomes("issued", first, second)
	})

	// Guards against issued keys that need the store.
	It("runs once with an issued key while the store is down", func() {
		env.bed.Store.Faults.SetDown(true)
		key := b.issueKey()
		first := a.order("issued-outage", key)
		Expect(first.outcome()).To(BeEmpty(), first.body)
		second := b.order("issued-outage", key)
		env.checkOutcomes("issued-outage", first, second)
	})
})

var _ = Describe("an order at an instance that crashes", func() {
	var env *testEnv
	var a, b *instance

	BeforeEach(func() {
		env = newTestEnv(testEnvOptions{preloaded: true})
		a = env.startReady("entry-1", dcA)
		b = env.startReady("entry-2", dcA)
		Eventually(func() int { return len(a.Status().Peers) + len(b.Status().Peers) }).Should(Equal(2))
	})

	// Guards against a second execution by an instance that mistakes the claim of a crashed instance for its own.
	It("does not run again at another instance", func() {
		desk := env.bed.Services[deskName(dcA, 0)]
		reached, proceed := make(chan struct{}), make(chan struct{})
		desk.QueueFault(service.Fault{Hook: func() { close(reached); <-proceed }})
		first := inBackground(func() reply { return a.order("crash", "crash") })
		Eventually(reached).Should(BeClosed())
		a.crash()
		var firstReply reply
		Eventually(first).Should(Receive(&firstReply))
		Expect(firstReply.err).To(HaveOccurred())
		during := b.order("crash", "crash")
		close(proceed)
		Eventually(func() int { return env.bed.Executions("crash") }).Should(Equal(1))
		after := b.order("crash", "crash")
		Expect(during.outcome()).To(Equal(problem.Unknown), during.body)
		Expect(after.outcome()).To(Equal(problem.Unknown), after.body)
		env.checkOutcomes("crash", firstReply, during, after)
	})

	// Guards against a key that another incarnation of its issuer grants although the crashed one may have granted it.
	It("is reported as unknown when the issuer of its key has crashed, also after a restart under the same name", func() {
		key := a.issueKey()
		used := b.order("used", key)
		Expect(used.outcome()).To(BeEmpty(), used.body)
		unusedKey := a.issueKey()
		a.crash()
		again := b.order("used", key)
		Expect(again.outcome()).To(Equal(problem.Unknown), again.body)
		unusedKeyReply := b.order("fresh", unusedKey)
		Expect(unusedKeyReply.outcome()).To(Equal(problem.Unknown), unusedKeyReply.body)
		Eventually(a.ended).Should(BeClosed())
		restarted := env.startReady("entry-1", dcA)
		Expect(restarted.order("used", key).outcome()).To(Equal(problem.Unknown))
		Expect(env.bed.Executions("used")).To(Equal(1))
		Expect(env.bed.Executions("fresh")).To(BeZero())
	})
})
