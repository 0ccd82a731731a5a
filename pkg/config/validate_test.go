package config_test

import (
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/findings"
)

// baseFile is a valid set of records, in this order: deployment, data centre, member, engine service, plain service,
// engine endpoint, plain endpoint, model, adapter.
const baseFile = `{"schemaVersion":2,"records":[
{"kind":"Deployment","name":"d","attainmentWeight":1,"moveWeight":1,"placementShards":1,"modelLoadsPerSecond":1,
 "concurrentModelLoads":9,"concurrentAdapterLoads":70,"regionLinkBitsPerSecond":30000000,"queueRequests":10,
 "queueBytes":1000,"retryBudgetRatio":0.1},
{"kind":"DataCentre","name":"dc-a","region":"r1"},
{"kind":"Member","name":"m1","share":1,"maxConcurrentRequests":5,"keys":[]},
{"kind":"Service","name":"lm","type":"engine","maxBodyBytes":1000},
{"kind":"Service","name":"api","type":"plain","members":["m1"],"defaultTimeoutMs":10,"maxTimeoutMs":20,
 "maxBodyBytes":1000,"routes":[{"method":"GET","pathPrefix":"/","repeatable":true}]},
{"kind":"Endpoint","name":"lm-1","service":"lm","dataCentre":"dc-a","url":"http://127.0.0.1:81",
 "maxConcurrentRequests":4,"accelerators":[{"memoryBytes":100},{"memoryBytes":100}]},
{"kind":"Endpoint","name":"api-1","service":"api","dataCentre":"dc-a","url":"http://[::1]:82","maxConcurrentRequests":4},
{"kind":"Model","name":"big","service":"lm","members":["m1"],"version":"1","weightBytes":80,"kvReserveBytes":40,
 "acceleratorsPerCopy":2,"minCopies":1,"maxCopies":2,"defaultTimeoutMs":10,"maxTimeoutMs":20,"maxInputTokens":5,
 "maxOutputTokens":5,"firstTokenTargetMs":100},
{"kind":"Adapter","name":"tuned","model":"big","members":["m1"],"version":"1","bytes":10}
]}`

func parse(text string) ([]config.RawRecord, findings.List) {
	return config.ParseFile("f.json", []byte(text))
}

func validate(text string) (config.Records, findings.List) {
	raw, found := parse(text)
	records, more := config.Validate(raw)
	found.Append(more)
	return records, found
}

func pointers(found findings.List) []string {
	var all []string
	for _, f := range found.Items() {
		all = append(all, f.Pointer)
	}
	return all
}

