package daemon_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standin "github.com/mulberryglade/mulberryglade/internal/standin/engine"
	"github.com/mulberryglade/mulberryglade/pkg/config"
)

var _ = Describe("a leaving endpoint", func() {
	var w *world
	var a, b *instance
	leavingEngine, leavingDesk := engineName(dcA, 0), deskName(dcA, 0)

	BeforeEach(func() {
		w = newWorld(worldOptions{engines: 2, desks: 2, placed: true})
		a = w.startReady("entry-1", dcA)
		b = w.startReady("entry-2", dcA)
	})

	// Guards against an instance that sends new work to an endpoint after the mark reached it, and against running
	// responses that are broken off or moved by the mark.
	DescribeTable("gets no new call and finishes its streams when marked by", func(mark func()) {
		running := newHold(2)
		w.eachEngine(func(e *standin.Engine) {
			e.Faults().Next(standin.CallInference, standin.Fault{OnChunk: running.at(5)})
		})
		var results []<-chan streamed
		// Each engine gets one of the first two calls: the other one is less loaded.
		results = append(results, inBackground(func() streamed { return a.stream("running-0", "menu") }))
		Eventually(w.running).Should(Equal(1))
		results = append(results, inBackground(func() streamed { return a.stream("running-1", "menu") }))
		Eventually(running.reached).Should(BeClosed())

		mark()
		for _, at := range []*instance{a, b} {
			Eventually(at.leaving).Should(ConsistOf(leavingEngine, leavingDesk))
		}
		engineCalls := w.bed.Engines[leavingEngine].Faults().Count(standin.CallInference)
		deskCalls := w.bed.Services[leavingDesk].Calls()
		for n := range 20 {
			for _, at := range []*instance{a, b} {
				id := fmt.Sprintf("%s-%d", at.Status().InstanceID, n)
				at.chat(id, "menu").checkComplete(id)
				Expect(at.order(id, id).outcome()).To(BeEmpty())
			}
		}
		Expect(w.bed.Engines[leavingEngine].Faults().Count(standin.CallInference)).To(Equal(engineCalls))
		Expect(w.bed.Services[leavingDesk].Calls()).To(Equal(deskCalls))
		running.release()
		for n, result := range results {
			var s streamed
			Eventually(result).Should(Receive(&s))
			s.check(fmt.Sprintf("running-%d", n))
			Expect(s.done).To(BeTrue())
		}
	},
		Entry("its own report", func() {
			w.bed.Engines[leavingEngine].SetLeaving(true)
			w.bed.Services[leavingDesk].SetLeaving(true)
		}),
		Entry("the declarations", func() {
			w.apply("leaving", func(kind config.Kind, name string, record fields) {
				if name == leavingEngine || name == leavingDesk {
					record["leaving"] = true
				}
			})
		}),
	)

	// Guards against calls that keep failing at an endpoint that ended without a mark.
	It("gets no new call after it ended without a mark", func() {
		w.bed.Services[leavingDesk].Down()
		w.bed.Engines[leavingEngine].Down()
		for _, at := range []*instance{a, b} {
			Eventually(at.unhealthy).Should(ConsistOf(leavingEngine, leavingDesk))
		}
		for n := range 10 {
			for _, at := range []*instance{a, b} {
				id := fmt.Sprintf("%s-%d", at.Status().InstanceID, n)
				at.chat(id, "menu").checkComplete(id)
				Expect(at.order(id, id).outcome()).To(BeEmpty())
			}
		}
	})
})

// running returns the number of started calls of all instances.
func (w *world) running() int {
	total := 0
	for _, i := range w.instances {
		total += i.Status().InFlight
	}
	return total
}

func (i *instance) leaving() []string {
	names := []string{}
	for _, e := range i.SeenEndpoints() {
		if e.Leaving {
			names = append(names, e.Name)
		}
	}
	return names
}

func (i *instance) unhealthy() []string {
	names := []string{}
	for _, e := range i.SeenEndpoints() {
		if e.Health != "healthy" {
			names = append(names, e.Name)
		}
	}
	return names
}
