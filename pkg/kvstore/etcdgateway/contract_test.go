package etcdgateway_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	"github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore/etcdgateway"
)

func TestContract(t *testing.T) {
	testkit.RunSpecs(t, "kvstore contract")
}

// fixture is one implementation of kvstore.Store on top of a stand-in store with a test clock.
type fixture struct {
	store  kvstore.Store
	memory *kv.Memory
	now    time.Time
}

func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.memory.ExpireLeases()
}

func newMemoryFixture() *fixture {
	f := &fixture{memory: kv.NewMemory(), now: time.Unix(1_700_000_000, 0)}
	f.memory.Now = func() time.Time { return f.now }
	f.store = f.memory
	return f
}

// startServer starts the HTTP stand-in and returns its base URL.
func startServer(memory *kv.Memory, camelCase bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := kv.NewServer(memory)
	server.CamelCase = camelCase
	var wg conc.WaitGroup
	wg.Go(func() { _ = server.Serve(listener) })
	DeferCleanup(func() {
		_ = server.Close()
		wg.Wait()
	})
	return "http://" + listener.Addr().String()
}

func newClient(scope tally.Scope, timeout time.Duration, urls ...string) *etcdgateway.Client {
	client, err := etcdgateway.New(etcdgateway.Options{URLs: urls, Timeout: timeout, Scope: scope})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(client.Close)
	return client
}

func newHTTPFixture(camelCase bool) func() *fixture {
	return func() *fixture {
		f := newMemoryFixture()
		f.store = newClient(nil, time.Minute, startServer(f.memory, camelCase))
		return f
	}
}

func create(key, value string) kvstore.ConditionalWrite {
	return kvstore.ConditionalWrite{
		Conditions:    []kvstore.Condition{{Key: key, Field: kvstore.CreateRevision}},
		Puts:          []kvstore.Put{{Key: key, Value: []byte(value)}},
		ReadOnFailure: []string{key},
	}
}

func put(key, value string) kvstore.ConditionalWrite {
	return kvstore.ConditionalWrite{Puts: []kvstore.Put{{Key: key, Value: []byte(value)}}}
}

func commit(ctx context.Context, s kvstore.Store, writes ...kvstore.ConditionalWrite) []kvstore.WriteResult {
	GinkgoHelper()
	results, err := s.Commit(ctx, writes)
	Expect(err).NotTo(HaveOccurred())
	Expect(results).To(HaveLen(len(writes)))
	return results
}

func nextEvents(ctx context.Context, w kvstore.Watch) []kvstore.Event {
	GinkgoHelper()
	for {
		events, err := w.Next(ctx)
		Expect(err).NotTo(HaveOccurred())
		if len(events) > 0 {
			return events
		}
	}
}

var _ = Describe("Store", func() {
	Describe("in memory", func() { describeContract(newMemoryFixture) })
	Describe("HTTP adapter with snake_case names", func() { describeContract(newHTTPFixture(false)) })
	Describe("HTTP adapter with camelCase names", func() { describeContract(newHTTPFixture(true)) })
})

