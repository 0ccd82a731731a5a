package queries

import (
	"github.com/jessevdk/go-flags"

	"github.com/mulberryglade/mulberryglade/docs/schema"
	"github.com/mulberryglade/mulberryglade/pkg/operator"
)

func registerSchema(parser *flags.Parser, e *operator.Environment) {
	parent := operator.AddCommand(parser, "schema", "Show a JSON Schema", schemaHelp, &struct{}{})
	operator.AddCommand(parent, "declarations", "Show the schema of declaration files", schemaHelp,
		&schemaQuery{env: e, text: schema.Declarations})
	operator.AddCommand(parent, "settings", "Show the schema of the daemon's settings", schemaHelp,
		&schemaQuery{env: e, text: schema.Settings})
}

const schemaHelp = `Prints a JSON Schema for editors. check and the daemon test more than the schema can say.

Example:
  mulberryglade schema declarations > declarations.schema.json`

type schemaQuery struct {
	env  *operator.Environment
	text []byte
}

// Execute implements flags.Commander.
func (q *schemaQuery) Execute(args []string) error {
	if err := operator.NoArguments(args); err != nil {
		return err
	}
	_, err := q.env.Stdout.Write(q.text)
	return err
}
