// Command schemagen writes the JSON Schemas of declarations and settings to docs/schema. The descriptions are the doc
// comments of the Go fields. It must run in the root directory of the module.
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
	modulePath   = "github.com/mulberryglade/mulberryglade"
	outputFolder = "docs/schema"
)

// generators has a function for each file of the output folder that returns its contents.
var generators = map[string]func() ([]byte, error){
	"declarations.schema.json": declarationsSchema,
	"settings.schema.json":     settingsSchema,
}

func main() {
	for name, generate := range generators {
		text, err := generate()
		if err == nil {
			err = os.WriteFile(filepath.Join(outputFolder, name), text, 0o644)
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

// optionalFields are optional in declarations although their Go fields are always encoded. Records of a set use its
// schemaVersion, lists may be empty, and calls of an engine service use the timeouts of the model.
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
	for _, value := range []any{
		&config.Deployment{}, &config.DataCentre{}, &config.Member{}, &config.Service{}, &config.Endpoint{},
		&config.Model{}, &config.Adapter{},
	} {
		reflected := reflector.Reflect(value)
		for name, definition := range reflected.Definitions {
			schema.Definitions[name] = definition
			kind := config.Kind(name)
			if !isRecord(definition) {
				continue
			}
			refineRecord(definition, kind)
			record.OneOf = append(record.OneOf, &jsonschema.Schema{Ref: "#/$defs/" + name})
		}
	}
	schema.Definitions["Record"] = record
	schema.Definitions["Set"] = setSchema()
	schema.OneOf = []*jsonschema.Schema{{Ref: "#/$defs/Set"}, {Ref: "#/$defs/Record"}}
	return encode(schema)
}

// isRecord reports whether the definition is a record rather than a part of one: only records have a kind.
func isRecord(definition *jsonschema.Schema) bool {
	_, ok := definition.Properties.Get("kind")
	return ok
}

// refineRecord makes the kind a constant and optionalFields optional.
func refineRecord(definition *jsonschema.Schema, kind config.Kind) {
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

// newReflector returns a reflector with the doc comments of the packages. Their paths are relative to the root
// directory of the module.
func newReflector() (*jsonschema.Reflector, error) {
	r := &jsonschema.Reflector{Anonymous: true}
	for _, path := range []string{"./pkg/config", "./pkg/settings"} {
		if err := r.AddGoComments(modulePath, path, jsonschema.WithFullComment()); err != nil {
			return nil, errors.Wrapf(err, "read doc comments of %s", path)
		}
	}
	return r, nil
}

func encode(schema *jsonschema.Schema) ([]byte, error) {
	text, err := json.MarshalIndent(schema, "", "  ")
	return append(text, '\n'), errors.Wrap(err, "encode schema")
}
