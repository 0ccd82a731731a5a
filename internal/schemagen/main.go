// Command schemagen writes the JSON Schemas of declarations and settings to docs/schema, with the doc comments of the Go
// fields as descriptions. It runs in the module's root directory.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/invopop/jsonschema"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/settings"
)

const (
	module = "github.com/mulberryglade/mulberryglade"
	target = "docs/schema"
)

// generators has the files of the target directory.
var generators = map[string]func() ([]byte, error){
	"declarations.schema.json": declarationsSchema,
	"settings.schema.json":     settingsSchema,
}

func main() {
	for name, generate := range generators {
		text, err := generate()
		if err == nil {
			err = os.WriteFile(filepath.Join(target, name), text, 0o644)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// settingsSchema returns the JSON Schema of the daemon's settings.
func settingsSchema() ([]byte, error) {
	reflector, err := newReflector()
	if err != nil {
		return nil, err
	}
	schema := reflector.Reflect(&settings.Settings{})
	schema.Title = "mulberrygladed settings"
	return encode(schema)
}

// optionalFields may be left out although their Go fields are always written: records of a set take its schemaVersion,
// lists may be empty, and calls of an engine service take their timeouts from the model.
var optionalFields = []string{"schemaVersion", "keys", "members", "defaultTimeoutMs", "maxTimeoutMs"}

// declarationsSchema returns the JSON Schema of declaration files.
func declarationsSchema() ([]byte, error) {
	reflector, err := newReflector()
	if err != nil {
		return nil, err
	}
	schema := &jsonschema.Schema{
		Version:     jsonschema.Version,
		Title:       "mulberryglade declarations",
		Definitions: jsonschema.Definitions{},
	}
	record := &jsonschema.Schema{}
	for _, sample := range []any{
		&config.Deployment{}, &config.DataCentre{}, &config.Member{}, &config.Service{}, &config.Endpoint{},
		&config.Model{}, &config.Adapter{},
	} {
		reflected := reflector.Reflect(sample)
		for name, definition := range reflected.Definitions {
			schema.Definitions[name] = definition
			kind := config.Kind(name)
			if !isKind(definition) {
				continue
			}
			refine(definition, kind)
			record.OneOf = append(record.OneOf, &jsonschema.Schema{Ref: "#/$defs/" + name})
		}
	}
	schema.Definitions["Record"] = record
	schema.Definitions["Set"] = setSchema()
	schema.OneOf = []*jsonschema.Schema{{Ref: "#/$defs/Set"}, {Ref: "#/$defs/Record"}}
	return encode(schema)
}

// isKind tells records from the parts of records.
func isKind(definition *jsonschema.Schema) bool {
	_, ok := definition.Properties.Get("kind")
	return ok
}

// refine fixes the kind and makes fields optional.
func refine(definition *jsonschema.Schema, kind config.Kind) {
	if property, ok := definition.Properties.Get("kind"); ok {
		property.Const = string(kind)
	}
	definition.Required = slices.DeleteFunc(definition.Required, func(field string) bool {
		return slices.Contains(optionalFields, field)
	})
}

func setSchema() *jsonschema.Schema {
	properties := jsonschema.NewProperties()
	properties.Set("schemaVersion", &jsonschema.Schema{Type: "integer"})
	properties.Set("records", &jsonschema.Schema{Type: "array", Items: &jsonschema.Schema{Ref: "#/$defs/Record"}})
	return &jsonschema.Schema{
		Type:                 "object",
		Properties:           properties,
		AdditionalProperties: jsonschema.FalseSchema,
		Required:             []string{"records"},
	}
}

// newReflector reads the doc comments of the packages, whose paths are relative to the module's root directory.
func newReflector() (*jsonschema.Reflector, error) {
	r := &jsonschema.Reflector{Anonymous: true}
	for _, path := range []string{"./pkg/config", "./pkg/settings"} {
		if err := r.AddGoComments(module, path, jsonschema.WithFullComment()); err != nil {
			return nil, errors.Wrapf(err, "doc comments of %s", path)
		}
	}
	return r, nil
}

func encode(schema *jsonschema.Schema) ([]byte, error) {
	text, err := json.MarshalIndent(schema, "", "  ")
	return append(text, '\n'), errors.Wrap(err, "encode schema")
}
