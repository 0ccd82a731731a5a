package config

import (
	"encoding/json"
	"reflect"
	"strconv"

	"github.com/mulberryglade/mulberryglade/internal/strictjson"
)

// MergeRecord returns the record that replaces stored when a writer whose newest schema version is writer writes
// written. Stored fields that the writer or the written record's version does not know are kept, and neither
// schemaVersion nor, for a stored record of a newer version, minReaderVersion is lowered. Findings about the result
// name the location of written.
func MergeRecord(writer int, written, stored RawRecord) RawRecord {
	record := newRecord(written.Kind)
	if record == nil || stored.Fields == nil {
		return written
	}
	known := min(writer, written.SchemaVersion())
	shape := reflect.ValueOf(record).Elem().Interface()
	fields := strictjson.Merge(written.Fields, stored.Fields, shape, known)
	raise(fields, fieldSchemaVersion, stored.SchemaVersion())
	if stored.SchemaVersion() > known {
		raise(fields, fieldMinReaderVersion, stored.MinReaderVersion())
	}
	return newRawRecord(written.File, written.Pointer, fields)
}

// raise sets a whole number that is lower.
func raise(fields map[string]any, field string, value int) {
	if value > wholeNumber(fields[field]) {
		fields[field] = json.Number(strconv.Itoa(value))
	}
}