var _ = Describe("validation", func() {
	It("accepts the base set", func() {
		records, found := validate(baseFile)
		Expect(found.Err()).NotTo(HaveOccurred())
		Expect(records.Models).To(HaveLen(1))
		Expect(records.Deployment.Name).To(Equal("d"))
	})

	// Guards against a mistake that is accepted, reported at another location, or reported twice.
	DescribeTable("reports one mistake at its location",
		func(old, new, pointer, message string) {
			Expect(strings.Count(baseFile, old)).To(Equal(1), "the replaced text must be unique")
			_, found := validate(strings.Replace(baseFile, old, new, 1))
			Expect(pointers(found)).To(Equal([]string{pointer}))
			Expect(found.Items()[0].String()).To(And(HavePrefix("f.json: "), ContainSubstring(message)))
		},
		Entry("unknown field", `"region":"r1"`, `"region":"r1","Region":"r2"`, "/records/1/Region", "unknown field"),
		Entry("duplicate field", `"region":"r1"`, `"region":"r0","region":"r1"`, "/records/1/region", "more than once"),
		Entry("wrong type", `"share":1`, `"share":"1"`, "/records/2/share", `must be a number (got "1")`),
		Entry("null", `"share":1`, `"share":null`, "/records/2/share", "must be a number"),
		Entry("fraction", `"queueRequests":10`, `"queueRequests":1.5`, "/records/0/queueRequests", "whole number"),
		Entry("overflow", `"queueRequests":10`, `"queueRequests":99999999999999999999`, "/records/0/queueRequests", "whole"),
		Entry("missing field", `"region":"r1"`, `"schemaVersion":1`, "/records/1/region", "is missing"),
		Entry("unknown kind", `{"kind":"DataCentre"`, `{"kind":"Rack","name":"r"},{"kind":"DataCentre"`, "/records/1/kind", "Rack"),
		Entry("upper-case name", `"Adapter","name":"tuned"`, `"Adapter","name":"Tuned"`, "/records/8/name", "Tuned"),
		Entry("name that is a path", `"Adapter","name":"tuned"`, `"Adapter","name":".."`, "/records/8/name", "must be 1 to 63"),
		Entry("adapter named as model", `"Adapter","name":"tuned"`, `"Adapter","name":"big"`, "/records/8/name", "by a Model"),
		Entry("zero share", `"share":1`, `"share":0`, "/records/2/share", "above 0"),
		Entry("clear key", `"keys":[]`, `"keys":[{"prefix":"abcdefgh-secret","salt":"AAAAAAAAAAAAAAAAAAAAAA==",`+
			`"hash":"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="}]`, "/records/2/keys/0/prefix", "first 8 characters"),
		Entry("default above max", `"maxCopies":2,"defaultTimeoutMs":10`, `"maxCopies":2,"defaultTimeoutMs":30`,
			"/records/7/defaultTimeoutMs", "must not be above maxTimeoutMs, 20"),
		Entry("min above max copies", `"minCopies":1`, `"minCopies":3`, "/records/7/maxCopies", "at least minCopies"),
		Entry("zero bytes", `"bytes":10`, `"bytes":0`, "/records/8/bytes", "between 1 and"),
		Entry("host name", `http://127.0.0.1:81`, `http://localhost:81`, "/records/5/url", "IP address"),
		Entry("URL with path", `http://127.0.0.1:81`, `http://127.0.0.1:81/`, "/records/5/url", "nothing else"),
		Entry("URL without port", `http://127.0.0.1:81`, `http://127.0.0.1`, "/records/5/url", "port"),
		Entry("URL used twice", `http://[::1]:82`, `http://127.0.0.1:81`, "/records/6/url", `by endpoint "lm-1"`),
		Entry("no accelerators", `"accelerators":[{"memoryBytes":100},{"memoryBytes":100}]`, `"accelerators":[]`,
			"/records/5/accelerators", "at least one accelerator"),
		Entry("accelerator without memory", `"accelerators":[{"memoryBytes":100}`, `"accelerators":[{"memoryBytes":0}`,
			"/records/5/accelerators/0/memoryBytes", "between 1 and"),
		Entry("dangling data centre", `"service":"lm","dataCentre":"dc-a"`, `"service":"lm","dataCentre":"dc-z"`,
			"/records/5/dataCentre", "there is no DataCentre"),
		Entry("dangling member", `"members":["m1"],"defaultTimeoutMs"`, `"members":["m1","m2"],"defaultTimeoutMs"`,
			"/records/4/members/1", "there is no Member"),
		Entry("model on a plain service", `"big","service":"lm"`, `"big","service":"api"`, "/records/7/service", "engine"),
		Entry("ratio above one", `"retryBudgetRatio":0.1`, `"retryBudgetRatio":1.1`, "/records/0/retryBudgetRatio", "between"),
		Entry("newer field in an older record", `"name":"m1"`, `"name":"m1","schemaVersion":1`,
			"/records/2/maxConcurrentRequests", "needs schemaVersion 2"),
		Entry("newer reader", `"name":"m1"`, `"name":"m1","minReaderVersion":3`, "/records/2/minReaderVersion", "newer"),
		Entry("second deployment", `{"kind":"DataCentre"`, `{"kind":"Deployment","name":"e","attainmentWeight":1,
			"moveWeight":1,"placementShards":1,"modelLoadsPerSecond":1,"concurrentModelLoads":9,"concurrentAdapterLoads":70,
			"regionLinkBitsPerSecond":3,"queueRequests":1,"queueBytes":1,"retryBudgetRatio":0},{"kind":"DataCentre"`,
			"/records/1/kind", "exactly one"),
		Entry("duplicate name", `{"kind":"DataCentre"`, `{"kind":"DataCentre","name":"dc-a","region":"r2"},{"kind":"DataCentre"`,
			"/records/2/name", "f.json/records/1"),
	)

	DescribeTable("reports a file that is not a set of records",
		func(text, pointer, message string) {
			raw, found := parse(text)
			Expect(raw).To(BeEmpty())
			Expect(pointers(found)).To(Equal([]string{pointer}))
			Expect(found.Items()[0].Message).To(ContainSubstring(message))
		},
		Entry("text after the document", baseFile+"]", "", "after the end"),
		Entry("cut short", baseFile[:len(baseFile)-5], "", "not valid JSON"),
		Entry("not UTF-8", "{\"name\":\"\xff\"}", "", "UTF-8"),
		Entry("nested too deep", strings.Repeat("[", 10_000), "", "levels deep"),
		Entry("array", "[]", "", "must be a record"),
		Entry("records of a wrong type", `{"records":{}}`, "/records", "must be an array"),
		Entry("element of a wrong type", `{"records":[1]}`, "/records/0", "must be an object"),
	)

	It("reports all mistakes at once", func() {
		text := strings.NewReplacer(`"share":1`, `"share":-1`, `"bytes":10`, `"bytes":"10"`, `"region":"r1"`, `"region":7`).
			Replace(baseFile)
		_, found := validate(text)
		Expect(pointers(found)).To(Equal([]string{"/records/1/region", "/records/2/share", "/records/8/bytes"}))
	})

	It("never quotes a value that may be a bearer key", func() {
		text := strings.Replace(baseFile, `"keys":[]`, `"keys":[{"prefix":"clear-key-1","hash":"clear-key-2","salt":"clear-key-3",`+
			`"key":"clear-key-4"}]`, 1)
		_, found := validate(text)
		Expect(found.Len()).To(Equal(4))
		Expect(found.Err().Error()).NotTo(ContainSubstring("clear-key"))
	})

	// Guards against an older build that rejects or misreads the records of a newer build during a roll-out.
	It("ignores newer fields in newer records as an older reader", func() {
		raw, _ := parse(baseFile)
		records, found := config.ValidateAs(config.SchemaVersion1, raw)
		Expect(found.Err()).NotTo(HaveOccurred())
		Expect(records.Members[0].MaxConcurrentRequests).To(BeZero())
	})

	It("reads files and directories and names the file", func() {
		dir := GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(dir, "a.json"), []byte(baseFile), 0o600)).To(Succeed())
		single := `{"kind":"DataCentre","name":"dc-b","region":"","schemaVersion":1}`
		Expect(os.WriteFile(filepath.Join(dir, "b.json"), []byte(single), 0o600)).To(Succeed())
		raw, found := config.LoadFiles([]string{dir, filepath.Join(dir, "missing.json")})
		Expect(raw).To(HaveLen(10))
		Expect(found.Items()).To(HaveLen(1))
		Expect(found.Items()[0].File).To(HaveSuffix("missing.json"))
		_, found = config.Validate(raw)
		Expect(found.Items()).To(HaveLen(1))
		Expect(found.Items()[0].File).To(Equal(filepath.Join(dir, "b.json")))
		Expect(found.Items()[0].Pointer).To(Equal("/region"))
	})
})

