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

// modelsWithoutCopy returns the models without a loaded copy of the version. An empty version means any version.
func (env *testEnv) modelsWithoutCopy(version string, models ...string) []string {
	missing := []string{}
	for _, name := range models {
		if !env.hasLoadedCopy(name, version) {
			missing = append(missing, name)
		}
	}
	return missing
}

func (env *testEnv) hasLoadedCopy(name, version string) bool {
	for _, e := range env.bed.Engines {
		for _, a := range e.Memory().Report().Artifacts {
			if a.Name == name && a.State == engine.StateLoaded && (version == "" || a.Version == version) {
				return true
			}
		}
	}
	return false
}

// holder returns an instance that holds a placement lease, or nil.
func (env *testEnv) holder() *instance {
	for _, i := range env.instances {
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

// lossRecorder records models that have no loaded copy when an order reaches an engine.
type lossRecorder struct {
	mu   sync.Mutex
	lost []string
}

// watch checks the models before each order takes effect. They must be loaded when it is called.
func (l *lossRecorder) watch(env *testEnv, models ...string) {
	env.eachEngine(func(e *standin.Engine) {
		e.Faults().SetDefault(standin.CallOrder, standin.Fault{Hook: func() {
			missing := env.modelsWithoutCopy("", models...)
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
	// Guards against memory that is reserved twice, and against models that are not loaded again, when orders are lost,
	// the store is unreachable, engines and the lease holder are replaced, and versions change.
	It("keeps within memory and loads every model again after each failure", func() {
		names := []string{"menu", "supply", "notes"}
		env := newTestEnv(testEnvOptions{
			engines: 2, ignoresFencing: ignoresFencing, models: []fields{model("menu"), model("supply"), model("notes")},
		})
		for _, fault := range []standin.Fault{{DropRequest: true}, {}, {DropReply: true}, {Refuse: true}, {Status: 500}, {DropReply: true}, {DropRequest: true}} {
			env.eachEngine(func(e *standin.Engine) { e.Faults().Queue(standin.CallOrder, fault) })
		}
		env.startReady("entry-1", dcA)
		env.startReady("entry-2", dcA)
		allLoaded := func(version string) {
			GinkgoHelper()
			Eventually(env.modelsWithoutCopy).WithArguments(version, "menu", "supply", "notes").Should(BeEmpty())
			Expect(env.bed.Overcommits()).To(BeZero())
		}
		allLoaded("1")

		By("an engine that restarts while the store is down")
		env.bed.Store.Faults.SetDown(true)
		env.bed.Engines[engineName(dcA, 0)].Down()
		Expect(env.bed.Engines[engineName(dcA, 0)].Up()).To(Succeed())
		env.bed.Store.Faults.SetDown(false)
		allLoaded("1")

		By("a lease holder that crashes, and an engine that restarts before another instance acquires the lease")
		Eventually(env.holder).ShouldNot(BeNil())
		crashed := env.holder()
		crashed.crash()
		env.expireLeases()
		env.bed.Engines[engineName(dcA, 1)].Down()
		Expect(env.bed.Engines[engineName(dcA, 1)].Up()).To(Succeed())
		Eventually(crashed.ended).Should(BeClosed())
		Eventually(env.holder).ShouldNot(BeNil())
		allLoaded("1")

		By("new versions of all models")
		losses := &lossRecorder{}
		losses.watch(env, names...)
		env.apply("versions", setVersion("2", names...))
		allLoaded("2")
		for _, name := range names {
			Eventually(env.hasLoadedCopy).WithArguments(name, "1").Should(BeFalse(), "old version of "+name)
		}
		Expect(losses.all()).To(BeEmpty(), "models without a loaded copy during the change")
		Expect(env.bed.Overcommits()).To(BeZero())
	})

	// Guards against a new lease holder that uses the memory of an order which is still in transit: two models use 24
	// of 30 GB, and the late order would load an old version as a third copy.
	It("counts an order that arrives after the lease holder crashed", func() {
		env := newTestEnv(testEnvOptions{ignoresFencing: ignoresFencing, models: []fields{model("menu"), model("supply")}})
		e := env.bed.Engines[engineName(dcA, 0)]
		orderBarrier := newBarrier(1)
		e.Faults().Queue(standin.CallOrder, standin.Fault{}) // the VerbFence order that begins the session
		e.Faults().Queue(standin.CallOrder, standin.Fault{Hook: orderBarrier.wait})
		env.startReady("entry-1", dcA)
		Eventually(orderBarrier.reached).Should(BeClosed())
		env.instances["entry-1"].crash()
		env.expireLeases()
		env.apply("versions", setVersion("2", "menu", "supply"))
		env.startReady("entry-2", dcA)
		orders := e.Faults().Count(standin.CallOrder)
		// The new holder has sent its VerbFence order and a load order.
		Eventually(func() int { return e.Faults().Count(standin.CallOrder) }).Should(BeNumerically(">=", orders+2))
		orderBarrier.release()
		Eventually(env.modelsWithoutCopy).WithArguments("", "menu", "supply").Should(BeEmpty())
		Consistently(env.bed.Overcommits, "1s").Should(BeZero())
	})

	// Guards against two instances that place at the same time because one has not detected the end of its lease.
	It("passes to another instance when the lease holder loses the store", func() {
		env := newTestEnv(testEnvOptions{ignoresFencing: ignoresFencing, models: []fields{model("menu"), model("supply")}})
		a := env.startReady("entry-1", dcA)
		b := env.startReady("entry-2", dcA)
		Eventually(env.modelsWithoutCopy).WithArguments("1", "menu", "supply").Should(BeEmpty())
		Eventually(env.holder).ShouldNot(BeNil())
		previous, other := env.holder(), a
		if previous == a {
			other = b
		}
		previous.store.setOpen(false)
		env.expireLeases()
		Eventually(other.holds).Should(BeTrue())
		Eventually(previous.holds).Should(BeFalse())
		revision := env.apply("version", setVersion("2", "menu")).Revision
		previous.store.setOpen(true)
		env.waitForRevision(revision)
		Eventually(env.modelsWithoutCopy).WithArguments("", "menu", "supply").Should(BeEmpty())
		Expect(env.bed.Overcommits()).To(BeZero())
	})
},
	Entry("check fencing numbers", false),
	Entry("ignore fencing numbers", true),
)
