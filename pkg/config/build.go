package config

import (
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/findings"
)

// BuildSnapshot makes a snapshot of stored records. A record with a mistake is left out, together with the records that
// need it, and reported; everything else takes effect. A record that asks for a newer reader stays in the form that
// previous has. previous may be nil. The result is nil when there is no usable Deployment, neither among the records nor
// in previous.
func BuildSnapshot(
	revision int64, committedAt time.Time, raw []RawRecord, previous *Snapshot,
) (*Snapshot, findings.List) {
	return BuildSnapshotAs(NewestSchemaVersion, revision, committedAt, raw, previous)
}

// BuildSnapshotAs builds a snapshot as a build would whose newest schema version is reader.
func BuildSnapshotAs(
	reader int, revision int64, committedAt time.Time, raw []RawRecord, previous *Snapshot,
) (*Snapshot, findings.List) {
	t := newTable(raw, reader)
	t.onlyValid = true
	found := t.restore(previous)
	t.checkUnique()
	for _, e := range t.entries {
		if e.valid() {
			t.checkServiceType(e)
		}
	}
	found.Append(t.dropDependants())
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

// restore puts the previous form in place of records that ask for a newer reader, and returns their findings.
func (t *table) restore(previous *Snapshot) findings.List {
	var found findings.List
	for _, e := range t.entries {
		if !e.unreadable || t.byID[e.raw.RecordID] != e {
			continue
		}
		if record := previous.copyOf(e.raw.RecordID); record != nil {
			e.record = record
			found.Append(e.found)
			e.found = findings.List{}
		}
	}
	return found
}

// copyOf returns a pointer to a copy of a record, or nil.
func (s *Snapshot) copyOf(id RecordID) any {
	if s == nil {
		return nil
	}
	switch id.Kind {
	case KindDeployment:
		return copyNamed(&s.records.Deployment, s.records.Deployment.Name == id.Name)
	case KindDataCentre:
		return copyNamed(s.dataCentres[id.Name], s.dataCentres[id.Name] != nil)
	case KindMember:
		return copyNamed(s.members[id.Name], s.members[id.Name] != nil)
	case KindService:
		return copyNamed(s.services[id.Name], s.services[id.Name] != nil)
	case KindEndpoint:
		return copyNamed(s.endpoints[id.Name], s.endpoints[id.Name] != nil)
	case KindModel:
		return copyNamed(s.models[id.Name], s.models[id.Name] != nil)
	case KindAdapter:
		return copyNamed(s.adapters[id.Name], s.adapters[id.Name] != nil)
	default:
		return nil
	}
}

func copyNamed[T any](record *T, exists bool) any {
	if !exists {
		return nil
	}
	duplicate := *record
	return &duplicate
}

// dropDependants invalidates records that need a record that is not usable, until none is left. A member that is not
// usable only disappears from lists of members, so that the others keep the model; the findings of that are returned.
func (t *table) dropDependants() findings.List {
	var found findings.List
	for changed := true; changed; {
		changed = false
		for _, e := range t.entries {
			if e.valid() && t.dropDependant(e, &found) {
				changed = true
			}
		}
	}
	return found
}

// dropDependant reports whether the entry became invalid.
func (t *table) dropDependant(e *entry, found *findings.List) bool {
	for _, ref := range e.references() {
		if target := t.byID[ref.id]; target != nil && target.valid() {
			continue
		}
		if ref.listed {
			e.dropMember(ref.id.Name)
			found.Addf(e.raw.File, e.at(ref.path...), ref.id.Name, "is ignored, because %s is not usable", ref.id)
			continue
		}
		e.addAt(ref.path, "names %s, which is not usable", ref.id)
	}
	return !e.valid()
}