var _ = Describe("bearer keys", func() {
	It("rejects short keys and finds the owner of a long one", func() {
		_, err := config.HashKey(strings.Repeat("k", config.MinKeyLength-1))
		Expect(err).To(MatchError(config.ErrKeyTooShort))
		key := strings.Repeat("k", config.MinKeyLength)
		hash, err := config.HashKey(key)
		Expect(err).NotTo(HaveOccurred())
		member := config.Member{Header: config.Header{Name: "m"}, Keys: []config.KeyHash{hash}}
		snapshot := config.NewSnapshot(1, zeroTime, config.Records{Members: []config.Member{member}})
		Expect(snapshot.MemberByKey(key).Name).To(Equal("m"))
		Expect(snapshot.MemberByKey(key + "x")).To(BeNil())
	})
})

var _ = Describe("capacity", func() {
	check := func(text string) findings.List {
		raw, _ := parse(text)
		records, found := config.Validate(raw)
		Expect(found.Err()).NotTo(HaveOccurred())
		return config.CheckCapacity(records, raw)
	}

	It("accepts a set that fits exactly", func() {
		found := check(strings.Replace(baseFile, `"bytes":10`, `"bytes":80`, 1))
		Expect(found.Err()).NotTo(HaveOccurred())
	})

	DescribeTable("shows the arithmetic of what does not fit",
		func(old, new, pointer, message string) {
			found := check(strings.Replace(baseFile, old, new, 1))
			Expect(pointers(found)).To(Equal([]string{pointer}))
			Expect(found.Items()[0].Message).To(ContainSubstring(message))
		},
		Entry("weights", `"weightBytes":80`, `"weightBytes":161`, "/records/7/minCopies",
			"0 of 1 copies fit: a copy takes 101 bytes on each of 2 accelerator(s) of one endpoint ((weights 161 + KV reserve 40)"),
		Entry("copies", `"minCopies":1`, `"minCopies":2`, "/records/7/minCopies", "1 of 2 copies fit"),
		Entry("leaving endpoint", `"url":"http://127.0.0.1:81"`, `"url":"http://127.0.0.1:81","leaving":true`,
			"/records/7/minCopies", "0 of 1 copies fit"),
		Entry("adapter", `"bytes":10`, `"bytes":81`, "/records/8/bytes", "takes 41 bytes on each accelerator"),
	)
})

var _ = DescribeTable("sample declarations are valid and fit",
	func(name string, adapters int, fencing bool) {
		raw, found := config.LoadFiles([]string{filepath.Join("..", "..", "examples", name)})
		records, more := config.Validate(raw)
		found.Append(more)
		found.Append(config.CheckCapacity(records, raw))
		Expect(found.Err()).NotTo(HaveOccurred())
		Expect(records.Models).To(HaveLen(17))
		Expect(records.Adapters).To(HaveLen(adapters))
		Expect(records.DataCentres).To(HaveLen(3))
		Expect(records.Endpoints).To(HaveLen(12))
		for _, e := range records.Endpoints {
			Expect(e.ChecksFencing).To(Equal(fencing && len(e.Accelerators) > 0), e.Name)
		}
	},
	Entry("sindhuli", "sindhuli", 60, true),
	Entry("lusorenda", "lusorenda", 55, false),
)
