package configstore_test

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/configstore"
	"github.com/mulberryglade/mulberryglade/pkg/findings"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// Records are stored in bundles, and the head lists the bundles in effect. A change whose bundles fit into one commit
// makes two commits: first that of the bundles, then that of the head. These are their indexes.
const (
	bundleCommit = 0
	headCommit   = 1
)

// injectCommitFault queues a fault for the commit that follows the next n commits.
func injectCommitFault(store *kv.Memory, n int, fault kv.Fault) {
	for range n {
		store.Faults.Queue(kv.CallCommit, kv.Fault{})
	}
	store.Faults.Queue(kv.CallCommit, fault)
}

var _ = Describe("apply", func() {
	It("creates, updates, keeps and prunes records", func() {
		_, repository := newSeededStore()
		result, err := repository.Apply(ctx, change("c1", member("m", 2), dataCentre("a", "r")))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Created).To(Equal([]config.RecordID{{Kind: config.KindDataCentre, Name: "a"}}))
		Expect(result.Updated).To(Equal([]config.RecordID{{Kind: config.KindMember, Name: "m"}}))
		pruning := change("c2", deployment, dataCentre("a", "r"))
		pruning.Prune = true
		result, err = repository.Apply(ctx, pruning)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Deleted).To(HaveLen(2))
		Expect(result.Unchanged).To(Equal(2))
		Expect(storedRecords(repository)).To(HaveLen(2))
	})

	It("writes nothing for a change without effect", func() {
		store, repository := newSeededStore()
		commits := store.Faults.Count(kv.CallCommit)
		result, err := repository.Apply(ctx, change("again", member("m", 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Empty()).To(BeTrue())
		Expect(store.Faults.Count(kv.CallCommit)).To(Equal(commits))
	})

	// Guards against a rejected change that takes effect in part.
	It("writes nothing for a rejected change and names its file", func() {
		store, repository := newSeededStore()
		commits := store.Faults.Count(kv.CallCommit)
		_, err := repository.Apply(ctx, change("bad", dataCentre("a", "r"), model("x", "nobody")))
		var rejected *findings.Error
		Expect(errors.As(err, &rejected)).To(BeTrue())
		Expect(rejected.Findings).To(HaveLen(1))
		Expect(rejected.Findings[0].File).To(Equal("bad-1.json"))
		Expect(store.Faults.Count(kv.CallCommit)).To(Equal(commits))
	})

	It("rejects a record above the size limit", func() {
		_, repository := newSeededStore()
		_, err := repository.Apply(ctx, change("big", dataCentre("a", strings.Repeat("r", 200<<10))))
		Expect(err).To(MatchError(ContainSubstring("must be at most 131072 bytes")))
	})

	// Two goroutines share the repository, so that the race detector checks it.
	It("applies the changes of concurrent writers", func() {
		store, repository := newSeededStore()
		var group conc.WaitGroup
		for writer := range 2 {
			group.Go(func() {
				defer GinkgoRecover()
				for i := range 8 {
					name := fmt.Sprintf("w%d-%d", writer, i)
					_, err := repository.Apply(ctx, change(name, member(name, 1)))
					Expect(err).NotTo(HaveOccurred())
				}
			})
		}
		group.Wait()
		Expect(storedRecords(newRepository(store))).To(HaveLen(3 + 16))
	})

	It("rejects pruning a record that other records refer to", func() {
		_, repository := newSeededStore()
		_, err := repository.Apply(ctx, change("c1", model("x", "m")))
		Expect(err).NotTo(HaveOccurred())
		pruning := change("c2", deployment, service, model("x", "m"))
		pruning.Prune = true
		_, err = repository.Apply(ctx, pruning)
		Expect(err).To(MatchError(ContainSubstring("there is no Member")))
	})

	// Guards against a change that takes effect twice, or not at all, after a lost reply.
	DescribeTable("finds out by the change id whether a write with a lost reply took effect",
		func(commitIndex int) {
			store, repository := newSeededStore()
			injectCommitFault(store, commitIndex, kv.Fault{DropReply: true})
			result, err := repository.Apply(ctx, change("c1", member("n", 1)))
			Expect(err).NotTo(HaveOccurred())
			Expect(result.Created).To(HaveLen(1))
			contents, err := repository.Read(ctx, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(contents.Head.ChangeCount).To(Equal(int64(2)))
			Expect(contents.Head.Revision).To(Equal(result.Revision))
		},
		Entry("bundle write", bundleCommit),
		Entry("head write", headCommit),
	)

	// Guards against a head that lists lost bundles, and against a change that is reported as applied although its head
	// write was lost.
	DescribeTable("retries a write that was lost together with its reply",
		func(commitIndex int) {
			store, _ := newSeededStore()
			loseWrite := func([]kvstore.ConditionalWrite) ([]kvstore.WriteResult, error) { return nil, kvstore.ErrOutcomeUnknown }
			repository := newRepository(&commitFault{Memory: store, failingCommit: commitIndex, onCommit: loseWrite})
			_, err := repository.Apply(ctx, change("c1", member("n", 1)))
			Expect(err).NotTo(HaveOccurred())
			Expect(storedRecords(repository)).To(HaveKey("Member/n"))
		},
		Entry("bundle write", bundleCommit),
		Entry("head write", headCommit),
	)

	// Guards against an error, or a second effect of the change, when a delayed head write takes effect just before its
	// retry.
	It("accepts a delayed head write that takes effect before its retry", func() {
		store, _ := newSeededStore()
		var delayed []kvstore.ConditionalWrite
		repository := newRepository(&commitFault{Memory: store, failingCommit: headCommit,
			onCommit: func(writes []kvstore.ConditionalWrite) ([]kvstore.WriteResult, error) {
				delayed = writes
				return nil, kvstore.ErrOutcomeUnknown
			}})
		commitDelayed := func() {
			_, err := store.Commit(ctx, delayed)
			Expect(err).NotTo(HaveOccurred())
		}
		injectCommitFault(store, 2, kv.Fault{Hook: commitDelayed})
		result, err := repository.Apply(ctx, change("c1", member("n", 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Created).To(HaveLen(1))
		contents, err := repository.Read(ctx, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(contents.Head.ChangeCount).To(Equal(int64(2)))
	})

	// Guards against a partial change, or a wrong reported outcome, after an outage of the store.
	DescribeTable("changes nothing when the store refuses a call, and succeeds on retry",
		func(call kv.Call, n int) {
			store, repository := newSeededStore()
			before := storedRecords(repository)
			for range n {
				store.Faults.Queue(call, kv.Fault{})
			}
			store.Faults.Queue(call, kv.Fault{Refuse: true})
			c := change("c1", member("n", 1))
			_, err := repository.Apply(ctx, c)
			Expect(errors.Is(err, kvstore.ErrUnavailable)).To(BeTrue())
			Expect(storedRecords(repository)).To(Equal(before))
			_, err = repository.Apply(ctx, c)
			Expect(err).NotTo(HaveOccurred())
			Expect(storedRecords(repository)).To(HaveKey("Member/n"))
		},
		Entry("head read", kv.CallGet, 0),
		Entry("first bundle read", kv.CallGet, 1),
		Entry("last bundle read", kv.CallGet, 3),
		Entry("bundle write", kv.CallCommit, bundleCommit),
		Entry("head write", kv.CallCommit, headCommit),
	)

	It("reports an unknown outcome when the reply is lost during an outage, and finds it out on retry", func() {
		store, _ := newSeededStore()
		repository := newRepository(&commitFault{Memory: store, failingCommit: headCommit,
			onCommit: func(writes []kvstore.ConditionalWrite) ([]kvstore.WriteResult, error) {
				_, err := store.Commit(ctx, writes)
				Expect(err).NotTo(HaveOccurred())
				store.Faults.SetDown(true)
				return nil, kvstore.ErrOutcomeUnknown
			}})
		c := change("c1", member("n", 1))
		_, err := repository.Apply(ctx, c)
		Expect(errors.Is(err, kvstore.ErrOutcomeUnknown)).To(BeTrue())
		Expect(err).To(MatchError(ContainSubstring("c1")))
		store.Faults.SetDown(false)
		result, err := repository.Apply(ctx, c)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.AlreadyApplied).To(BeTrue())
	})

	It("rejects the change id of another change", func() {
		_, repository := newSeededStore()
		_, err := repository.Apply(ctx, change("seed", member("other", 1)))
		Expect(errors.Is(err, configstore.ErrChangeIDReused)).To(BeTrue())
	})

	It("continues with higher revisions after the head was deleted", func() {
		store, repository := newSeededStore()
		before, err := repository.Read(ctx, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Commit(ctx, []kvstore.ConditionalWrite{{Deletes: []string{repository.HeadKey()}}})
		Expect(err).NotTo(HaveOccurred())
		result, err := repository.Apply(ctx, change("anew", deployment))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Revision).To(BeNumerically(">", before.Head.Revision))
	})
})

var _ = Describe("concurrent writers", func() {
	race := func(mine, other configstore.Change) (configstore.Result, *configstore.Repository, error) {
		store, repository := newSeededStore()
		injectCommitFault(store, headCommit, kv.Fault{Hook: func() {
			_, err := newRepository(store).Apply(ctx, other)
			Expect(err).NotTo(HaveOccurred())
		}})
		result, err := repository.Apply(ctx, mine)
		return result, repository, err
	}

	It("applies a change after a concurrent change of other records", func() {
		result, repository, err := race(change("mine", member("n", 1)), change("other", member("m", 7)))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.ConcurrentChangeIDs).To(Equal([]string{"other"}))
		Expect(storedRecords(repository)).To(HaveKey("Member/n"))
		Expect(storedRecords(repository)["Member/m"]["share"]).To(BeEquivalentTo("7"))
	})

	// Guards against an operator's change that silently overwrites another operator's.
	DescribeTable("reports a conflict and names the records and the other change",
		func(mine func() configstore.Change, other func() configstore.Change, record string) {
			_, repository, err := race(mine(), other())
			var conflict *configstore.Conflict
			Expect(errors.As(err, &conflict)).To(BeTrue())
			Expect(conflict.ChangeIDs).To(Equal([]string{"other"}))
			Expect(fmt.Sprint(conflict.Records)).To(Equal("[" + record + "]"))
			contents, err := repository.Read(ctx, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(contents.Head.ChangeCount).To(Equal(int64(2)))
		},
		Entry("same record",
			func() configstore.Change { return change("mine", member("m", 5), member("n", 1)) },
			func() configstore.Change { return change("other", member("m", 7), member("o", 1)) }, "Member/m"),
		Entry("record that the first change declares unchanged and the other change updates",
			func() configstore.Change { return change("mine", member("m", 1), member("n", 1)) },
			func() configstore.Change { return change("other", member("m", 7)) }, "Member/m"),
		Entry("prune of a record that the other change created",
			func() configstore.Change {
				c := change("mine", deployment, member("m", 1), member("n", 1))
				c.Prune = true
				return c
			},
			func() configstore.Change { return change("other", member("o", 1)) }, "Member/o"),
	)

	It("accepts a record that both changes update in the same way", func() {
		_, repository, err := race(change("mine", member("m", 7), member("n", 1)), change("other", member("m", 7)))
		Expect(err).NotTo(HaveOccurred())
		Expect(storedRecords(repository)).To(HaveKey("Member/n"))
	})

	It("rejects a change that is invalid together with the concurrent change", func() {
		pruning := change("other", deployment, service)
		pruning.Prune = true
		_, _, err := race(change("mine", model("x", "m")), pruning)
		Expect(err).To(MatchError(ContainSubstring("there is no Member")))
	})

	// Guards against a lost update when two operators edit the same record at the same time and apply one after the other.
	It("reports records that changed since the base revision", func() {
		_, repository := newSeededStore()
		seed, err := repository.Read(ctx, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = repository.Apply(ctx, change("theirs", member("m", 7), dataCentre("a", "r")))
		Expect(err).NotTo(HaveOccurred())

		mine := change("mine", member("m", 5), member("n", 1))
		mine.BaseRevision = seed.Head.Revision
		_, err = repository.Apply(ctx, mine)
		var conflict *configstore.Conflict
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(conflict.Records).To(Equal([]config.RecordID{{Kind: config.KindMember, Name: "m"}}))
		Expect(conflict.ChangeIDs).To(Equal([]string{"theirs"}))

		compatible := change("elsewhere", member("n", 1), service, member("m", 7))
		compatible.BaseRevision = seed.Head.Revision
		result, err := repository.Apply(ctx, compatible)
		Expect(err).NotTo(HaveOccurred())

		mine.BaseRevision = result.Revision
		_, err = repository.Apply(ctx, mine)
		Expect(err).NotTo(HaveOccurred())
		mine.ID, mine.BaseRevision = "future", result.Revision+1000
		_, err = repository.Apply(ctx, mine)
		Expect(errors.Is(err, configstore.ErrBaseRevision)).To(BeTrue())
	})

	// Guards against a head that lists a bundle that a concurrent change has just deleted.
	It("rewrites an unlisted bundle that concurrent changes have deleted", func() {
		store, repository := newSeededStore()
		digest := memberBundleDigest(repository)
		_, err := repository.Apply(ctx, change("add", member("n", 1)))
		Expect(err).NotTo(HaveOccurred())
		injectCommitFault(store, bundleCommit+1, kv.Fault{Hook: func() {
			for i := range 13 {
				changed := strings.Replace(service, "1000", fmt.Sprint(1012-i), 1)
				_, err := newRepository(store).Apply(ctx, change(fmt.Sprint("other", i), changed))
				Expect(err).NotTo(HaveOccurred())
			}
			Expect(storedBundles(store)).NotTo(ContainElement(HaveField("Key", HaveSuffix(digest))))
		}})
		_, err = repository.Apply(ctx, pruneToSeed("prune"))
		Expect(err).NotTo(HaveOccurred())
		Expect(memberBundleDigest(repository)).To(Equal(digest))
		Expect(storedRecords(repository)).To(HaveLen(3))
	})
})
