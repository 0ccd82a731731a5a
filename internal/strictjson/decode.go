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

// sinceTag names the struct tag with the schema version that introduced a field.
const sinceTag = "since"

// Decoder fills structs from parsed documents. It matches field names exactly.
type Decoder struct {
	// File is copied into findings.
	File string
	// ReaderVersion hides fields whose tag `since` is higher, as if this build did not know them; zero hides none.
	ReaderVersion int
	// DocumentVersion reports fields whose tag `since` is higher; zero reports none.
	DocumentVersion int
	// AllowUnknown ignores unknown fields instead of reporting them.
	AllowUnknown bool
	// Findings receives the findings.
	Findings *findings.List
}

// Decode fills the struct that into points to. Fields with findings keep their former value. It returns the pointers
// of fields whose value could not be used.
func (d *Decoder) Decode(node any, pointer string, into any) map[string]bool {
	bad := make(map[string]bool)
	d.value(node, pointer, reflect.ValueOf(into).Elem(), bad)
	return bad
}

func (d *Decoder) value(node any, pointer string, into reflect.Value, bad map[string]bool) {
	ok := false
	switch into.Kind() {
	case reflect.Struct:
		ok = d.object(node, pointer, into, bad)
	case reflect.Slice:
		ok = d.array(node, pointer, into, bad)
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
		bad[pointer] = true
		d.Findings.Addf(d.File, pointer, Text(node), "must be %s", describe(into.Type()))
	}
}

func (d *Decoder) object(node any, pointer string, into reflect.Value, bad map[string]bool) bool {
	object, ok := node.(map[string]any)
	if !ok {
		return false
	}
	fields := make(map[string]field)
	collectFields(into, fields)
	for name, child := range object {
		at := Join(pointer, name)
		f, known := fields[name]
		if !known || (d.ReaderVersion > 0 && f.since > d.ReaderVersion) {
			d.unknown(name, at)
			continue
		}
		if d.DocumentVersion > 0 && f.since > d.DocumentVersion {
			bad[at] = true
			d.Findings.Addf(d.File, at, Text(child), "needs schemaVersion %d", f.since)
			continue
		}
		d.value(child, at, f.value, bad)
	}
	return true
}

// unknown quotes the field's name and not its value, which could be a secret in the wrong place.
func (d *Decoder) unknown(name, at string) {
	if !d.AllowUnknown {
		d.Findings.Addf(d.File, at, strconv.Quote(name), "unknown field")
	}
}

func (d *Decoder) array(node any, pointer string, into reflect.Value, bad map[string]bool) bool {
	array, ok := node.([]any)
	if !ok {
		return false
	}
	into.Set(reflect.MakeSlice(into.Type(), len(array), len(array)))
	for i, child := range array {
		d.value(child, JoinIndex(pointer, i), into.Index(i), bad)
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

func describe(t reflect.Type) string {
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
