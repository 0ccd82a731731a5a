package config

import (
	"encoding/json"
	"reflect"
	"strconv"

	"github.com/mulberryglade/mulberryglade/internal/strictjson"
)

// MergeRecord returns the record that replaces stored when a writer whose newest schema version is writerVersion writes
// written. It keeps stored fields that are unknown to the writer or to the schema version of written. It never lowers
// schemaVersion, and it does not lower minReaderVersion if stored has a newer schema version than writerVersion or than
// written. Findings about the result name the location of written.
func MergeRecord(writerVersion int, written, stored RawRecord) RawRecord {
	record := newRecord(written.Kind)
	if record == nil || stored.Fields == nil {
		return written
	}
	knownVersion := min(writerVersion, written.SchemaVersion())
	zeroRecord := reflect.ValueOf(record).Elem().Interface()
	fields := strictjson.Merge(written.Fields, stored.Fields, zeroRecord, knownVersion)
	raiseTo(fields, fieldSchemaVersion, stored.SchemaVersion())
	if stored.SchemaVersion() > knownVersion {
		raiseTo(fields, fieldMinReaderVersion, stored.MinReaderVersion())
	}
	return newRawRecord(written.File, written.Pointer, fields)
}

// raiseTo sets a whole-number field to value if the field is lower or missing.
func raiseTo(fields map[string]any, field string, value int) {
	if value > wholeNumber(fields[field]) {
		fields[field] = json.Number(strconv.Itoa(value))
	}
}
