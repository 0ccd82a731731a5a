package engine

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/internal/testkit"
)

func TestEngine(t *testing.T) {
	testkit.RunSpecs(t, "engine stand-in")
}

func startEngine(options Options) (*Engine, string) {
	e := New(options)
	url, err := e.Start()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.Close)
	return e, url
}

// post sends a body and returns the status, or zero if there was no response.
func post(url, body string) int {
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

var _ = Describe("batch", func() {
	// Guards against ignored priorities and an unbounded queue.
	It("admits by priority, then by arrival", func() {
		b := newBatch(1, 3)
		first := b.submit(0)
		low, high, later := b.submit(1), b.submit(5), b.submit(5)
		Expect(b.submit(9)).To(BeNil(), "the queue is full")
		order := []*waiter{first, high, later, low}
		for i, w := range order {
			Expect(w.admitted).To(BeClosed())
			for _, waiting := range order[i+1:] {
				Expect(waiting.admitted).NotTo(BeClosed())
			}
			b.remove(w)
		}
		running, waiting := b.counts()
		Expect([]int{running, waiting}).To(Equal([]int{0, 0}))
	})

	// Guards against a slot that is lost when a waiting request is cancelled.
	It("removes a cancelled request from the queue", func() {
		b := newBatch(1, 3)
		first, cancelled, last := b.submit(0), b.submit(0), b.submit(0)
		b.remove(cancelled)
		b.remove(first)
		Expect(last.admitted).To(BeClosed())
	})
})

var _ = Describe("prefixCache", func() {
	// Guards against an unlimited cache, evictions without an event, and event losses that differ between runs.
	It("evicts the least recently used block and loses the events that its seed determines", func() {
		c := newPrefixCache(2, 0, 1)
		Expect(c.lookupAndStore("m", []uint64{1, 2})).To(Equal(0))
		Expect(c.lookupAndStore("m", []uint64{1, 3})).To(Equal(1))
		Expect(c.cachedBlocks([]uint64{1, 2, 3})).To(Equal([]uint64{1, 3}))
		var stored, evicted []uint64
		for i, event := range c.eventsAfter(0, 0) {
			Expect(event.Sequence).To(BeEquivalentTo(i + 1))
			if event.Stored {
				stored = append(stored, event.PrefixHash)
			} else {
				evicted = append(evicted, event.PrefixHash)
			}
		}
		Expect(stored).To(Equal([]uint64{1, 2, 3}))
		Expect(evicted).To(Equal([]uint64{2}))

		sequences := func() []int64 {
			lossy := newPrefixCache(100, 0.5, 7)
			var seen []int64
			for i := range uint64(50) {
				lossy.storeAll("m", []uint64{i})
			}
			for _, event := range lossy.eventsAfter(0, 0) {
				seen = append(seen, event.Sequence)
			}
			return seen
		}
		Expect(sequences()).To(Equal(sequences()))
		Expect(len(sequences())).To(And(BeNumerically(">", 10), BeNumerically("<", 40)))
	})
})

var _ = Describe("Engine", func() {
	order := `{"id":"o1","fencingNumber":1,"verb":"load","artifact":{"kind":"model","name":"m","version":"1"},
		"accelerators":[0],"bytesPerAccelerator":1}`
	slowOptions := func() Options {
		timing := DefaultTiming()
		timing.ModelLoad, timing.TokenInterval, timing.ReportLag = time.Hour, time.Hour, time.Hour
		return Options{Timing: timing, TimeScale: 1}
	}

	// Guards against an order of an ended process that changes the memory of the next process.
	DescribeTable("an order ends with the process that received it", func(delayed bool) {
		e, url := startEngine(slowOptions())
		hookCalled := make(chan struct{})
		release := make(chan struct{})
		if delayed {
			e.Faults().Queue(CallOrder, Fault{Hook: func() { close(hookCalled); <-release }})
		} else {
			close(release)
		}
		status := make(chan int, 1)
		go func() { status <- post(url+"/v1/engine/orders", order) }()
		if delayed {
			<-hookCalled
		} else {
			Eventually(func() int { return len(e.Memory().Report().Artifacts) }).Should(Equal(1))
		}
		incarnation := e.Memory().Incarnation()
		e.Down()
		Expect(e.Up()).To(Succeed())
		if delayed {
			close(release)
		}
		Expect(<-status).To(BeZero(), "the reply is lost")
		e.WaitIdle()
		Expect(e.Memory().Report()).To(And(HaveField("Artifacts", BeEmpty()), HaveField("LastOrderIDs", BeEmpty())))
		Expect(e.Memory().Incarnation()).NotTo(Equal(incarnation))
	},
		Entry("while its artifact loads", false),
		Entry("while a fault delays it", true))

	// Guards against serving a model that is not loaded, and against load figures without a lag.
	It("serves only loaded models and reports load with a lag", func() {
		options := slowOptions()
		options.Timing.ModelLoad = 0
		e, url := startEngine(options)
		request := `{"model":"m","prompt":"x"}`
		Expect(post(url+"/v1/completions", request)).To(Equal(503))
		Expect(post(url+"/v1/engine/orders", order)).To(Equal(200))
		Expect(e.Report().Running).To(Equal(0))
		go post(url+"/v1/completions", request)
		Eventually(e.Running).Should(Equal(1))
		Expect(e.Report().Running).To(Equal(0), "the load figures lag")
		Expect(e.Report().Artifacts).To(HaveLen(1), "the artifacts are current")
	})

	// Guards against faults that cannot be set from another process.
	It("sets faults over HTTP", func() {
		e, url := startEngine(Options{ServeAll: true})
		request := `{"model":"m","prompt":"x"}`
		Expect(post(url+"/faults", `{"call":"inference","fault":{"status":500}}`)).To(Equal(204))
		Expect(post(url+"/v1/completions", request)).To(Equal(500))
		Expect(post(url+"/v1/completions", request)).To(Equal(200))
		Expect(post(url+"/faults", `{"call":"inference","always":true,"fault":{"refuse":true}}`)).To(Equal(204))
		Expect(post(url+"/v1/completions", request)).To(Equal(503))
		Expect(post(url+"/v1/completions", request)).To(Equal(503))
		clearRequest, err := http.NewRequest("DELETE", url+"/faults", bytes.NewReader(nil))
		Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultTransport.RoundTrip(clearRequest)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(post(url+"/v1/completions", request)).To(Equal(200))
		incarnation := e.Memory().Incarnation()
		// The restart closes the connection of its own request, before or after the new incarnation begins.
		post(url+"/faults/restart", "")
		Eventually(e.Memory().Incarnation).ShouldNot(Equal(incarnation))
		Eventually(func() int { return post(url+"/faults", `{`) }).Should(Equal(400))
	})
})
