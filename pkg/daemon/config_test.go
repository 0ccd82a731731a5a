package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/configstore"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/settings"
)

const headKey = settings.DefaultStorePrefix + "config/head"

// operatorStore calls functions before and after a write of the configuration head.
type operatorStore struct {
	*kv.Memory
	// before is called once, before the first such write.
	before func()
	// after returns the error that replaces the result of the write.
	after func() error
}

// Commit implements kvstore.Writer.
func (s *operatorStore) Commit(ctx context.Context, writes []kvstore.ConditionalWrite) ([]kvstore.WriteResult, error) {
	writesHead := false
	for _, write := range writes {
		for _, put := range write.Puts {
			writesHead = writesHead || put.Key == headKey
		}
	}
	if writesHead && s.before != nil {
		before := s.before
		s.before = nil
		before()
	}
	results, err := s.Memory.Commit(ctx, writes)
	if writesHead && err == nil && s.after != nil {
		return nil, s.after()
	}
	return results, err
}

func (s *operatorStore) apply(change configstore.Change) (configstore.Result, error) {
	repository := configstore.New(s, configstore.Options{Prefix: settings.DefaultStorePrefix})
	return repository.Apply(context.Background(), change)
}

// setTimeout returns an edit that sets the default timeout of a model. It makes a new configuration without a visible
// effect on calls.
func setTimeout(model string, ms int) func(config.Kind, string, fields) {
	return func(kind config.Kind, name string, record fields) {
		if kind == config.KindModel && name == model {
			record["defaultTimeoutMs"] = json.Number(strconv.Itoa(ms))
		}
	}
}

// defaultTimeouts returns the default timeout of each model in a configuration.
func defaultTimeouts(stored *configstore.Contents) map[string]string {
	timeouts := make(map[string]string)
	for _, r := range stored.Records() {
		if r.Kind == config.KindModel {
			timeouts[r.Name] = fmt.Sprint(r.Fields["defaultTimeoutMs"])
		}
	}
	return timeouts
}

// recordsNamed returns the records with the name of the model.
func recordsNamed(model string, records []config.RawRecord) []config.RawRecord {
	return slices.DeleteFunc(records, func(r config.RawRecord) bool { return r.Name != model })
}

func (i *instance) revision() int64 { return i.Status().Config.Revision }

// waitForRevision waits until all running instances have the revision.
func (env *testEnv) waitForRevision(revision int64) {
	GinkgoHelper()
	for _, i := range env.instances {
		select {
		case <-i.ended:
		default:
			Eventually(i.revision).Should(Equal(revision), i.Status().InstanceID)
		}
	}
}

