package daemon_test

import (
	"slices"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standin "github.com/mulberryglade/mulberryglade/internal/standin/engine"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

// unloaded returns the models without a loaded copy, in the version or, if it is empty, in any.
func (w *world) unloaded(version string, models ...string) []string {
	missing := []string{}
	for _, name := range models {
		if !w.loaded(name, version) {
			missing = append(missing, name)
		}
	}
	return missing
}

func (w *world) loaded(name, version string) bool {
	for _, e := range w.bed.Engines {
		for _, a := range e.Memory().Report().Artifacts {
			if a.Name == name && a.State == engine.StateLoaded && (version == "" || a.Version == version) {
				return true
			}
		}
	}
	return false
}

// holder returns the instance that holds the placement lease of its data centre, or nil.
func (w *world) holder() *instance {
	for _, i := range w.instances {
		if i.holds() {
			return i
		}
	}
	return nil
}

func (i *instance) holds() bool {
	for _, shard := range i.Status().Placement {
		if shard.Held {
			return true
		}
	}
	return false
}

// lossRecorder notes models that had a loaded copy and have none when an order reaches an engine.
type lossRecorder struct {
	mu   sync.Mutex
	lost []string
}

// watch checks the models before each order takes effect.
func (l *lossRecorder) watch(w *world, models ...string) {
	w.eachEngine(func(e *standin.Engine) {
		e.Faults().Always(standin.CallOrder, standin.Fault{Hook: func() {
			missing := w.unloaded("", models...)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.lost = append(l.lost, missing...)
		}})
	})
}

func (l *lossRecorder) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.lost)
}

func setVersion(version string, models ...string) func(config.Kind, string, fields) {
	return func(kind config.Kind, name string, record fields) {
		if kind == config.KindModel && slices.Contains(models, name) {
			record["version"] = version
		}
	}
}

var _ = DescribeTableSubtree("placement on engines that", func(ignoresFencing bool) {
	// Guards against memory that is given out twice, and against models that are not loaded again, when orders are lost,
	// the store is away, engines and the lease holder are replaced, and versions change.
	It("keeps within memory and loads every model again after each failure", func() {
		names := []string{"menu", "supply", "notes"}
		w := newWorld(worldOptions{
			engines: 2, ignoresFencing: ignoresFencing, models: []fields{model("menu"), model("supply"), model("notes")},
		})
		for _, fault := range []standin.Fault{{Lose: true}, {}, {DropReply: true}, {Refuse: true}, {Status: 500}, {DropReply: true}, {Lose: true}} {
			w.eachEngine(func(e *standin.Engine) { e.Faults().Next(standin.CallOrder, fault) })
		}
		w.startReady("entry-1", dcA)
		w.startReady("entry-2", dcA)
		allLoaded := func(version string) {
			GinkgoHelper()
			Eventually(w.unloaded).WithArguments(version, "menu", "supply", "notes").Should(BeEmpty())
			Expect(w.bed.Violations()).To(BeZero())
		}
		allLoaded("1")

		By("an engine that restarts while the store is down")
		w.bed.Store.Faults.SetDown(true)
		w.bed.Engines[engineName(dcA, 0)].Down()
		Expect(w.bed.Engines[engineName(dcA, 0)].Up()).To(Succeed())
		w.bed.Store.Faults.SetDown(false)
		allLoaded("1")

		By("a lease holder that crashes, and an engine that restarts before another one took over")
		Eventually(w.holder).ShouldNot(BeNil())
		crashed := w.holder()
		crashed.crash()
		w.expireLeases()
		w.bed.Engines[engineName(dcA, 1)].Down()
		Expect(w.bed.Engines[engineName(dcA, 1)].Up()).To(Succeed())
		Eventually(crashed.ended).Should(BeClosed())
		Eventually(w.holder).ShouldNot(BeNil())
		allLoaded("1")

		By("new versions of all models")
		losses := &lossRecorder{}
		losses.watch(w, names...)
		w.apply("versions", setVersion("2", names...))
		allLoaded("2")
		for _, name := range names {
			Eventually(w.loaded).WithArguments(name, "1").Should(BeFalse(), "old version of "+name)
		}
		Expect(losses.all()).To(BeEmpty(), "models without a loaded copy during the change")
		Expect(w.bed.Violations()).To(BeZero())
	})

	// Guards against a new lease holder that gives out the memory of an order which is still on its way: two models take
	// 24 of 30 GB, and the late order would load an old version as a third copy.
	It("counts an order that arrives after the lease holder crashed", func() {
		w := newWorld(worldOptions{ignoresFencing: ignoresFencing, models: []fields{model("menu"), model("supply")}})
		e := w.bed.Engines[engineName(dcA, 0)]
		late := newHold(1)
		e.Faults().Next(standin.CallOrder, standin.Fault{}) // the fence order of the session
		e.Faults().Next(standin.CallOrder, standin.Fault{Hook: late.wait})
		w.startReady("entry-1", dcA)
		Eventually(late.reached).Should(BeClosed())
		w.instances["entry-1"].crash()
		w.expireLeases()
		w.apply("versions", setVersion("2", "menu", "supply"))
		w.startReady("entry-2", dcA)
		orders := e.Faults().Count(standin.CallOrder)
		// The new holder has fenced its session and loaded what it may.
		Eventually(func() int { return e.Faults().Count(standin.CallOrder) }).Should(BeNumerically(">=", orders+2))
		late.release()
		Eventually(w.unloaded).WithArguments("", "menu", "supply").Should(BeEmpty())
		Consistently(w.bed.Violations, "1s").Should(BeZero())
	})

	// Guards against two instances that place at the same time, one of which does not know that its lease ended.
	It("passes to another instance when the lease holder loses the store", func() {
		w := newWorld(worldOptions{ignoresFencing: ignoresFencing, models: []fields{model("menu"), model("supply")}})
		a := w.startReady("entry-1", dcA)
		b := w.startReady("entry-2", dcA)
		Eventually(w.unloaded).WithArguments("1", "menu", "supply").Should(BeEmpty())
		Eventually(w.holder).ShouldNot(BeNil())
		former, other := w.holder(), a
		if former == a {
			other = b
		}
		former.store.set(false)
		w.expireLeases()
		Eventually(other.holds).Should(BeTrue())
		Eventually(former.holds).Should(BeFalse())
		revision := w.apply("version", setVersion("2", "menu")).Revision
		former.store.set(true)
		w.inEffect(revision)
		Eventually(w.unloaded).WithArguments("", "menu", "supply").Should(BeEmpty())
		Expect(w.bed.Violations()).To(BeZero())
	})
},
	Entry("check fencing numbers", false),
	Entry("ignore fencing numbers", true),
)
