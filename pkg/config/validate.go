package config

import (
	"sort"

	"github.com/mulberryglade/mulberryglade/pkg/findings"
)

// Validate decodes the records and reports every mistake in them. The result has all records only if there are no
// findings.
func Validate(raw []RawRecord) (Records, findings.List) {
	return ValidateAs(NewestSchemaVersion, raw)
}

// ValidateAs validates like Validate in a build whose newest schema version is readerVersion.
func ValidateAs(readerVersion int, raw []RawRecord) (Records, findings.List) {
	t := newTable(raw, readerVersion)
	t.checkUnique()
	for _, e := range t.decodedRecords {
		t.checkReferences(e)
		t.checkServiceType(e)
	}
	found := t.findings()
	if t.deployment() == nil {
		found.Addf("", "", "", "there must be exactly one record of kind %s", KindDeployment)
	}
	return t.records(), found
}

// checkReferences reports references to records that do not exist. A reference to an invalid record is not reported.
func (t *table) checkReferences(e *decodedRecord) {
	for _, ref := range e.references() {
		if t.byID[ref.id] == nil {
			e.reportAt(ref.path, "there is no %s of this name", ref.id.Kind)
		}
	}
}

func (t *table) findings() findings.List {
	var found findings.List
	for _, e := range t.decodedRecords {
		found.Append(e.found)
	}
	return found
}

func (t *table) deployment() *Deployment {
	for _, e := range t.decodedRecords {
		if d, ok := e.record.(*Deployment); ok {
			return d
		}
	}
	return nil
}

// records returns the valid records by kind, ordered by name.
func (t *table) records() Records {
	sorted := append([]*decodedRecord(nil), t.decodedRecords...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].raw.Name < sorted[j].raw.Name })
	var records Records
	for _, e := range sorted {
		if e.valid() {
			records.add(e.record)
		}
	}
	return records
}

func (r *Records) add(record any) {
	switch record := record.(type) {
	case *Deployment:
		r.Deployment = *record
	case *DataCentre:
		r.DataCentres = append(r.DataCentres, *record)
	case *Member:
		r.Members = append(r.Members, *record)
	case *Service:
		r.Services = append(r.Services, *record)
	case *Endpoint:
		r.Endpoints = append(r.Endpoints, *record)
	case *Model:
		r.Models = append(r.Models, *record)
	case *Adapter:
		r.Adapters = append(r.Adapters, *record)
	}
}
