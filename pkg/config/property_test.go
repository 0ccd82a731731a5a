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

// corruptions make a record invalid or unreadable. Each is applied to a copy of the record's fields.
var corruptions = map[string]func(fields map[string]any){
	"missing name":  func(f map[string]any) { delete(f, "name") },
	"unknown kind":  func(f map[string]any) { f["kind"] = "Rack" },
	"no version":    func(f map[string]any) { delete(f, "schemaVersion") },
	"unknown field": func(f map[string]any) { f["surprise"] = true },
	"newer reader":  func(f map[string]any) { f["minReaderVersion"] = json.Number("9") },
	"invalid name":  func(f map[string]any) { f["name"] = "NO/NAME" },
}

// dependencies lists the records on which a record depends, both by position in baseFile.
var dependencies = map[int][]int{5: {1, 3}, 6: {1, 4}, 7: {3}, 8: {3, 7}}

func recordIDs(s *config.Snapshot) map[config.RecordID]bool {
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

var _ = Describe("random invalid records", func() {
	// Guards against an invalid record that removes records which do not depend on it, that stays in effect, or that is
	// still referred to in the snapshot.
	It("leave exactly the other records in effect, without dangling names", func() {
		base, _ := parse(baseFile)
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			raw := make([]config.RawRecord, len(base))
			unusable := make(map[int]bool)
			for i, r := range base {
				raw[i] = r
				if i == 0 || rapid.IntRange(0, 2).Draw(t, fmt.Sprint("break", i)) > 0 {
					continue
				}
				kind := rapid.SampledFrom([]string{"missing name", "unknown kind", "no version", "unknown field", "newer reader",
					"invalid name"}).Draw(t, "breakage")
				fields := maps.Clone(r.Fields)
				corruptions[kind](fields)
				raw[i] = config.NewRawRecord(r.File, r.Pointer, fields)
				unusable[i] = true
			}
			for i := range base {
				for _, need := range dependencies[i] {
					unusable[i] = unusable[i] || unusable[need]
				}
			}
			want := make(map[config.RecordID]bool)
			for i, r := range base {
				if i > 0 && !unusable[i] {
					want[r.RecordID] = true
				}
			}
			shuffled := rapid.Permutation(raw).Draw(t, "order")
			s, found := config.BuildSnapshot(1, zeroTime, shuffled, nil)
			Expect(recordIDs(s)).To(Equal(want))
			Expect(found.Len() > 0).To(Equal(len(want) < len(base)-1))
			for _, m := range s.Records().Models {
				for _, name := range m.Members {
					Expect(s.Member(name)).NotTo(BeNil())
				}
			}
		})
	})
})