var _ = Describe("an accepted configuration", func() {
	var env *testEnv
	var a, b, c *instance

	BeforeEach(func() {
		env = newTestEnv(testEnvOptions{dataCentres: []string{dcA, dcC}, preloaded: true, models: []fields{model("menu"), model("supply")}})
		a = env.startReady("entry-1", dcA)
		b = env.startReady("entry-2", dcA)
		c = env.startReady("entry-3", dcC)
		for _, i := range env.instances {
			Eventually(func() int { return len(i.Status().Peers) }).Should(Equal(2))
		}
	})

	// Guards against a change that is lost, or applied twice, when the operator gets no response.
	It("comes into effect although the store went down right after the write of the head", func() {
		store := &operatorStore{Memory: env.bed.Store, after: func() error {
			env.bed.Store.Faults.SetDown(true)
			return kvstore.ErrOutcomeUnknown
		}}
		change := configstore.Change{ID: "outage", Records: env.change(setTimeout("menu", 50000))}
		_, err := store.apply(change)
		Expect(err).To(HaveOccurred())
		env.bed.Store.Faults.SetDown(false)
		stored, err := env.repository().Read(context.Background(), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(defaultTimeouts(stored)).To(HaveKeyWithValue("menu", "50000"))
		env.waitForRevision(stored.Head.Revision)
		store.after = nil
		result, err := store.apply(change)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.AlreadyApplied).To(BeTrue())
		env.waitForRevision(stored.Head.Revision)
	})

	// Guards against an instance that cannot start, or starts with an older configuration, during an outage.
	It("is fetched from a peer by an instance that starts while the store is down", func() {
		revision := env.apply("newer", setTimeout("menu", 50000)).Revision
		env.waitForRevision(revision)
		env.bed.Store.Faults.SetDown(true)
		late := env.startReady("entry-4", dcA)
		Expect(late.revision()).To(Equal(revision))
		late.chat("late", "menu").checkComplete("late")
		env.bed.Store.Faults.SetDown(false)
	})

	// Guards against an older configuration taking effect after the store was restored from a backup.
	It("is not replaced by an older head", func() {
		old, _, _, err := env.bed.Store.Get(context.Background(), headKey)
		Expect(err).NotTo(HaveOccurred())
		revision := env.apply("newer", setTimeout("menu", 50000)).Revision
		env.waitForRevision(revision)
		_, err = env.bed.Store.Commit(context.Background(), []kvstore.ConditionalWrite{
			{Puts: []kvstore.Put{{Key: headKey, Value: old.Value}}},
		})
		Expect(err).NotTo(HaveOccurred())
		// Wait until each relay has read the changed head. The instance that starts then finds the older head in the
		// store and the newer revision only at its peers.
		reads := env.bed.Store.Faults.Count(kv.CallGet)
		Eventually(func() int { return env.bed.Store.Faults.Count(kv.CallGet) }).Should(BeNumerically(">=", reads+4))
		late := env.startReady("entry-4", dcA)
		Eventually(late.revision).Should(Equal(revision))
		for _, i := range []*instance{a, b, c} {
			Expect(i.revision()).To(Equal(revision))
		}
	})

	// Guards against a data centre whose instances keep waiting for a crashed relay.
	It("comes into effect after the relay of a data centre crashed", func() {
		relay, other := a, b
		if b.Status().Config.Relay {
			relay, other = b, a
		}
		Expect(relay.Status().Config.Relay).To(BeTrue())
		Expect(other.Status().Config.Relay).To(BeFalse())
		// The other data centre cannot reach the store, so the change cannot come from there.
		c.store.setOpen(false)
		relay.crash()
		Eventually(func() bool { return other.Status().Config.Relay }).Should(BeTrue())
		env.waitForRevision(env.apply("after", setTimeout("menu", 50000)).Revision)
	})

	// Guards against a change that another operator overwrites unseen, or that takes effect only in part.
	It("contains only one of two concurrent changes of the same record", func() {
		var second configstore.Result
		var secondErr error
		first := &operatorStore{Memory: env.bed.Store, before: func() {
			second, secondErr = (&operatorStore{Memory: env.bed.Store}).apply(
				configstore.Change{ID: "second", Records: env.change(setTimeout("menu", 40000))})
		}}
		_, err := first.apply(configstore.Change{ID: "first", Records: env.change(setTimeout("menu", 50000))})
		var conflict *configstore.Conflict
		Expect(errors.As(err, &conflict)).To(BeTrue(), "%v", err)
		Expect(conflict.ChangeIDs).To(ConsistOf("second"))
		Expect(secondErr).NotTo(HaveOccurred())
		env.waitForRevision(second.Revision)
	})

	// Guards against a change that is lost because another operator changes other records at the same time.
	It("contains both of two concurrent changes of different records", func() {
		first := &operatorStore{Memory: env.bed.Store, before: func() {
			_, err := (&operatorStore{Memory: env.bed.Store}).apply(
				configstore.Change{ID: "second", Records: recordsNamed("supply", env.change(setTimeout("supply", 40000)))})
			Expect(err).NotTo(HaveOccurred())
		}}
		result, err := first.apply(configstore.Change{ID: "first", Records: recordsNamed("menu", env.change(setTimeout("menu", 50000)))})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.ConcurrentChangeIDs).To(ConsistOf("second"))
		env.waitForRevision(result.Revision)
		stored, err := env.repository().Read(context.Background(), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(defaultTimeouts(stored)).To(Equal(map[string]string{"menu": "50000", "supply": "40000"}))
	})

	// Guards against a data centre that keeps an old configuration while it cannot reach the store itself.
	It("reaches through peers a data centre that is cut off from the store", func() {
		c.store.setOpen(false)
		revision := env.apply("through-peers", setTimeout("menu", 50000)).Revision
		env.waitForRevision(revision)
	})

	// Guards against a data centre that keeps its older configuration after a partition, or makes others return to it.
	It("reaches a data centre after a partition", func() {
		env.setPartition(dcC, true)
		before := c.revision()
		revision := env.apply("partition", setTimeout("menu", 50000)).Revision
		Eventually(a.revision).Should(Equal(revision))
		Eventually(b.revision).Should(Equal(revision))
		Expect(c.revision()).To(Equal(before))
		env.setPartition(dcC, false)
		env.waitForRevision(revision)
	})
})

var _ = Describe("a data centre that is cut off from the others and from the store", func() {
	// Guards against calls that depend on the store or on another data centre, and against a data centre that does not
	// recover after the partition.
	It("goes on serving what it has loaded", func() {
		centres := []string{dcA, dcB, dcC}
		env := newTestEnv(testEnvOptions{dataCentres: centres, preloaded: true, partitionable: true})
		instances := make(map[string]*instance)
		for n, dc := range centres {
			instances[dc] = env.startReady(fmt.Sprintf("entry-%d", n), dc)
		}
		for _, dc := range centres {
			env.setPartition(dc, true)
		}
		// The calls begin only when each instance knows that its state of the store is old: the age of its last store
		// contact is above zero.
		for _, i := range instances {
			Eventually(func() bool { return i.Status().Store.ContactAgeMs > 0 }).Should(BeTrue())
		}
		for n := range 10 {
			for dc, i := range instances {
				id := fmt.Sprintf("%s-%d", dc, n)
				i.chat(id, "menu").checkComplete(id)
				s := i.stream(id, "menu")
				s.check(id)
				Expect(s.done).To(BeTrue())
				r := i.order(id, i.issueKey())
				Expect(r.outcome()).To(BeEmpty(), r.body)
				env.checkOutcomes(id, r)
				Expect(i.do(http.MethodGet, "/v1/services/order-desk/prices", "").outcome()).To(BeEmpty())
			}
		}
		for _, dc := range centres {
			env.setPartition(dc, false)
		}
		env.waitForRevision(env.apply("reconnected", setTimeout("menu", 50000)).Revision)
		for _, i := range instances {
			Eventually(func() string { return string(i.order("again", "again").outcome()) }).Should(BeEmpty())
		}
		Expect(env.bed.Executions("again")).To(Equal(1))
		Expect(env.bed.Overcommits()).To(BeZero())
	})
})
