package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/internal/strictjson"
	"github.com/mulberryglade/mulberryglade/pkg/findings"
)

const (
	fieldKind             = "kind"
	fieldName             = "name"
	fieldRecords          = "records"
	fieldSchemaVersion    = "schemaVersion"
	fieldMinReaderVersion = "minReaderVersion"
)

// RecordID identifies a record.
type RecordID struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns "Kind/name".
func (id RecordID) String() string {
	return string(id.Kind) + "/" + id.Name
}

// RawRecord is a record as it was written, with known and unknown fields.
type RawRecord struct {
	RecordID
	// File and Pointer, a JSON pointer, are the location from which the record was read.
	File    string
	Pointer string
	// Fields is the parsed JSON object, with numbers as json.Number. It is not modified after parsing.
	Fields map[string]any
	// Revision is the configuration revision that last changed the record, or zero if the record is not stored.
	Revision int64

	// decoded caches the result of decodeRecord, since most records do not change from one revision to the next.
	decoded *atomic.Pointer[decodedRecord]
}

// Canonical returns the record as compact JSON with sorted fields.
func (r RawRecord) Canonical() ([]byte, error) {
	return strictjson.Canonical(r.Fields)
}

// SchemaVersion returns the schema version in which the record was written, or zero if it has none.
func (r RawRecord) SchemaVersion() int {
	return wholeNumber(r.Fields[fieldSchemaVersion])
}

// MinReaderVersion returns the oldest schema version whose readers may use the record, or zero if it has none.
func (r RawRecord) MinReaderVersion() int {
	return wholeNumber(r.Fields[fieldMinReaderVersion])
}

func wholeNumber(node any) int {
	number, ok := node.(json.Number)
	if !ok {
		return 0
	}
	value, err := strconv.Atoi(number.String())
	if err != nil {
		return 0
	}
	return value
}

// LoadFiles reads files, and all *.json files of directories. A file contains either one record or an object with the
// fields schemaVersion and records. Records without a schemaVersion get that of the file.
func LoadFiles(paths []string) ([]RawRecord, findings.List) {
	var records []RawRecord
	var found findings.List
	for _, path := range paths {
		for _, file := range expandPath(path, &found) {
			data, err := os.ReadFile(file)
			if err != nil {
				found.Addf(file, "", "", "cannot be read: %v", err)
				continue
			}
			parsed, parseFindings := ParseFile(file, data)
			records = append(records, parsed...)
			found.Append(parseFindings)
		}
	}
	return records, found
}

// expandPath returns the path itself or, for a directory, its *.json files ordered by name.
func expandPath(path string, found *findings.List) []string {
	info, err := os.Stat(path)
	if err != nil {
		found.Addf(path, "", "", "cannot be read: %v", err)
		return nil
	}
	if !info.IsDir() {
		return []string{path}
	}
	files, err := filepath.Glob(filepath.Join(globEscape(path), "*.json"))
	if err != nil || len(files) == 0 {
		found.Addf(path, "", "", "the directory has no *.json files")
	}
	return files
}

// globEscape escapes the characters of a path that have a meaning in a pattern.
func globEscape(path string) string {
	escaped := make([]byte, 0, len(path))
	for i := range len(path) {
		switch path[i] {
		case '*', '?', '[', '\\':
			escaped = append(escaped, '\\')
		}
		escaped = append(escaped, path[i])
	}
	return string(escaped)
}

// ParseFile parses the content of one declaration file.
func ParseFile(file string, data []byte) ([]RawRecord, findings.List) {
	doc, err := strictjson.Parse(data)
	if err != nil {
		var found findings.List
		found.Addf(file, "", "", "is not valid JSON: %v", errors.UnwrapAll(err))
		return nil, found
	}
	return ParseDocument(file, doc)
}

// ParseDocument returns the records of a parsed declaration file.
func ParseDocument(file string, doc strictjson.Document) ([]RawRecord, findings.List) {
	var found findings.List
	for _, pointer := range doc.Duplicates {
		found.Addf(file, pointer, "", "the field occurs more than once")
	}
	root, ok := doc.Root.(map[string]any)
	if !ok {
		found.Addf(file, "", strictjson.CompactJSON(doc.Root), "must be a record or an object with schemaVersion and records")
		return nil, found
	}
	if _, isRecordSet := root[fieldRecords]; !isRecordSet {
		return []RawRecord{newRawRecord(file, "", root)}, found
	}
	return parseRecordSet(file, root, &found), found
}

func parseRecordSet(file string, root map[string]any, found *findings.List) []RawRecord {
	for name := range root {
		if name != fieldRecords && name != fieldSchemaVersion {
			found.Addf(file, strictjson.Join("", name), strconv.Quote(name), "unknown field")
		}
	}
	version, hasVersion := root[fieldSchemaVersion]
	if hasVersion && wholeNumber(version) < SchemaVersion1 {
		found.Addf(file, "/"+fieldSchemaVersion, strictjson.CompactJSON(version), "must be a whole number of at least 1")
		hasVersion = false
	}
	nodes, ok := root[fieldRecords].([]any)
	if !ok {
		found.Addf(file, "/"+fieldRecords, strictjson.CompactJSON(root[fieldRecords]), "must be an array")
		return nil
	}
	var records []RawRecord
	for i, node := range nodes {
		pointer := strictjson.JoinIndex("/"+fieldRecords, i)
		fields, ok := node.(map[string]any)
		if !ok {
			found.Addf(file, pointer, strictjson.CompactJSON(node), "must be an object")
			continue
		}
		if _, hasOwn := fields[fieldSchemaVersion]; !hasOwn && hasVersion {
			fields[fieldSchemaVersion] = version
		}
		records = append(records, newRawRecord(file, pointer, fields))
	}
	return records
}

func newRawRecord(file, pointer string, fields map[string]any) RawRecord {
	kind, _ := fields[fieldKind].(string)
	name, _ := fields[fieldName].(string)
	id := RecordID{Kind: Kind(kind), Name: name}
	return RawRecord{RecordID: id, File: file, Pointer: pointer, Fields: fields, decoded: new(atomic.Pointer[decodedRecord])}
}

// NewRawRecord returns a record of parsed fields, for example after a merge. Findings about the record
// report the given file and pointer.
func NewRawRecord(file, pointer string, fields map[string]any) RawRecord {
	return newRawRecord(file, pointer, fields)
}
