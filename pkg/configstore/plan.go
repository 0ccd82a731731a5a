package configstore

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"sort"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/findings"
)

// Change is a set of records to create or replace.
type Change struct {
	// ID identifies the change over repeated calls of Apply and must be unique.
	ID      string
	Records []config.RawRecord
	// BaseRevision is the configuration revision that the change is based on; zero means none. It is a conflict if another
	// change has replaced or created a record of this change since BaseRevision. A record that was deleted since
	// BaseRevision is created again.
	BaseRevision int64
	// Prune deletes every stored record that is not in Records.
	Prune bool
}

// hash returns a hash of the content of the change.
func (c Change) hash() (string, error) {
	sum := sha256.New()
	if c.Prune {
		sum.Write([]byte("prune\n"))
	}
	for _, r := range c.Records {
		text, err := r.Canonical()
		if err != nil {
			return "", err
		}
		sum.Write(text)
		sum.Write([]byte{'\n'})
	}
	return hex.EncodeToString(sum.Sum(nil)[:changeHashBytes]), nil
}

// changeHashBytes is the length of a change's hash. 8 bytes suffice to distinguish changes that share an id by mistake.
const changeHashBytes = 8

// Difference lists the effects of a change on the stored records. Each list is ordered by kind and name.
type Difference struct {
	Created   []config.RecordID `json:"created"`
	Updated   []config.RecordID `json:"updated"`
	Deleted   []config.RecordID `json:"deleted"`
	Unchanged int               `json:"unchanged"`
}

// Empty reports whether the change has no effect.
func (d Difference) Empty() bool {
	return len(d.Created)+len(d.Updated)+len(d.Deleted) == 0
}