func describeContract(build func() *fixture) {
	var f *fixture
	var ctx context.Context
	BeforeEach(func() {
		f = build()
		// The timeout only ends a test that hangs.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), time.Minute)
		DeferCleanup(cancel)
	})

	It("applies a write only if its conditions hold, and returns the current values otherwise", func() {
		first := commit(ctx, f.store, create("a", "1"))[0]
		Expect(first.Applied).To(BeTrue())
		rejected := commit(ctx, f.store, create("a", "2"))[0]
		Expect(rejected.Applied).To(BeFalse())
		Expect(rejected.Current).To(HaveLen(1))
		Expect(rejected.Current[0].Value).To(BeEquivalentTo("1"))
		Expect(rejected.Current[0].ModRevision).To(Equal(first.Revision))
		update := put("a", "3")
		update.Conditions = []kvstore.Condition{{Key: "a", Equals: first.Revision}}
		second := commit(ctx, f.store, update)[0]
		Expect(second.Revision).To(BeNumerically(">", first.Revision))
		Expect(commit(ctx, f.store, update)[0].Applied).To(BeFalse())
		got, found, revision, err := f.store.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeTrue())
		Expect(revision).To(Equal(second.Revision))
		Expect(got).To(Equal(kvstore.KeyValue{Key: "a", Value: []byte("3"), CreateRevision: first.Revision, ModRevision: second.Revision}))
	})

	It("gives a recreated key a new create revision", func() {
		first := commit(ctx, f.store, create("a", "1"))[0]
		commit(ctx, f.store, kvstore.ConditionalWrite{Deletes: []string{"a"}})
		second := commit(ctx, f.store, create("a", "1"))[0]
		guarded := put("b", "x")
		guarded.Conditions = []kvstore.Condition{{Key: "a", Field: kvstore.CreateRevision, Equals: first.Revision}}
		Expect(commit(ctx, f.store, guarded)[0].Applied).To(BeFalse())
		guarded.Conditions[0].Equals = second.Revision
		Expect(commit(ctx, f.store, guarded)[0].Applied).To(BeTrue())
	})

	It("returns one result for each write of a call and evaluates all conditions before any write takes effect", func() {
		commit(ctx, f.store, put("taken", "old"))
		after := put("d", "4")
		after.Conditions = []kvstore.Condition{{Key: "b", Field: kvstore.CreateRevision}}
		results := commit(ctx, f.store, create("b", "2"), create("taken", "new"), after)
		Expect([]bool{results[0].Applied, results[1].Applied, results[2].Applied}).To(Equal([]bool{true, false, true}))
		Expect(results[1].Current[0].Value).To(BeEquivalentTo("old"))
		Expect(results[2].Revision).To(Equal(results[0].Revision))
	})

	It("rejects a key that is written twice and a value that is too large, and applies nothing", func() {
		_, err := f.store.Commit(ctx, []kvstore.ConditionalWrite{put("a", "1"), put("a", "2")})
		Expect(err).To(MatchError(kvstore.ErrUnavailable))
		large := kvstore.ConditionalWrite{Puts: []kvstore.Put{{Key: "a", Value: make([]byte, kvstore.MaxValueBytes+1)}}}
		_, err = f.store.Commit(ctx, []kvstore.ConditionalWrite{large})
		Expect(err).To(MatchError(kvstore.ErrValueTooLarge))
		_, found, _, err := f.store.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeFalse())
		large.Puts[0].Value = large.Puts[0].Value[1:]
		Expect(commit(ctx, f.store, large)[0].Applied).To(BeTrue())
	})

	DescribeTable("ranges over a prefix in key order", func(prefix string, want ...string) {
		commit(ctx, f.store, put("a/2", ""), put("a/1", ""), put("a", ""), put("b", ""), put("\xff\xff", ""), put("\xff\xffz", ""))
		kvs, _, err := f.store.Range(ctx, prefix)
		Expect(err).NotTo(HaveOccurred())
		var keys []string
		for _, kv := range kvs {
			keys = append(keys, kv.Key)
		}
		Expect(keys).To(Equal(want))
	},
		Entry("inner", "a/", "a/1", "a/2"),
		Entry("prefix without successor", "\xff\xff", "\xff\xff", "\xff\xffz"),
		Entry("everything", "", "a", "a/1", "a/2", "b", "\xff\xff", "\xff\xffz"),
	)

	It("deletes the keys of an expired or revoked lease and reports it to watches", func() {
		id, ttl, err := f.store.Grant(ctx, 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
		leased := kvstore.ConditionalWrite{Puts: []kvstore.Put{{Key: "a", Lease: id}}}
		revision := commit(ctx, f.store, leased)[0].Revision
		w, err := f.store.Watch(ctx, "a", revision+1)
		Expect(err).NotTo(HaveOccurred())
		defer w.Close()
		f.advance(ttl - time.Second)
		_, err = f.store.KeepAlive(ctx, id)
		Expect(err).NotTo(HaveOccurred())
		f.advance(ttl - time.Second)
		got, found, _, err := f.store.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeTrue())
		Expect(got.Lease).To(Equal(id))
		f.advance(time.Second)
		Expect(nextEvents(ctx, w)[0].Deleted).To(BeTrue())
		_, err = f.store.KeepAlive(ctx, id)
		Expect(err).To(MatchError(kvstore.ErrLeaseNotFound))
		_, err = f.store.Commit(ctx, []kvstore.ConditionalWrite{put("b", ""), leased})
		Expect(err).To(MatchError(kvstore.ErrLeaseNotFound))
		Expect(f.store.Revoke(ctx, id)).To(Succeed())
		kvs, _, err := f.store.Range(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(kvs).To(BeEmpty())
		id, _, err = f.store.Grant(ctx, 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
		commit(ctx, f.store, kvstore.ConditionalWrite{Puts: []kvstore.Put{{Key: "a", Lease: id}}})
		Expect(f.store.Revoke(ctx, id)).To(Succeed())
		_, found, _, err = f.store.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeFalse())
	})

	It("resumes a watch at a revision", func() {
		first := commit(ctx, f.store, put("p/a", "1"), put("q", "other"))[0].Revision
		commit(ctx, f.store, put("p/b", "2"))
		w, err := f.store.Watch(ctx, "p/", first+1)
		Expect(err).NotTo(HaveOccurred())
		Expect(nextEvents(ctx, w)[0].Key).To(Equal("p/b"))
		w.Close()
		_, err = w.Next(ctx)
		Expect(err).To(HaveOccurred())
		commit(ctx, f.store, kvstore.ConditionalWrite{Deletes: []string{"p/a"}})
		w, err = f.store.Watch(ctx, "p/", first+2)
		Expect(err).NotTo(HaveOccurred())
		defer w.Close()
		deleted := nextEvents(ctx, w)[0]
		Expect(deleted.Deleted).To(BeTrue())
		Expect(deleted.Key).To(Equal("p/a"))
		commit(ctx, f.store, put("p/c", "live"))
		Expect(nextEvents(ctx, w)[0].Value).To(BeEquivalentTo("live"))
		canceled, cancel := context.WithCancel(ctx)
		cancel()
		_, err = w.Next(canceled)
		Expect(err).To(MatchError(context.Canceled))
	})

	It("reports a compacted start revision", func() {
		f.memory.HistoryLimit = 3
		for range 5 {
			commit(ctx, f.store, put("a", "x"))
		}
		w, err := f.store.Watch(ctx, "a", 2)
		if err == nil {
			defer w.Close()
			_, err = w.Next(ctx)
		}
		Expect(err).To(MatchError(kvstore.ErrCompacted))
	})

	It("ends watches and fails every call in an outage", func() {
		w, err := f.store.Watch(ctx, "a", 1)
		Expect(err).NotTo(HaveOccurred())
		defer w.Close()
		f.memory.Faults.SetDown(true)
		_, err = w.Next(ctx)
		Expect(err).To(MatchError(kvstore.ErrUnavailable))
		for _, call := range callsOf(ctx, f.store) {
			Expect(call()).To(MatchError(kvstore.ErrUnavailable))
		}
		f.memory.Faults.SetDown(false)
		_, found, _, err := f.store.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeFalse())
	})

	DescribeTable("reports the outcome of a commit with the fault", func(fault kv.Fault, want error, applied bool) {
		f.memory.Faults.Queue(kv.CallCommit, fault)
		_, err := f.store.Commit(ctx, []kvstore.ConditionalWrite{create("a", "1")})
		Expect(err).To(MatchError(want))
		for _, other := range []error{kvstore.ErrUnavailable, kvstore.ErrOutcomeUnknown} {
			Expect(err).To(Or(Not(MatchError(other)), MatchError(want)))
		}
		Expect(f.memory.Faults.Count(kv.CallCommit)).To(Equal(1))
		_, found, _, err := f.store.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(Equal(applied))
		f.memory.ApplyHeld()
		_, found, _, err = f.store.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(Equal(applied || fault.Hold))
	},
		Entry("refused", kv.Fault{Refuse: true}, kvstore.ErrUnavailable, false),
		Entry("reply lost", kv.Fault{DropReply: true}, kvstore.ErrOutcomeUnknown, true),
		// The write is applied after the call has returned.
		Entry("late", kv.Fault{Hold: true}, kvstore.ErrOutcomeUnknown, false),
	)

	It("reports lost replies of lease calls", func() {
		f.memory.Faults.Queue(kv.CallGrant, kv.Fault{DropReply: true})
		_, _, err := f.store.Grant(ctx, time.Second)
		Expect(err).To(MatchError(kvstore.ErrOutcomeUnknown))
		f.memory.Faults.Queue(kv.CallRevoke, kv.Fault{DropReply: true})
		Expect(f.store.Revoke(ctx, 99)).To(MatchError(kvstore.ErrOutcomeUnknown))
		id, _, err := f.store.Grant(ctx, time.Second)
		Expect(err).NotTo(HaveOccurred())
		f.memory.Faults.Queue(kv.CallKeepAlive, kv.Fault{DropReply: true})
		_, err = f.store.KeepAlive(ctx, id)
		Expect(err).To(MatchError(kvstore.ErrUnavailable))
	})
}

func callsOf(ctx context.Context, s kvstore.Store) []func() error {
	return []func() error{
		func() error { _, _, _, err := s.Get(ctx, "a"); return err },
		func() error { _, _, err := s.Range(ctx, "a"); return err },
		func() error { _, err := s.Commit(ctx, []kvstore.ConditionalWrite{put("a", "1")}); return err },
		func() error { _, _, err := s.Grant(ctx, time.Second); return err },
		func() error { _, err := s.KeepAlive(ctx, 1); return err },
		func() error { return s.Revoke(ctx, 1) },
		func() error { _, err := s.Watch(ctx, "a", 1); return err },
	}
}
