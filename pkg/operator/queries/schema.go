package queries

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/invopop/jsonschema"
	"github.com/jessevdk/go-flags"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/operator"
	"github.com/mulberryglade/mulberryglade/pkg/settings"
)

func registerSchema(parser *flags.Parser, e *operator.Environment) {
	schema := operator.AddCommand(parser, "schema", "Show a JSON Schema", schemaHelp, &struct{}{})
	operator.AddCommand(schema, "declarations", "Show the schema of declaration files", schemaHelp,
		&schemaQuery{env: e, make: Declarations})
	operator.AddCommand(schema, "settings", "Show the schema of the daemon's settings", schemaHelp,
		&schemaQuery{env: e, make: Settings})
}

const schemaHelp = `Prints a JSON Schema for editors. check and the daemon test more than the schema can say.

Example:
  mulberryglade schema declarations > declarations.schema.json`

type schemaQuery struct {
	env  *operator.Environment
	make func() ([]byte, error)
}

// Execute implements flags.Commander.
func (q *schemaQuery) Execute(args []string) error {
	if err := operator.NoArguments(args); err != nil {
		return err
	}
	text, err := q.make()
	if err != nil {
		return err
	}
	_, err = q.env.Stdout.Write(text)
	return err
}

// Settings returns the JSON Schema of the daemon's settings.
func Settings() ([]byte, error) {
	schema := newReflector().Reflect(&settings.Settings{})
	schema.Title = "mulberrygladed settings"
	return encode(schema)
}

// optionalFields may be left out although their Go fields are always written: records of a set take its schemaVersion,
// lists may be empty, and calls of an engine service take their timeouts from the model.
var optionalFields = []string{"schemaVersion", "keys", "members", "defaultTimeoutMs", "maxTimeoutMs"}

// Declarations returns the JSON Schema of declaration files.
func Declarations() ([]byte, error) {
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
		reflected := newReflector().Reflect(sample)
		for name, definition := range reflected.Definitions {
			schema.Definitions[name] = definition
			kind := config.Kind(name)
			if !slices.Contains(kinds, kind) {
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

func newReflector() *jsonschema.Reflector {
	return &jsonschema.Reflector{Anonymous: true}
}

func encode(schema *jsonschema.Schema) ([]byte, error) {
	text, err := json.MarshalIndent(schema, "", "  ")
	return append(text, '\n'), errors.Wrap(err, "encode schema")
}