// FieldDifference is a changed field of an updated record. Before or After is empty when the record lacks the field.
type FieldDifference struct {
	Record config.RecordID `json:"record"`
	Field  string          `json:"field"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// plan is the result of merging a change into the stored records.
type plan struct {
	difference Difference
	fields     []FieldDifference
	records    []encodedRecord
	// affected maps each record that the change contains or deletes to its text after the change; nil for a deleted one.
	affected map[config.RecordID][]byte
}

// newPlan merges a change into the stored records and validates the result. Errors: *findings.Error with the findings
// that the change adds. Findings that the stored records already have do not block the change.
func newPlan(writerVersion int, stored []config.RawRecord, change Change) (*plan, error) {
	merged := mergeRecords(writerVersion, stored, change)
	if err := checkRecordSizes(change.Records); err != nil {
		return nil, err
	}
	_, found := config.ValidateAs(writerVersion, merged)
	if found.Len() > 0 {
		_, before := config.ValidateAs(writerVersion, stored)
		if err := addedFindings(found, before).Err(); err != nil {
			return nil, err
		}
	}
	return buildPlan(stored, merged, change)
}

// maxRecordBytes bounds a record, which keeps every bundle far below the store's value limit.
const maxRecordBytes = 128 << 10

func checkRecordSizes(records []config.RawRecord) error {
	var found findings.List
	for _, r := range records {
		text, err := r.Canonical()
		if err != nil {
			return errors.Wrapf(err, "%s", r.RecordID)
		}
		if len(text) > maxRecordBytes {
			found.Addf(r.File, r.Pointer, "", "must be at most %d bytes, and has %d", maxRecordBytes, len(text))
		}
	}
	return found.Err()
}

// mergeRecords replaces stored records by those of the change. A record that the change contains twice is kept twice,
// so that validation reports it.
func mergeRecords(writerVersion int, stored []config.RawRecord, change Change) []config.RawRecord {
	old := make(map[config.RecordID]config.RawRecord, len(stored))
	for _, r := range stored {
		old[r.RecordID] = r
	}
	named := make(map[config.RecordID]bool, len(change.Records))
	merged := make([]config.RawRecord, 0, len(stored)+len(change.Records))
	for _, r := range change.Records {
		named[r.RecordID] = true
		merged = append(merged, config.MergeRecord(writerVersion, r, old[r.RecordID]))
	}
	if change.Prune {
		return merged
	}
	for _, r := range stored {
		if !named[r.RecordID] {
			merged = append(merged, r)
		}
	}
	return merged
}

// addedFindings returns the findings that are not in before.
func addedFindings(found, before findings.List) *findings.List {
	known := make(map[string]bool, before.Len())
	for _, f := range before.Items() {
		known[f.String()] = true
	}
	var added findings.List
	for _, f := range found.Items() {
		if !known[f.String()] {
			added.Add(f)
		}
	}
	return &added
}

// buildPlan compares the stored records with the merged ones.
func buildPlan(stored, merged []config.RawRecord, change Change) (*plan, error) {
	before, err := encodeAll(stored)
	if err != nil {
		return nil, err
	}
	after, err := encodeAll(merged)
	if err != nil {
		return nil, err
	}
	revisions := make(map[config.RecordID]int64, len(stored))
	for _, r := range stored {
		revisions[r.RecordID] = r.Revision
	}
	p := &plan{affected: make(map[config.RecordID][]byte)}
	for id, text := range after {
		record := encodedRecord{id: id, text: text}
		old, existed := before[id]
		switch {
		case !existed:
			p.difference.Created = append(p.difference.Created, id)
		case !bytes.Equal(old, text):
			p.difference.Updated = append(p.difference.Updated, id)
		default:
			p.difference.Unchanged++
			record.revision = revisions[id]
		}
		p.records = append(p.records, record)
	}
	for id := range before {
		if _, remains := after[id]; !remains {
			p.difference.Deleted = append(p.difference.Deleted, id)
			p.affected[id] = nil
		}
	}
	for _, r := range change.Records {
		p.affected[r.RecordID] = after[r.RecordID]
	}
	sortIDs(p.difference.Created)
	sortIDs(p.difference.Updated)
	sortIDs(p.difference.Deleted)
	for _, id := range p.difference.Updated {
		fields, err := compareFields(id, before[id], after[id])
		if err != nil {
			return nil, err
		}
		p.fields = append(p.fields, fields...)
	}
	return p, nil
}

func compareFields(id config.RecordID, before, after []byte) ([]FieldDifference, error) {
	var old, updated map[string]json.RawMessage
	if err := errors.CombineErrors(json.Unmarshal(before, &old), json.Unmarshal(after, &updated)); err != nil {
		return nil, errors.Wrapf(err, "%s", id)
	}
	names := slices.Collect(maps.Keys(old))
	for name := range updated {
		if _, both := old[name]; !both {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var fields []FieldDifference
	for _, name := range names {
		if !bytes.Equal(old[name], updated[name]) {
			fields = append(fields, FieldDifference{Record: id, Field: name, Before: old[name], After: updated[name]})
		}
	}
	return fields, nil
}

func encodeAll(records []config.RawRecord) (map[config.RecordID][]byte, error) {
	texts := make(map[config.RecordID][]byte, len(records))
	for _, r := range records {
		text, err := r.Canonical()
		if err != nil {
			return nil, errors.Wrapf(err, "%s", r.RecordID)
		}
		texts[r.RecordID] = text
	}
	return texts, nil
}

func sortIDs(ids []config.RecordID) {
	sort.Slice(ids, func(i, j int) bool {
		if ids[i].Kind != ids[j].Kind {
			return ids[i].Kind < ids[j].Kind
		}
		return ids[i].Name < ids[j].Name
	})
}

// conflictsBetween returns the records of the change that differ between two configurations, except those that the
// newer one already has as the change would make them. With prune every record belongs to the change.
func conflictsBetween(base, current *Contents, p *plan, prune bool) ([]config.RecordID, error) {
	if base.Head.Revision == current.Head.Revision {
		return nil, nil
	}
	before, err := encodeAll(base.Records())
	if err != nil {
		return nil, err
	}
	after, err := encodeAll(current.Records())
	if err != nil {
		return nil, err
	}
	var ids []config.RecordID
	check := func(id config.RecordID) {
		desired, named := p.affected[id]
		if (named || prune) && !bytes.Equal(before[id], after[id]) && !bytes.Equal(after[id], desired) {
			ids = append(ids, id)
		}
	}
	for id := range before {
		check(id)
	}
	for id := range after {
		if _, old := before[id]; !old {
			check(id)
		}
	}
	sortIDs(ids)
	return ids, nil
}

// conflictsSince returns the records of the change that other changes replaced after a revision, except those that are
// already as the change would make them. With prune every record belongs to the change.
func conflictsSince(revision int64, stored []config.RawRecord, p *plan, prune bool) ([]config.RecordID, error) {
	var ids []config.RecordID
	for _, r := range stored {
		desired, named := p.affected[r.RecordID]
		if r.Revision <= revision || (!named && !prune) {
			continue
		}
		text, err := r.Canonical()
		if err != nil {
			return nil, errors.Wrapf(err, "%s", r.RecordID)
		}
		if !bytes.Equal(text, desired) {
			ids = append(ids, r.RecordID)
		}
	}
	sortIDs(ids)
	return ids, nil
}
