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

// operatorStore runs functions around the write of the configuration head.
type operatorStore struct {
	*kv.Memory
	before func()
	// after returns the error that the operator sees instead of the result.
	after func() error
}

// Commit implements kvstore.Writer.
func (s *operatorStore) Commit(ctx context.Context, writes []kvstore.ConditionalWrite) ([]kvstore.WriteResult, error) {
	head := false
	for _, write := range writes {
		for _, put := range write.Puts {
			head = head || put.Key == headKey
		}
	}
	if head && s.before != nil {
		before := s.before
		s.before = nil
		before()
	}
	results, err := s.Memory.Commit(ctx, writes)
	if head && err == nil && s.after != nil {
		return nil, s.after()
	}
	return results, err
}

func (s *operatorStore) apply(change configstore.Change) (configstore.Result, error) {
	repository := configstore.New(s, configstore.Options{Prefix: settings.DefaultStorePrefix})
	return repository.Apply(context.Background(), change)
}

// timeout is a change of one record that instances show to nobody but that makes another configuration.
func timeout(model string, ms int) func(config.Kind, string, fields) {
	return func(kind config.Kind, name string, record fields) {
		if kind == config.KindModel && name == model {
			record["defaultTimeoutMs"] = json.Number(strconv.Itoa(ms))
		}
	}
}

// defaultTimeouts returns the timeouts of the models in a configuration.
func defaultTimeouts(stored *configstore.Contents) map[string]string {
	timeouts := make(map[string]string)
	for _, r := range stored.Records() {
		if r.Kind == config.KindModel {
			timeouts[r.Name] = fmt.Sprint(r.Fields["defaultTimeoutMs"])
		}
	}
	return timeouts
}

// only returns the records of the model.
func only(model string, records []config.RawRecord) []config.RawRecord {
	return slices.DeleteFunc(records, func(r config.RawRecord) bool { return r.Name != model })
}

func (i *instance) revision() int64 { return i.Status().Config.Revision }

// inEffect waits until all instances have the revision.
func (w *world) inEffect(revision int64) {
	GinkgoHelper()
	for _, i := range w.instances {
		select {
		case <-i.ended:
		default:
			Eventually(i.revision).Should(Equal(revision), i.Status().InstanceID)
		}
	}
}

