package config_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/findings"
)

var zeroTime time.Time

func buildSnapshot(text string, previous *config.Snapshot) (*config.Snapshot, findings.List) {
	raw, _ := parse(text)
	return config.BuildSnapshot(2, zeroTime, raw, previous)
}

var _ = Describe("snapshot of stored records", func() {
	var base *config.Snapshot

	BeforeEach(func() {
		var found findings.List
		base, found = buildSnapshot(baseFile, nil)
		Expect(found.Err()).NotTo(HaveOccurred())
	})

	// Guards against an invalid record that takes unrelated models out of service.
	It("leaves out an invalid record and its dependants, and nothing else", func() {
		text := strings.Replace(baseFile, `"weightBytes":80`, `"weightBytes":-1`, 1)
		s, found := buildSnapshot(text, base)
		Expect(pointers(found)).To(Equal([]string{"/records/7/weightBytes", "/records/8/model"}))
		Expect(s.Model("big")).To(BeNil())
		Expect(s.Adapter("tuned")).To(BeNil())
		Expect(s.Endpoint("lm-1")).NotTo(BeNil())
	})

	It("removes an invalid member from the lists and keeps the models", func() {
		s, found := buildSnapshot(strings.Replace(baseFile, `"share":1`, `"share":-1`, 1), base)
		Expect(pointers(found)).To(ContainElements("/records/2/share", "/records/7/members/0"))
		Expect(s.Model("big").MayCall("m1")).To(BeFalse())
		Expect(base.Model("big").Members).To(Equal([]string{"m1"}), "the previous snapshot must not change")
	})

	// Guards against one validation that changes the result of the next validation of the same records.
	It("returns the same result for the same records again", func() {
		raw, _ := parse(strings.Replace(baseFile, `"share":1`, `"share":-1`, 1))
		_, first := config.BuildSnapshot(2, zeroTime, raw, nil)
		older, _ := config.BuildSnapshotAs(config.SchemaVersion1, 2, zeroTime, raw, nil)
		again, second := config.BuildSnapshot(2, zeroTime, raw, nil)
		Expect(second.Items()).To(Equal(first.Items()))
		Expect(older.Model("big").FirstTokenTargetMs).To(BeZero())
		Expect(again.Model("big").FirstTokenTargetMs).To(Equal(int64(100)))
		fixed, _ := parse(`{"kind":"Member","name":"m1","schemaVersion":2,"share":1}`)
		third, found := config.BuildSnapshot(3, zeroTime, append(raw[:2:2], append(fixed, raw[3:]...)...), again)
		Expect(found.Err()).NotTo(HaveOccurred())
		Expect(third.Model("big").MayCall("m1")).To(BeTrue())
	})

	// Guards against an older build that applies a version of a record that it would misread.
	It("keeps the last readable version of a record that needs a newer reader", func() {
		text := strings.Replace(baseFile, `"weightBytes":80`, `"weightBytes":90,"minReaderVersion":3`, 1)
		s, found := buildSnapshot(text, base)
		Expect(pointers(found)).To(Equal([]string{"/records/7/minReaderVersion"}))
		Expect(s.Model("big").WeightBytes).To(Equal(int64(80)))
		Expect(s.Adapter("tuned")).NotTo(BeNil())
		s, _ = buildSnapshot(text, nil)
		Expect(s.Model("big")).To(BeNil())
		Expect(s.Adapter("tuned")).To(BeNil())
	})

	// Guards against two ledgers for one engine when a new endpoint has the URL of an endpoint whose previous version is
	// kept.
	It("leaves out a new endpoint with the URL of a kept one", func() {
		text := strings.Replace(baseFile, `"url":"http://127.0.0.1:81"`, `"url":"http://127.0.0.1:83","minReaderVersion":3`, 1)
		text = strings.Replace(text, `{"kind":"Model"`, `{"kind":"Endpoint","name":"lm-2","service":"lm","dataCentre":"dc-a",
			"url":"http://127.0.0.1:81","maxConcurrentRequests":4,"accelerators":[{"memoryBytes":100}]},{"kind":"Model"`, 1)
		s, _ := buildSnapshot(text, base)
		Expect(s.Endpoint("lm-1").URL).To(Equal("http://127.0.0.1:81"))
		Expect(s.Endpoint("lm-2")).To(BeNil())
	})

	It("keeps the previous deployment record, and has no snapshot without one", func() {
		text := strings.Replace(baseFile, `"placementShards":1`, `"placementShards":0`, 1)
		s, found := buildSnapshot(text, base)
		Expect(found.Len()).To(Equal(2))
		Expect(s.Deployment().PlacementShards).To(Equal(1))
		s, _ = buildSnapshot(text, nil)
		Expect(s).To(BeNil())
	})
})

// FuzzParseFile guards against declarations that crash the parser or the validation, and against records whose
// canonical form changes when it is parsed again. Without -fuzz, go test runs only the committed corpus.
func FuzzParseFile(f *testing.F) {
	f.Add([]byte(baseFile))
	f.Fuzz(func(t *testing.T, data []byte) {
		raw, _ := config.ParseFile("f.json", data)
		_, _ = config.Validate(raw)
		_, _ = config.BuildSnapshotAs(config.SchemaVersion1, 1, zeroTime, raw, nil)
		for _, r := range raw {
			text, err := r.Canonical()
			if err != nil {
				t.Fatalf("canonical form of a parsed record: %v", err)
			}
			again, _ := config.ParseFile("f.json", text)
			if _, isSet := r.Fields["records"]; isSet {
				continue
			}
			if len(again) != 1 {
				t.Fatalf("canonical form %q has %d records", text, len(again))
			}
			if second, _ := again[0].Canonical(); string(second) != string(text) {
				t.Fatalf("canonical form changed from %q to %q", text, second)
			}
		}
	})
}
