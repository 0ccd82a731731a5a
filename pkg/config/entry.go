package config

import (
	"strconv"
	"strings"

	"github.com/mulberryglade/mulberryglade/internal/strictjson"
	"github.com/mulberryglade/mulberryglade/pkg/findings"
)

// entry is a record during validation.
type entry struct {
	raw RawRecord
	// reader is the schema version that the record was decoded for.
	reader int
	// record is a pointer to the typed record. Other validations may share it, so it is replaced and never modified.
	record any
	// bad has the pointers of fields whose value could not be used, so that no second finding follows.
	bad map[string]bool
	// found has this record's own findings.
	found findings.List
	// unreadable is true when the record asks for a newer reader.
	unreadable bool
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

// decodeRecord types one record and checks everything that does not depend on other records. The result is the caller's
// own, except for the typed record.
func decodeRecord(raw RawRecord, reader int) *entry {
	if raw.decoded == nil {
		return decodeAfresh(raw, reader)
	}
	e := raw.decoded.Load()
	if e == nil || e.reader != reader {
		e = decodeAfresh(raw, reader)
		raw.decoded.Store(e)
	}
	own := *e
	own.raw = raw
	own.found = findings.List{}
	own.found.Append(e.found)
	return &own
}

func decodeAfresh(raw RawRecord, reader int) *entry {
	e := &entry{raw: raw, reader: reader}
	version := e.headerVersion(reader)
	e.record = newRecord(raw.Kind)
	if e.record == nil {
		e.add(fieldKind, "must be Deployment, DataCentre, Member, Service, Endpoint, Model or Adapter")
		return e
	}
	if e.unreadable {
		return e
	}
	decoder := strictjson.Decoder{
		File:            raw.File,
		ReaderVersion:   reader,
		DocumentVersion: version,
		AllowUnknown:    version > reader,
		Findings:        &e.found,
	}
	e.bad = decoder.Decode(raw.Fields, raw.Pointer, e.record)
	e.checkName()
	e.checkFields()
	return e
}

func (e *entry) headerVersion(reader int) int {
	version := e.raw.SchemaVersion()
	if version < SchemaVersion1 {
		e.add(fieldSchemaVersion, "must be a whole number of at least 1")
	}
	if e.raw.MinReaderVersion() > reader {
		e.unreadable = true
		e.add(fieldMinReaderVersion, "the record needs a reader of a newer version than %d", reader)
	}
	return version
}

// valid tells whether the record can be used as far as it is known by itself.
func (e *entry) valid() bool {
	return e.record != nil && e.found.Len() == 0
}

// at returns the pointer of a field of the record. Path elements are field names or array indexes.
func (e *entry) at(path ...any) string {
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

// add reports a top-level field.
func (e *entry) add(field, format string, args ...any) {
	e.addAt([]any{field}, format, args...)
}

// addAt reports a field at a path below the record, unless its value was reported already.
func (e *entry) addAt(path []any, format string, args ...any) {
	pointer := e.at(path...)
	if e.bad[pointer] {
		return
	}
	value := e.quote(path)
	if value == "" && strings.HasPrefix(format, "must ") {
		format = "is missing; it " + format
	}
	e.found.Addf(e.raw.File, pointer, value, format, args...)
}

// addHidden reports a field without quoting its value, which could be a clear key in the wrong place.
func (e *entry) addHidden(path []any, format string, args ...any) {
	pointer := e.at(path...)
	if !e.bad[pointer] {
		e.found.Addf(e.raw.File, pointer, "", format, args...)
	}
}

func (e *entry) quote(path []any) string {
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
	return strictjson.Text(node)
}

// isName tells whether a name is usable in keys, URLs and metrics.
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

// MaxNameLength is the largest number of characters of a record's name.
const MaxNameLength = 63

func (e *entry) checkName() {
	if !isName(e.raw.Name) {
		e.add(fieldName, "must be 1 to %s lower-case letters, digits, '-' or '.', beginning with a letter or digit",
			strconv.Itoa(MaxNameLength))
	}
}
