package configstore_test

import (
	"fmt"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/internal/standin/kv"
	"github.com/mulberryglade/mulberryglade/pkg/configstore"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

func storedBundles(store *kv.Memory) []kvstore.KeyValue {
	kvs, _, err := store.Range(ctx, "p/config/bundles/")
	Expect(err).NotTo(HaveOccurred())
	return kvs
}

var _ = Describe("bundles", func() {
	It("are deleted when unused for several heads, and when the head does not list them", func() {
		store, repository := newSeededStore()
		for i := range 30 {
			_, err := repository.Apply(ctx, change(fmt.Sprint("c", i), member("m", i+2)))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(len(storedBundles(store))).To(BeNumerically("<=", 3+8))
		_, err := store.Commit(ctx, []kvstore.ConditionalWrite{{Puts: []kvstore.Put{{Key: "p/config/bundles/abc"}}}})
		Expect(err).NotTo(HaveOccurred())
		before := len(storedBundles(store))
		deleted, err := repository.CollectGarbage(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(deleted).To(Equal(1))
		Expect(storedBundles(store)).To(HaveLen(before - 1))
		Expect(storedRecords(repository)).To(HaveLen(3))
	})

	It("are kept when they are used again", func() {
		_, repository := newSeededStore()
		digest := memberBundleDigest(repository)
		_, err := repository.Apply(ctx, change("add", member("n", 1)))
		Expect(err).NotTo(HaveOccurred())
		_, err = repository.Apply(ctx, pruneToSeed("prune"))
		Expect(err).NotTo(HaveOccurred())
		Expect(memberBundleDigest(repository)).To(Equal(digest))
		for i := range 12 {
			_, err := repository.Apply(ctx, change(fmt.Sprint("c", i), dataCentre("a", fmt.Sprint("r", i))))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(storedRecords(repository)).To(HaveKey("Member/m"))
	})

	// Guards against a head that lists missing bundles, because a collection deleted them after they were written and
	// before the head was written.
	It("are written again when a collection deletes them before the head lists them", func() {
		store, repository := newSeededStore()
		injectCommitFault(store, headCommit, kv.Fault{Hook: func() {
			deleted, err := newRepository(store).CollectGarbage(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(deleted).To(Equal(1))
		}})
		_, err := repository.Apply(ctx, change("c1", member("m", 2)))
		Expect(err).NotTo(HaveOccurred())
		Expect(storedRecords(repository)["Member/m"]["share"]).To(BeEquivalentTo("2"))
	})

	It("are read only when they are new", func() {
		store, repository := newSeededStore()
		first, err := repository.Read(ctx, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = repository.Apply(ctx, change("c1", member("m", 2)))
		Expect(err).NotTo(HaveOccurred())
		gets := store.Faults.Count(kv.CallGet)
		_, err = repository.Read(ctx, first)
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Faults.Count(kv.CallGet) - gets).To(Equal(2))
	})

	// Guards against accepting damaged or forged bundles from a peer.
	It("are verified against their digest", func() {
		_, repository := newSeededStore()
		contents, err := repository.Read(ctx, nil)
		Expect(err).NotTo(HaveOccurred())
		var bundles []configstore.Bundle
		for digest, content := range contents.Bundles {
			bundles = append(bundles, configstore.Bundle{Digest: digest, Content: content})
		}
		_, err = configstore.NewContents(contents.HeadBytes, bundles, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = configstore.NewContents(contents.HeadBytes, bundles[1:], nil)
		Expect(errors.Is(err, configstore.ErrFormat)).To(BeTrue())
		bundles[0].Content = append([]byte(" "), bundles[0].Content...)
		_, err = configstore.NewContents(contents.HeadBytes, bundles, nil)
		Expect(errors.Is(err, configstore.ErrFormat)).To(BeTrue())
	})

	// Guards against an invalid record of another writer that blocks all others of its bundle.
	It("are readable except for an invalid record", func() {
		good := member("m", 1)
		content := []byte(`{"records":[` + good + `,7,{"kind":"Member","name":"x","name":"y","schemaVersion":1,"share":1}]}`)
		digest := configstore.Digest(content)
		head := fmt.Sprintf(`{"formatVersion":1,"revision":1,"bundles":[{"kind":"Member","digest":%q}]}`, digest)
		contents, err := configstore.NewContents([]byte(head), []configstore.Bundle{{Digest: digest, Content: content}}, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(contents.Records()).To(HaveLen(2))
		found := contents.Findings()
		Expect(found.Len()).To(Equal(2))
	})

	// Guards against a value above the store's limit and against a small change that rewrites most of the configuration.
	It("stay small at design size", func() {
		store, repository := newSeededStore()
		records := []string{dataCentre("a", "r")}
		for i := range 1700 {
			records = append(records, model(fmt.Sprint("model-", i), "m"))
		}
		for i := range 5500 {
			records = append(records, fmt.Sprintf(`{"kind":"Endpoint","name":"endpoint-%d","schemaVersion":1,"service":"lm",
				"dataCentre":"a","url":"http://10.%d.%d.1:80","maxConcurrentRequests":32,"accelerators":[{"memoryBytes":85899345920},
				{"memoryBytes":85899345920}],"checksFencing":true}`, i, i/250, i%250))
		}
		_, err := repository.Apply(ctx, change("all", records...))
		Expect(err).NotTo(HaveOccurred())
		for _, bundle := range storedBundles(store) {
			Expect(len(bundle.Value)).To(BeNumerically("<", 200<<10))
		}
		before, err := repository.Read(ctx, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(before.HeadBytes)).To(BeNumerically("<", 64<<10))
		_, err = repository.Apply(ctx, change("one", model("model-1700", "m")))
		Expect(err).NotTo(HaveOccurred())
		after, err := repository.Read(ctx, before)
		Expect(err).NotTo(HaveOccurred())
		Expect(before.Missing(after.Head)).To(HaveLen(1))
	})
})

var _ = Describe("two schema versions", func() {
	apply := func(store *kv.Memory, writer int, c configstore.Change) error {
		o := options
		o.WriterVersion = writer
		_, err := configstore.New(store, o).Apply(ctx, c)
		return err
	}

	newer := `{"kind":"Member","name":"n","schemaVersion":2,"share":1,"maxConcurrentRequests":9,"keys":[]}`

	// Guards against an old command line or an old file that removes fields that a newer one declared.
	DescribeTable("an older writer keeps fields that it does not know",
		func(writer int) {
			store, repository := newSeededStore()
			Expect(apply(store, 2, change("new", newer))).To(Succeed())
			Expect(apply(store, writer, change("old", member("n", 5)))).To(Succeed())
			fields := storedRecords(repository)["Member/n"]
			Expect(fields["share"]).To(BeEquivalentTo("5"))
			Expect(fields["maxConcurrentRequests"]).To(BeEquivalentTo("9"))
			Expect(fields["schemaVersion"]).To(BeEquivalentTo("2"))
		},
		Entry("old command line", 1),
		Entry("new command line with an old file", 2),
	)

	It("a newer writer removes a field that it knows", func() {
		store, repository := newSeededStore()
		Expect(apply(store, 2, change("new", newer))).To(Succeed())
		without := `{"kind":"Member","name":"n","schemaVersion":2,"share":1,"keys":[]}`
		Expect(apply(store, 2, change("newer", without))).To(Succeed())
		Expect(storedRecords(repository)["Member/n"]).NotTo(HaveKey("maxConcurrentRequests"))
	})

	It("an older writer keeps unknown fields of list elements that are otherwise unchanged", func() {
		store, repository := newSeededStore()
		element := `"accelerators":[{"memoryBytes":1%s},{"memoryBytes":2%s}]`
		endpoint := `{"kind":"Endpoint","name":"e","schemaVersion":%d,"service":"lm","dataCentre":"a",
			"url":"http://127.0.0.1:1","maxConcurrentRequests":%d,` + element + `}`
		future := fmt.Sprintf(endpoint, 3, 1, `,"slot":7`, `,"slot":8`)
		Expect(apply(store, 2, change("future", dataCentre("a", "r"), future))).To(Succeed())
		Expect(apply(store, 2, change("old", fmt.Sprintf(endpoint, 2, 5, "", "")))).To(Succeed())
		fields := storedRecords(repository)["Endpoint/e"]
		Expect(fields["maxConcurrentRequests"]).To(BeEquivalentTo("5"))
		Expect(fmt.Sprint(fields["accelerators"])).To(ContainSubstring("slot:8"))
	})

	// Guards against a writer that replaces a record of a version that it cannot read.
	It("a record for newer readers blocks only changes of the record itself", func() {
		store, repository := newSeededStore()
		future := `{"kind":"Member","name":"n","schemaVersion":3,"minReaderVersion":2,"share":1,"keys":[]}`
		Expect(apply(store, 2, change("future", future))).To(Succeed())
		Expect(apply(store, 1, change("elsewhere", member("m", 5)))).To(Succeed())
		Expect(apply(store, 1, change("old", member("n", 5)))).To(MatchError(ContainSubstring("newer version than 1")))
		Expect(storedRecords(repository)["Member/n"]["minReaderVersion"]).To(BeEquivalentTo("2"))
	})
})
