package config

import (
	"strconv"
	"strings"

	"github.com/mulberryglade/mulberryglade/internal/strictjson"
	"github.com/mulberryglade/mulberryglade/pkg/findings"
)

// decodedRecord is a record during validation, with its typed form and the findings about it.
type decodedRecord struct {
	raw RawRecord
	// readerVersion is the newest schema version of the reader for which the record was decoded.
	readerVersion int
	// record is a pointer to the typed record. It may be shared with other validations, so it is replaced and never
	// modified.
	record any
	// invalidPointers has the pointers of fields that could not be decoded. No further findings are added for them.
	invalidPointers map[string]bool
	// found has the findings about this record.
	found findings.List
	// needsNewerReader is true when the record's minReaderVersion is above readerVersion.
	needsNewerReader bool
}

func newRecord(kind Kind) any {
	switch kind {
	case KindDeployment:
		return &Deployment{}
	case KindDataCentre:
		return &DataCentre{}
	case KindMember:
		return &Member{}
	case KindService:
		return &Service{}
	case KindEndpoint:
		return &Endpoint{}
	case KindModel:
		return &Model{}
	case KindAdapter:
		return &Adapter{}
	default:
		return nil
	}
}

// decodeRecord decodes one record into its type and checks everything that does not depend on other records. The caller
// may modify the result, except for the typed record, which is cached in raw.
func decodeRecord(raw RawRecord, readerVersion int) *decodedRecord {
	if raw.decoded == nil {
		return decodeUncached(raw, readerVersion)
	}
	e := raw.decoded.Load()
	if e == nil || e.readerVersion != readerVersion {
		e = decodeUncached(raw, readerVersion)
		raw.decoded.Store(e)
	}
	result := *e
	result.raw = raw
	result.found = findings.List{}
	result.found.Append(e.found)
	return &result
}

func decodeUncached(raw RawRecord, readerVersion int) *decodedRecord {
	e := &decodedRecord{raw: raw, readerVersion: readerVersion}
	version := e.checkVersions(readerVersion)
	e.record = newRecord(raw.Kind)
	if e.record == nil {
		e.report(fieldKind, "must be Deployment, DataCentre, Member, Service, Endpoint, Model or Adapter")
		return e
	}
	if e.needsNewerReader {
		return e
	}
	decoder := strictjson.Decoder{
		File:            raw.File,
		ReaderVersion:   readerVersion,
		DocumentVersion: version,
		AllowUnknown:    version > readerVersion,
		Findings:        &e.found,
	}
	e.invalidPointers = decoder.Decode(raw.Fields, raw.Pointer, e.record)
	e.checkName()
	e.checkFields()
	return e
}

func (e *decodedRecord) checkVersions(readerVersion int) int {
	version := e.raw.SchemaVersion()
	if version < SchemaVersion1 {
		e.report(fieldSchemaVersion, "must be a whole number of at least 1")
	}
	if e.raw.MinReaderVersion() > readerVersion {
		e.needsNewerReader = true
		e.report(fieldMinReaderVersion, "the record needs a reader of a newer version than %d", readerVersion)
	}
	return version
}

// valid reports whether there is a typed record, decoded or restored from the previous snapshot, and no findings so
// far.
func (e *decodedRecord) valid() bool {
	return e.record != nil && e.found.Len() == 0
}

// pointerTo returns the JSON pointer of a field of the record. Path elements are field names or array indexes.
func (e *decodedRecord) pointerTo(path ...any) string {
	pointer := e.raw.Pointer
	for _, element := range path {
		switch element := element.(type) {
		case int:
			pointer = strictjson.JoinIndex(pointer, element)
		case string:
			pointer = strictjson.Join(pointer, element)
		}
	}
	return pointer
}

// report adds a finding about a top-level field.
func (e *decodedRecord) report(field, format string, args ...any) {
	e.reportAt([]any{field}, format, args...)
}

// reportAt adds a finding about the field at a path below the record, unless the field could not be decoded.
func (e *decodedRecord) reportAt(path []any, format string, args ...any) {
	pointer := e.pointerTo(path...)
	if e.invalidPointers[pointer] {
		return
	}
	value := e.valueText(path)
	if value == "" && strings.HasPrefix(format, "must ") {
		format = "is missing; it " + format
	}
	e.found.Addf(e.raw.File, pointer, value, format, args...)
}

// reportUnquoted is reportAt without quoting the value, which could be a bearer key in the wrong field.
func (e *decodedRecord) reportUnquoted(path []any, format string, args ...any) {
	pointer := e.pointerTo(path...)
	if !e.invalidPointers[pointer] {
		e.found.Addf(e.raw.File, pointer, "", format, args...)
	}
}

func (e *decodedRecord) valueText(path []any) string {
	var node any = e.raw.Fields
	for _, element := range path {
		switch element := element.(type) {
		case int:
			array, _ := node.([]any)
			if element >= len(array) {
				return ""
			}
			node = array[element]
		case string:
			object, _ := node.(map[string]any)
			child, ok := object[element]
			if !ok {
				return ""
			}
			node = child
		}
	}
	return strictjson.CompactJSON(node)
}

// isName reports whether a name can be used in keys, URLs and metrics.
func isName(name string) bool {
	if name == "" || len(name) > MaxNameLength || name[0] == '.' || name[0] == '-' {
		return false
	}
	for i := range len(name) {
		c := name[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '.' {
			return false
		}
	}
	return true
}

// MaxNameLength is the maximum number of characters of a record's name.
const MaxNameLength = 63

func (e *decodedRecord) checkName() {
	if !isName(e.raw.Name) {
		e.report(fieldName, "must be 1 to %s lower-case letters, digits, '-' or '.', beginning with a letter or digit",
			strconv.Itoa(MaxNameLength))
	}
}