var _ = Describe("an accepted configuration", func() {
	var w *world
	var a, b, c *instance

	BeforeEach(func() {
		w = newWorld(worldOptions{dataCentres: []string{dcA, dcC}, placed: true, models: []fields{model("menu"), model("supply")}})
		a = w.startReady("entry-1", dcA)
		b = w.startReady("entry-2", dcA)
		c = w.startReady("entry-3", dcC)
		for _, i := range w.instances {
			Eventually(func() int { return len(i.Status().Peers) }).Should(Equal(2))
		}
	})

	// Guards against a change that is lost, or applied a second time, when the operator got no answer.
	It("comes into effect although the store went down right after the write of the head", func() {
		store := &operatorStore{Memory: w.bed.Store, after: func() error {
			w.bed.Store.Faults.SetDown(true)
			return kvstore.ErrOutcomeUnknown
		}}
		change := configstore.Change{ID: "outage", Records: w.change(timeout("menu", 50000))}
		_, err := store.apply(change)
		Expect(err).To(HaveOccurred())
		w.bed.Store.Faults.SetDown(false)
		stored, err := w.repository().Read(context.Background(), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(defaultTimeouts(stored)).To(HaveKeyWithValue("menu", "50000"))
		w.inEffect(stored.Head.Revision)
		store.after = nil
		result, err := store.apply(change)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.AlreadyApplied).To(BeTrue())
		w.inEffect(stored.Head.Revision)
	})

	// Guards against an instance that cannot start, or starts with an older configuration, during an outage.
	It("is taken from a peer by an instance that starts while the store is down", func() {
		revision := w.apply("newer", timeout("menu", 50000)).Revision
		w.inEffect(revision)
		w.bed.Store.Faults.SetDown(true)
		late := w.startReady("entry-4", dcA)
		Expect(late.revision()).To(Equal(revision))
		late.chat("late", "menu").checkComplete("late")
		w.bed.Store.Faults.SetDown(false)
	})

	// Guards against a return to an older configuration from a store that was restored from a backup.
	It("is not replaced by an older head", func() {
		old, _, _, err := w.bed.Store.Get(context.Background(), headKey)
		Expect(err).NotTo(HaveOccurred())
		revision := w.apply("newer", timeout("menu", 50000)).Revision
		w.inEffect(revision)
		_, err = w.bed.Store.Commit(context.Background(), []kvstore.ConditionalWrite{
			{Puts: []kvstore.Put{{Key: headKey, Value: old.Value}}},
		})
		Expect(err).NotTo(HaveOccurred())
		// Each relay reads the head after it changed, and an instance that starts has only the old head and its peers.
		reads := w.bed.Store.Faults.Count(kv.CallGet)
		Eventually(func() int { return w.bed.Store.Faults.Count(kv.CallGet) }).Should(BeNumerically(">=", reads+4))
		late := w.startReady("entry-4", dcA)
		Eventually(late.revision).Should(Equal(revision))
		for _, i := range []*instance{a, b, c} {
			Expect(i.revision()).To(Equal(revision))
		}
	})

	// Guards against a data centre whose instances wait for a relay that is gone.
	It("comes into effect after the relay of a data centre crashed", func() {
		relay, other := a, b
		if b.Status().Config.Relay {
			relay, other = b, a
		}
		Expect(relay.Status().Config.Relay).To(BeTrue())
		Expect(other.Status().Config.Relay).To(BeFalse())
		// The other data centre does not reach the store either, so that the change cannot come from there.
		c.store.set(false)
		relay.crash()
		Eventually(func() bool { return other.Status().Config.Relay }).Should(BeTrue())
		w.inEffect(w.apply("after", timeout("menu", 50000)).Revision)
	})

	// Guards against a change that is overwritten by an operator who did not see it, or that takes effect in part.
	It("is one of two when operators race to change the same record", func() {
		var second configstore.Result
		var secondErr error
		first := &operatorStore{Memory: w.bed.Store, before: func() {
			second, secondErr = (&operatorStore{Memory: w.bed.Store}).apply(
				configstore.Change{ID: "second", Records: w.change(timeout("menu", 40000))})
		}}
		_, err := first.apply(configstore.Change{ID: "first", Records: w.change(timeout("menu", 50000))})
		var conflict *configstore.Conflict
		Expect(errors.As(err, &conflict)).To(BeTrue(), "%v", err)
		Expect(conflict.ChangeIDs).To(ConsistOf("second"))
		Expect(secondErr).NotTo(HaveOccurred())
		w.inEffect(second.Revision)
	})

	// Guards against an operator whose change is lost to another change of other records.
	It("holds both changes when operators race to change different records", func() {
		first := &operatorStore{Memory: w.bed.Store, before: func() {
			_, err := (&operatorStore{Memory: w.bed.Store}).apply(
				configstore.Change{ID: "second", Records: only("supply", w.change(timeout("supply", 40000)))})
			Expect(err).NotTo(HaveOccurred())
		}}
		result, err := first.apply(configstore.Change{ID: "first", Records: only("menu", w.change(timeout("menu", 50000)))})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.RebasedOver).To(ConsistOf("second"))
		w.inEffect(result.Revision)
		stored, err := w.repository().Read(context.Background(), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(defaultTimeouts(stored)).To(Equal(map[string]string{"menu": "50000", "supply": "40000"}))
	})

	// Guards against a data centre that keeps an old configuration as long as it does not reach the store itself.
	It("reaches a data centre that is cut off from the store through peers", func() {
		c.store.set(false)
		revision := w.apply("through-peers", timeout("menu", 50000)).Revision
		w.inEffect(revision)
	})

	// Guards against a data centre that does not catch up after a partition, or that takes back its older configuration.
	It("reaches a data centre after a partition", func() {
		w.setPartition(dcC, true)
		before := c.revision()
		revision := w.apply("partition", timeout("menu", 50000)).Revision
		Eventually(a.revision).Should(Equal(revision))
		Eventually(b.revision).Should(Equal(revision))
		Expect(c.revision()).To(Equal(before))
		w.setPartition(dcC, false)
		w.inEffect(revision)
	})
})

var _ = Describe("a data centre that is cut off from the others and from the store", func() {
	// Guards against calls that need the store, another data centre or an instance there, and against a data centre that
	// is not usable again after the partition.
	It("goes on serving what it has loaded", func() {
		centres := []string{dcA, dcB, dcC}
		w := newWorld(worldOptions{dataCentres: centres, placed: true, partitions: true})
		instances := make(map[string]*instance)
		for n, dc := range centres {
			instances[dc] = w.startReady(fmt.Sprintf("entry-%d", n), dc)
		}
		for _, dc := range centres {
			w.setPartition(dc, true)
		}
		// The store's and the peers' state is known to be old before the calls begin.
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
				w.checkHonest(id, r)
				Expect(i.do(http.MethodGet, "/v1/services/order-desk/prices", "").outcome()).To(BeEmpty())
			}
		}
		for _, dc := range centres {
			w.setPartition(dc, false)
		}
		w.inEffect(w.apply("reconnected", timeout("menu", 50000)).Revision)
		for _, i := range instances {
			Eventually(func() string { return string(i.order("again", "again").outcome()) }).Should(BeEmpty())
		}
		Expect(w.bed.Executions("again")).To(Equal(1))
		Expect(w.bed.Violations()).To(BeZero())
	})
})
