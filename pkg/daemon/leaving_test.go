package daemon_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standin "github.com/mulberryglade/mulberryglade/internal/standin/engine"
	"github.com/mulberryglade/mulberryglade/pkg/config"
)

var _ = Describe("a leaving endpoint", func() {
	var env *testEnv
	var a, b *instance
	leavingEngine, leavingDesk := engineName(dcA, 0), deskName(dcA, 0)

	BeforeEach(func() {
		env = newTestEnv(testEnvOptions{engines: 2, desks: 2, preloaded: true})
		a = env.startReady("entry-1", dcA)
		b = env.startReady("entry-2", dcA)
	})

	// Guards against an instance that sends new calls to an endpoint which it knows to be leaving, and against running
	// streams that are broken off or moved when the endpoint is marked as leaving.
	DescribeTable("gets no new call and finishes its streams when marked by", func(mark func()) {
		streamBarrier := newBarrier(2)
		env.eachEngine(func(e *standin.Engine) {
			e.Faults().Queue(standin.CallInference, standin.Fault{OnChunk: streamBarrier.beforeChunk(5)})
		})
		var results []<-chan streamResult
		// Each engine gets one of the first two calls, since the second call goes to the less loaded engine.
		results = append(results, inBackground(func() streamResult { return a.stream("running-0", "menu") }))
		Eventually(env.callsInFlight).Should(Equal(1))
		results = append(results, inBackground(func() streamResult { return a.stream("running-1", "menu") }))
		Eventually(streamBarrier.reached).Should(BeClosed())

		mark()
		for _, entry := range []*instance{a, b} {
			Eventually(entry.leaving).Should(ConsistOf(leavingEngine, leavingDesk))
		}
		engineCalls := env.bed.Engines[leavingEngine].Faults().Count(standin.CallInference)
		deskCalls := env.bed.Services[leavingDesk].Calls()
		for n := range 20 {
			for _, entry := range []*instance{a, b} {
				id := fmt.Sprintf("%s-%d", entry.Status().InstanceID, n)
				entry.chat(id, "menu").checkComplete(id)
				Expect(entry.order(id, id).outcome()).To(BeEmpty())
			}
		}
		Expect(env.bed.Engines[leavingEngine].Faults().Count(standin.CallInference)).To(Equal(engineCalls))
		Expect(env.bed.Services[leavingDesk].Calls()).To(Equal(deskCalls))
		streamBarrier.release()
		for n, result := range results {
			var s streamResult
			Eventually(result).Should(Receive(&s))
			s.check(fmt.Sprintf("running-%d", n))
			Expect(s.done).To(BeTrue())
		}
	},
		Entry("its own report", func() {
			env.bed.Engines[leavingEngine].SetLeaving(true)
			env.bed.Services[leavingDesk].SetLeaving(true)
		}),
		Entry("the declarations", func() {
			env.apply("leaving", func(kind config.Kind, name string, record fields) {
				if name == leavingEngine || name == leavingDesk {
					record["leaving"] = true
				}
			})
		}),
	)

	// Guards against calls that keep failing at an endpoint that exited without being marked as leaving.
	It("gets no new call after it exited without being marked as leaving", func() {
		env.bed.Services[leavingDesk].Down()
		env.bed.Engines[leavingEngine].Down()
		for _, entry := range []*instance{a, b} {
			Eventually(entry.unhealthy).Should(ConsistOf(leavingEngine, leavingDesk))
		}
		for n := range 10 {
			for _, entry := range []*instance{a, b} {
				id := fmt.Sprintf("%s-%d", entry.Status().InstanceID, n)
				entry.chat(id, "menu").checkComplete(id)
				Expect(entry.order(id, id).outcome()).To(BeEmpty())
			}
		}
	})
})

// callsInFlight returns the total number of started calls of all instances.
func (env *testEnv) callsInFlight() int {
	total := 0
	for _, i := range env.instances {
		total += i.Status().InFlight
	}
	return total
}

func (i *instance) leaving() []string {
	names := []string{}
	for _, e := range i.EndpointList() {
		if e.Leaving {
			names = append(names, e.Name)
		}
	}
	return names
}

func (i *instance) unhealthy() []string {
	names := []string{}
	for _, e := range i.EndpointList() {
		if e.Health != "healthy" {
			names = append(names, e.Name)
		}
	}
	return names
}
