package config

import (
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/findings"
)

// BuildSnapshot builds a snapshot from stored records. An invalid record is reported and left out, together with the
// records that depend on it; all other records take effect. For a record that needs a newer reader, the version of the
// record in previous stays in effect. previous may be nil. The result is nil if neither the records nor previous have a
// valid Deployment.
func BuildSnapshot(
	revision int64, committedAt time.Time, raw []RawRecord, previous *Snapshot,
) (*Snapshot, findings.List) {
	return BuildSnapshotAs(NewestSchemaVersion, revision, committedAt, raw, previous)
}

// BuildSnapshotAs builds a snapshot like BuildSnapshot in a build whose newest schema version is readerVersion.
func BuildSnapshotAs(
	readerVersion int, revision int64, committedAt time.Time, raw []RawRecord, previous *Snapshot,
) (*Snapshot, findings.List) {
	t := newTable(raw, readerVersion)
	t.skipInvalid = true
	found := t.restorePrevious(previous)
	t.checkUnique()
	for _, e := range t.decodedRecords {
		if e.valid() {
			t.checkServiceType(e)
		}
	}
	found.Append(t.invalidateDependants())
	found.Append(t.findings())
	records := t.records()
	if records.Deployment.Name == "" {
		found.Addf("", "", "", "there is no usable record of kind %s", KindDeployment)
		if previous == nil {
			return nil, found
		}
		records.Deployment = previous.records.Deployment
	}
	return NewSnapshot(revision, committedAt, records), found
}

// restorePrevious replaces records that need a newer reader by their previous versions, and returns the findings of the
// replaced records.
func (t *table) restorePrevious(previous *Snapshot) findings.List {
	var found findings.List
	for _, e := range t.decodedRecords {
		if !e.needsNewerReader || t.byID[e.raw.RecordID] != e {
			continue
		}
		if record := previous.copyRecord(e.raw.RecordID); record != nil {
			e.record = record
			found.Append(e.found)
			e.found = findings.List{}
		}
	}
	return found
}

// copyRecord returns a pointer to a copy of a record, or nil if the snapshot does not have it.
func (s *Snapshot) copyRecord(id RecordID) any {
	if s == nil {
		return nil
	}
	switch id.Kind {
	case KindDeployment:
		return copyIfExists(&s.records.Deployment, s.records.Deployment.Name == id.Name)
	case KindDataCentre:
		return copyIfExists(s.dataCentres[id.Name], s.dataCentres[id.Name] != nil)
	case KindMember:
		return copyIfExists(s.members[id.Name], s.members[id.Name] != nil)
	case KindService:
		return copyIfExists(s.services[id.Name], s.services[id.Name] != nil)
	case KindEndpoint:
		return copyIfExists(s.endpoints[id.Name], s.endpoints[id.Name] != nil)
	case KindModel:
		return copyIfExists(s.models[id.Name], s.models[id.Name] != nil)
	case KindAdapter:
		return copyIfExists(s.adapters[id.Name], s.adapters[id.Name] != nil)
	default:
		return nil
	}
}

func copyIfExists[T any](record *T, exists bool) any {
	if !exists {
		return nil
	}
	duplicate := *record
	return &duplicate
}

// invalidateDependants invalidates, transitively, the records that depend on a missing or invalid record. A missing or
// invalid member is only removed from lists of members, so that the other members keep the model; the findings about it
// are returned.
func (t *table) invalidateDependants() findings.List {
	var found findings.List
	for changed := true; changed; {
		changed = false
		for _, e := range t.decodedRecords {
			if e.valid() && t.checkDependencies(e, &found) {
				changed = true
			}
		}
	}
	return found
}

// checkDependencies checks the references of a valid record and reports whether the record became invalid.
func (t *table) checkDependencies(e *decodedRecord, found *findings.List) bool {
	for _, ref := range e.references() {
		if target := t.byID[ref.id]; target != nil && target.valid() {
			continue
		}
		if ref.listElement {
			e.removeMember(ref.id.Name)
			found.Addf(e.raw.File, e.pointerTo(ref.path...), ref.id.Name, "is ignored, because %s is not usable", ref.id)
			continue
		}
		e.reportAt(ref.path, "refers to %s, which is not usable", ref.id)
	}
	return !e.valid()
}
