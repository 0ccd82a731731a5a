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
	// ID identifies the change over repeated attempts; it must be unique.
	ID      string
	Records []config.RawRecord
	// BaseRevision is the configuration revision that the change was made from; zero means none. A record that another
	// change replaced or created since is then a conflict. A record that was deleted since is created again.
	BaseRevision int64
	// Prune also deletes every stored record that is not in Records.
	Prune bool
}

// hash identifies the content of a change.
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
	return hex.EncodeToString(sum.Sum(nil)[:hashBytes]), nil
}

// hashBytes is the length of a change's hash; 8 bytes tell changes apart that share an id by mistake.
const hashBytes = 8

// Difference lists what a change does to the stored records, each list ordered by kind and name.
type Difference struct {
	Created   []config.RecordID `json:"created"`
	Updated   []config.RecordID `json:"updated"`
	Deleted   []config.RecordID `json:"deleted"`
	Unchanged int               `json:"unchanged"`
}

// Empty tells whether the change has no effect.
func (d Difference) Empty() bool {
	return len(d.Created)+len(d.Updated)+len(d.Deleted) == 0
}

// FieldDifference is a field of an updated record. Before or After is empty when the record does not have the field.
type FieldDifference struct {
	Record config.RecordID `json:"record"`
	Field  string          `json:"field"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// plan is a change merged into stored records.
type plan struct {
	difference Difference
	fields     []FieldDifference
	records    []encodedRecord
	// touched has the record ids that the change names, with their text after the change; nil for a deleted record.
	touched map[config.RecordID][]byte
}

// newPlan merges a change into the stored records and validates the result. Errors: *findings.Error with the mistakes
// that the change brings in. Mistakes of stored records that the change does not touch do not block it.
func newPlan(writer int, stored []config.RawRecord, change Change) (*plan, error) {
	merged := mergeAll(writer, stored, change)
	if err := checkSizes(change.Records); err != nil {
		return nil, err
	}
	_, found := config.ValidateAs(writer, merged)
	if found.Len() > 0 {
		_, before := config.ValidateAs(writer, stored)
		if err := newFindings(found, before).Err(); err != nil {
			return nil, err
		}
	}
	return comparePlan(stored, merged, change)
}

// maxRecordBytes keeps every bundle far below the store's value limit.
const maxRecordBytes = 128 << 10

func checkSizes(records []config.RawRecord) error {
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

// mergeAll puts the change's records in place of stored ones. A record that the change names twice stays twice, so that
// the validation reports it.
func mergeAll(writer int, stored []config.RawRecord, change Change) []config.RawRecord {
	old := make(map[config.RecordID]config.RawRecord, len(stored))
	for _, r := range stored {
		old[r.RecordID] = r
	}
	named := make(map[config.RecordID]bool, len(change.Records))
	merged := make([]config.RawRecord, 0, len(stored)+len(change.Records))
	for _, r := range change.Records {
		named[r.RecordID] = true
		merged = append(merged, config.MergeRecord(writer, r, old[r.RecordID]))
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

// newFindings returns the findings that before does not have.
func newFindings(found, before findings.List) *findings.List {
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

func comparePlan(stored, merged []config.RawRecord, change Change) (*plan, error) {
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
	p := &plan{touched: make(map[config.RecordID][]byte)}
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
		if _, stays := after[id]; !stays {
			p.difference.Deleted = append(p.difference.Deleted, id)
			p.touched[id] = nil
		}
	}
	for _, r := range change.Records {
		p.touched[r.RecordID] = after[r.RecordID]
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
	var old, wanted map[string]json.RawMessage
	if err := errors.CombineErrors(json.Unmarshal(before, &old), json.Unmarshal(after, &wanted)); err != nil {
		return nil, errors.Wrapf(err, "%s", id)
	}
	names := slices.Collect(maps.Keys(old))
	for name := range wanted {
		if _, both := old[name]; !both {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var fields []FieldDifference
	for _, name := range names {
		if !bytes.Equal(old[name], wanted[name]) {
			fields = append(fields, FieldDifference{Record: id, Field: name, Before: old[name], After: wanted[name]})
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

// overlap returns the records that the change names and that differ between two revisions, except those that the newer
// revision already has as the change wants them. With prune a change names every record.
func overlap(base, current *Contents, p *plan, prune bool) ([]config.RecordID, error) {
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
	consider := func(id config.RecordID) {
		wanted, named := p.touched[id]
		if (named || prune) && !bytes.Equal(before[id], after[id]) && !bytes.Equal(after[id], wanted) {
			ids = append(ids, id)
		}
	}
	for id := range before {
		consider(id)
	}
	for id := range after {
		if _, old := before[id]; !old {
			consider(id)
		}
	}
	sortIDs(ids)
	return ids, nil
}

// changedSince returns the records that the change names, that other changes replaced after a revision, and that are
// not as the change wants them. With prune a change names every record.
func changedSince(revision int64, stored []config.RawRecord, p *plan, prune bool) ([]config.RecordID, error) {
	var ids []config.RecordID
	for _, r := range stored {
		wanted, named := p.touched[r.RecordID]
		if r.Revision <= revision || (!named && !prune) {
			continue
		}
		text, err := r.Canonical()
		if err != nil {
			return nil, errors.Wrapf(err, "%s", r.RecordID)
		}
		if !bytes.Equal(text, wanted) {
			ids = append(ids, r.RecordID)
		}
	}
	sortIDs(ids)
	return ids, nil
}
