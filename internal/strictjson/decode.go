package strictjson

import (
	"encoding/json"
	"io"
	"reflect"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/findings"
)

// sinceTag is the struct tag for the schema version that introduced a field.
const sinceTag = "since"

// Decoder decodes parsed documents into structs. Field names must match exactly.
type Decoder struct {
	// File is the file name in findings.
	File string
	// ReaderVersion is the schema version of the reader: fields with a higher `since` tag count as unknown. Zero means
	// that all fields are known.
	ReaderVersion int
	// DocumentVersion is the schema version of the document: fields with a higher `since` tag are reported. Zero means
	// that none are.
	DocumentVersion int
	// AllowUnknown ignores unknown fields instead of reporting them.
	AllowUnknown bool
	// Findings is the list to which findings are added.
	Findings *findings.List
}

// Decode decodes a node into *into, which must be a struct. Fields with findings are not changed. Decode returns the
// JSON pointers of the fields whose value could not be used.
func (d *Decoder) Decode(node any, pointer string, into any) map[string]bool {
	invalid := make(map[string]bool)
	d.decodeValue(node, pointer, reflect.ValueOf(into).Elem(), invalid)
	return invalid
}

func (d *Decoder) decodeValue(node any, pointer string, into reflect.Value, invalid map[string]bool) {
	ok := false
	switch into.Kind() {
	case reflect.Struct:
		ok = d.decodeObject(node, pointer, into, invalid)
	case reflect.Slice:
		ok = d.decodeArray(node, pointer, into, invalid)
	case reflect.String:
		ok = setString(node, into)
	case reflect.Bool:
		ok = setBool(node, into)
	case reflect.Int, reflect.Int64:
		ok = setInt(node, into)
	case reflect.Float64:
		ok = setFloat(node, into)
	}
	if !ok {
		invalid[pointer] = true
		d.Findings.Addf(d.File, pointer, CompactJSON(node), "must be %s", typeDescription(into.Type()))
	}
}

func (d *Decoder) decodeObject(node any, pointer string, into reflect.Value, invalid map[string]bool) bool {
	object, ok := node.(map[string]any)
	if !ok {
		return false
	}
	fields := make(map[string]field)
	collectFields(into, fields)
	for name, child := range object {
		fieldPointer := Join(pointer, name)
		f, known := fields[name]
		if !known || (d.ReaderVersion > 0 && f.since > d.ReaderVersion) {
			d.reportUnknown(name, fieldPointer)
			continue
		}
		if d.DocumentVersion > 0 && f.since > d.DocumentVersion {
			invalid[fieldPointer] = true
			d.Findings.Addf(d.File, fieldPointer, CompactJSON(child), "needs schemaVersion %d", f.since)
			continue
		}
		d.decodeValue(child, fieldPointer, f.value, invalid)
	}
	return true
}

// reportUnknown reports a field by its name and not by its value, which could be a misplaced secret.
func (d *Decoder) reportUnknown(name, fieldPointer string) {
	if !d.AllowUnknown {
		d.Findings.Addf(d.File, fieldPointer, strconv.Quote(name), "unknown field")
	}
}

func (d *Decoder) decodeArray(node any, pointer string, into reflect.Value, invalid map[string]bool) bool {
	array, ok := node.([]any)
	if !ok {
		return false
	}
	into.Set(reflect.MakeSlice(into.Type(), len(array), len(array)))
	for i, child := range array {
		d.decodeValue(child, JoinIndex(pointer, i), into.Index(i), invalid)
	}
	return true
}

type field struct {
	value reflect.Value
	since int
}

func collectFields(into reflect.Value, fields map[string]field) {
	t := into.Type()
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			collectFields(into.Field(i), fields)
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		since, _ := strconv.Atoi(f.Tag.Get(sinceTag))
		fields[name] = field{value: into.Field(i), since: since}
	}
}

func setString(node any, into reflect.Value) bool {
	text, ok := node.(string)
	if ok {
		into.SetString(text)
	}
	return ok
}

func setBool(node any, into reflect.Value) bool {
	value, ok := node.(bool)
	if ok {
		into.SetBool(value)
	}
	return ok
}

func setInt(node any, into reflect.Value) bool {
	number, ok := node.(json.Number)
	if !ok {
		return false
	}
	value, err := number.Int64()
	if err != nil {
		return false
	}
	into.SetInt(value)
	return true
}

func setFloat(node any, into reflect.Value) bool {
	number, ok := node.(json.Number)
	if !ok {
		return false
	}
	value, err := number.Float64()
	if err != nil {
		return false
	}
	into.SetFloat(value)
	return true
}

func typeDescription(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	default:
		return "a number"
	}
}

func isEOF(err error) bool {
	return errors.Is(err, io.EOF)
}
