package config_test

import (
	"encoding/json"
	"fmt"
	"maps"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mulberryglade/mulberryglade/pkg/config"
)

// breakages make a record unusable or unreadable; each is applied to a copy of its fields.
var breakages = map[string]func(fields map[string]any){
	"missing name":    func(f map[string]any) { delete(f, "name") },
	"unknown kind":    func(f map[string]any) { f["kind"] = "Rack" },
	"no version":      func(f map[string]any) { delete(f, "schemaVersion") },
	"unknown field":   func(f map[string]any) { f["surprise"] = true },
	"newer reader":    func(f map[string]any) { f["minReaderVersion"] = json.Number("9") },
	"name of no kind": func(f map[string]any) { f["name"] = "NO/NAME" },
}

// needs tells which base records a base record cannot do without, by position in baseFile.
var needs = map[int][]int{5: {1, 3}, 6: {1, 4}, 7: {3}, 8: {3, 7}}

func names(s *config.Snapshot) map[config.RecordID]bool {
	all := make(map[config.RecordID]bool)
	r := s.Records()
	for _, d := range r.DataCentres {
		all[config.RecordID{Kind: config.KindDataCentre, Name: d.Name}] = true
	}
	for _, m := range r.Members {
		all[config.RecordID{Kind: config.KindMember, Name: m.Name}] = true
	}
	for _, v := range r.Services {
		all[config.RecordID{Kind: config.KindService, Name: v.Name}] = true
	}
	for _, e := range r.Endpoints {
		all[config.RecordID{Kind: config.KindEndpoint, Name: e.Name}] = true
	}
	for _, m := range r.Models {
		all[config.RecordID{Kind: config.KindModel, Name: m.Name}] = true
	}
	for _, a := range r.Adapters {
		all[config.RecordID{Kind: config.KindAdapter, Name: a.Name}] = true
	}
	return all
}

var _ = Describe("random broken records", func() {
	// Guards against a broken record that takes others with it, and against one that stays in effect or leaves a name in
	// the snapshot that nothing has.
	It("leave exactly the others in effect, without dangling names", func() {
		base, _ := parse(baseFile)
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			raw := make([]config.RawRecord, len(base))
			gone := make(map[int]bool)
			for i, r := range base {
				raw[i] = r
				if i == 0 || rapid.IntRange(0, 2).Draw(t, fmt.Sprint("break", i)) > 0 {
					continue
				}
				kind := rapid.SampledFrom([]string{"missing name", "unknown kind", "no version", "unknown field", "newer reader",
					"name of no kind"}).Draw(t, "breakage")
				fields := maps.Clone(r.Fields)
				breakages[kind](fields)
				raw[i] = config.NewRawRecord(r.File, r.Pointer, fields)
				gone[i] = true
			}
			for i := range base {
				for _, need := range needs[i] {
					gone[i] = gone[i] || gone[need]
				}
			}
			want := make(map[config.RecordID]bool)
			for i, r := range base {
				if i > 0 && !gone[i] {
					want[r.RecordID] = true
				}
			}
			shuffled := rapid.Permutation(raw).Draw(t, "order")
			s, found := config.BuildSnapshot(1, timeZero, shuffled, nil)
			Expect(names(s)).To(Equal(want))
			Expect(found.Len() > 0).To(Equal(len(want) < len(base)-1))
			for _, m := range s.Records().Models {
				for _, name := range m.Members {
					Expect(s.Member(name)).NotTo(BeNil())
				}
			}
		})
	})
})
